// Workspace homes: guards against grants without the role, repeated grants and refunds, and
// allowances beyond their part of the burst.
#include "marigoldquay/quota/workspace_homes.h"

#include <boost/test/unit_test.hpp>

#include "quota_cluster.h"

namespace marigoldquay {
namespace {

using testing::QuotaCluster;
using testing::SimVm;

constexpr WorkspaceLimits kLimits{100, 1000};

// One VM that has been the home of workspace "w" for a minute.
struct HomesFixture {
  HomesFixture() {
    cluster.SetWorkspaces({{"w", kLimits}});
    AdvanceTime(absl::Seconds(1));
    AdvanceTime(absl::Seconds(60));
  }
  void AdvanceTime(absl::Duration step) {
    cluster.clock.Advance(step);
    cluster.Tick();
  }
  QuotaCluster cluster{1};
  SimVm& vm = cluster.Join("vm-0");
};

BOOST_FIXTURE_TEST_SUITE(workspace_homes, HomesFixture)

// Fails if a repeated request takes tokens twice, or a repeated settlement returns them twice.
BOOST_AUTO_TEST_CASE(repeated_messages_have_one_effect) {
  const auto first = vm.homes.Reserve("w", "r1", 400);
  const auto second = vm.homes.Reserve("w", "r1", 400);
  BOOST_TEST((first.status == ReserveStatus::kGranted));
  BOOST_TEST(first.reservation_id == second.reservation_id);
  BOOST_TEST(*vm.homes.Level("w") == 100);
  BOOST_TEST((vm.homes.Reserve("w", "r1", 500).status == ReserveStatus::kRefused));
  vm.homes.Settle("w", first.reservation_id, 300);
  vm.homes.Settle("w", first.reservation_id, 300);
  BOOST_TEST(*vm.homes.Level("w") == 400);
}

// Fails if a home grants after it handed the workspace over, or loses the balance.
BOOST_AUTO_TEST_CASE(released_workspace_is_not_granted_again) {
  BOOST_REQUIRE((vm.homes.Reserve("w", "r1", 200).status == ReserveStatus::kGranted));
  const Instance to{"vm-1", 9};
  const auto balances = vm.homes.Release(to, cluster.epoch, {"vm-1"});
  BOOST_REQUIRE(balances.size() == 1);
  BOOST_TEST(balances[0].first == "workspace/w");
  BOOST_TEST(balances[0].second == 300);
  vm.homes.Refresh();
  BOOST_TEST((vm.homes.Reserve("w", "r2", 1).status == ReserveStatus::kNotOwner));
  BOOST_TEST((vm.homes.Release(to, cluster.epoch, {"vm-1"}) == balances));
}

// Fails if a repeated Accept adds the balance twice.
BOOST_AUTO_TEST_CASE(balance_is_accepted_once) {
  QuotaCluster other(2);
  other.SetWorkspaces({{"w", kLimits}});
  SimVm& to = other.Join("vm-0");
  to.homes.Accept({{"workspace/w", 200}, {"steward/b", 7}});
  to.homes.Accept({{"workspace/w", 200}});
  other.Tick();
  BOOST_TEST(*to.homes.Level("w") == 200);
}

// Fails if a request between half the burst and the burst can never be granted.
BOOST_AUTO_TEST_CASE(request_up_to_the_burst_is_possible) {
  BOOST_TEST((vm.homes.Reserve("w", "r0", 1001).status == ReserveStatus::kTooLarge));
  BOOST_REQUIRE(vm.homes.GrantAllowance(vm.instance, "w", 0, 300).total > 0);
  const auto answer = vm.homes.Reserve("w", "r1", 1000);
  BOOST_TEST((answer.status == ReserveStatus::kRefused));
  AdvanceTime(absl::Seconds(10));
  AdvanceTime(answer.retry_after - absl::Seconds(10));
  BOOST_TEST((vm.homes.Reserve("w", "r1", 1000).status == ReserveStatus::kGranted));
}

// Fails if the allowances of all VMs exceed half the burst, or a new home grants any.
BOOST_AUTO_TEST_CASE(allowances_are_bounded) {
  std::vector<SimVm*> vms;
  for (int i = 1; i < 6; ++i) vms.push_back(&cluster.Join(absl::StrCat("vm-", i)));
  AdvanceTime(absl::Seconds(1));
  for (int i = 0; i < 10; ++i) AdvanceTime(absl::Seconds(1));
  SimVm* home = cluster.roles["workspace/w"].holder;
  BOOST_REQUIRE(home != nullptr);
  TokenCount sum = 0;
  for (int round = 0; round < 5; ++round) {
    sum = 0;
    for (const auto* sender : vms) {
      sum += home->homes.GrantAllowance(sender->instance, "w", 1000, 5000).total;
    }
    AdvanceTime(absl::Milliseconds(500));
  }
  BOOST_TEST(sum > 0);
  BOOST_TEST(sum <= kLimits.burst / 2);
  cluster.Kill(*home);
  while (cluster.roles["workspace/w"].holder == home ||
         cluster.roles["workspace/w"].holder == nullptr) {
    AdvanceTime(absl::Milliseconds(100));
  }
  SimVm* next = cluster.roles["workspace/w"].holder;
  AdvanceTime(absl::Seconds(9));
  BOOST_TEST(next->homes.GrantAllowance(next->instance, "w", 0, 100).total == 0);
  AdvanceTime(absl::Seconds(2));
  BOOST_TEST(next->homes.GrantAllowance(next->instance, "w", 0, 100).total > 0);
}

// Fails if a workspace created long after the role was acquired starts empty.
BOOST_AUTO_TEST_CASE(workspace_created_later_starts_full) {
  cluster.SetWorkspaces({{"w", kLimits}, {"new", kLimits}});
  AdvanceTime(absl::Milliseconds(100));
  BOOST_TEST(*vm.homes.Level("new") == 500);
  // Created again under the same name, it continues with its previous level.
  BOOST_REQUIRE((vm.homes.Reserve("new", "r1", 500).status == ReserveStatus::kGranted));
  cluster.SetWorkspaces({{"w", kLimits}});
  AdvanceTime(absl::Seconds(1));
  BOOST_TEST((vm.homes.Reserve("new", "r2", 1).status == ReserveStatus::kNotOwner));
  cluster.SetWorkspaces({{"w", kLimits}, {"new", kLimits}});
  AdvanceTime(absl::Milliseconds(100));
  BOOST_TEST(*vm.homes.Level("new") <= 110);
}

// Fails if, while the home does not respond, a VM grants more than its allowance or cannot grant
// from it, or if a reservation whose reply was lost keeps its tokens.
BOOST_AUTO_TEST_CASE(allowance_covers_an_unresponsive_home) {
  SimVm& other_vm = cluster.Join("vm-1");
  for (int i = 0; i < 20; ++i) AdvanceTime(absl::Milliseconds(100));
  SimVm* home = cluster.roles["workspace/w"].holder;
  SimVm& client_vm = home == &vm ? other_vm : vm;
  for (int i = 0; i < 130; ++i) {
    AdvanceTime(absl::Milliseconds(100));
    if (i % 20 == 0) {
      BOOST_TEST(client_vm.service.Reserve("w", absl::StrCat("r", i), 10).granted());
    }
  }
  const TokenCount held = client_vm.service.allowance("w");
  BOOST_TEST(held > 20);
  cluster.Pause(*home, absl::Milliseconds(300));
  const auto covered = client_vm.service.Reserve("w", "covered", 20);
  BOOST_TEST(covered.granted());
  BOOST_TEST(covered.reservation_id == 0);
  BOOST_TEST(client_vm.service.allowance("w") == held - 20);
  BOOST_TEST(
      (client_vm.service.Reserve("w", "more", 400).outcome == ReserveOutcome::kHomeUnavailable));
  for (int i = 0; i < 25; ++i) AdvanceTime(absl::Milliseconds(100));
  BOOST_TEST(client_vm.service.queued_settlements() == 0);
  // The home granted 420 tokens that no request used. If they were not returned, 2.5 s of refill
  // would leave the level below 400.
  BOOST_TEST(*home->homes.Level("w") >= 400);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
