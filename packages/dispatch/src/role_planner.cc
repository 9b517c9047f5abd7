// Planning of engine role changes.
#include "marigoldquay/dispatch/role_planner.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"

namespace marigoldquay {
namespace {

// Target utilization of the prefill engines; above it prompts queue behind each other.
constexpr double kTargetPrefillUtilization = 0.6;
// Above this KV utilization the decode engines have no memory left for a burst.
constexpr double kHighKvUtilization = 0.7;
// Below this KV utilization a decode engine can be released.
constexpr double kLowKvUtilization = 0.45;
// Above this utilization the prefill engines need another engine.
constexpr double kHighPrefillUtilization = 0.85;
// Factor by which a recorded peak decays per call of Plan.
constexpr double kPeakDecay = 0.95;
// Consecutive rounds with waiting requests after which decode capacity counts as exhausted.
constexpr int kMinRoundsWaiting = 2;
// One engine out of this many may change at a time, but always at least one.
constexpr std::size_t kEnginesPerConcurrentChange = 8;
// An engine that has not changed its role within this time has lost the order.
constexpr absl::Duration kChangeTimeout = absl::Seconds(10);

std::vector<const EngineLoad*> EnginesWithRole(const ServiceLoad& load, EngineRole role) {
  std::vector<const EngineLoad*> engines;
  for (const EngineLoad& engine : load.engines) {
    if (engine.role == role) engines.push_back(&engine);
  }
  return engines;
}

// Sorts idle engines first, then engines of the availability zone with most engines of the role.
void SortChangeCandidates(std::vector<const EngineLoad*>& engines) {
  std::map<std::string, int> per_zone;
  for (const auto* engine : engines) ++per_zone[engine->availability_zone];
  std::stable_sort(engines.begin(), engines.end(), [&](const auto* a, const auto* b) {
    if (a->running != b->running) return a->running < b->running;
    return per_zone[a->availability_zone] > per_zone[b->availability_zone];
  });
}

double MeanKvUtilization(const std::vector<const EngineLoad*>& decode) {
  double sum = 0;
  for (const auto* engine : decode) sum += engine->kv_utilization;
  return decode.empty() ? 1.0 : sum / static_cast<double>(decode.size());
}

}  // namespace

void RolePlanner::UpdateLoad(const ServiceLoad& load) {
  peak_prefill_load_ = std::max(load.prefill_load, peak_prefill_load_ * kPeakDecay);
  peak_kv_utilization_ = std::max(MeanKvUtilization(EnginesWithRole(load, EngineRole::kDecode)),
                                  peak_kv_utilization_ * kPeakDecay);
  rounds_waiting_ = load.waiting > 0 ? rounds_waiting_ + 1 : 0;
}

void RolePlanner::RemoveSettledChanges(const ServiceLoad& load, absl::Time now) {
  std::erase_if(pending_changes_, [&](const auto& entry) {
    if (now >= entry.second.expires_at) return true;
    return std::any_of(load.engines.begin(), load.engines.end(), [&](const EngineLoad& engine) {
      return engine.id == entry.first && engine.role == entry.second.role;
    });
  });
}

std::size_t RolePlanner::RequiredPrefillEngines(std::size_t engines) const {
  const std::size_t minimum = engines >= 4 ? 2 : 1;
  const auto for_load =
      static_cast<std::size_t>(std::ceil(peak_prefill_load_ / kTargetPrefillUtilization));
  return std::max(minimum, for_load);
}

std::vector<RoleChange> RolePlanner::Plan(const ServiceLoad& load, absl::Time now) {
  UpdateLoad(load);
  RemoveSettledChanges(load, now);
  const std::size_t max_changes =
      std::max<std::size_t>(1, load.engines.size() / kEnginesPerConcurrentChange);
  if (pending_changes_.size() >= max_changes) return {};
  std::size_t count = max_changes - pending_changes_.size();
  // Engines that are changing their role count for neither role.
  const auto is_changing = [&](const EngineLoad* engine) {
    return pending_changes_.contains(engine->id);
  };
  auto prefill = EnginesWithRole(load, EngineRole::kPrefill);
  auto decode = EnginesWithRole(load, EngineRole::kDecode);
  std::erase_if(prefill, is_changing);
  std::erase_if(decode, is_changing);
  const std::size_t required_prefill = RequiredPrefillEngines(load.engines.size());
  const bool decode_overloaded =
      rounds_waiting_ >= kMinRoundsWaiting || peak_kv_utilization_ > kHighKvUtilization;
  const double prefill_utilization =
      peak_prefill_load_ / std::max<double>(1.0, static_cast<double>(prefill.size()));
  std::vector<RoleChange> changes;
  if (decode_overloaded && prefill.size() > required_prefill) {
    SortChangeCandidates(prefill);
    count = std::min(count, prefill.size() - required_prefill);
    for (std::size_t i = 0; i < count; ++i) {
      changes.push_back({prefill[i]->id, EngineRole::kDecode,
                         absl::StrCat("decode KV utilization ", peak_kv_utilization_,
                                      ", prefill load ", peak_prefill_load_, " of ", prefill.size(),
                                      ", rounds waiting ", rounds_waiting_)});
    }
  } else if (prefill_utilization > kHighPrefillUtilization &&
             peak_kv_utilization_ < kLowKvUtilization && decode.size() > 2) {
    SortChangeCandidates(decode);
    changes.push_back({decode.front()->id, EngineRole::kPrefill,
                       absl::StrCat("prefill load ", peak_prefill_load_, " of ", prefill.size(),
                                    ", decode KV utilization ", peak_kv_utilization_)});
  }
  return changes;
}

void RolePlanner::OnAccepted(const RoleChange& change, absl::Time now) {
  pending_changes_[change.engine] = {change.role, now + kChangeTimeout};
}

}  // namespace marigoldquay
