// What a VM admits between two messages of its coordinator.
#include "marigoldquay/dispatch/quota_balances.h"

#include <boost/test/unit_test.hpp>

namespace marigoldquay {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
const AccountQuota kQuota{{QuotaAccount::Kind::kWorkspace, "w"}, 1000, 1000};

BOOST_AUTO_TEST_SUITE(quota_balances)

// Guards against VMs that together admit more than the level between two messages.
BOOST_AUTO_TEST_CASE(vm_admits_its_part_of_the_level) {
  QuotaBalances balances;
  balances.Update({{kQuota.account, 300}}, kStart);
  BOOST_TEST(balances.TryAdmit(kQuota, 60, 3));
  BOOST_TEST(!balances.TryAdmit(kQuota, 60, 3));
  BOOST_TEST(balances.TryAdmit(kQuota, 40, 3));
  balances.Update({{kQuota.account, -50}}, kStart);
  BOOST_TEST(!balances.TryAdmit(kQuota, 1, 3));
}

// Guards against 270 VMs that start together and each take a tenth of half a burst, as a VM assumes
// ten VMs until it hears their number.
BOOST_AUTO_TEST_CASE(nothing_is_admitted_before_the_first_level) {
  constexpr std::size_t kAssumedMembers = 10;
  TokenCount admitted = 0;
  for (int vm = 0; vm < 270; ++vm) {
    QuotaBalances balances;
    while (balances.TryAdmit(kQuota, 1, kAssumedMembers)) ++admitted;
  }
  BOOST_TEST(admitted <= kQuota.burst);
}

// An omitted level is at least half of the burst.
BOOST_AUTO_TEST_CASE(omitted_level_is_half_of_the_burst) {
  QuotaBalances balances;
  BOOST_TEST(QuotaBalances::IsOmitted(kQuota, 500));
  BOOST_TEST(!QuotaBalances::IsOmitted(kQuota, 499));
  balances.Update({}, kStart);
  BOOST_TEST(!balances.TryAdmit(kQuota, 251, 2));
  BOOST_TEST(balances.TryAdmit(kQuota, 250, 2));
}

// Guards against tokens that are admitted again because the coordinator has not heard of them.
BOOST_AUTO_TEST_CASE(unreported_tokens_count_against_the_next_level) {
  QuotaBalances balances;
  balances.Update({{kQuota.account, 300}}, kStart);
  BOOST_TEST(balances.TryAdmit(kQuota, 100, 3));
  balances.Update({{kQuota.account, 300}}, kStart);
  BOOST_TEST(!balances.TryAdmit(kQuota, 1, 3));
  BOOST_TEST(balances.TakeUnreported().at(kQuota.account) == 100);
  BOOST_TEST(!balances.has_unreported());
  balances.Update({{kQuota.account, 200}}, kStart);
  BOOST_TEST(balances.TryAdmit(kQuota, 60, 3));
}

// Guards against a request to the coordinator for each request of a workspace beyond its rate.
BOOST_AUTO_TEST_CASE(refusal_holds_for_a_short_time) {
  QuotaBalances balances;
  BOOST_TEST((balances.RefusalTimeLeft(kQuota.account, kStart) == absl::ZeroDuration()));
  balances.OnRefused(kQuota.account, absl::Milliseconds(30), kStart);
  BOOST_TEST((balances.RefusalTimeLeft(kQuota.account, kStart) == absl::Milliseconds(30)));
  balances.OnRefused(kQuota.account, absl::Seconds(20), kStart);
  BOOST_TEST((balances.RefusalTimeLeft(kQuota.account, kStart) <= absl::Milliseconds(100)));
  BOOST_TEST((balances.RefusalTimeLeft(kQuota.account, kStart + absl::Seconds(1)) ==
              absl::ZeroDuration()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
