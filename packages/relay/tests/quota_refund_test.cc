// Quota of requests that did not run. Guards against callers that pay again for each attempt that
// the router rejects.
#include <boost/test/unit_test.hpp>

#include "front_fixture.h"

namespace marigoldquay::testing {
namespace {

// Charge of a request that states no tokens.
constexpr TokenCount kCost = 7;

struct Fixture : FrontFixture {
  Fixture() {
    contents.version = 2;
    contents.workspaces[0].quota.default_cost = kCost;
    view.Apply(contents);
  }
};

StreamPlacement PlacementAt(const BackendServerId& decode) {
  StreamPlacement placement;
  placement.service = "model";
  placement.decode = decode;
  return placement;
}

BOOST_FIXTURE_TEST_SUITE(quota_refund, Fixture)

BOOST_AUTO_TEST_CASE(request_that_reached_no_engine_after_its_grant_is_refunded) {
  placer.placements = {PlacementAt("unlisted")};
  BOOST_TEST(Call("/model/x").status() == 503U);
  BOOST_TEST(placer.refunded == kCost);
}

// The coordinator gives back the charge of a request that it refuses.
BOOST_AUTO_TEST_CASE(request_without_a_grant_is_not_refunded_twice) {
  BOOST_TEST(Call("/model/x").status() == 503U);
  BOOST_TEST(placer.refunded == 0);
}

BOOST_AUTO_TEST_CASE(request_that_ran_is_not_refunded) {
  placer.placements = {PlacementAt("d1")};
  BOOST_TEST(Call("/model/x").status() == 200U);
  BOOST_TEST(Call("/plain/x").status() == 200U);
  BOOST_TEST(placer.refunded == 0);
}

BOOST_AUTO_TEST_CASE(plain_request_without_a_server_is_refunded) {
  for (const char* id : {"s1", "s2"}) view.replicas().Remove(id);
  BOOST_TEST(Call("/plain/x").status() == 503U);
  BOOST_TEST(placer.refunded == kCost);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay::testing
