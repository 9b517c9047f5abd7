// Cell scheduler: placement, admission, health and expiry.
#include "marigoldquay/scheduling/cell_scheduler.h"

#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"
#include "cell_simulation.h"
#include "property.h"

namespace marigoldquay {
namespace {

using testing::CellSimulation;
using testing::SimConfig;
using testing::SimCounts;

const Instance kVm{"vm", 1};

struct Fixture {
  explicit Fixture(int decode_slots = 2, int prefill_servers = 1) : cell("pool", CellOptions(), 1) {
    for (int i = 0; i < prefill_servers; ++i) {
      servers.push_back({.id = absl::StrCat("p", i), .role = BackendRole::kPrefill});
    }
    servers.push_back({.id = "d", .role = BackendRole::kDecode});
    cell.SetServers({}, servers, {}, now);
    for (const auto& server : servers) Report(server.id, {.slots = decode_slots});
  }

  void Report(const BackendServerId& id, const LoadReport& report) {
    cell.OnLoadReport(id, report, now);
  }
  void Advance(absl::Duration step) {
    now += step;
    cell.Tick(now);
  }
  // Enqueues and returns the decision, or kCancelled with ticket 0 while it waits.
  Placement Ask(PlacementRequest request = {}) {
    if (request.request_id.empty()) request.request_id = absl::StrCat("r", next++);
    if (request.workspace.empty()) request.workspace = "w";
    if (request.prompt_tokens == 0) request.prompt_tokens = 1000;
    if (request.max_output_tokens == 0) request.max_output_tokens = 100;
    if (request.first_token_budget == absl::ZeroDuration()) {
      request.first_token_budget = absl::Milliseconds(430);
    }
    last_ticket = cell.Enqueue(request, kVm, now);
    return Next();
  }
  Placement Next() {
    auto decisions = cell.TakeDecisions();
    if (decisions.empty()) return {.outcome = PlacementOutcome::kCancelled};
    BOOST_TEST(decisions.size() == 1U);
    return decisions.front().placement;
  }
  void FinishPrefill(const Placement& placement, absl::Duration took = absl::Milliseconds(55)) {
    Advance(took);
    cell.PrefillDone(placement.ticket, 0, took, now);
  }
  void Finish(const Placement& placement) {
    FinishPrefill(placement);
    Advance(absl::Milliseconds(30));
    cell.FirstToken(placement.ticket, absl::Milliseconds(30), now);
    Advance(absl::Seconds(2));
    cell.Release(placement.ticket, PlacementEnd::kDone, 100, absl::Seconds(2), now);
  }
  bool Waits(const Placement& placement) const { return placement.ticket == 0; }

  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  std::vector<BackendServer> servers;
  CellScheduler cell;
  std::uint64_t last_ticket = 0;
  int next = 0;
};

BOOST_AUTO_TEST_SUITE(cell_scheduler)

// Fails if a prefill starts although no decode slot will be free when it ends.
BOOST_AUTO_TEST_CASE(prefill_waits_for_a_decode_slot) {
  Fixture f(1);
  const auto first = f.Ask();
  BOOST_TEST(first.granted());
  f.FinishPrefill(first);
  BOOST_TEST(f.Waits(f.Ask()));
  const auto second = f.last_ticket;
  f.cell.Release(first.ticket, PlacementEnd::kDone, 10, absl::Milliseconds(100), f.now);
  const auto granted = f.Next();
  BOOST_TEST(granted.granted());
  BOOST_TEST(granted.ticket == second);
}

// Fails if engine memory of decode servers is promised twice, or if a request that fits nowhere
// waits.
BOOST_AUTO_TEST_CASE(engine_memory_is_reserved) {
  Fixture f(10);
  f.Report("d", {.slots = 10, .pieces = 3});
  const auto first = f.Ask({.prompt_tokens = 3000, .max_output_tokens = 1000});
  BOOST_TEST(first.granted());
  f.FinishPrefill(first);
  BOOST_TEST(f.Waits(f.Ask({.prompt_tokens = 3000, .max_output_tokens = 1000})));
  BOOST_TEST((f.Ask({.prompt_tokens = 9000}).outcome == PlacementOutcome::kRefused));
}

// Fails if a request that cannot meet its target waits for nothing, or is refused without saying
// when to retry.
BOOST_AUTO_TEST_CASE(hopeless_request_is_refused_at_once) {
  Fixture f;
  const auto refused = f.Ask({.prompt_tokens = 30000});
  BOOST_TEST((refused.outcome == PlacementOutcome::kRefused));
  BOOST_TEST((refused.retry_after >= absl::Milliseconds(100)));
  Fixture full(1);
  BOOST_TEST(full.Ask().granted());
  BOOST_TEST(full.Waits(full.Ask()));
  full.Advance(absl::Milliseconds(370));
  const auto late = full.Next();
  BOOST_TEST((late.outcome == PlacementOutcome::kRefused));
}

// Fails if a request that is served late takes the place of one that can still meet its target, or
// is never served.
BOOST_AUTO_TEST_CASE(late_requests_give_way) {
  Fixture f(1);
  const auto running = f.Ask();
  f.FinishPrefill(running);
  BOOST_TEST(f.Waits(f.Ask({.prompt_tokens = 30000, .serve_late = true})));
  const auto late = f.last_ticket;
  BOOST_TEST(f.Waits(f.Ask()));
  const auto on_time = f.last_ticket;
  f.cell.Release(running.ticket, PlacementEnd::kDone, 10, absl::Milliseconds(100), f.now);
  const auto first = f.Next();
  BOOST_TEST(first.ticket == on_time);
  f.Finish(first);
  BOOST_TEST(f.Next().ticket == late);
}

// Fails if a refusal by the engine ejects it, or sends the request to the end of the queue.
BOOST_AUTO_TEST_CASE(engine_refusal_returns_to_the_front) {
  Fixture f(1);
  for (int i = 0; i < 5; ++i) {
    const auto placed = f.Ask();
    BOOST_REQUIRE(placed.granted());
    f.cell.Release(placed.ticket, PlacementEnd::kEngineRefused, 0, {}, f.now);
    f.Advance(absl::Milliseconds(150));
  }
  BOOST_TEST(!f.cell.Estimates(f.now).at("p0").ejected);
  const auto placed = f.Ask({.request_id = "refused"});
  BOOST_TEST(f.Waits(f.Ask({.request_id = "other"})));
  f.cell.Release(placed.ticket, PlacementEnd::kEngineRefused, 0, {}, f.now);
  BOOST_TEST(f.Waits(f.Ask({.request_id = "refused"})));
  const auto returned = f.last_ticket;
  f.Advance(absl::Milliseconds(150));
  BOOST_TEST(f.Next().ticket == returned);
}

// Fails if a failing server keeps getting requests, or if its recovery is not noticed.
BOOST_AUTO_TEST_CASE(failing_server_is_ejected_and_probed) {
  Fixture f(10, 2);
  int failures = 0;
  for (int i = 0; i < 20; ++i) {
    const auto placed = f.Ask();
    BOOST_REQUIRE(placed.granted());
    const bool bad = placed.prefill_server == "p0";
    failures += bad ? 1 : 0;
    if (!bad) f.FinishPrefill(placed);
    f.cell.Release(placed.ticket, bad ? PlacementEnd::kPrefillFailed : PlacementEnd::kDone, 5,
                   absl::Milliseconds(100), f.now);
  }
  BOOST_TEST(failures >= 3);
  BOOST_TEST(failures <= 4);
  f.Advance(absl::Seconds(5));
  std::set<BackendServerId> used;
  for (int i = 0; i < 4; ++i) used.insert(f.Ask().prefill_server);
  BOOST_TEST(used.count("p0") == 1U);
}

// Fails if a frozen engine, whose prefills never end, keeps getting requests.
BOOST_AUTO_TEST_CASE(frozen_engine_is_noticed_before_its_requests_end) {
  Fixture f(10);
  f.FinishPrefill(f.Ask());
  for (int i = 0; i < 3; ++i) f.cell.OnReportFailed("p0", f.now);
  BOOST_TEST(f.Waits(f.Ask()));
  f.Report("p0", {});
  BOOST_TEST(f.Next().granted());
}

// Fails if a leaving server or one that this request must avoid gets new work.
BOOST_AUTO_TEST_CASE(leaving_and_excluded_servers_get_nothing) {
  Fixture f(10, 2);
  f.cell.SetServers({}, f.servers, {"p0"}, f.now);
  for (int i = 0; i < 2; ++i) {
    const auto placed = f.Ask();
    BOOST_TEST(placed.prefill_server == "p1");
    f.FinishPrefill(placed);
  }
  BOOST_TEST((f.Ask({.excluded = {"p1"}}).outcome == PlacementOutcome::kRefused));
  f.servers[1].state = BackendState::kLeaving;
  f.cell.SetServers({}, f.servers, {"p0"}, f.now);
  BOOST_TEST((f.Ask().outcome == PlacementOutcome::kRefused));
}

// Fails if a new scheduler gives away slots that requests of its predecessor hold.
BOOST_AUTO_TEST_CASE(slots_of_unknown_holders_are_occupied) {
  Fixture f(3);
  f.Report("d", {.slots = 3, .slots_used = 3});
  BOOST_TEST(f.Waits(f.Ask()));
  f.Report("d", {.slots = 3, .slots_used = 2});
  BOOST_TEST(f.Next().granted());
}

// Fails if slots of dead VMs or of lost grants stay reserved.
BOOST_AUTO_TEST_CASE(tickets_expire) {
  Fixture f(1);
  BOOST_TEST(f.Ask().granted());
  f.cell.InstanceGone(kVm, f.now);
  f.Advance(absl::Milliseconds(4900));
  BOOST_TEST(f.cell.tickets() == 1U);
  f.Advance(absl::Milliseconds(200));
  BOOST_TEST(f.cell.tickets() == 0U);
  f.Advance(absl::Seconds(5));
  BOOST_TEST(f.Ask().granted());
  f.Advance(absl::Seconds(15));
  BOOST_TEST(f.cell.tickets() == 0U);
  BOOST_TEST(f.cell.stats().expired_tickets == 2);
}

// Fails if a prefix that a server has cached does not draw requests to it.
BOOST_AUTO_TEST_CASE(cached_prefix_attracts) {
  Fixture f(20, 4);
  f.cell.OnCacheEvents("p2", {{1, true, 77, 2000}});
  for (int i = 0; i < 3; ++i) {
    const auto placed = f.Ask({.prompt_tokens = 4000, .prefix_hash = 77});
    BOOST_TEST(placed.prefill_server == "p2");
    f.Finish(placed);
  }
}

// Fails if a repeated or late message frees a slot twice.
BOOST_AUTO_TEST_CASE(repeated_messages_change_nothing) {
  Fixture f(2);
  const auto placed = f.Ask();
  f.FinishPrefill(placed);
  f.cell.PrefillDone(placed.ticket, 0, absl::Milliseconds(5), f.now);
  f.cell.FirstToken(placed.ticket, absl::Milliseconds(30), f.now);
  for (int i = 0; i < 2; ++i) {
    f.cell.Release(placed.ticket, PlacementEnd::kDone, 10, absl::Seconds(1), f.now);
    f.cell.FirstToken(placed.ticket, absl::Milliseconds(30), f.now);
  }
  BOOST_TEST(f.cell.Estimates(f.now).at("d").free_slots == 2);
  BOOST_TEST(f.cell.tickets() == 0U);
}

SimConfig AnySimulation() {
  SimConfig config;
  config.seed = *rc::gen::arbitrary<std::uint64_t>();
  config.length = absl::Seconds(5);
  config.prefill_servers = *rc::gen::inRange(1, 4);
  config.decode_servers = *rc::gen::inRange(1, 4);
  config.slots = *rc::gen::inRange(1, 12);
  config.serve_late = *rc::gen::arbitrary<bool>();
  config.options.max_late_wait = absl::Seconds(20);
  for (int i = *rc::gen::inRange(1, 4); i > 0; --i) {
    config.workspaces.push_back(
        {absl::StrCat("w", i), *rc::gen::inRange(1, 10), 1.0 * *rc::gen::inRange(1, 40)});
  }
  return config;
}

// Fails if more requests are placed on a decode server than it has slots, or if a request is
// decided twice or never.
BOOST_AUTO_TEST_CASE(slots_are_never_exceeded_and_all_requests_decided) {
  testing::CheckProperty("reservations and decisions", [] {
    const auto config = AnySimulation();
    CellSimulation simulation(config);
    simulation.Run();
    RC_ASSERT(simulation.max_reserved <= config.slots);
    RC_ASSERT(simulation.decode_rejections == 0);
    RC_ASSERT(simulation.decided_twice == 0);
    // Without rejections each offered request is enqueued once.
    RC_ASSERT(simulation.total(&SimCounts::decided) == simulation.total(&SimCounts::offered));
    RC_ASSERT(simulation.cell().queued() == 0U);
    RC_ASSERT(simulation.cell().tickets() == 0U);
    RC_ASSERT(simulation.cell().stats().wasted_prefill_tokens == 0);
  });
}

// Fails if a workspace within its share suffers from another one that sends five times its rate.
BOOST_AUTO_TEST_CASE(overload_does_not_displace_others) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    SimConfig config;
    config.seed = seed;
    config.workspaces = {{"greedy", 1, 60}, {"small", 1, 6}, {"large", 2, 14}};
    CellSimulation simulation(config);
    simulation.Run();
    for (const auto* id : {"small", "large"}) {
      const auto& count = simulation.counts[id];
      BOOST_TEST(count.good >= 0.9 * count.offered,
                 id << ": " << count.good << " of " << count.offered << ", seed " << seed);
    }
    BOOST_TEST(simulation.counts["greedy"].served > 0);
  }
}

// Fails if reserving gains nothing over the baselines at full load.
BOOST_AUTO_TEST_CASE(reservations_beat_baselines) {
  const auto run = [](const std::string& policy) {
    SimConfig config;
    config.options.policy = policy;
    config.workspaces = {{"a", 1, 14}, {"b", 1, 11}, {"c", 1, 11}};
    CellSimulation simulation(config);
    simulation.Run();
    BOOST_TEST(simulation.decided_twice == 0);
    return simulation.total(&SimCounts::good);
  };
  const int reserving = run(std::string(kReservationPolicy));
  for (const auto& name : BaselinePolicyNames()) BOOST_TEST(reserving >= 1.3 * run(name), name);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
