// Cost estimates and choice of the backend server of a plain service.
#include "marigoldquay/dispatch/replica_balancer.h"

#include <algorithm>
#include <limits>

#include "absl/container/flat_hash_set.h"

namespace marigoldquay {
namespace {

// Weight of the newest sample in the moving average of the service time.
constexpr double kSmoothingFactor = 0.2;
// A reported load decays linearly to 0 within this time, as requests end within tens of ms.
constexpr absl::Duration kReportedLoadLifetime = absl::Milliseconds(200);
// Cost of using another availability zone: the network round trip and the price of traffic.
constexpr double kCrossZonePenaltyMs = 4.0;
// Cost of a replica that states a request limit: others are used first while they are not busier.
constexpr double kLimitedPenaltyMs = 10.0;
// Cost of a request that certainly fails: about the time of a second attempt.
constexpr double kFailurePenaltyMs = 200.0;
// Assumed service time before the first complete response of any replica.
constexpr double kDefaultServiceMs = 20.0;
// Cost of a suspended replica; exceeds the cost of any loaded one.
constexpr double kSuspendedPenaltyMs = 100'000.0;
// Cost of a replica that has not answered since it was last unreachable.
constexpr double kUnresponsivePenaltyMs = 50'000.0;

}  // namespace

const ReplicaBalancer::State* ReplicaBalancer::Find(absl::string_view id) const {
  const auto found = states_.find(id);
  return found == states_.end() ? nullptr : &found->second;
}

double ReplicaBalancer::MeanServiceMs(std::span<const Replica> ready) const {
  double sum = 0;
  int count = 0;
  for (const Replica& replica : ready) {
    const State* state = Find(replica.id);
    if (state == nullptr || state->service_ms <= 0) continue;
    sum += state->service_ms;
    ++count;
  }
  return count == 0 ? kDefaultServiceMs : sum / count;
}

double ReplicaBalancer::ExpectedCostMs(const Replica& replica, double mean_service_ms,
                                       absl::Time now) const {
  const State* state = Find(replica.id);
  double load = 0;
  double service_ms = mean_service_ms;
  if (state != nullptr) {
    const double age = absl::FDivDuration(now - state->reported_at, kReportedLoadLifetime);
    const double freshness = std::max(0.0, 1.0 - age);
    const double reported = freshness * (state->reported.running + state->reported.waiting);
    load = std::max<double>(state->in_flight, reported);
    if (state->service_ms > 0) service_ms = state->service_ms;
  }
  const double slots = std::max(replica.slots, 1);
  const double queued = std::max(0.0, load + 1 - slots);
  // The last term spreads requests over the replicas that have free slots.
  double expected = service_ms * (1 + queued / slots + 0.2 * load / slots);
  if (replica.availability_zone != availability_zone_) expected += kCrossZonePenaltyMs;
  if (replica.request_limit.per_second) expected += kLimitedPenaltyMs;
  return expected + kFailurePenaltyMs * health_.FailureRate(replica.id);
}

std::optional<Replica> ReplicaBalancer::Pick(std::span<const Replica> ready,
                                             std::span<const BackendServerId> excluded,
                                             bool responsive_only, absl::Time now) {
  const double mean_service_ms = MeanServiceMs(ready);
  const Replica* best = nullptr;
  double best_cost = std::numeric_limits<double>::infinity();
  for (const Replica& replica : ready) {
    if (std::find(excluded.begin(), excluded.end(), replica.id) != excluded.end()) continue;
    if (now < health_.refused_until(replica.id)) continue;
    double cost = ExpectedCostMs(replica, mean_service_ms, now);
    if (!health_.Available(replica.id, now)) cost += kSuspendedPenaltyMs;
    if (responsive_only && !health_.IsResponsive(replica.id)) cost += kUnresponsivePenaltyMs;
    if (cost >= best_cost) continue;
    best = &replica;
    best_cost = cost;
  }
  if (best == nullptr) return std::nullopt;
  return *best;
}

void ReplicaBalancer::OnStart(absl::string_view id) { ++states_[std::string(id)].in_flight; }

void ReplicaBalancer::OnEnd(absl::string_view id, std::optional<absl::Duration> service_time) {
  State& state = states_[std::string(id)];
  state.in_flight = std::max(0, state.in_flight - 1);
  if (!service_time) return;
  const double ms = absl::ToDoubleMilliseconds(*service_time);
  state.service_ms =
      state.service_ms <= 0 ? ms : state.service_ms + kSmoothingFactor * (ms - state.service_ms);
}

void ReplicaBalancer::OnLoad(absl::string_view id, const ReplicaLoad& load, absl::Time now) {
  State& state = states_[std::string(id)];
  state.reported = load;
  state.reported_at = now;
}

void ReplicaBalancer::Retain(std::span<const BackendServerId> ids) {
  const absl::flat_hash_set<absl::string_view> kept(ids.begin(), ids.end());
  absl::erase_if(states_, [&](const auto& entry) {
    return entry.second.in_flight == 0 && !kept.contains(entry.first);
  });
}

int ReplicaBalancer::in_flight(absl::string_view id) const {
  const State* state = Find(id);
  return state == nullptr ? 0 : state->in_flight;
}

}  // namespace marigoldquay
