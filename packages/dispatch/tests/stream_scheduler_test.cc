// Placement of model requests: capacity, queueing, refusals and release of reservations.
#include "marigoldquay/dispatch/stream_scheduler.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>
#include <vector>

namespace marigoldquay {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
constexpr TokenCount kCapacity = 50'000;

Replica Engine(const std::string& id, EngineRole role, const std::string& zone = "z1") {
  Replica replica;
  replica.id = id;
  replica.service = "llm";
  replica.availability_zone = zone;
  replica.slots = 16;
  replica.role = role;
  return replica;
}

StreamDemand Demand(TokenCount prompt, absl::Time now,
                    absl::Duration target = absl::Milliseconds(900)) {
  StreamDemand demand;
  demand.request = "r";
  demand.prompt_tokens = prompt;
  demand.output_tokens = 100;
  demand.first_event_due = now + target;
  demand.caller_deadline = now + 4 * target;
  return demand;
}

struct Fixture {
  StreamScheduler scheduler;
  std::vector<Replica> engines = {Engine("p1", EngineRole::kPrefill),
                                  Engine("d1", EngineRole::kDecode),
                                  Engine("d2", EngineRole::kDecode)};

  Fixture() { scheduler.SetEngines({16, kCapacity}, engines); }
};

BOOST_FIXTURE_TEST_SUITE(stream_scheduler, Fixture)

BOOST_AUTO_TEST_CASE(prefills_on_a_prefill_engine_and_reserves_decode_memory) {
  const auto decision = scheduler.Place(Demand(5000, kStart), kStart);
  BOOST_TEST((decision.verdict == StreamVerdict::kGranted));
  BOOST_TEST(decision.prefill.value_or("") == "p1");
  BOOST_TEST(scheduler.reserved_tokens(decision.decode) == 5100);
}

// Guards against KV memory that stays reserved after its request has ended.
BOOST_AUTO_TEST_CASE(end_releases_all_reservations) {
  std::vector<std::uint64_t> tickets;
  for (int i = 0; i < 6; ++i) {
    tickets.push_back(scheduler.Place(Demand(5000, kStart), kStart).ticket);
  }
  for (const auto ticket : tickets) scheduler.OnEnd(ticket, StreamEnd::kCancelled, kStart);
  for (const char* id : {"d1", "d2"}) BOOST_TEST(scheduler.reserved_tokens(id) == 0);
  BOOST_TEST(scheduler.running() == 0);
  // Cancelled prefills do not delay the next one.
  const auto next = scheduler.Place(Demand(5000, kStart), kStart);
  BOOST_TEST(absl::ToInt64Milliseconds(next.expected) < 250);
}

// In a burst, demands that cannot be on time wait and do not delay those that can.
BOOST_AUTO_TEST_CASE(late_demands_do_not_delay_those_that_can_be_on_time) {
  int granted = 0;
  bool queued = false;
  for (int i = 0; i < 40; ++i) {
    const auto decision = scheduler.Place(Demand(5000, kStart), kStart);
    if (decision.verdict == StreamVerdict::kGranted) {
      ++granted;
      BOOST_TEST((decision.expected <= absl::Milliseconds(900)));
    }
    if (decision.verdict == StreamVerdict::kQueued) queued = true;
  }
  BOOST_TEST(granted >= 5);
  BOOST_TEST(queued);
}

// Guards against queueing a demand until its deadline although it cannot be served.
BOOST_AUTO_TEST_CASE(demand_that_cannot_be_served_is_refused_immediately) {
  StreamDecision last;
  for (int i = 0; i < 400; ++i) last = scheduler.Place(Demand(5000, kStart), kStart);
  BOOST_TEST((last.verdict == StreamVerdict::kRefused));
  BOOST_TEST((last.retry_after > absl::ZeroDuration()));
  const auto too_large = scheduler.Place(Demand(kCapacity, kStart), kStart);
  BOOST_TEST((too_large.verdict == StreamVerdict::kRefused));
}

BOOST_AUTO_TEST_CASE(waiting_demand_is_granted_when_capacity_becomes_free) {
  std::vector<std::uint64_t> running;
  std::uint64_t waiting = 0;
  while (waiting == 0) {
    const auto decision = scheduler.Place(Demand(5000, kStart), kStart);
    if (decision.verdict == StreamVerdict::kGranted) running.push_back(decision.ticket);
    if (decision.verdict == StreamVerdict::kQueued) waiting = decision.ticket;
  }
  const auto later = kStart + absl::Milliseconds(1500);
  for (const auto ticket : running) scheduler.OnEnd(ticket, StreamEnd::kDone, later);
  const auto decisions = scheduler.PlaceWaiting(later);
  BOOST_TEST_REQUIRE(decisions.size() == 1);
  BOOST_TEST(decisions[0].ticket == waiting);
  BOOST_TEST((decisions[0].verdict == StreamVerdict::kGranted));
  BOOST_TEST(scheduler.waiting() == 0);
}

BOOST_AUTO_TEST_CASE(waiting_demand_is_refused_before_its_caller_gives_up) {
  std::uint64_t waiting = 0;
  while (waiting == 0) {
    const auto decision = scheduler.Place(Demand(5000, kStart), kStart);
    if (decision.verdict == StreamVerdict::kQueued) waiting = decision.ticket;
  }
  scheduler.SetEngines({16, kCapacity}, std::vector<Replica>{});
  const auto decisions = scheduler.PlaceWaiting(kStart + absl::Milliseconds(3500));
  BOOST_TEST_REQUIRE(!decisions.empty());
  BOOST_TEST((decisions[0].verdict == StreamVerdict::kRefused));
}

BOOST_AUTO_TEST_CASE(decode_engine_prefills_when_there_is_no_prefill_engine) {
  scheduler.SetEngines({16, kCapacity}, std::vector<Replica>{Engine("d1", EngineRole::kDecode)});
  const auto decision = scheduler.Place(Demand(5000, kStart), kStart);
  BOOST_TEST((decision.verdict == StreamVerdict::kGranted));
  BOOST_TEST(!decision.prefill.has_value());
}

BOOST_AUTO_TEST_CASE(excluded_and_failed_engines_are_avoided) {
  auto demand = Demand(1000, kStart);
  demand.excluded = {"d1"};
  BOOST_TEST(scheduler.Place(demand, kStart).decode == "d2");
  const auto other = scheduler.Place(Demand(1000, kStart), kStart);
  scheduler.OnEnd(other.ticket, StreamEnd::kFailed, kStart);
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(scheduler.Place(Demand(1000, kStart), kStart).decode != other.decode);
  }
}

// Guards against suspensions that empty the pool.
BOOST_AUTO_TEST_CASE(suspended_engines_serve_when_no_other_is_left) {
  for (int i = 0; i < 6; ++i) {
    const auto decision = scheduler.Place(Demand(1000, kStart), kStart);
    scheduler.OnEnd(decision.ticket, StreamEnd::kFailed, kStart);
  }
  BOOST_TEST((scheduler.Place(Demand(1000, kStart), kStart).verdict == StreamVerdict::kGranted));
}

// Guards against a decode engine that has stopped sending events but gets new streams until its
// callers give up.
BOOST_AUTO_TEST_CASE(stalled_engine_gets_no_new_streams) {
  std::map<BackendServerId, std::vector<std::uint64_t>> tickets;
  for (int i = 0; i < 6; ++i) {
    const auto decision = scheduler.Place(Demand(500, kStart), kStart);
    tickets[decision.decode].push_back(decision.ticket);
  }
  BOOST_TEST_REQUIRE(tickets["d1"].size() >= 2U);
  BOOST_TEST_REQUIRE(tickets["d2"].size() >= 2U);
  const absl::Time later = kStart + absl::Seconds(2);
  for (const auto ticket : tickets["d2"]) scheduler.OnFirstEvent(ticket, later);
  for (int i = 0; i < 6; ++i) {
    BOOST_TEST(scheduler.Place(Demand(500, later), later).decode == "d2");
  }
  // The engine sends events again.
  scheduler.OnFirstEvent(tickets["d1"].front(), later);
  bool used = false;
  for (int i = 0; i < 6; ++i) {
    used = used || scheduler.Place(Demand(500, later), later).decode == "d1";
  }
  BOOST_TEST(used);
}

// A caller that gives up without an event shows that the engine is stalled, as overdue streams do.
BOOST_AUTO_TEST_CASE(engine_is_suspended_when_a_caller_gives_up_without_an_event) {
  const auto first = scheduler.Place(Demand(500, kStart), kStart);
  const absl::Time later = kStart + absl::Seconds(3);
  scheduler.OnEnd(first.ticket, StreamEnd::kCancelled, later);
  for (int i = 0; i < 4; ++i) {
    BOOST_TEST(scheduler.Place(Demand(500, later), later).decode != first.decode);
  }
}

// Stalled engines must not empty the pool.
BOOST_AUTO_TEST_CASE(stalled_engines_serve_when_no_other_is_left) {
  for (int i = 0; i < 6; ++i) scheduler.Place(Demand(500, kStart), kStart);
  const absl::Time later = kStart + absl::Seconds(2);
  BOOST_TEST((scheduler.Place(Demand(500, later), later).verdict == StreamVerdict::kGranted));
}

BOOST_AUTO_TEST_CASE(adopted_request_reserves_memory_on_its_engine) {
  const auto ticket = scheduler.Adopt(Demand(30'000, kStart), "d1", kStart);
  BOOST_TEST(scheduler.reserved_tokens("d1") == 30'100);
  scheduler.OnEnd(ticket, StreamEnd::kDone, kStart);
  BOOST_TEST(scheduler.reserved_tokens("d1") == 0);
}

// A restarted engine has lost the streams and reservations of its previous instance.
BOOST_AUTO_TEST_CASE(restarted_engine_has_no_reservations) {
  scheduler.Adopt(Demand(30'000, kStart), "d1", kStart);
  auto restarted = engines;
  restarted[1].started_unix_ms = 77;
  scheduler.SetEngines({16, kCapacity}, restarted);
  BOOST_TEST(scheduler.reserved_tokens("d1") == 0);
}

// The reservations of an engine never exceed its memory, for any order of events.
BOOST_AUTO_TEST_CASE(reservations_stay_within_the_memory) {
  BOOST_TEST(rc::check("reserved tokens of an engine stay within its memory", [&] {
    StreamScheduler tested_scheduler;
    tested_scheduler.SetEngines({16, kCapacity}, engines);
    std::set<std::uint64_t> open;
    absl::Time now = kStart;
    for (int i = 0; i < 200; ++i) {
      now += absl::Milliseconds(*rc::gen::inRange(0, 150));
      if (*rc::gen::inRange(0, 3) > 0) {
        const auto decision =
            tested_scheduler.Place(Demand(*rc::gen::inRange(100, 12'000), now), now);
        if (decision.verdict != StreamVerdict::kRefused) open.insert(decision.ticket);
      } else if (!open.empty()) {
        tested_scheduler.OnEnd(*open.begin(), StreamEnd::kDone, now);
        open.erase(open.begin());
      }
      for (const auto& decision : tested_scheduler.PlaceWaiting(now)) {
        if (decision.verdict == StreamVerdict::kRefused) open.erase(decision.ticket);
      }
      for (const char* id : {"d1", "d2"}) {
        RC_ASSERT(tested_scheduler.reserved_tokens(id) >= 0);
        RC_ASSERT(tested_scheduler.reserved_tokens(id) <= kCapacity);
      }
    }
    for (const auto ticket : open) tested_scheduler.OnEnd(ticket, StreamEnd::kDone, now);
    for (const char* id : {"d1", "d2"}) {
      RC_ASSERT(tested_scheduler.reserved_tokens(id) == 0);
    }
  }));
}

// Engines d1 and d2 of version 1, d3 of version 2.
struct VersionFixture : Fixture {
  VersionFixture() {
    engines.push_back(Engine("d3", EngineRole::kDecode));
    for (Replica& engine : engines) engine.software_version = engine.id == "d3" ? "2" : "1";
    scheduler.SetEngines({16, kCapacity}, engines);
  }
  static StreamDemand Continuation(const std::string& version, TokenCount prompt = 5000) {
    StreamDemand demand = Demand(prompt, kStart);
    demand.software_version = version;
    return demand;
  }
  void RemoveEngine(const std::string& id) {
    std::erase_if(engines, [&](const Replica& engine) { return engine.id == id; });
    scheduler.SetEngines({16, kCapacity}, engines);
  }
};

// Guards against a stream that is continued by an engine of another version because that one is
// less loaded.
BOOST_FIXTURE_TEST_CASE(continuation_goes_only_to_engines_of_its_version, VersionFixture) {
  // The only prefill engine has version 1.
  BOOST_TEST(scheduler.Place(Continuation("2"), kStart).prefill.value_or("") == "p1");
  for (int i = 0; i < 6; ++i) {
    const auto decision = scheduler.Place(Continuation("2"), kStart);
    if (decision.verdict != StreamVerdict::kGranted) break;
    BOOST_TEST(decision.decode == "d3");
  }
  const auto decision = scheduler.Place(Continuation("1"), kStart);
  BOOST_TEST((decision.verdict == StreamVerdict::kGranted));
  BOOST_TEST(decision.decode != "d3");
}

// Guards against a continuation that waits until its caller gives up although nothing can serve it.
BOOST_FIXTURE_TEST_CASE(continuation_is_refused_when_no_engine_has_its_version, VersionFixture) {
  const auto decision = scheduler.Place(Continuation("3"), kStart);
  BOOST_TEST((decision.verdict == StreamVerdict::kRefused));
  BOOST_TEST(decision.reason.find("software version") != std::string::npos);
  BOOST_TEST((scheduler.Place(Demand(5000, kStart), kStart).verdict == StreamVerdict::kGranted));
}

// Guards against the same for a continuation that waits when the last engine of its version leaves.
BOOST_FIXTURE_TEST_CASE(waiting_continuation_is_refused_when_its_version_leaves, VersionFixture) {
  std::uint64_t waiting = 0;
  while (waiting == 0) {
    const auto decision = scheduler.Place(Continuation("2"), kStart);
    if (decision.verdict == StreamVerdict::kQueued) waiting = decision.ticket;
  }
  RemoveEngine("d3");
  const auto decisions = scheduler.PlaceWaiting(kStart + absl::Milliseconds(20));
  BOOST_TEST_REQUIRE(decisions.size() == 1);
  BOOST_TEST(decisions[0].ticket == waiting);
  BOOST_TEST((decisions[0].verdict == StreamVerdict::kRefused));
}

// Guards against a version whose only engine has failed once and is then avoided, since engines of
// other versions remain.
BOOST_FIXTURE_TEST_CASE(only_engine_of_a_version_stays_usable_after_a_failure, VersionFixture) {
  const auto first = scheduler.Place(Continuation("2"), kStart);
  scheduler.OnEnd(first.ticket, StreamEnd::kFailed, kStart);
  const auto second = scheduler.Place(Continuation("2"), kStart);
  BOOST_TEST((second.verdict == StreamVerdict::kGranted));
  BOOST_TEST(second.decode == "d3");
}

// Guards against continuations without capacity at their version that hold up streams which any
// version may begin.
BOOST_FIXTURE_TEST_CASE(full_version_does_not_hold_up_other_demands, VersionFixture) {
  for (int i = 0; i < 4; ++i) (void)scheduler.Adopt(Continuation("2", 12'000), "d3", kStart);
  const auto continuation = scheduler.Place(Continuation("2", 4000), kStart);
  BOOST_TEST_REQUIRE((continuation.verdict == StreamVerdict::kQueued));
  StreamDemand demand = Demand(4000, kStart);
  demand.first_event_due = kStart;
  const auto begun = scheduler.Place(demand, kStart);
  BOOST_TEST_REQUIRE((begun.verdict == StreamVerdict::kQueued));
  const auto decisions = scheduler.PlaceWaiting(kStart + absl::Milliseconds(20));
  BOOST_TEST_REQUIRE(decisions.size() == 1);
  BOOST_TEST(decisions[0].ticket == begun.ticket);
  BOOST_TEST(decisions[0].decode != "d3");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
