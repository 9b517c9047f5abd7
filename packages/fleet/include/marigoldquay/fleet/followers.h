// Followers that keep the cluster view up to date with the platform's store.
#ifndef MARIGOLDQUAY_FLEET_FOLLOWERS_H_
#define MARIGOLDQUAY_FLEET_FOLLOWERS_H_

#include <functional>
#include <map>
#include <string>

#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "marigoldquay/core/clock.h"
#include "marigoldquay/fleet/cluster_store.h"
#include "marigoldquay/fleet/retry_delay.h"
#include "marigoldquay/routing/cluster_view.h"

namespace marigoldquay {

/// State of the feed from the coordinator, which saves this VM from reading the store itself.
class FeedMonitor {
 public:
  virtual ~FeedMonitor() = default;
  /// Time for which the data last sent by the coordinator is as recent as direct reads would be;
  /// not positive when it is not now.
  virtual absl::Duration FeedFreshFor() const = 0;
  bool FeedIsFresh() const { return FeedFreshFor() > absl::ZeroDuration(); }
  /// Whether other VMs rely on what this VM reads from the store.
  virtual bool FeedsOthers() const = 0;
  /// Asks the coordinator for all backend servers. Needed after direct reads, as the changes that
  /// the coordinator sends do not build on them.
  virtual void RequestFullServerList() = 0;
};

/// Follows the operator's configuration with long polls, or reads it when the coordinator announces
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
  /// Called when another VM announces a version, which was the newest one at `origin`. `record` is
  /// its stored form; when it is empty or cannot be decoded, the configuration is read from the
  /// store.
  void OnVersionAnnounced(std::uint64_t version, const std::string& record,
                          const DataOrigin& origin);
  /// Origin of the last data that showed the configuration of this VM to be the newest one.
  const DataOrigin& confirmed() const { return confirmed_; }
  /// When the configuration of this VM was last known to be the newest one; InfinitePast before.
  absl::Time confirmed_at() const { return confirmed_.read_at; }
  /// The last read of the store by this VM, with the latest time at which the store has certainly
  /// not answered yet.
  const DataOrigin& origin() const { return origin_; }

 private:
  bool FollowsFeed() const;
  absl::Duration CurrentMaxRetryPause() const;
  // Time that the next read waits for a change.
  absl::Duration NextWait() const;
  ErrorOr<CatalogUpdate> ReadNext(Yield yield);
  void Apply(CatalogUpdate update, absl::string_view source);
  void LogStoreContact(bool reachable, const std::string& detail);

  asio::io_context& io_;
  const Clock& clock_;
  ClusterStore& store_;
  ClusterView& view_;
  const FeedMonitor& feed_;
  std::function<void()> on_change_;
  asio::steady_timer wake_timer_;
  std::uint64_t announced_version_ = 0;
  // Position of the next read; unset when the newest configuration has to be read in full.
  std::optional<StorePosition> next_;
  DataOrigin origin_;
  DataOrigin confirmed_;
  // Whether the last read waited and brought a change.
  bool change_unconfirmed_ = false;
  RetryDelay retry_delay_;
  bool store_reachable_ = true;
};

/// Follows the list of backend servers by polling without waiting, as the list changes with every
/// heartbeat of every server.
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

  /// Runs until the process ends.
  void Run(Yield yield);
  /// Applies changes that the coordinator has read in `era`; `is_full` tells whether they list all
  /// servers.
  void ApplyFeed(const ReplicaChanges& changes, bool is_full, StoreEra era);
  /// The last read of the store by this VM, with the latest time at which the store has certainly
  /// not answered yet.
  const DataOrigin& origin() const { return origin_; }

 private:
  void Apply(const ReplicaUpdate& update, bool is_full_list, absl::string_view source);
  void Set(const Replica& replica, absl::string_view source);
  void ReadOnce(Yield yield);
  void RemoveExpired();
  // Called with the era of data before they are applied.
  void OnEra(StoreEra era);
  // Whether the list may still hold entries of the copy that the store has come back from.
  bool ListMayBeOutdated() const { return clock_.Now() < outdated_until_; }

  asio::io_context& io_;
  const Clock& clock_;
  ClusterStore& store_;
  ClusterView& view_;
  FeedMonitor& feed_;
  std::function<void()> on_change_;
  DataOrigin origin_;
  // The latest era of which data were applied; 0 before the first data.
  StoreEra era_ = 0;
  absl::Time outdated_until_ = absl::InfinitePast();
  // Whether this VM has read the list from the store since it last followed the coordinator.
  bool reads_store_ = true;
  // Reasons for skipped entries that have been logged.
  absl::flat_hash_set<std::string> logged_skips_;
  // Position of the next read; unset when the full list has to be read.
  std::optional<StorePosition> next_;
  // Servers missing from the list, with the time at which they are removed unless they reappear.
  // The time lies ahead only for servers that went missing while or just after the store was
  // unavailable, or after it came back from a copy.
  std::map<BackendServerId, absl::Time> removal_times_;
  absl::Time store_returned_at_ = absl::InfinitePast();
  RetryDelay retry_delay_;
  bool store_unavailable_ = false;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_FLEET_FOLLOWERS_H_
