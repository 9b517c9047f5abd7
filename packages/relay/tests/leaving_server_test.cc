// Requests whose backend server leaves after it was chosen.
#include <boost/test/unit_test.hpp>

#include "front_fixture.h"

namespace marigoldquay::testing {
namespace {

StreamPlacement Placement(const std::optional<BackendServerId>& prefill) {
  StreamPlacement placement;
  placement.service = "model";
  placement.prefill = prefill;
  placement.decode = "d1";
  placement.expected = absl::Milliseconds(100);
  return placement;
}

BOOST_FIXTURE_TEST_SUITE(leaving_server, FrontFixture)

// Guards against a request that is sent to a server that was announced as leaving while the router
// waited for the connection.
BOOST_AUTO_TEST_CASE(plain_request_goes_to_another_server) {
  const auto reply = Call("/plain/x", "key-1", [&] { view.replicas().MarkDraining("s1"); });
  BOOST_TEST(reply.status() == 200U);
  BOOST_TEST(RequestsAt("s1") == 0);
  BOOST_TEST(RequestsAt("s2") == 1);
}

BOOST_AUTO_TEST_CASE(plain_request_is_not_sent_to_a_server_that_was_removed) {
  const auto reply = Call("/plain/x", "key-1", [&] { view.replicas().Remove("s1"); });
  BOOST_TEST(reply.status() == 200U);
  BOOST_TEST(RequestsAt("s1") == 0);
}

// No server is left: the request has not run, and the caller is told so.
BOOST_AUTO_TEST_CASE(plain_request_is_refused_when_all_servers_leave) {
  const auto reply = Call("/plain/x", "key-1", [&] {
    view.replicas().MarkDraining("s1");
    view.replicas().MarkDraining("s2");
  });
  BOOST_TEST(reply.status() == 503U);
  BOOST_TEST(RequestsAt("s1") + RequestsAt("s2") == 0);
}

BOOST_AUTO_TEST_CASE(stream_is_not_sent_to_a_decode_engine_that_leaves) {
  placer.placements = {Placement(std::nullopt)};
  const auto reply = Call("/model/x", "key-1", [&] { view.replicas().MarkDraining("d1"); });
  BOOST_TEST(reply.status() == 503U);
  BOOST_TEST(RequestsAt("d1") == 0);
  BOOST_TEST_REQUIRE(placer.ends.size() == 1U);
  BOOST_TEST((placer.ends.front() == StreamEnd::kRefused));
}

// The decode engine then processes the prompt itself.
BOOST_AUTO_TEST_CASE(prompt_is_not_sent_to_a_prefill_engine_that_leaves) {
  placer.placements = {Placement("p1")};
  const auto reply = Call("/model/x", "key-1", [&] { view.replicas().MarkDraining("p1"); });
  BOOST_TEST(reply.status() == 200U);
  BOOST_TEST(RequestsAt("p1") == 0);
  BOOST_TEST(RequestsAt("d1") == 1);
}

// Guards against a prompt that is sent although its engine left while the placement was under way.
BOOST_AUTO_TEST_CASE(prompt_is_not_sent_to_a_prefill_engine_that_has_left) {
  placer.placements = {Placement("p1")};
  placer.on_place = [&] { view.replicas().MarkDraining("p1"); };
  const auto reply = Call("/model/x");
  BOOST_TEST(reply.status() == 200U);
  BOOST_TEST(RequestsAt("p1") == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay::testing
