// Decisions of a cell scheduler with 32 backend servers.
#include <benchmark/benchmark.h>

#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "marigoldquay/scheduling/cell_scheduler.h"

namespace marigoldquay {
namespace {

constexpr int kPrefillServers = 12;
constexpr int kDecodeServers = 20;
constexpr std::int64_t kSlots = 20;

// The scheduler is not thread-safe; the daemon calls it under a lock as this one.
struct Cell {
  Cell() {
    Pool pool;
    pool.id = "llm-pool";
    pool.model = "llm";
    std::vector<BackendServer> servers;
    for (int i = 0; i < kPrefillServers + kDecodeServers; ++i) {
      BackendServer server;
      server.id = absl::StrCat("b", i);
      server.pool = pool.id;
      server.role = i < kPrefillServers ? BackendRole::kPrefill : BackendRole::kDecode;
      server.address = absl::StrCat("127.0.0.1:", 1000 + i);
      servers.push_back(server);
    }
    scheduler.SetServers(pool, servers, {}, now);
    for (const BackendServer& server : servers) {
      LoadReport report;
      report.slots = kSlots;
      report.pieces = 400;
      report.role = server.role == BackendRole::kPrefill ? "prefill" : "decode";
      report.model = pool.model;
      scheduler.OnLoadReport(server.id, report, now);
    }
  }

  // Enqueues one request and ends all that were granted; returns how many.
  int Place(std::int64_t number, bool& refused) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) {
    now += absl::Milliseconds(1);
    PlacementRequest request;
    request.request_id = absl::StrCat("request-", number);
    request.workspace = absl::StrCat("workspace", number % 50);
    request.pool = "llm-pool";
    request.prompt_tokens = 2000;
    request.max_output_tokens = 100;
    request.prefix_hash = static_cast<std::uint64_t>(number % 64 + 1);
    request.first_token_budget = absl::Seconds(10);
    scheduler.Enqueue(request, holder, now);
    int granted = 0;
    for (const PlacementDecision& decision : scheduler.TakeDecisions()) {
      const std::uint64_t ticket = decision.placement.ticket;
      refused = refused || !decision.placement.granted();
      if (!decision.placement.granted()) continue;
      ++granted;
      scheduler.PrefillDone(ticket, 0, absl::Milliseconds(20), now);
      scheduler.FirstToken(ticket, absl::Milliseconds(10), now);
      scheduler.Release(ticket, PlacementEnd::kDone, 50, absl::Milliseconds(1000), now);
    }
    return granted;
  }

  const Instance holder{"vm1", 1};
  absl::Mutex mutex;
  absl::Time now ABSL_GUARDED_BY(mutex) = absl::UnixEpoch() + absl::Hours(1);
  std::int64_t next ABSL_GUARDED_BY(mutex) = 0;
  CellScheduler scheduler ABSL_GUARDED_BY(mutex){"llm-pool", CellOptions{}, 1};
};

void PlaceRequest(benchmark::State& state) {
  static std::unique_ptr<Cell> cell;
  if (state.thread_index() == 0) cell = std::make_unique<Cell>();
  std::int64_t granted = 0;
  bool refused = false;
  for ([[maybe_unused]] auto _ : state) {
    const absl::MutexLock lock(&cell->mutex);
    granted += cell->Place(cell->next++, refused);
  }
  state.SetItemsProcessed(granted);
  state.counters["granted_part"] =
      benchmark::Counter(static_cast<double>(granted) / static_cast<double>(state.iterations()),
                         benchmark::Counter::kAvgThreads);
}
BENCHMARK(PlaceRequest)->ThreadRange(1, 8)->UseRealTime();

}  // namespace
}  // namespace marigoldquay
