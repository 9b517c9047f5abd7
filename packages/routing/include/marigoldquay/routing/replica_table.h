// The backend servers that the platform lists, by service.
#ifndef MARIGOLDQUAY_ROUTING_REPLICA_TABLE_H_
#define MARIGOLDQUAY_ROUTING_REPLICA_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "marigoldquay/core/types.h"

namespace marigoldquay {

/// What a model engine does for a request.
enum class EngineRole { kPrefill, kDecode };

/// One start of a backend server.
struct Replica {
  BackendServerId id;
  std::string service;
  Address address;
  std::string availability_zone;
  /// Requests that it processes at once.
  int slots = 1;
  /// Whether it takes no new work.
  bool draining = false;
  /// Set for model engines.
  std::optional<EngineRole> role;
  /// Tells starts under the same id apart.
  std::int64_t started_unix_ms = 0;

  bool operator==(const Replica&) const = default;
};

/// Changes of a table.
struct ReplicaChanges {
  std::vector<Replica> listed;
  std::vector<BackendServerId> removed;

  bool operator==(const ReplicaChanges&) const = default;
};

/// Follows the platform's list. Replicas that are draining or gone are not offered. Not
/// thread-safe.
class ReplicaTable {
 public:
  /// Adds or changes an entry; returns whether anything that matters has changed. A start that was
  /// seen draining stays so, whatever an older source says later.
  bool Set(Replica replica);
  /// The server itself has said that it is leaving; returns whether that is news.
  bool MarkDraining(absl::string_view id);
  /// Removes an entry; returns whether it was there.
  bool Remove(absl::string_view id);

  /// Null when the replica is not listed.
  const Replica* Find(absl::string_view id) const;
  /// Replicas of the service that take new work.
  std::vector<Replica> Ready(absl::string_view service) const;
  /// Ids of all entries.
  std::vector<BackendServerId> ids() const;
  /// Counts changes, so that readers can tell whether to look again.
  std::uint64_t version() const { return version_; }
  /// What has changed since a version; everything since version 0.
  ReplicaChanges ChangesSince(std::uint64_t version) const;
  std::size_t size() const { return replicas_.size(); }

 private:
  struct Removal {
    std::uint64_t version = 0;
    BackendServerId id;
  };

  void Erase(std::map<BackendServerId, Replica, std::less<>>::iterator entry);

  std::map<BackendServerId, Replica, std::less<>> replicas_;
  // The only entry of each address.
  absl::flat_hash_map<Address, BackendServerId> by_address_;
  // Version at which each entry last changed.
  std::map<BackendServerId, std::uint64_t, std::less<>> changed_;
  // The latest removals, oldest first.
  std::deque<Removal> removals_;
  std::uint64_t version_ = 0;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_ROUTING_REPLICA_TABLE_H_
