// Decides on changes of engine roles.
#include "marigoldquay/dispatch/role_planner.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"

namespace marigoldquay {
namespace {

// Part of their time for which prefill engines may be busy; above it prompts wait for each other.
constexpr double kPrefillUse = 0.6;
// Decode engines that are fuller than this have no room for a burst.
constexpr double kFullMemory = 0.7;
// Below this a decode engine can be spared.
constexpr double kSpareMemory = 0.45;
// Prefill engines that are busier than this need help.
constexpr double kBusyPrefill = 0.85;
constexpr double kPeakDecay = 0.95;
constexpr int kRoundsWaiting = 2;
// One of so many engines changes at a time.
constexpr std::size_t kEnginesPerChange = 8;
// An engine that has not changed by then did not carry out its order.
constexpr absl::Duration kOrderTimeout = absl::Seconds(10);

std::vector<const EngineLoad*> OfRole(const ServiceLoad& load, EngineRole role) {
  std::vector<const EngineLoad*> engines;
  for (const EngineLoad& engine : load.engines) {
    if (engine.role == role) engines.push_back(&engine);
  }
  return engines;
}

// Idle engines first, then those of the zone that has most of the role.
void SortForChange(std::vector<const EngineLoad*>& engines) {
  std::map<std::string, int> per_zone;
  for (const auto* engine : engines) ++per_zone[engine->availability_zone];
  std::stable_sort(engines.begin(), engines.end(), [&](const auto* a, const auto* b) {
    if (a->running != b->running) return a->running < b->running;
    return per_zone[a->availability_zone] > per_zone[b->availability_zone];
  });
}

double MeanFill(const std::vector<const EngineLoad*>& decode) {
  double fill = 0;
  for (const auto* engine : decode) fill += engine->memory_fill;
  return decode.empty() ? 1.0 : fill / static_cast<double>(decode.size());
}

}  // namespace

void RolePlanner::UpdateLoad(const ServiceLoad& load) {
  prefill_work_ = std::max(load.prefill_work, prefill_work_ * kPeakDecay);
  memory_fill_ = std::max(MeanFill(OfRole(load, EngineRole::kDecode)), memory_fill_ * kPeakDecay);
  rounds_waiting_ = load.waiting > 0 ? rounds_waiting_ + 1 : 0;
}

void RolePlanner::ForgetOrdered(const ServiceLoad& load, absl::Time now) {
  std::erase_if(ordered_, [&](const auto& entry) {
    if (now >= entry.second.until) return true;
    return std::any_of(load.engines.begin(), load.engines.end(), [&](const EngineLoad& engine) {
      return engine.id == entry.first && engine.role == entry.second.role;
    });
  });
}

std::size_t RolePlanner::PrefillNeeded(std::size_t engines) const {
  const std::size_t least = engines >= 4 ? 2 : 1;
  const auto busy = static_cast<std::size_t>(std::ceil(prefill_work_ / kPrefillUse));
  return std::max(least, busy);
}

std::vector<RoleChange> RolePlanner::Plan(const ServiceLoad& load, absl::Time now) {
  UpdateLoad(load);
  ForgetOrdered(load, now);
  const std::size_t most = std::max<std::size_t>(1, load.engines.size() / kEnginesPerChange);
  if (ordered_.size() >= most) return {};
  std::size_t count = most - ordered_.size();
  // Engines that are on their way to another role are not there for either.
  const auto is_changing = [&](const EngineLoad* engine) { return ordered_.contains(engine->id); };
  auto prefill = OfRole(load, EngineRole::kPrefill);
  auto decode = OfRole(load, EngineRole::kDecode);
  std::erase_if(prefill, is_changing);
  std::erase_if(decode, is_changing);
  const std::size_t needed = PrefillNeeded(load.engines.size());
  const bool decode_short = rounds_waiting_ >= kRoundsWaiting || memory_fill_ > kFullMemory;
  const double busy = prefill_work_ / std::max<double>(1.0, static_cast<double>(prefill.size()));
  std::vector<RoleChange> changes;
  if (decode_short && prefill.size() > needed) {
    SortForChange(prefill);
    count = std::min(count, prefill.size() - needed);
    for (std::size_t i = 0; i < count; ++i) {
      changes.push_back(
          {prefill[i]->id, EngineRole::kDecode,
           absl::StrCat("decode memory ", memory_fill_, ", prefill work ", prefill_work_, " of ",
                        prefill.size(), ", rounds waiting ", rounds_waiting_)});
    }
  } else if (busy > kBusyPrefill && memory_fill_ < kSpareMemory && decode.size() > 2) {
    SortForChange(decode);
    changes.push_back({decode.front()->id, EngineRole::kPrefill,
                       absl::StrCat("prefill work ", prefill_work_, " of ", prefill.size(),
                                    ", decode memory ", memory_fill_)});
  }
  return changes;
}

void RolePlanner::OnOrdered(const RoleChange& change, absl::Time now) {
  ordered_[change.engine] = {change.role, now + kOrderTimeout};
}

}  // namespace marigoldquay
