// Draws the faults of a soak run.
#include "fault_plan.h"

#include <algorithm>
#include <iterator>
#include <random>

#include "absl/strings/str_cat.h"

namespace marigoldquay::testing {
namespace {

struct KindRange {
  FaultKind kind;
  const char* name;
  int weight;
  int shortest_ms;
  int longest_ms;
};

constexpr KindRange kKinds[] = {
    {FaultKind::kKillVm, "kill_vm", 4, 0, 1500},
    {FaultKind::kKillAllVms, "kill_all_vms", 1, 0, 500},
    {FaultKind::kPauseVm, "pause_vm", 4, 100, 3000},
    {FaultKind::kStopVm, "stop_vm", 3, 0, 500},
    {FaultKind::kReloadVm, "reload_vm", 2, 0, 0},
    {FaultKind::kStoreOutage, "store_outage", 4, 300, 4000},
    {FaultKind::kCompactStore, "compact_store", 1, 0, 0},
    {FaultKind::kStoreLink, "store_link", 4, 300, 4000},
    {FaultKind::kServerLink, "server_link", 6, 200, 3000},
    {FaultKind::kServerBehavior, "server_behavior", 6, 300, 3000},
    {FaultKind::kDrainServer, "drain_server", 3, 500, 3000},
    {FaultKind::kConfigure, "configure", 4, 0, 0},
};
// Mean time between the starts of two faults; shorter than most of them last.
constexpr int kMeanGapMs = 450;
constexpr std::uint64_t kLimitSeed = 0x11117;
constexpr std::uint64_t kReturnSeed = 0x2e7a0;
constexpr double kLatestReturn = 0.9;
// Parts of a run in which limits begin and at which they end. A server with a small one gets a
// request every few seconds, which is how the VMs find out before the calm system is checked.
constexpr double kLatestLimit = 0.25;
constexpr double kLimitEnd = 0.7;

const KindRange& RangeOf(FaultKind kind) {
  return *std::find_if(std::begin(kKinds), std::end(kKinds),
                       [&](const KindRange& range) { return range.kind == kind; });
}

// Limits that last longer than the windows in which they are checked. They have draws of their own,
// so that the other faults of a seed stay the same.
void AddLimits(std::uint64_t seed, absl::Duration length, std::vector<Fault>& plan) {
  std::mt19937_64 random(seed ^ kLimitSeed);
  const int count = std::uniform_int_distribution<int>(1, 2)(random);
  for (int i = 0; i < count; ++i) {
    Fault fault;
    fault.kind = FaultKind::kNameLimit;
    fault.at = length * std::uniform_real_distribution<double>(0, kLatestLimit)(random);
    fault.length = kLimitEnd * length - fault.at;
    fault.target = static_cast<std::uint32_t>(random());
    fault.variant = static_cast<std::uint32_t>(random());
    plan.push_back(fault);
  }
}

// One or two returns; their draws are apart for the same reason. `length` is the age of the copy.
void AddReturns(std::uint64_t seed, absl::Duration length, std::vector<Fault>& plan) {
  std::mt19937_64 random(seed ^ kReturnSeed);
  const int count = std::uniform_int_distribution<int>(1, 2)(random);
  for (int i = 0; i < count; ++i) {
    Fault fault;
    fault.kind = FaultKind::kRestoreStore;
    fault.at = length * std::uniform_real_distribution<double>(0.1, kLatestReturn)(random);
    fault.length = absl::Milliseconds(std::uniform_int_distribution<int>(200, 4000)(random));
    fault.target = static_cast<std::uint32_t>(random());
    fault.variant = static_cast<std::uint32_t>(random());
    plan.push_back(fault);
  }
}

const KindRange& DrawKind(std::mt19937_64& random) {
  int total = 0;
  for (const auto& range : kKinds) total += range.weight;
  int drawn = std::uniform_int_distribution<int>(0, total - 1)(random);
  for (const auto& range : kKinds) {
    drawn -= range.weight;
    if (drawn < 0) return range;
  }
  return kKinds[0];
}

}  // namespace

std::string Fault::ToString() const {
  const auto name_of = [](FaultKind named) {
    if (named == FaultKind::kNameLimit) return "name_limit";
    if (named == FaultKind::kRestoreStore) return "restore_store";
    return RangeOf(named).name;
  };
  const char* name = name_of(kind);
  return absl::StrCat(name, " at ", absl::FormatDuration(at), " for ", absl::FormatDuration(length),
                      " target ", target, " variant ", variant);
}

std::vector<Fault> PlanFaults(std::uint64_t seed, absl::Duration length) {
  std::mt19937_64 random(seed);
  std::exponential_distribution<double> gap(1.0 / kMeanGapMs);
  std::vector<Fault> plan;
  for (absl::Duration at = absl::Milliseconds(gap(random)); at < length;
       at += absl::Milliseconds(gap(random))) {
    const KindRange& range = DrawKind(random);
    Fault fault;
    fault.kind = range.kind;
    fault.at = at;
    fault.length = absl::Milliseconds(
        std::uniform_int_distribution<int>(range.shortest_ms, range.longest_ms)(random));
    fault.target = static_cast<std::uint32_t>(random());
    fault.variant = static_cast<std::uint32_t>(random());
    plan.push_back(fault);
  }
  AddLimits(seed, length, plan);
  AddReturns(seed, length, plan);
  return plan;
}

}  // namespace marigoldquay::testing
