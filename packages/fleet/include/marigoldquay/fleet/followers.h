// Keep the cluster view up to date from the platform's store.
#ifndef MARIGOLDQUAY_FLEET_FOLLOWERS_H_
#define MARIGOLDQUAY_FLEET_FOLLOWERS_H_

#include <functional>
#include <map>

#include "absl/time/time.h"
#include "marigoldquay/core/clock.h"
#include "marigoldquay/fleet/cluster_store.h"
#include "marigoldquay/fleet/retry_delay.h"
#include "marigoldquay/routing/cluster_view.h"

namespace marigoldquay {

/// Tells whether another VM keeps this one up to date, so that it need not read the store itself.
class FeedMonitor {
 public:
  virtual ~FeedMonitor() = default;
  /// Whether what the coordinator last sent is as recent as own reads would be.
  virtual bool FeedIsFresh() const = 0;
  /// Whether other VMs rely on what this one reads.
  virtual bool FeedsOthers() const = 0;
  /// Asks the coordinator for all backend servers: changes do not do after own reads.
  virtual void RequestFullServerList() = 0;
};

/// Follows the operator's configuration with waiting reads, or reads it when the coordinator names
/// a newer version.
class CatalogFollower {
 public:
  CatalogFollower(asio::io_context& io, const Clock& clock, ClusterStore& store, ClusterView& view,
                  const FeedMonitor& feed, std::function<void()> on_change)
      : io_(io),
        clock_(clock),
        store_(store),
        view_(view),
        feed_(feed),
        on_change_(std::move(on_change)),
        wake_timer_(io) {}

  /// Runs until the process ends.
  void Run(Yield yield);
  /// The coordinator knows this version. `record` is its stored form; when it is empty or cannot be
  /// read, the store is asked.
  void OnVersionAnnounced(std::uint64_t version, const std::string& record);
  /// When the store last answered.
  absl::Time last_contact() const { return last_store_contact_; }

 private:
  bool FollowsFeed() const;
  absl::Duration CurrentMaxRetryPause() const;
  ErrorOr<CatalogUpdate> ReadNext(Yield yield);
  void Apply(CatalogUpdate update, absl::string_view source);
  void UpdateStoreContact(bool reachable, const std::string& detail);

  asio::io_context& io_;
  const Clock& clock_;
  ClusterStore& store_;
  ClusterView& view_;
  const FeedMonitor& feed_;
  std::function<void()> on_change_;
  asio::steady_timer wake_timer_;
  std::uint64_t announced_version_ = 0;
  // Unset when the newest configuration has to be read as a whole.
  std::optional<Offset> next_;
  absl::Time last_store_contact_ = absl::InfinitePast();
  RetryDelay retry_delay_;
  bool store_reachable_ = true;
};

/// Follows the list of backend servers with short reads, as it changes with every heartbeat of
/// every server.
class ReplicaFollower {
 public:
  ReplicaFollower(asio::io_context& io, const Clock& clock, ClusterStore& store, ClusterView& view,
                  FeedMonitor& feed, std::function<void()> on_change)
      : io_(io),
        clock_(clock),
        store_(store),
        view_(view),
        feed_(feed),
        on_change_(std::move(on_change)) {}

  void Run(Yield yield);
  /// Takes over changes that the coordinator sent; `whole` tells whether they name all servers.
  void ApplyFeed(const ReplicaChanges& changes, bool is_full);
  /// When the store last answered.
  absl::Time last_contact() const { return last_store_contact_; }

 private:
  void Apply(const ReplicaUpdate& update, bool is_full_list, absl::string_view source);
  void Set(const Replica& replica, absl::string_view source);
  void ReadOnce(Yield yield);
  void RemoveExpired();

  asio::io_context& io_;
  const Clock& clock_;
  ClusterStore& store_;
  ClusterView& view_;
  FeedMonitor& feed_;
  std::function<void()> on_change_;
  absl::Time last_store_contact_ = absl::InfinitePast();
  // Whether this VM has read the list itself since it last followed the coordinator.
  bool reads_store_ = true;
  // Unset when the whole list has to be read.
  std::optional<Offset> next_;
  // Servers that vanished while or just after the store was away, with the time at which they are
  // taken as gone unless they are back.
  std::map<BackendServerId, absl::Time> removal_times_;
  absl::Time store_returned_at_ = absl::InfinitePast();
  RetryDelay retry_delay_;
  bool store_unavailable_ = false;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_FLEET_FOLLOWERS_H_
