// What a plan tells the operator.
#include "marigoldquay/config/plan.h"

#include <boost/test/unit_test.hpp>

#include "marigoldquay/config/object_tables.h"
#include "sample_records.h"

namespace marigoldquay {
namespace {

using testing::IntentJson;
using testing::PutText;
using testing::WithdrawText;
using testing::WorkspaceText;

Configuration Base() {
  return {5,
          {{"w", {"w", 1, 100, 100}}, {"v", {"v", 1, 30, 100}}},
          {{"k", {"k", "w", std::string(64, 'a'), KeyState::kActive}}},
          {{"p", {"p", PoolKind::kModel, "m"}}},
          {{"b1", {"b1", "p", BackendRole::kDecode, "h:1"}},
           {"b2", {"b2", "p", BackendRole::kDecode, "h:2"}}},
          {}};
}

BOOST_AUTO_TEST_SUITE(plan)

// Fails if the operator is not told what is drained or what happens to capacity and rates.
BOOST_AUTO_TEST_CASE(plan_shows_order_drain_capacity_and_rates) {
  const auto intent =
      IntentJson(WithdrawText("key", "k") + "," + WithdrawText("workspace", "w") + "," +
                 PutText("backend_server", "b1", R"("state":"leaving")") + "," +
                 PutText("backend_server", "b3", R"("pool":"q","role":"prefill","address":"h:3")") +
                 "," + PutText("pool", "q", R"("model":"n")") + "," + WorkspaceText("v", 40));
  const auto plan = std::get<0>(Capture<Plan>([&] { return ComputePlan(intent, Base()); }));
  std::vector<std::string> order;
  for (const auto& step : plan.steps) order.push_back(step.id);
  BOOST_TEST(order == (std::vector<std::string>{"v", "q", "b1", "b3", "k", "w"}),
             boost::test_tools::per_element());
  BOOST_TEST((plan.steps[1].action == StepAction::kCreate));
  BOOST_TEST((plan.steps[2].action == StepAction::kChange));
  BOOST_TEST((plan.drained_servers == std::vector<std::string>{"b1"}));
  BOOST_TEST((plan.drained_keys == std::vector<std::string>{"k"}));
  BOOST_TEST(plan.capacity.size() == 2U);
  BOOST_TEST((plan.capacity.at({"p", BackendRole::kDecode}) == Effect{2, 1}));
  BOOST_TEST((plan.capacity.at({"q", BackendRole::kPrefill}) == Effect{0, 1}));
  BOOST_TEST((plan.rate_sum == Effect{130, 40}));
  BOOST_TEST((plan.rates.at("w") == Effect{100, 0}));
  BOOST_TEST((plan.rates.at("v") == Effect{30, 40}));
  BOOST_TEST(plan.base_revision == 5U);
  BOOST_TEST(plan.digest == PlanDigest(intent, 5));
  const auto json = ToJson(plan);
  BOOST_TEST(boost::json::serialize(json.at("steps").as_array()[0].at("fields").at("rate")) ==
             R"({"from":30,"to":40})");
}

// Fails if a confirm of nothing can be prepared.
BOOST_AUTO_TEST_CASE(intent_without_change_is_refused) {
  const auto plan = Capture<Plan>(
      [&] { return ComputePlan(IntentJson(PutText("workspace", "v", R"("rate":30)")), Base()); });
  BOOST_REQUIRE(plan.index() == 1);
  BOOST_TEST((std::get<1>(plan).code == ErrorCode::kInvalidArgument));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
