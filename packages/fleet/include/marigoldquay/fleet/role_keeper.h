// Orders engines to switch between the prefill and decode roles. Only the coordinator
// does so, under a claim in the store that it checks before each round of orders.
//
// Mutual exclusion: each claim has a higher number than all earlier ones, and its holder
// waits longer than the lease after writing it before it sends the first order. The
// previous holder detects the newer claim at its next check, and discards orders that
// it did not send soon after a check, e.g. because the process was suspended.
#ifndef MARIGOLDQUAY_FLEET_ROLE_KEEPER_H_
#define MARIGOLDQUAY_FLEET_ROLE_KEEPER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "marigoldquay/dispatch/role_planner.h"
#include "marigoldquay/fleet/cluster_store.h"
#include "marigoldquay/fleet/coordinator.h"
#include "marigoldquay/net/http_connection.h"
#include "marigoldquay/relay/backend_dialect.h"

namespace marigoldquay {

/// Plans and sends role changes for all model services.
class RoleKeeper {
 public:
  struct Options {
    /// Name under which this VM makes claims and sends orders.
    std::string holder;
    /// Minimum time between orders of two different VMs.
    absl::Duration lease = absl::Seconds(3);
    /// Whether this VM is the coordinator and its data from the store is current.
    std::function<bool()> may_order;
  };

  RoleKeeper(asio::io_context& io, const Clock& clock, const ClusterView& view, ClusterStore& store,
             const BackendDialect& dialect, ConnectionPool& connections, Coordinator& coordinator,
             Options options)
      : io_(io),
        clock_(clock),
        view_(view),
        store_(store),
        dialect_(dialect),
        connections_(connections),
        coordinator_(coordinator),
        options_(std::move(options)) {}

  /// Runs until the process ends.
  void Run(Yield yield);

 private:
  struct PlannedChange {
    std::string service;
    RoleChange change;
  };

  std::vector<PlannedChange> PlanChanges();
  // Makes a claim if there is none and checks it in the store. Returns whether it is the newest one
  // and old enough for orders to be sent.
  bool EnsureClaim(Yield yield);
  void AcquireClaim(Yield yield);
  void SendOrder(const PlannedChange& planned, Yield yield);
  void DropClaim(const std::string& reason);

  asio::io_context& io_;
  const Clock& clock_;
  const ClusterView& view_;
  ClusterStore& store_;
  const BackendDialect& dialect_;
  ConnectionPool& connections_;
  Coordinator& coordinator_;
  const Options options_;
  std::map<std::string, RolePlanner> planners_;
  std::optional<std::uint64_t> claim_;
  // Earliest time for orders under the current claim.
  absl::Time orders_allowed_from_ = absl::InfiniteFuture();
  // Start time of the last check of the claim.
  absl::Time claim_checked_at_ = absl::InfinitePast();
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_FLEET_ROLE_KEEPER_H_
