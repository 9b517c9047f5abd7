// Role changes under load, and the minimum number of engines that keep each role.
#include "marigoldquay/dispatch/role_planner.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"

namespace marigoldquay {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

ServiceLoad Load(int prefill, int decode, double offered_load, double kv_utilization,
                 std::size_t waiting = 0) {
  ServiceLoad load;
  for (int i = 0; i < prefill; ++i) {
    load.engines.push_back({absl::StrCat("p", i), EngineRole::kPrefill, "z1", 0, 0});
  }
  for (int i = 0; i < decode; ++i) {
    load.engines.push_back({absl::StrCat("d", i), EngineRole::kDecode, "z1", i, kv_utilization});
  }
  load.prefill_load = offered_load;
  load.waiting = waiting;
  return load;
}

BOOST_AUTO_TEST_SUITE(role_planner)

// Guards against refused requests while prefill engines are idle.
BOOST_AUTO_TEST_CASE(idle_prefill_engine_changes_to_decode_when_memory_is_full) {
  RolePlanner planner;
  const auto changes = planner.Plan(Load(5, 4, 0.9, 0.9), kStart);
  BOOST_TEST_REQUIRE(changes.size() == 1U);
  BOOST_TEST((changes[0].role == EngineRole::kDecode));
}

BOOST_AUTO_TEST_CASE(requests_waiting_for_two_rounds_cause_a_change_to_decode) {
  RolePlanner planner;
  BOOST_TEST(planner.Plan(Load(5, 4, 0.9, 0.3, 3), kStart).empty());
  BOOST_TEST(planner.Plan(Load(5, 4, 0.9, 0.3, 3), kStart + absl::Seconds(1)).size() == 1U);
}

// A changing engine counts for neither role, and only a few engines change at the same time.
BOOST_AUTO_TEST_CASE(next_change_waits_for_the_pending_one) {
  RolePlanner planner;
  const auto first = planner.Plan(Load(5, 4, 0.9, 0.9), kStart);
  BOOST_TEST_REQUIRE(first.size() == 1U);
  planner.OnAccepted(first[0], kStart);
  BOOST_TEST(planner.Plan(Load(5, 4, 0.9, 0.9), kStart + absl::Seconds(1)).empty());
  // The pending change has timed out.
  BOOST_TEST(planner.Plan(Load(5, 4, 0.9, 0.9), kStart + absl::Seconds(11)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(idle_decode_engine_changes_to_prefill_when_prefill_is_busy) {
  RolePlanner planner;
  const auto changes = planner.Plan(Load(2, 6, 1.9, 0.2), kStart);
  BOOST_TEST_REQUIRE(changes.size() == 1U);
  BOOST_TEST((changes[0].role == EngineRole::kPrefill));
  BOOST_TEST(changes[0].engine == "d0");
}

// Guards against engines that oscillate between roles under a steady load.
BOOST_AUTO_TEST_CASE(roles_are_stable_under_steady_load) {
  RolePlanner planner;
  int prefill = 5;
  int decode = 4;
  int changes = 0;
  for (int second = 0; second < 120; ++second) {
    const double kv_utilization = std::min(1.0, 3.6 / decode);
    const absl::Time now = kStart + absl::Seconds(second);
    for (const auto& change : planner.Plan(Load(prefill, decode, 0.9, kv_utilization), now)) {
      ++changes;
      prefill += change.role == EngineRole::kPrefill ? 1 : -1;
      decode += change.role == EngineRole::kDecode ? 1 : -1;
    }
  }
  BOOST_TEST(changes <= 3);
  BOOST_TEST(prefill >= 2);
}

// No load changes the last engine of a role.
BOOST_AUTO_TEST_CASE(each_role_keeps_an_engine) {
  BOOST_TEST(rc::check("each role keeps at least one engine", [] {
    RolePlanner planner;
    int prefill = *rc::gen::inRange(1, 12);
    int decode = *rc::gen::inRange(1, 12);
    for (int second = 0; second < 40; ++second) {
      const double prefill_load = *rc::gen::inRange(0, 100) / 10.0;
      const double kv_utilization = *rc::gen::inRange(0, 11) / 10.0;
      const auto waiting = static_cast<std::size_t>(*rc::gen::inRange(0, 3));
      const auto load = Load(prefill, decode, prefill_load, kv_utilization, waiting);
      for (const auto& change : planner.Plan(load, kStart + absl::Seconds(second))) {
        prefill += change.role == EngineRole::kPrefill ? 1 : -1;
        decode += change.role == EngineRole::kDecode ? 1 : -1;
      }
      RC_ASSERT(prefill >= 1);
      RC_ASSERT(decode >= 1);
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
