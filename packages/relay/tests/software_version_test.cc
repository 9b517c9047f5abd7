// Requests whose servers have several software versions.
#include <boost/test/unit_test.hpp>

#include "front_fixture.h"

namespace marigoldquay::testing {
namespace {

BOOST_FIXTURE_TEST_SUITE(software_version, FrontFixture)

// Guards against a stream that goes on at another version because its engine started again under
// its id while the prompt was processed or the connection was made.
BOOST_AUTO_TEST_CASE(stream_is_not_sent_to_an_engine_that_started_again_at_another_version) {
  StreamPlacement placement;
  placement.service = "model";
  placement.decode = "d1";
  placement.expected = absl::Milliseconds(100);
  placer.placements = {placement};
  const auto reply = Call("/model/x", "key-1", [&] { StartAgainAt("d1", "2"); });
  BOOST_TEST(reply.status() == 503U);
  BOOST_TEST(RequestsAt("d1") == 0);
}

// Guards against the rest of a plain stream from a server of another version than the one that
// began it, which is not recorded.
BOOST_AUTO_TEST_CASE(plain_stream_is_not_taken_up_while_versions_mix) {
  resumes = "r0";
  BOOST_TEST(Call("/plain-stream/x").status() == 200U);
  StartAgainAt("s1", "2");
  BOOST_TEST(Call("/plain-stream/x").status() == 503U);
  BOOST_TEST(RequestsAt("s1") + RequestsAt("s2") == 1);
  resumes.reset();
  BOOST_TEST(Call("/plain-stream/x").status() == 200U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay::testing
