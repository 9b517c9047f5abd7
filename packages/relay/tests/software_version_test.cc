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

// Guards against a VM that stood still or was cut off, lists one version only, and lets a plain
// stream go on there that another VM began at a server of another version.
BOOST_AUTO_TEST_CASE(plain_stream_is_not_taken_up_by_a_list_from_before_it) {
  resumes = "r0";
  servers_read_at = clock.Now() - absl::Milliseconds(1);
  BOOST_TEST(Call("/plain-stream/x").status() == 503U);
  BOOST_TEST(RequestsAt("s1") + RequestsAt("s2") == 0);
}

// Guards against the same, and against a refusal, when a newer list arrives.
BOOST_AUTO_TEST_CASE(plain_stream_that_is_taken_up_waits_for_a_list_from_after_it) {
  resumes = "r0";
  servers_read_at = clock.Now() - absl::Milliseconds(1);
  const auto read = [&] { servers_read_at = clock.Now() + absl::Seconds(1); };
  BOOST_TEST(Call("/plain-stream/x", "key-1", read).status() == 200U);
  servers_read_at = clock.Now() - absl::Milliseconds(1);
  const auto read_two_versions = [&] {
    StartAgainAt("s1", "2");
    servers_read_at = clock.Now() + absl::Seconds(1);
  };
  BOOST_TEST(Call("/plain-stream/x", "key-1", read_two_versions).status() == 503U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay::testing
