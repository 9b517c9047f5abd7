// What the VMs read from and write to the platform's store. Implemented in the
// platform folder.
#ifndef MARIGOLDQUAY_FLEET_CLUSTER_STORE_H_
#define MARIGOLDQUAY_FLEET_CLUSTER_STORE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "marigoldquay/core/error_or.h"
#include "marigoldquay/core/types.h"
#include "marigoldquay/net/async.h"
#include "marigoldquay/routing/catalog.h"
#include "marigoldquay/routing/replica_table.h"

namespace marigoldquay {

/// Result of reading the operator's records.
struct CatalogUpdate {
  /// The newest configuration that was read; unset when there was none.
  std::optional<CatalogContents> catalog;
  /// Its stored form.
  std::string record;
  /// Where to read on.
  Offset next = 0;
};

/// Result of reading the list of backend servers.
struct ReplicaUpdate {
  std::vector<Replica> listed;
  std::vector<BackendServerId> removed;
  /// Why an entry was skipped, one text for each.
  std::vector<std::string> skipped;
  Offset next = 0;
};

/// Calls fail with kResourceExhausted (over the rate), kRefused (nothing was done), kConflict
/// (condition or membership), kNotFound (the history is gone), kTimeout or kUnavailable (unknown
/// whether it was done) and kProtocol (answer not understood).
class ClusterStore {
 public:
  virtual ~ClusterStore() = default;

  /// The newest configuration and where changes follow.
  virtual ErrorOr<CatalogUpdate> ReadNewestCatalog(Yield yield) = 0;
  /// Waits up to `wait` for configurations from `from` on.
  virtual ErrorOr<CatalogUpdate> AwaitCatalog(Offset from, absl::Duration wait, Yield yield) = 0;
  /// Decodes the stored form of a configuration that another VM has passed on.
  virtual ErrorOr<CatalogContents> DecodeCatalog(absl::string_view record) const = 0;
  /// All backend servers.
  virtual ErrorOr<ReplicaUpdate> ListReplicas(Yield yield) = 0;
  /// Changes of the list from `from` on, without waiting.
  virtual ErrorOr<ReplicaUpdate> ReadReplicaChanges(Offset from, Yield yield) = 0;

  /// Announces a member, or keeps it announced, for `ttl`.
  virtual ErrorOrVoid RenewPresence(const std::string& member, absl::Duration ttl, Yield yield) = 0;
  /// Withdraws a member.
  virtual ErrorOrVoid WithdrawPresence(const std::string& member, Yield yield) = 0;
  /// Claims the right to give orders to engines. The number is higher than that of every earlier
  /// claim of any VM.
  virtual ErrorOr<std::uint64_t> AcquireOrderClaim(const std::string& holder, Yield yield) = 0;
  /// Whether no VM has claimed the right since.
  virtual ErrorOr<bool> IsLatestOrderClaim(std::uint64_t claim, Yield yield) = 0;
  /// Announced members; the first one is the coordinator unless it cannot be reached.
  virtual ErrorOr<std::vector<std::string>> ListMembers(Yield yield) = 0;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_FLEET_CLUSTER_STORE_H_
