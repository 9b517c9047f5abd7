// Orders engines from one role to the other. Only the coordinating VM does so, by a
// claim in the store that it checks before each round of orders.
//
// Why two VMs never order at the same time: a claim is newer than all before it, and
// its holder gives no order for longer than the lease after it was written. The
// former holder sees the new claim when it checks its own, and drops orders that
// were not sent soon after a check, e.g. since it was suspended.
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

class RoleKeeper {
 public:
  struct Options {
    /// Name of this VM in its orders.
    std::string holder;
    /// Two VMs that give orders must be so long apart.
    absl::Duration lease = absl::Seconds(3);
    /// Whether this VM coordinates and knows the state of the store.
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
  // Whether this VM holds the newest claim and its orders may be sent now.
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
  // When orders under the claim may begin.
  absl::Time orders_allowed_from_ = absl::InfiniteFuture();
  // When the check of the claim that holds now began.
  absl::Time claim_checked_at_ = absl::InfinitePast();
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_FLEET_ROLE_KEEPER_H_
