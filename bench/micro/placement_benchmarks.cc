// Placement of model requests on fleets of different sizes, with engines that are
// nearly full: a decision for a new demand, and a round over demands that wait.
#include <benchmark/benchmark.h>

#include <cstdint>
#include <vector>

#include "absl/strings/str_cat.h"
#include "marigoldquay/dispatch/stream_scheduler.h"

namespace marigoldquay {
namespace {

constexpr int kSlots = 24;
constexpr TokenCount kPromptTokens = 5200;
constexpr TokenCount kOutputTokens = 71;
constexpr TokenCount kEngineMemory = 66'563;
const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

StreamDemand MakeDemand(absl::Time now) {
  StreamDemand demand;
  demand.request = "r";
  demand.prompt_tokens = kPromptTokens;
  demand.output_tokens = kOutputTokens;
  demand.first_event_due = now + absl::Milliseconds(900);
  demand.caller_deadline = now + absl::Milliseconds(3600);
  return demand;
}

// Half of the engines read, half decode and have as many streams as fit.
StreamScheduler MakeFullScheduler(std::int64_t engines) {
  EngineProfile profile;
  profile.kv_capacity = kEngineMemory;
  std::vector<Replica> replicas;
  for (std::int64_t i = 0; i < engines; ++i) {
    Replica replica;
    replica.id = absl::StrCat("e", i);
    replica.availability_zone = absl::StrCat("z", i % 5);
    replica.slots = kSlots;
    replica.role = i % 2 == 0 ? EngineRole::kPrefill : EngineRole::kDecode;
    replicas.push_back(replica);
  }
  StreamScheduler scheduler;
  scheduler.SetEngines(profile, replicas);
  for (const Replica& replica : replicas) {
    if (replica.role != EngineRole::kDecode) continue;
    for (TokenCount used = 0; used + 2 * kPromptTokens < kEngineMemory; used += kPromptTokens) {
      scheduler.Adopt(MakeDemand(kStart), replica.id, kStart);
    }
  }
  return scheduler;
}

void PlaceAndEnd(benchmark::State& state) {
  StreamScheduler scheduler = MakeFullScheduler(state.range(0));
  for ([[maybe_unused]] auto _ : state) {
    const auto decision = scheduler.Place(MakeDemand(kStart), kStart);
    if (decision.verdict != StreamVerdict::kGranted) state.SkipWithError("a demand was not placed");
    scheduler.OnEnd(decision.ticket, StreamEnd::kCancelled, kStart);
  }
}
BENCHMARK(PlaceAndEnd)->Arg(9)->Arg(57)->Arg(104)->Arg(1800);

// Every engine is full, and 200 demands wait.
void RoundOverWaiting(benchmark::State& state) {
  StreamScheduler scheduler = MakeFullScheduler(state.range(0));
  while (scheduler.waiting() < 200) scheduler.Place(MakeDemand(kStart), kStart);
  absl::Time now = kStart;
  for ([[maybe_unused]] auto _ : state) {
    now += absl::Nanoseconds(1);
    benchmark::DoNotOptimize(scheduler.PlaceWaiting(now));
  }
}
BENCHMARK(RoundOverWaiting)->Arg(9)->Arg(57)->Arg(104);

}  // namespace
}  // namespace marigoldquay
