// Requests that wait for an engine when their VM is stopped.
#include <boost/test/unit_test.hpp>

#include "front_fixture.h"

namespace marigoldquay::testing {
namespace {

constexpr absl::Duration kLongWait = absl::Seconds(2);
// Charge of a request that states no tokens.
constexpr TokenCount kCost = 7;

/// The engine d1 takes each request first; one that waits again meets the end of the process.
struct SecondWait : FrontFixture {
  SecondWait() {
    contents.version = 2;
    contents.routes.back().resumable = true;
    contents.workspaces[0].quota.default_cost = kCost;
    view.Apply(contents);
    StreamPlacement placement;
    placement.service = "model";
    placement.decode = "d1";
    placer.placements = {placement};
    placer.on_place = [this] {
      if (++places != 2) return;
      placer.wait = kLongWait;
      asio::post(io, [this] { front.EndWaits(); });
    };
  }

  RecordedReply CallWith(ServerBehavior behavior) {
    servers.at("d1")->set_behavior(behavior);
    const absl::Time started = clock.Now();
    auto reply = Call("/model/x");
    BOOST_TEST(places == 2);
    BOOST_TEST((clock.Now() - started < kLongWait));
    return reply;
  }

  int places = 0;
};

BOOST_FIXTURE_TEST_SUITE(planned_stop, FrontFixture)

// Guards against a request that gets no answer, since it waits for an engine for longer than the
// process runs.
BOOST_AUTO_TEST_CASE(request_that_waits_for_an_engine_is_rejected) {
  placer.wait = kLongWait;
  const absl::Time started = clock.Now();
  const auto reply = Call("/model/x", "key-1",
                          [&] { front.RejectRequestsBeyond(clock.Now() + absl::Seconds(1)); });
  BOOST_TEST(reply.status() == 503U);
  BOOST_TEST(reply.field(http::field::retry_after) == "0.05");
  BOOST_TEST((clock.Now() - started < kLongWait));
}

// Guards against a rejection of requests whose deadline comes before the process exits.
BOOST_AUTO_TEST_CASE(request_that_ends_in_time_goes_on_to_wait) {
  placer.wait = absl::Milliseconds(50);
  StreamPlacement placement;
  placement.service = "model";
  placement.decode = "d1";
  placement.expected = absl::Milliseconds(100);
  placer.placements = {placement};
  const auto reply = Call("/model/x", "key-1",
                          [&] { front.RejectRequestsBeyond(clock.Now() + absl::Minutes(1)); });
  BOOST_TEST(reply.status() == 200U);
}

// Guards against a request that begins to wait when nobody looks at waiting requests any more.
BOOST_AUTO_TEST_CASE(request_that_begins_to_wait_at_the_end_is_rejected) {
  int places = 0;
  placer.on_place = [&] { ++places; };
  front.EndWaits();
  BOOST_TEST(Call("/model/x").status() == 503U);
  BOOST_TEST(places == 0);
}

// Guards against a request without an answer, since it waits again after an engine rejected it; and
// against a charge for it.
BOOST_FIXTURE_TEST_CASE(request_that_was_rejected_by_an_engine_is_not_run, SecondWait) {
  BOOST_TEST(CallWith(ServerBehavior::kRejects).status() == 503U);
  BOOST_TEST(placer.refunded == kCost);
}

// Guards against a request without an answer, since it waits again after an engine lost it, and
// against a promise that it has not run.
BOOST_FIXTURE_TEST_CASE(request_that_an_engine_may_have_run_is_answered, SecondWait) {
  BOOST_TEST(CallWith(ServerBehavior::kLosesResponse).status() == 502U);
  BOOST_TEST(placer.refunded == 0);
}

// Guards against a stream that is left open without an engine until the process has ended.
BOOST_FIXTURE_TEST_CASE(stream_without_an_engine_is_broken_off, SecondWait) {
  const auto reply = CallWith(ServerBehavior::kBreaksOff);
  BOOST_TEST(reply.aborted());
  BOOST_TEST(placer.refunded == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay::testing
