// Key checks and route lookups.
#include "marigoldquay/config/configuration.h"

#include <boost/test/unit_test.hpp>

#include "marigoldquay/core/secret.h"

namespace marigoldquay {
namespace {

Route RouteOf(const std::string& prefix) { return {prefix, "desk", {"GET"}, true, false}; }

BOOST_AUTO_TEST_SUITE(configuration)

// Fails if a wrong, foreign or withdrawn key is accepted, or an underscore in the secret breaks
// the lookup.
BOOST_AUTO_TEST_CASE(only_the_exact_active_key_is_accepted) {
  const std::string text = "mq_k1_ab_cd";
  const Configuration configuration(
      1, {},
      {{"k1", {"k1", "acme", Sha256Hex(text), KeyState::kActive}},
       {"k2", {"k2", "acme", Sha256Hex("mq_k2_x"), KeyState::kWithdrawn}}},
      {}, {}, {});
  const auto* key = configuration.CheckKey(text);
  BOOST_REQUIRE(key != nullptr);
  BOOST_TEST(key->workspace == "acme");
  for (const auto* wrong : {"mq_k1_ab_ce", "mq_k3_ab_cd", "mq_k2_x", "mq_k1", "mq__", "", "k1"}) {
    BOOST_TEST(configuration.CheckKey(wrong) == nullptr, wrong);
  }
  BOOST_TEST(configuration.KeyActive("k1"));
  BOOST_TEST(!configuration.KeyActive("k2"));
  BOOST_TEST(!configuration.KeyActive("k3"));
}

// Fails if a prefix matches within a path segment or a shorter prefix hides a longer one.
BOOST_AUTO_TEST_CASE(longest_whole_prefix_wins) {
  const Configuration configuration(1, {}, {}, {}, {},
                                    {{"/orders", RouteOf("/orders")},
                                     {"/orders/paid", RouteOf("/orders/paid")},
                                     {"/a", RouteOf("/a")}});
  const auto prefix = [&](absl::string_view path) {
    const auto* route = configuration.FindRoute(path);
    return route == nullptr ? std::string("none") : route->prefix;
  };
  BOOST_TEST(prefix("/orders") == "/orders");
  BOOST_TEST(prefix("/orders/") == "/orders");
  BOOST_TEST(prefix("/orders/17") == "/orders");
  BOOST_TEST(prefix("/orders/paid/1") == "/orders/paid");
  BOOST_TEST(prefix("/orders/paidout") == "/orders");
  BOOST_TEST(prefix("/orderss") == "none");
  BOOST_TEST(prefix("/") == "none");
  BOOST_TEST(prefix("orders") == "none");
  const Configuration with_root(1, {}, {}, {}, {}, {{"/", RouteOf("/")}});
  BOOST_TEST(with_root.FindRoute("/x/y") != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
