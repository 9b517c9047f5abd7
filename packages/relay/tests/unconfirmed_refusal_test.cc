// Requests that the configuration of a VM does not allow, though a newer one may.
#include <boost/test/unit_test.hpp>

#include "front_fixture.h"

namespace marigoldquay::testing {
namespace {

constexpr absl::Duration kMaxAge = absl::Seconds(2);

struct Fixture : FrontFixture {
  Fixture() { front.SetMaxCatalogAge(kMaxAge); }
  void SetAge(absl::Duration age) { catalog_confirmed_at = clock.Now() - age; }
};

BOOST_FIXTURE_TEST_SUITE(unconfirmed_refusal, Fixture)

// Guards against 404 and 401 for a route and a key that the store has acknowledged and this VM has
// not heard of, as it has heard nothing for longer than a change may take.
BOOST_AUTO_TEST_CASE(unknown_route_is_not_refused_for_good_by_an_old_configuration) {
  SetAge(kMaxAge + absl::Milliseconds(1));
  const auto reply = Call("/new/x");
  BOOST_TEST(reply.status() == 503U);
  BOOST_TEST(reply.field(http::field::retry_after) == "0.50");
}

BOOST_AUTO_TEST_CASE(unknown_key_is_not_refused_for_good_by_an_old_configuration) {
  SetAge(kMaxAge + absl::Milliseconds(1));
  BOOST_TEST(Call("/plain/x", "key-2").status() == 503U);
}

BOOST_AUTO_TEST_CASE(unknown_route_and_key_are_refused_by_a_confirmed_configuration) {
  SetAge(kMaxAge - absl::Seconds(1));
  BOOST_TEST(Call("/new/x").status() == 404U);
  BOOST_TEST(Call("/plain/x", "key-2").status() == 401U);
}

BOOST_AUTO_TEST_CASE(known_route_is_served_by_an_old_configuration) {
  SetAge(absl::Hours(1));
  BOOST_TEST(Call("/plain/x").status() == 200U);
}

// A process that was frozen has the next configuration in its sockets when it goes on.
BOOST_AUTO_TEST_CASE(request_waits_for_the_next_configuration) {
  SetAge(kMaxAge + absl::Seconds(1));
  const auto reply = Call("/new/x", "key-2", [&] {
    AddRouteAndKey();
    SetAge(absl::ZeroDuration());
  });
  BOOST_TEST(reply.status() == 200U);
}

BOOST_AUTO_TEST_CASE(request_is_refused_once_the_configuration_is_confirmed) {
  SetAge(kMaxAge + absl::Seconds(1));
  BOOST_TEST(Call("/new/x", "key-1", [&] { SetAge(absl::ZeroDuration()); }).status() == 404U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay::testing
