// Failure rates and suspensions of backend servers.
#include "marigoldquay/dispatch/replica_health.h"

#include <algorithm>

#include "absl/container/flat_hash_set.h"

namespace marigoldquay {
namespace {

// Weight of the newest outcome in the moving average of failures.
constexpr double kSmoothingFactor = 0.12;
// A single failed exchange may be a network fault; two in a row suspend the server.
constexpr int kSuspendThreshold = 2;
constexpr absl::Duration kMinBackoff = absl::Milliseconds(500);
constexpr absl::Duration kMaxBackoff = absl::Seconds(4);

}  // namespace

const ReplicaHealth::State* ReplicaHealth::Find(absl::string_view id) const {
  const auto found = states_.find(id);
  return found == states_.end() ? nullptr : &found->second;
}

void ReplicaHealth::Record(absl::string_view id, ReplicaOutcome outcome, absl::Time now) {
  State& state = states_[std::string(id)];
  const bool failed =
      outcome == ReplicaOutcome::kUnreachable || outcome == ReplicaOutcome::kServerError;
  state.failure_rate += kSmoothingFactor * ((failed ? 1.0 : 0.0) - state.failure_rate);
  if (outcome != ReplicaOutcome::kUnreachable) {
    state.consecutive_unreachable = 0;
    state.suspended_until = absl::InfinitePast();
    state.backoff = state.backoff / 2;
    return;
  }
  if (++state.consecutive_unreachable < kSuspendThreshold) return;
  state.backoff = std::clamp(state.backoff * 2, kMinBackoff, kMaxBackoff);
  state.suspended_until = now + state.backoff;
}

void ReplicaHealth::RecordReplaced(absl::string_view id) {
  states_[std::string(id)].replaced = true;
}

void ReplicaHealth::RecordRetryAfter(absl::string_view id, absl::Time until) {
  State& state = states_[std::string(id)];
  state.refused_until = std::max(state.refused_until, until);
}

absl::Time ReplicaHealth::refused_until(absl::string_view id) const {
  const State* state = Find(id);
  return state == nullptr ? absl::InfinitePast() : state->refused_until;
}

std::vector<BackendServerId> ReplicaHealth::Refusing(absl::Time now) const {
  std::vector<BackendServerId> refusing;
  for (const auto& [id, state] : states_) {
    if (now < state.refused_until) refusing.push_back(id);
  }
  return refusing;
}

bool ReplicaHealth::Available(absl::string_view id, absl::Time now) const {
  const State* state = Find(id);
  return state == nullptr || (!state->replaced && now >= state->suspended_until);
}

bool ReplicaHealth::IsResponsive(absl::string_view id) const {
  const State* state = Find(id);
  return state == nullptr || (!state->replaced && state->consecutive_unreachable == 0);
}

void ReplicaHealth::OnPicked(absl::string_view id, absl::Time now) {
  const auto found = states_.find(id);
  if (found == states_.end()) return;
  State& state = found->second;
  if (state.consecutive_unreachable >= kSuspendThreshold) {
    state.suspended_until = now + std::max(state.backoff, kMinBackoff);
  }
}

double ReplicaHealth::FailureRate(absl::string_view id) const {
  const State* state = Find(id);
  return state == nullptr ? 0.0 : state->failure_rate;
}

void ReplicaHealth::Retain(std::span<const BackendServerId> ids) {
  const absl::flat_hash_set<absl::string_view> kept(ids.begin(), ids.end());
  absl::erase_if(states_, [&](const auto& entry) { return !kept.contains(entry.first); });
}

}  // namespace marigoldquay
