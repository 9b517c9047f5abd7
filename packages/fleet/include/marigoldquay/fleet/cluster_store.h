// Interface to the platform's store: configuration, backend servers, presence of VMs
// and the claim to order engine roles. Implemented in platform/.
#ifndef MARIGOLDQUAY_FLEET_CLUSTER_STORE_H_
#define MARIGOLDQUAY_FLEET_CLUSTER_STORE_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "marigoldquay/core/error_or.h"
#include "marigoldquay/core/types.h"
#include "marigoldquay/dispatch/request_quarantine.h"
#include "marigoldquay/dispatch/stream_versions.h"
#include "marigoldquay/net/async.h"
#include "marigoldquay/routing/catalog.h"
#include "marigoldquay/routing/replica_table.h"

namespace marigoldquay {

/// Number of a life of the store. It rises each time the store comes back from an older copy: what
/// it had acknowledged since that copy is gone, and offsets are given out again.
using StoreEra = std::uint64_t;

/// Place in a log of the store. Offsets of different eras name different records.
struct StorePosition {
  StoreEra era = 0;
  Offset offset = 0;

  bool operator==(const StorePosition&) const = default;
};

/// Era and time of the read that data from the store come from.
struct DataOrigin {
  StoreEra era = 0;
  absl::Time read_at = absl::InfinitePast();

  bool operator==(const DataOrigin&) const = default;
  /// Whether the data are older. Those of an earlier era are, whenever they were read.
  bool operator<(const DataOrigin& other) const {
    return era != other.era ? era < other.era : read_at < other.read_at;
  }
};

/// Result of reading the operator's records.
struct CatalogUpdate {
  /// The newest configuration that was read; unset when there was none.
  std::optional<CatalogContents> catalog;
  /// Stored form of that configuration.
  std::string record;
  /// One reason for each record that was skipped.
  std::vector<std::string> skipped;
  /// Where the next read continues.
  StorePosition next;
};

/// Result of reading the list of backend servers.
struct ReplicaUpdate {
  std::vector<Replica> listed;
  std::vector<BackendServerId> removed;
  /// One reason for each entry that was skipped.
  std::vector<std::string> skipped;
  StorePosition next;
};

/// A quarantine as the store keeps it; see QuarantinedTraits.
struct KeptQuarantine {
  std::vector<RequestTrait> traits;
  /// Time until it ends; not positive when it has ended.
  absl::Duration left;

  bool operator==(const KeptQuarantine&) const = default;
};

/// Result of reading the quarantines.
struct KeptQuarantines {
  /// Including those that have ended.
  std::vector<KeptQuarantine> listed;
  /// One reason for each record that was skipped.
  std::vector<std::string> skipped;
};

/// Versions that could begin streams of a service, as the store keeps them.
struct KeptVersionHistory {
  std::string service;
  std::set<SoftwareVersion> versions;
  /// Time since when no other version could; infinite when none ever could.
  absl::Duration age;
  /// Era in which the record was written.
  StoreEra era = 0;

  bool operator==(const KeptVersionHistory&) const = default;
};

/// Result of reading the histories.
struct KeptVersionHistories {
  std::vector<KeptVersionHistory> listed;
  /// One reason for each record that was skipped.
  std::vector<std::string> skipped;
};

/// Origins of streams of a service, as the store keeps them.
struct KeptStreamOrigins {
  std::string service;
  std::string writer;
  /// Time since they were written.
  absl::Duration age;
  std::vector<StreamOrigin> streams;

  bool operator==(const KeptStreamOrigins&) const = default;
};

/// Result of reading a part of the origins.
struct KeptStreamOriginsPart {
  std::vector<KeptStreamOrigins> listed;
  std::vector<std::string> skipped;
  /// Where the next read continues.
  StorePosition next;
  /// Whether there is nothing behind it.
  bool is_last = false;
};

/// Errors: kResourceExhausted (rate limit exceeded), kRefused (not executed), kConflict (condition
/// not met, not a member, or the era changed during a read of several calls), kNotFound (the
/// history at this position was discarded, or the position is of an earlier era), kTimeout and
/// kUnavailable (unknown whether the call was executed, or executed in an earlier era), kProtocol
/// (malformed reply).
class ClusterStore {
 public:
  virtual ~ClusterStore() = default;

  /// The latest era that an answer has named; 0 before the first answer.
  virtual StoreEra era() const = 0;
  /// Reads the newest configuration and the position at which changes follow.
  virtual ErrorOr<CatalogUpdate> ReadNewestCatalog(Yield yield) = 0;
  /// Waits up to `wait` for configurations from `from` on.
  virtual ErrorOr<CatalogUpdate> AwaitCatalog(const StorePosition& from, absl::Duration wait,
                                              Yield yield) = 0;
  /// Decodes the stored form of a configuration that another VM has sent.
  virtual ErrorOr<CatalogContents> DecodeCatalog(absl::string_view record) const = 0;
  /// Reads all backend servers.
  virtual ErrorOr<ReplicaUpdate> ListReplicas(Yield yield) = 0;
  /// Reads changes of the list from `from` on, without waiting.
  virtual ErrorOr<ReplicaUpdate> ReadReplicaChanges(const StorePosition& from, Yield yield) = 0;

  /// Announces a member for `ttl` or renews its announcement.
  virtual ErrorOrVoid RenewPresence(const std::string& member, absl::Duration ttl, Yield yield) = 0;
  /// Withdraws the announcement of a member.
  virtual ErrorOrVoid WithdrawPresence(const std::string& member, Yield yield) = 0;
  /// Claims the exclusive right to order engine roles. Returns a fencing token that is higher than
  /// that of every earlier claim of any VM, in all eras.
  virtual ErrorOr<std::uint64_t> AcquireOrderClaim(const std::string& holder, Yield yield) = 0;
  /// Whether the store still holds the claim and no VM has made one after it.
  virtual ErrorOr<bool> IsLatestOrderClaim(std::uint64_t claim, Yield yield) = 0;
  virtual ErrorOr<KeptQuarantines> ListQuarantines(Yield yield) = 0;
  virtual ErrorOrVoid KeepQuarantine(const KeptQuarantine& quarantine, Yield yield) = 0;
  virtual ErrorOrVoid DropQuarantine(const std::vector<RequestTrait>& traits, Yield yield) = 0;
  virtual ErrorOr<KeptVersionHistories> ListVersionHistories(Yield yield) = 0;
  /// The record names the present era, whatever `history.era` is.
  virtual ErrorOrVoid KeepVersionHistory(const KeptVersionHistory& history, Yield yield) = 0;
  /// Origins behind `from`, or from the first that the store still has when it is unset.
  virtual ErrorOr<KeptStreamOriginsPart> ReadStreamOrigins(const std::optional<StorePosition>& from,
                                                           Yield yield) = 0;
  virtual ErrorOrVoid KeepStreamOrigins(const KeptStreamOrigins& origins, Yield yield) = 0;
  /// Names of announced members; the first one is the coordinator unless it is unreachable.
  virtual ErrorOr<std::vector<std::string>> ListMembers(Yield yield) = 0;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_FLEET_CLUSTER_STORE_H_
