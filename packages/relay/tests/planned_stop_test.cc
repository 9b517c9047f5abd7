// Requests that wait for an engine when their VM is stopped.
#include <boost/test/unit_test.hpp>

#include "front_fixture.h"

namespace marigoldquay::testing {
namespace {

constexpr absl::Duration kLongWait = absl::Seconds(2);

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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay::testing
