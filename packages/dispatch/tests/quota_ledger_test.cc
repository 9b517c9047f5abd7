// Rates and bursts of one ledger over time and of several ledgers together.
#include "marigoldquay/dispatch/quota_ledger.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <deque>
#include <vector>

namespace marigoldquay {
namespace {

AccountQuota MakeWorkspace(TokenCount rate, TokenCount burst) {
  CatalogWorkspace workspace;
  workspace.name = "w";
  workspace.quota = {rate, burst, 1};
  return QuotaOf(workspace);
}

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

BOOST_AUTO_TEST_SUITE(quota_ledger)

// Guards against a new coordinator that grants a burst that the previous one has already spent.
BOOST_AUTO_TEST_CASE(new_bucket_holds_part_of_the_burst) {
  QuotaLedger ledger;
  const auto workspace = MakeWorkspace(1000, 1000);
  BOOST_TEST(ledger.Admit(workspace, 500, kStart).admitted);
  BOOST_TEST(!ledger.Admit(workspace, 10, kStart).admitted);
  BOOST_TEST(ledger.Admit(workspace, 400, kStart + absl::Milliseconds(500)).admitted);
  BOOST_TEST(!ledger.Admit(workspace, 400, kStart + absl::Milliseconds(500)).admitted);
}

// The tolerance applies to all ledgers together, not to each ledger.
BOOST_AUTO_TEST_CASE(tolerance_is_scaled_by_the_share) {
  QuotaLedger half(0.5);
  half.SetTolerance(200);
  const auto workspace = MakeWorkspace(1000, 1000);
  BOOST_TEST(half.Level(workspace, kStart) == 250);
  BOOST_TEST(half.Level(workspace, kStart + absl::Seconds(60)) == 600);
}

// Guards against tokens granted twice while VMs move from one coordinator to another.
BOOST_AUTO_TEST_CASE(level_moves_with_the_share) {
  QuotaLedger old_ledger(1.0);
  QuotaLedger new_ledger(0.0);
  const auto workspace = MakeWorkspace(1000, 1000);
  BOOST_TEST(old_ledger.Admit(workspace, 200, kStart).admitted);
  BOOST_TEST(new_ledger.Level(workspace, kStart) == 0);
  for (const double moved : {0.25, 0.5, 1.0}) {
    new_ledger.CapInitialLevel(workspace, 300, kStart);
    old_ledger.SetShare(1.0 - moved);
    new_ledger.SetShare(moved);
    BOOST_TEST(old_ledger.Level(workspace, kStart) + new_ledger.Level(workspace, kStart) == 300);
  }
}

// Guards against spent tokens that are scaled up with the share: when 79 VMs start at once, the
// first one to report would otherwise cause every request of the workspace to be refused.
BOOST_AUTO_TEST_CASE(spent_tokens_do_not_grow_with_the_share) {
  QuotaLedger ledger(0.01);
  const auto workspace = MakeWorkspace(1000, 1000);
  ledger.Charge(workspace, 100, kStart);
  ledger.SetShare(1.0);
  BOOST_TEST(ledger.Level(workspace, kStart) == 400);
}

// A VM that leaves and returns may have spent its tokens in the meantime.
BOOST_AUTO_TEST_CASE(restored_share_adds_no_tokens) {
  QuotaLedger ledger(1.0);
  const auto workspace = MakeWorkspace(1000, 1000);
  BOOST_TEST(ledger.Level(workspace, kStart) == 500);
  ledger.SetShare(0.5);
  BOOST_TEST(ledger.Level(workspace, kStart) == 250);
  ledger.SetShare(1.0);
  BOOST_TEST(ledger.Level(workspace, kStart) == 250);
}

// Guards against a VM that loses its coordinator and grants half of a nearly spent burst.
BOOST_AUTO_TEST_CASE(initial_level_is_capped_by_the_fleet_level) {
  const auto workspace = MakeWorkspace(1000, 1000);
  for (const TokenCount left : {400, 100, -100}) {
    QuotaLedger ledger(0.0);
    ledger.CapInitialLevel(workspace, left, kStart);
    ledger.SetShare(0.5);
    BOOST_TEST(ledger.Level(workspace, kStart) == left / 2);
  }
}

BOOST_AUTO_TEST_CASE(retry_after_is_the_time_until_the_tokens_are_available) {
  QuotaLedger ledger;
  const auto workspace = MakeWorkspace(1000, 1000);
  BOOST_TEST(ledger.Admit(workspace, 500, kStart).admitted);
  const auto decision = ledger.Admit(workspace, 500, kStart);
  BOOST_TEST(!decision.admitted);
  BOOST_TEST(absl::ToInt64Milliseconds(decision.retry_after) == 500);
  BOOST_TEST(ledger.Admit(workspace, 500, kStart + decision.retry_after).admitted);
}

BOOST_AUTO_TEST_CASE(rate_of_0_means_no_limit) {
  QuotaLedger ledger;
  BOOST_TEST(ledger.Admit(MakeWorkspace(0, 0), 1'000'000, kStart).admitted);
}

// A request larger than the burst would never be admitted otherwise.
BOOST_AUTO_TEST_CASE(request_above_the_burst_is_admitted_from_a_full_bucket) {
  QuotaLedger ledger;
  const auto workspace = MakeWorkspace(100, 100);
  (void)ledger.Level(workspace, kStart);
  const auto full = kStart + absl::Seconds(10);
  BOOST_TEST(ledger.Admit(workspace, 300, full).admitted);
  BOOST_TEST(ledger.Level(workspace, full) == -200);
}

// Guards against a workspace that gets a request from every VM at once when the coordinator is
// lost and the share of a VM in the burst is smaller than a request.
BOOST_AUTO_TEST_CASE(small_shares_do_not_admit_a_request_each) {
  const auto workspace = MakeWorkspace(30'000, 60'000);
  constexpr TokenCount kCost = 5271;
  std::vector<QuotaLedger> ledgers(295, QuotaLedger(1.0 / 295));
  TokenCount tokens = 0;
  for (int second = 0; second <= 8; ++second) {
    for (auto& ledger : ledgers) {
      const auto now = kStart + absl::Seconds(second);
      if (ledger.Admit(workspace, kCost, now).admitted) tokens += kCost;
    }
    BOOST_TEST(tokens <= 30'000 * second + 60'000);
  }
}

// Guards against exceeding the rate while two coordinators are active: their shares add up to 1.
BOOST_AUTO_TEST_CASE(shares_of_two_ledgers_stay_within_the_rate) {
  BOOST_TEST(rc::check("admitted tokens in every window stay within rate x window + burst", [] {
    const auto workspace = MakeWorkspace(1000, 500);
    const double part = 0.1 * static_cast<double>(*rc::gen::inRange(0, 11));
    QuotaLedger first(part);
    QuotaLedger second(1.0 - part);
    struct Spend {
      absl::Time time;
      TokenCount tokens;
    };
    std::deque<Spend> spends;
    absl::Time now = kStart;
    for (int i = 0; i < 300; ++i) {
      now += absl::Milliseconds(*rc::gen::inRange(0, 80));
      const TokenCount tokens = *rc::gen::inRange(1, 60);
      QuotaLedger& ledger = *rc::gen::arbitrary<bool>() ? first : second;
      if (ledger.Admit(workspace, tokens, now).admitted) spends.push_back({now, tokens});
    }
    for (std::size_t begin = 0; begin < spends.size(); ++begin) {
      TokenCount sum = 0;
      for (std::size_t end = begin; end < spends.size(); ++end) {
        sum += spends[end].tokens;
        const double window = absl::ToDoubleSeconds(spends[end].time - spends[begin].time);
        // The level of each ledger may become negative by one request above its share of the burst.
        RC_ASSERT(static_cast<double>(sum) <= 1000 * window + 500 + 2 * 60);
      }
    }
  }));
}

BOOST_AUTO_TEST_CASE(charge_may_make_the_level_negative) {
  QuotaLedger ledger;
  const auto workspace = MakeWorkspace(1000, 1000);
  ledger.Charge(workspace, 700, kStart);
  BOOST_TEST(ledger.Level(workspace, kStart) == -200);
  BOOST_TEST(ledger.Level(workspace, kStart + absl::Seconds(1)) == 800);
}

// Guards against a caller that pays for requests which did not run, and against a refund that gives
// a workspace more than it would have had.
BOOST_AUTO_TEST_CASE(refund_restores_the_level_without_the_charge) {
  BOOST_TEST(rc::check("a refunded charge leaves no trace", [] {
    const auto workspace = MakeWorkspace(1000, 1000);
    QuotaLedger charged;
    QuotaLedger untouched;
    absl::Time now = kStart;
    // A bucket begins with its first use.
    RC_ASSERT(charged.Level(workspace, now) == untouched.Level(workspace, now));
    for (int i = 0; i < 20; ++i) {
      const TokenCount tokens = *rc::gen::inRange(1, 900);
      const bool refunded = charged.Admit(workspace, tokens, now).admitted;
      now += absl::Milliseconds(*rc::gen::inRange(0, 2000));
      if (refunded) charged.Refund(workspace, tokens, now);
      const TokenCount run = *rc::gen::inRange(1, 300);
      charged.Charge(workspace, run, now);
      untouched.Charge(workspace, run, now);
      // Levels are rounded down.
      RC_ASSERT(std::abs(charged.Level(workspace, now) - untouched.Level(workspace, now)) <= 1);
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
