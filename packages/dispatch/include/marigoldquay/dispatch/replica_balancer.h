// Chooses a backend server of a plain service by the time that it is expected to
// take, from its load, its speed and its recent failures.
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

/// What a backend server says of its load with an answer.
struct ReplicaLoad {
  int running = 0;
  int waiting = 0;
  int slots = 1;

  bool operator==(const ReplicaLoad&) const = default;
};

/// Load and speed of the backend servers of plain services, as one VM has seen them. Each VM
/// chooses on its own; reported loads stand for what the other VMs send. Not thread-safe.
class ReplicaBalancer {
 public:
  ReplicaBalancer(std::string availability_zone, ReplicaHealth& health)
      : availability_zone_(std::move(availability_zone)), health_(health) {}

  /// The replica with the least expected time among `ready`; nullopt when all are excluded or want
  /// no requests. A suspended replica is chosen only when no other is left. With `responsive_only`,
  /// replicas on trial are avoided as well.
  std::optional<Replica> Pick(std::span<const Replica> ready,
                              std::span<const BackendServerId> excluded, bool responsive_only,
                              absl::Time now);

  /// A request was sent to the replica.
  void OnStart(absl::string_view id);
  /// It ended; `service_time` is set for whole answers.
  void OnEnd(absl::string_view id, std::optional<absl::Duration> service_time);
  void OnLoad(absl::string_view id, const ReplicaLoad& load, absl::Time now);
  /// Forgets replicas that are not among `ids`.
  void Retain(std::span<const BackendServerId> ids);

  /// Requests of this VM at the replica.
  int in_flight(absl::string_view id) const;

 private:
  struct State {
    int in_flight = 0;
    // Smoothed time of whole answers in ms; 0 before the first.
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
