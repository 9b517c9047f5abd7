// Table of the backend servers that the platform lists.
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

/// Phase of a model request that an engine executes.
enum class EngineRole { kPrefill, kDecode };

/// Limit on the requests that a backend server accepts from all VMs together, as the server states
/// it in its responses.
struct RequestLimit {
  /// Requests per second; unset when the server states no limit.
  std::optional<double> per_second;
  /// When the server stated it, on the clock of this VM; a later statement replaces an earlier one.
  absl::Time stated_at = absl::InfinitePast();

  bool operator==(const RequestLimit&) const = default;
};

/// Request limit of one instance of a backend server.
struct StatedRequestLimit {
  BackendServerId server;
  /// Start time of the instance; see Replica.
  std::int64_t started_unix_ms = 0;
  RequestLimit limit;

  bool operator==(const StatedRequestLimit&) const = default;
};

/// One instance of a backend server; a restart is a new instance.
struct Replica {
  BackendServerId id;
  std::string service;
  Address address;
  std::string availability_zone;
  /// Number of requests that it processes concurrently.
  int slots = 1;
  /// Whether it accepts no new requests.
  bool draining = false;
  /// Set only for model engines.
  std::optional<EngineRole> role;
  /// Version of its software; empty when the entry names none. Two versions have no order, and a
  /// stream that one has begun cannot be continued by another.
  std::string software_version;
  /// Start time of the process; distinguishes instances with the same id.
  std::int64_t started_unix_ms = 0;
  /// Number of the entry among those that the instance has written, from 1 on; 0 when unknown.
  std::int64_t sequence = 0;
  /// Not part of the platform's list.
  RequestLimit request_limit;

  bool operator==(const Replica&) const = default;
};

/// What a VM knows of an instance that gets no new requests any more.
struct ServerDeparture {
  BackendServerId server;
  std::int64_t started_unix_ms = 0;
  /// The last entry that the VM knows of.
  std::int64_t sequence = 0;
  /// Whether its entry was removed; it is draining otherwise.
  bool removed = false;

  bool operator==(const ServerDeparture&) const = default;
};

/// Difference between two versions of a ReplicaTable.
struct ReplicaChanges {
  std::vector<Replica> updated;
  std::vector<BackendServerId> removed;

  bool operator==(const ReplicaChanges&) const = default;
};

/// Local copy of the platform's list of backend servers. Replicas that are draining or removed are
/// not selected for new requests. Not thread-safe.
class ReplicaTable {
 public:
  /// Inserts or updates an entry; returns whether more than its sequence number changed. An
  /// instance that was marked as draining stays draining, even when an outdated source reports
  /// otherwise, and keeps the latest request limit that it stated, also when its entry was missing
  /// in the meantime. Ignored are entries that precede the known one, and those whose address
  /// belongs to a later instance. `may_be_outdated` tells that the source may still list instances
  /// that have left; it has to be ahead of a removed entry, not just equal to it.
  bool Upsert(Replica replica, bool may_be_outdated = false);
  /// Applies what another VM knows, unless this table holds a later entry of the server; returns
  /// whether the table changed.
  bool Apply(const ServerDeparture& departure);
  /// Draining instances, and those that were removed lately; at most kMaxDepartures of the latter.
  std::vector<ServerDeparture> departures() const;
  /// Marks a replica that announced its own shutdown; returns whether the table changed.
  bool MarkDraining(absl::string_view id);
  /// Records a limit unless a later one of the instance is known; returns whether an entry changed.
  /// The limit of a replica without an entry holds once it is listed.
  bool SetRequestLimit(const StatedRequestLimit& stated);
  /// Removes an entry; returns whether it existed.
  bool Remove(absl::string_view id);

  /// Returns null when the replica is not in the table.
  const Replica* Find(absl::string_view id) const;
  /// Returns the replicas of the service that are not draining.
  std::vector<Replica> FindReady(absl::string_view service) const;
  /// Latest limits of the instances that have stated one, including those that have none any more.
  std::vector<StatedRequestLimit> stated_limits() const;
  /// Returns the replicas that have a request limit now.
  std::vector<Replica> FindLimited() const;
  /// Ids of all entries.
  std::vector<BackendServerId> ids() const;
  /// Incremented by every change, so that readers can detect that the table changed.
  std::uint64_t version() const { return version_; }
  /// Returns the changes made after `version`; for version 0 that includes every entry.
  ReplicaChanges ChangesSince(std::uint64_t version) const;
  std::size_t size() const { return replicas_.size(); }

  static constexpr std::size_t kMaxDepartures = 128;

 private:
  struct Removal {
    std::uint64_t version = 0;
    BackendServerId id;
  };

  // Whether the entry says less than what is known of the server already.
  bool IsOutdated(const Replica& replica, bool may_be_outdated) const;
  void RecordRemoval(const Replica& replica);
  // Records the limit; returns the latest one of the instance.
  RequestLimit UpdateStatedLimit(const StatedRequestLimit& stated);
  void Erase(std::map<BackendServerId, Replica, std::less<>>::iterator entry);

  std::map<BackendServerId, Replica, std::less<>> replicas_;
  // An address belongs to at most one entry.
  absl::flat_hash_map<Address, BackendServerId> id_by_address_;
  // Table version of the last change of each entry.
  std::map<BackendServerId, std::uint64_t, std::less<>> version_by_id_;
  // The most recent removals, oldest first.
  std::deque<Removal> recent_removals_;
  // Servers whose entry was removed and that are not listed again, oldest first; at most
  // kMaxDepartures.
  std::deque<ServerDeparture> removed_servers_;
  // Also of replicas without an entry; at most kMaxStatedLimits.
  std::map<BackendServerId, StatedRequestLimit, std::less<>> stated_limits_;
  std::uint64_t version_ = 0;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_ROUTING_REPLICA_TABLE_H_
