// Chooses the backend server of a plain service with the least expected cost, computed from
// its load, its service time and its recent failures.
#ifndef MARIGOLDQUAY_DISPATCH_REPLICA_BALANCER_H_
#define MARIGOLDQUAY_DISPATCH_REPLICA_BALANCER_H_

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "marigoldquay/core/types.h"
#include "marigoldquay/dispatch/replica_health.h"
#include "marigoldquay/routing/replica_table.h"

namespace marigoldquay {

/// Load that a backend server reports with a response.
struct ReplicaLoad {
  int running = 0;
  int waiting = 0;
  int slots = 1;
  /// How long work takes on its machine now, as a multiple of the usual time.
  double work_factor = 1.0;

  bool operator==(const ReplicaLoad&) const = default;
};

/// Load and service times of the backend servers of plain services, as observed by one VM. Each VM
/// chooses independently; reported loads account for the requests of other VMs. Not thread-safe.
class ReplicaBalancer {
 public:
  ReplicaBalancer(std::string availability_zone, ReplicaHealth& health)
      : availability_zone_(std::move(availability_zone)), health_(health) {}

  /// The replica of `ready` with the least expected cost; nullopt when all are excluded or refuse
  /// requests. A suspended replica is chosen only when no other is left. With `responsive_only`,
  /// replicas that have not answered since their last failure are avoided as well.
  std::optional<Replica> Pick(std::span<const Replica> ready,
                              std::span<const BackendServerId> excluded, bool responsive_only,
                              absl::Time now);

  /// A request was sent to the replica.
  void OnStart(absl::string_view id);
  /// The request ended; `service_time` is set for complete responses only.
  void OnEnd(absl::string_view id, std::optional<absl::Duration> service_time);
  /// The replica reported its load.
  void OnLoad(absl::string_view id, const ReplicaLoad& load, absl::Time now);
  /// Drops the state of replicas that are not in `ids` and have no request in flight.
  void Retain(std::span<const BackendServerId> ids);

  /// Requests that this VM has in flight at the replica.
  int in_flight(absl::string_view id) const;

 private:
  struct State {
    int in_flight = 0;
    // Exponential moving average of the service time in ms; 0 before the first complete response.
    double service_ms = 0;
    ReplicaLoad reported;
    absl::Time reported_at = absl::InfinitePast();
  };

  double ExpectedCostMs(const Replica& replica, double mean_service_ms, absl::Time now) const;
  double MeanServiceMs(std::span<const Replica> ready) const;
  const State* Find(absl::string_view id) const;

  std::string availability_zone_;
  ReplicaHealth& health_;
  absl::flat_hash_map<BackendServerId, State> states_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_DISPATCH_REPLICA_BALANCER_H_
