// Rates and bursts over time, and over several ledgers at once.
#include "marigoldquay/dispatch/quota_ledger.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <deque>

namespace marigoldquay {
namespace {

CatalogWorkspace MakeWorkspace(TokenCount rate, TokenCount burst) {
  CatalogWorkspace workspace;
  workspace.name = "w";
  workspace.quota = {rate, burst, 1};
  return workspace;
}

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

BOOST_AUTO_TEST_SUITE(quota_ledger)

// Guards against a new coordinator that hands out a burst that the old one has already spent.
BOOST_AUTO_TEST_CASE(bucket_starts_with_a_part_of_the_burst) {
  QuotaLedger ledger;
  const auto workspace = MakeWorkspace(1000, 1000);
  BOOST_TEST(ledger.Admit(workspace, 500, kStart).admitted);
  BOOST_TEST(!ledger.Admit(workspace, 10, kStart).admitted);
  BOOST_TEST(ledger.Admit(workspace, 400, kStart + absl::Milliseconds(500)).admitted);
  BOOST_TEST(!ledger.Admit(workspace, 400, kStart + absl::Milliseconds(500)).admitted);
}

// The tolerance belongs to all ledgers together, not to each.
BOOST_AUTO_TEST_CASE(tolerance_is_shared) {
  QuotaLedger half(0.5);
  half.SetTolerance(200);
  const auto workspace = MakeWorkspace(1000, 1000);
  BOOST_TEST(half.Level(workspace, kStart) == 250);
  BOOST_TEST(half.Level(workspace, kStart + absl::Seconds(60)) == 600);
}

// Guards against tokens handed out twice when VMs move from one coordinator to another.
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

// Guards against a small share's debt that grows with the share: of 79 VMs that start at once, the
// first to report would otherwise get the whole workspace refused.
BOOST_AUTO_TEST_CASE(spent_tokens_do_not_grow_with_the_share) {
  QuotaLedger ledger(0.01);
  const auto workspace = MakeWorkspace(1000, 1000);
  ledger.Charge(workspace, 100, kStart);
  ledger.SetShare(1.0);
  BOOST_TEST(ledger.Level(workspace, kStart) == 400);
}

// A VM that leaves and comes back may have spent its part in between.
BOOST_AUTO_TEST_CASE(share_that_comes_back_brings_nothing) {
  QuotaLedger ledger(1.0);
  const auto workspace = MakeWorkspace(1000, 1000);
  BOOST_TEST(ledger.Level(workspace, kStart) == 500);
  ledger.SetShare(0.5);
  BOOST_TEST(ledger.Level(workspace, kStart) == 250);
  ledger.SetShare(1.0);
  BOOST_TEST(ledger.Level(workspace, kStart) == 250);
}

// Guards against a VM that hands out half of a nearly spent burst when it loses its coordinator.
BOOST_AUTO_TEST_CASE(bucket_starts_with_no_more_than_the_fleet_has_left) {
  const auto workspace = MakeWorkspace(1000, 1000);
  for (const TokenCount left : {400, 100, -100}) {
    QuotaLedger ledger(0.0);
    ledger.CapInitialLevel(workspace, left, kStart);
    ledger.SetShare(0.5);
    BOOST_TEST(ledger.Level(workspace, kStart) == left / 2);
  }
}

BOOST_AUTO_TEST_CASE(retry_after_is_when_the_tokens_are_there) {
  QuotaLedger ledger;
  const auto workspace = MakeWorkspace(1000, 1000);
  BOOST_TEST(ledger.Admit(workspace, 500, kStart).admitted);
  const auto decision = ledger.Admit(workspace, 500, kStart);
  BOOST_TEST(!decision.admitted);
  BOOST_TEST(absl::ToInt64Milliseconds(decision.retry_after) == 500);
  BOOST_TEST(ledger.Admit(workspace, 500, kStart + decision.retry_after).admitted);
}

BOOST_AUTO_TEST_CASE(no_rate_means_no_limit) {
  QuotaLedger ledger;
  BOOST_TEST(ledger.Admit(MakeWorkspace(0, 0), 1'000'000, kStart).admitted);
}

// A request larger than the burst would otherwise never be served.
BOOST_AUTO_TEST_CASE(large_request_is_admitted_from_a_full_bucket_and_leaves_a_debt) {
  QuotaLedger ledger;
  const auto workspace = MakeWorkspace(100, 100);
  (void)ledger.Level(workspace, kStart);
  const auto full = kStart + absl::Seconds(10);
  BOOST_TEST(ledger.Admit(workspace, 300, full).admitted);
  BOOST_TEST(ledger.Level(workspace, full) == -200);
}

// Guards against an excess when two coordinators act at once: their shares add up to one.
BOOST_AUTO_TEST_CASE(shares_of_two_ledgers_stay_within_the_rate) {
  rc::check("admitted tokens in every window stay within rate x window + burst", [] {
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
        // Each ledger may leave a debt of one request that is larger than its share of the burst.
        RC_ASSERT(static_cast<double>(sum) <= 1000 * window + 500 + 2 * 60);
      }
    }
  });
}

BOOST_AUTO_TEST_CASE(charge_may_leave_a_debt) {
  QuotaLedger ledger;
  const auto workspace = MakeWorkspace(1000, 1000);
  ledger.Charge(workspace, 700, kStart);
  BOOST_TEST(ledger.Level(workspace, kStart) == -200);
  BOOST_TEST(ledger.Level(workspace, kStart + absl::Seconds(1)) == 800);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
