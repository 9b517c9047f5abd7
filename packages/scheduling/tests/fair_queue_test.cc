// Fair queue: guards against workspaces that get more or less than their share.
#include "marigoldquay/scheduling/fair_queue.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

#include "absl/strings/str_cat.h"
#include "property.h"

namespace marigoldquay {
namespace {

QueuedRequest Make(std::uint64_t ticket, const WorkspaceId& workspace, std::int32_t weight,
                   double cost, std::int32_t priority = 0) {
  QueuedRequest request{.ticket = ticket, .cost = cost};
  request.request.workspace = workspace;
  request.request.weight = weight;
  request.request.priority = priority;
  return request;
}

const auto kPlaceAny = [](const QueuedRequest&) { return true; };

BOOST_AUTO_TEST_SUITE(fair_queue)

// Fails if two backlogged workspaces are served in other shares than their weights.
BOOST_AUTO_TEST_CASE(shares_follow_weights) {
  testing::CheckProperty("service per weight differs by a bounded cost", [] {
    const FairQueueOptions options{.max_per_workspace = 5000, .max_total = 10000};
    FairQueue queue(options);
    const std::int32_t weight_a = *rc::gen::inRange(1, 1001);
    const std::int32_t weight_b = *rc::gen::inRange(1, 1001);
    constexpr int kMaxCost = 400;
    const auto costs = *rc::gen::container<std::vector<int>>(50, rc::gen::inRange(1, kMaxCost));
    for (std::uint64_t i = 0; i < 4000; ++i) {
      queue.Push(Make(2 * i, "a", weight_a, costs[i % 50]));
      queue.Push(Make(2 * i + 1, "b", weight_b, costs[(i * 7) % 50]));
    }
    std::map<WorkspaceId, double> served;
    for (int i = 0; i < 3000; ++i) {
      const auto request = queue.ServeOne(kPlaceAny);
      RC_ASSERT(request.has_value());
      served[request->request.workspace] += request->cost;
    }
    // Credit, one quantum and one request, each relative to the smaller weight.
    const double slack =
        (options.max_credit + options.quantum + kMaxCost) / std::min(weight_a, weight_b);
    RC_ASSERT(std::abs(served["a"] / weight_a - served["b"] / weight_b) <= 2 * slack);
  });
}

// Fails if a request is lost, served twice or never served.
BOOST_AUTO_TEST_CASE(every_request_is_served_once) {
  testing::CheckProperty("all requests come out once", [] {
    FairQueue queue;
    const int count = *rc::gen::inRange(1, 200);
    for (int i = 0; i < count; ++i) {
      queue.Push(Make(i, absl::StrCat("w", *rc::gen::inRange(0, 8)), *rc::gen::inRange(1, 1001),
                      *rc::gen::inRange(1, 5000), *rc::gen::inRange(-2, 3)),
                 *rc::gen::arbitrary<bool>());
    }
    std::set<std::uint64_t> seen;
    const auto removed = *rc::gen::inRange(0, count);
    if (queue.Remove(removed)) seen.insert(removed);
    while (const auto request = queue.ServeOne(kPlaceAny)) {
      RC_ASSERT(seen.insert(request->ticket).second);
    }
    RC_ASSERT(static_cast<int>(seen.size()) == count);
    RC_ASSERT(queue.empty());
    RC_ASSERT(queue.total_cost() == 0.0);
  });
}

BOOST_AUTO_TEST_CASE(priority_then_arrival_inside_a_workspace) {
  FairQueue queue;
  queue.Push(Make(1, "a", 1, 1));
  queue.Push(Make(2, "a", 1, 1, 5));
  queue.Push(Make(3, "a", 1, 1));
  queue.Push(Make(4, "a", 1, 1), true);
  for (const std::uint64_t expected : {2, 4, 1, 3}) {
    BOOST_TEST(queue.ServeOne(kPlaceAny)->ticket == expected);
  }
}

// Fails if small requests starve a large one that needs more room than is free at once.
BOOST_AUTO_TEST_CASE(large_request_is_passed_a_bounded_number_of_times) {
  FairQueue queue({.max_bypassed = 3});
  queue.Push(Make(1, "large", 1, 50));
  int passed = 0;
  for (std::uint64_t i = 2; i < 50; ++i) {
    queue.Push(Make(i, absl::StrCat("small", i), 1, 1));
    passed += queue.ServeOne([](const auto& r) { return r.ticket != 1; }).has_value() ? 1 : 0;
  }
  BOOST_TEST(passed == 3);
  BOOST_TEST(queue.ServeOne(kPlaceAny).has_value());
}

// Fails if a workspace below its share waits behind the backlog of another one.
BOOST_AUTO_TEST_CASE(returning_workspace_goes_first) {
  FairQueue queue;
  for (std::uint64_t i = 0; i < 100; ++i) queue.Push(Make(i, "busy", 1, 100));
  for (int i = 0; i < 30; ++i) queue.ServeOne(kPlaceAny);
  queue.Push(Make(1000, "rare", 1, 100));
  BOOST_TEST(queue.ServeOne(kPlaceAny)->ticket == 1000U);
  BOOST_TEST(queue.CostAhead("rare", 1, 0, 100) < queue.CostAhead("busy", 1, 0, 100));
}

BOOST_AUTO_TEST_CASE(queues_are_bounded) {
  FairQueue queue({.max_per_workspace = 2, .max_total = 3});
  BOOST_TEST(queue.Push(Make(1, "a", 1, 1)));
  BOOST_TEST(queue.Push(Make(2, "a", 1, 1)));
  BOOST_TEST(!queue.Push(Make(3, "a", 1, 1)));
  BOOST_TEST(queue.Push(Make(4, "b", 1, 1)));
  BOOST_TEST(!queue.Push(Make(5, "c", 1, 1)));
  BOOST_TEST(queue.size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
