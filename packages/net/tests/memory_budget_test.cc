// Memory that connections share.
#include "marigoldquay/net/memory_budget.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <vector>

namespace marigoldquay {
namespace {

constexpr std::size_t kKilobyte = 1024;
constexpr std::size_t kMegabyte = 1024 * kKilobyte;

BOOST_AUTO_TEST_SUITE(memory_budget)

// Guards against holders that together take more than the budget.
BOOST_AUTO_TEST_CASE(large_holders_leave_as_much_as_each_has) {
  MemoryBudget budget(40 * kMegabyte);
  std::vector<std::unique_ptr<MemoryHolding>> granted;
  for (int i = 0; i < 20; ++i) {
    auto holding = std::make_unique<MemoryHolding>(budget);
    if (holding->Resize(4 * kMegabyte)) granted.push_back(std::move(holding));
  }
  BOOST_TEST(granted.size() == 9U);
  BOOST_TEST(budget.held() == 36 * kMegabyte);
}

// Guards against small requests that are refused because of large ones.
BOOST_AUTO_TEST_CASE(small_holders_fit_beside_large_ones) {
  MemoryBudget budget(40 * kMegabyte);
  std::vector<std::unique_ptr<MemoryHolding>> holdings;
  for (int i = 0; i < 20; ++i) {
    holdings.push_back(std::make_unique<MemoryHolding>(budget));
    (void)holdings.back()->Resize(4 * kMegabyte);
  }
  for (int i = 0; i < 30; ++i) {
    holdings.push_back(std::make_unique<MemoryHolding>(budget));
    BOOST_TEST(holdings.back()->Resize(64 * kKilobyte));
  }
  // Even when nothing is free, each gets a little.
  MemoryBudget none(0);
  MemoryHolding holding(none);
  BOOST_TEST(holding.Resize(MemoryBudget::kAlwaysGranted));
  BOOST_TEST(!holding.Resize(MemoryBudget::kAlwaysGranted + 1));
}

// Guards against memory that is not given back, or given back twice, after which the budget refuses
// everything or grants too much.
BOOST_AUTO_TEST_CASE(refusals_and_ends_keep_the_sum) {
  MemoryBudget budget(kMegabyte);
  {
    MemoryHolding first(budget);
    MemoryHolding second(budget);
    BOOST_TEST(first.Resize(400 * kKilobyte));
    BOOST_TEST(!first.Resize(600 * kKilobyte));
    BOOST_TEST(first.bytes() == 400 * kKilobyte);
    BOOST_TEST(second.Resize(300 * kKilobyte));
    BOOST_TEST(budget.held() == 700 * kKilobyte);
    BOOST_TEST(first.Resize(100 * kKilobyte));
    second.Release();
    BOOST_TEST(budget.held() == 100 * kKilobyte);
  }
  BOOST_TEST(budget.held() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
