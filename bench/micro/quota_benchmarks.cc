// Spends from a token bucket, and reservations at the home of 500 and 26,000 workspaces.
#include <benchmark/benchmark.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "marigoldquay/core/clock.h"
#include "marigoldquay/quota/token_bucket.h"
#include "marigoldquay/quota/workspace_homes.h"

namespace marigoldquay {
namespace {

constexpr TokenCount kRate = 1000000000;
constexpr TokenCount kBurst = 10000000000;

// Spends and settlements spread over the bucket's history, which holds `state.range(0)` slots.
void SpendFromBucket(benchmark::State& state) {
  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  TokenBucket bucket({kRate, kBurst}, kBurst, now);
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    now += TokenBucket::kSlotLength;
    benchmark::DoNotOptimize(bucket.Reserve(1, now));
  }
  for ([[maybe_unused]] auto _ : state) {
    const auto slot = bucket.Reserve(100, now);
    if (!slot) {
      state.SkipWithError("the bucket is empty");
      break;
    }
    benchmark::DoNotOptimize(bucket.Settle(*slot, 100, now));
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(SpendFromBucket)->Arg(1)->Arg(480)->UseRealTime();

// A settlement 20 s after its reservation, when later slots are replayed.
void SettleLate(benchmark::State& state) {
  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  TokenBucket bucket({kRate, kBurst}, kBurst, now);
  const auto slot = bucket.Reserve(1000000000, now);
  constexpr int kLaterSlots = 80;
  for (int i = 0; i < kLaterSlots; ++i) {
    now += TokenBucket::kSlotLength;
    benchmark::DoNotOptimize(bucket.Reserve(1, now));
  }
  for ([[maybe_unused]] auto _ : state) benchmark::DoNotOptimize(bucket.Settle(*slot, 1, now));
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(SettleLate)->UseRealTime();

// The only member, which holds every role.
class SoleMember final : public MemberView {
 public:
  Instance self() const override { return member_.instance; }
  Offset epoch() const override { return 1; }
  std::vector<Member> members() const override { return {member_}; }
  std::optional<Member> FindMember(absl::string_view) const override { return member_; }
  bool IsMember(const Instance&) const override { return true; }
  MemberHealth health(absl::string_view) const override { return {}; }
  std::vector<Member> RankFor(absl::string_view) const override { return {member_}; }
  std::optional<Member> OwnerOf(absl::string_view) const override { return member_; }
  std::optional<Member> PreviousOwnerOf(absl::string_view) const override { return std::nullopt; }
  bool HoldsExclusively(absl::string_view) const override { return true; }
  bool LeaseValid() const override { return true; }

 private:
  const Member member_{{"vm1", 1}, "zone-a", "region-1", 1, "127.0.0.1:1", "127.0.0.1:2"};
};

struct Homes {
  explicit Homes(std::int64_t count) {
    std::map<WorkspaceId, WorkspaceLimits, std::less<>> workspaces;
    for (std::int64_t i = 0; i < count; ++i) {
      workspaces[absl::StrCat("workspace", i)] = {kRate, kBurst};
    }
    homes.SetWorkspaces(workspaces);
    homes.Refresh();
    // A new home starts empty; its buckets are full after this time.
    clock.Advance(absl::Seconds(30));
    homes.Refresh();
  }

  SoleMember member;
  ManualClock clock;
  WorkspaceHomes homes{member, clock};
};

void ReserveAtHome(benchmark::State& state) {
  static auto* const homes_by_size = new std::map<std::int64_t, std::unique_ptr<Homes>>;
  if (state.thread_index() == 0) {
    homes_by_size->clear();
    (*homes_by_size)[state.range(0)] = std::make_unique<Homes>(state.range(0));
  }
  std::vector<std::string> workspaces;
  for (std::int64_t i = 0; i < 1024; ++i) {
    workspaces.push_back(absl::StrCat("workspace", i * 7919 % state.range(0)));
  }
  std::int64_t next = 0;
  for ([[maybe_unused]] auto _ : state) {
    WorkspaceHomes& homes = homes_by_size->begin()->second->homes;
    const std::string& workspace = workspaces[next % 1024];
    const ReserveResult answer =
        homes.Reserve(workspace, absl::StrCat(state.thread_index(), "-", next++), 100);
    if (answer.status != ReserveStatus::kGranted) {
      state.SkipWithError("the home did not grant");
      break;
    }
    homes.Settle(workspace, answer.reservation_id, 50);
  }
  state.SetItemsProcessed(state.iterations());
}
// A fixed number of iterations bounds what the homes remember of granted requests.
BENCHMARK(ReserveAtHome)->Arg(500)->Arg(26000)->ThreadRange(1, 8)->Iterations(20000)->UseRealTime();

}  // namespace
}  // namespace marigoldquay
