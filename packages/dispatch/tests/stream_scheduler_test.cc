// Placement of model requests: capacity, waiting, refusals and what is freed.
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

BOOST_AUTO_TEST_CASE(reads_apart_and_reserves_the_decode_memory) {
  const auto decision = scheduler.Place(Demand(5000, kStart), kStart);
  BOOST_TEST((decision.verdict == StreamVerdict::kGranted));
  BOOST_TEST(decision.prefill.value_or("") == "p1");
  BOOST_TEST(scheduler.reserved_tokens(decision.decode) == 5100);
}

// Guards against KV memory that stays reserved after its request.
BOOST_AUTO_TEST_CASE(end_frees_everything) {
  std::vector<std::uint64_t> tickets;
  for (int i = 0; i < 6; ++i) {
    tickets.push_back(scheduler.Place(Demand(5000, kStart), kStart).ticket);
  }
  for (const auto ticket : tickets) scheduler.OnEnd(ticket, StreamEnd::kCancelled, kStart);
  for (const char* id : {"d1", "d2"}) BOOST_TEST(scheduler.reserved_tokens(id) == 0);
  BOOST_TEST(scheduler.running() == 0);
  // Prompts that are no longer to be read do not delay the next one.
  const auto next = scheduler.Place(Demand(5000, kStart), kStart);
  BOOST_TEST(absl::ToInt64Milliseconds(next.expected) < 250);
}

// The load of a burst: what cannot be on time waits and does not delay what can.
BOOST_AUTO_TEST_CASE(late_demands_wait_behind_those_that_can_be_on_time) {
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

// Guards against waiting until the deadline for what is existing to be impossible.
BOOST_AUTO_TEST_CASE(refuses_at_once_what_cannot_be_served) {
  StreamDecision last;
  for (int i = 0; i < 400; ++i) last = scheduler.Place(Demand(5000, kStart), kStart);
  BOOST_TEST((last.verdict == StreamVerdict::kRefused));
  BOOST_TEST((last.retry_after > absl::ZeroDuration()));
  const auto too_large = scheduler.Place(Demand(kCapacity, kStart), kStart);
  BOOST_TEST((too_large.verdict == StreamVerdict::kRefused));
}

BOOST_AUTO_TEST_CASE(waiting_demand_is_granted_when_capacity_is_free) {
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

BOOST_AUTO_TEST_CASE(waiting_demand_is_refused_before_its_caller_leaves) {
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

BOOST_AUTO_TEST_CASE(decode_engine_reads_when_no_prefill_engine_is_there) {
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

// Guards against a pool that becomes empty by suspensions.
BOOST_AUTO_TEST_CASE(suspended_engines_serve_when_no_other_is_left) {
  for (int i = 0; i < 6; ++i) {
    const auto decision = scheduler.Place(Demand(1000, kStart), kStart);
    scheduler.OnEnd(decision.ticket, StreamEnd::kFailed, kStart);
  }
  BOOST_TEST((scheduler.Place(Demand(1000, kStart), kStart).verdict == StreamVerdict::kGranted));
}

// Guards against a decode engine that has gone dark and gets streams until its callers leave.
BOOST_AUTO_TEST_CASE(engine_from_which_streams_hear_nothing_gets_no_new_ones) {
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
  // It answers again.
  scheduler.OnFirstEvent(tickets["d1"].front(), later);
  bool used = false;
  for (int i = 0; i < 6; ++i) {
    used = used || scheduler.Place(Demand(500, later), later).decode == "d1";
  }
  BOOST_TEST(used);
}

// A caller that leaves without an event tells as much as the wait itself.
BOOST_AUTO_TEST_CASE(engine_that_callers_left_without_an_event_is_suspended) {
  const auto first = scheduler.Place(Demand(500, kStart), kStart);
  const absl::Time later = kStart + absl::Seconds(3);
  scheduler.OnEnd(first.ticket, StreamEnd::kCancelled, later);
  for (int i = 0; i < 4; ++i) {
    BOOST_TEST(scheduler.Place(Demand(500, later), later).decode != first.decode);
  }
}

// Silence must not empty the pool.
BOOST_AUTO_TEST_CASE(silent_engines_serve_when_no_other_is_left) {
  for (int i = 0; i < 6; ++i) scheduler.Place(Demand(500, kStart), kStart);
  const absl::Time later = kStart + absl::Seconds(2);
  BOOST_TEST((scheduler.Place(Demand(500, later), later).verdict == StreamVerdict::kGranted));
}

BOOST_AUTO_TEST_CASE(adopted_request_occupies_its_engine) {
  const auto ticket = scheduler.Adopt(Demand(30'000, kStart), "d1", kStart);
  BOOST_TEST(scheduler.reserved_tokens("d1") == 30'100);
  scheduler.OnEnd(ticket, StreamEnd::kDone, kStart);
  BOOST_TEST(scheduler.reserved_tokens("d1") == 0);
}

// A restarted engine holds nothing of before.
BOOST_AUTO_TEST_CASE(restarted_engine_starts_empty) {
  scheduler.Adopt(Demand(30'000, kStart), "d1", kStart);
  auto restarted = engines;
  restarted[1].started_unix_ms = 77;
  scheduler.SetEngines({16, kCapacity}, restarted);
  BOOST_TEST(scheduler.reserved_tokens("d1") == 0);
}

// Reserved memory never exceeds an engine's, whatever comes in which order.
BOOST_AUTO_TEST_CASE(reservations_stay_within_the_memory) {
  rc::check("reserved tokens of an engine stay within its memory", [&] {
    StreamScheduler under_test;
    under_test.SetEngines({16, kCapacity}, engines);
    std::set<std::uint64_t> open;
    absl::Time now = kStart;
    for (int i = 0; i < 200; ++i) {
      now += absl::Milliseconds(*rc::gen::inRange(0, 150));
      if (*rc::gen::inRange(0, 3) > 0) {
        const auto decision = under_test.Place(Demand(*rc::gen::inRange(100, 12'000), now), now);
        if (decision.verdict != StreamVerdict::kRefused) open.insert(decision.ticket);
      } else if (!open.empty()) {
        under_test.OnEnd(*open.begin(), StreamEnd::kDone, now);
        open.erase(open.begin());
      }
      for (const auto& decision : under_test.PlaceWaiting(now)) {
        if (decision.verdict == StreamVerdict::kRefused) open.erase(decision.ticket);
      }
      for (const char* id : {"d1", "d2"}) {
        RC_ASSERT(under_test.reserved_tokens(id) >= 0);
        RC_ASSERT(under_test.reserved_tokens(id) <= kCapacity);
      }
    }
    for (const auto ticket : open) under_test.OnEnd(ticket, StreamEnd::kDone, now);
    for (const char* id : {"d1", "d2"}) RC_ASSERT(under_test.reserved_tokens(id) == 0);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
