// Retries of a whole deployment stay within its budget while VMs start, are lost or start again.
#include "marigoldquay/dispatch/retry_burst_share.h"

#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

namespace marigoldquay {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
constexpr absl::Duration kStep = absl::Milliseconds(100);
constexpr absl::Duration kWindow = absl::Seconds(10);
constexpr int kStepsPerSecond = 10;
constexpr std::size_t kWindowSteps = 100;
constexpr double kRatio = 0.2;

/// VMs that send every retry that their budget grants, and few requests.
class SimulatedFleet {
 public:
  SimulatedFleet(std::size_t vms, double burst) : deployment_{kRatio, burst, kWindow} {
    for (std::size_t vm = 0; vm < vms; ++vm) {
      vms_.push_back(Started());
      vms_.back().share.OnList(vm + 1, true);
    }
  }

  std::size_t size() const { return vms_.size(); }
  absl::Time now() const { return now_; }
  /// Kills the VM and starts it again; the store still lists the earlier process unless `unlisted`.
  void Restart(std::size_t vm, bool unlisted = false) {
    vms_[vm] = Started();
    vms_[vm].share.OnList(std::min<std::size_t>(vms_.size(), 9), unlisted);
  }
  /// A coordinator counts the VMs from `first` to `last` as all there are.
  void CountAlone(std::size_t first, std::size_t last) {
    for (std::size_t vm = first; vm < last; ++vm) Count(vm, last - first);
  }
  void Count(std::size_t vm, std::size_t members) {
    vms_[vm].share.OnMemberCount(members, now_, now_);
  }
  double ShareOf(std::size_t vm) const { return vms_[vm].share.At(now_); }

  /// `vm_retries` tells which VMs have a use for retries.
  template <class Function>
  void Step(const Function& vm_retries) {
    requests_.push_back(0);
    retries_.push_back(0);
    for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
      Vm& state = vms_[vm];
      state.budget.SetLimits(LimitsOfVm(deployment_, state.share.At(now_)));
      if ((requests_.size() + vm) % 20 == 0) {
        state.budget.OnFirstAttempt(now_);
        ++requests_.back();
      }
      while (vm_retries(vm) && state.budget.TryAcquire(now_)) ++retries_.back();
    }
    now_ += kStep;
  }
  void Step() {
    Step([](std::size_t) { return true; });
  }

  /// Highest part of the deployment's budget that was used in a window; above 1 is a breach.
  double WorstWindow() const {
    double worst = 0;
    for (std::size_t end = 1; end <= retries_.size(); ++end) {
      const std::size_t begin = end - std::min(end, kWindowSteps);
      int requests = 0;
      int retries = 0;
      for (std::size_t i = begin; i < end; ++i) {
        requests += requests_[i];
        retries += retries_[i];
      }
      worst = std::max(worst, retries / (kRatio * requests + deployment_.burst));
    }
    return worst;
  }

 private:
  struct Vm {
    WindowedRetryBudget budget;
    RetryBurstShare share;
  };

  Vm Started() const { return {WindowedRetryBudget({0, 0, kWindow}), RetryBurstShare(kWindow)}; }

  const RetryBudgetLimits deployment_;
  absl::Time now_ = kStart;
  std::vector<Vm> vms_;
  std::vector<int> requests_;
  std::vector<int> retries_;
};

/// VMs and budgetBurst of deployments.
struct Deployment {
  std::size_t vms;
  double burst;
};
constexpr Deployment kDeployments[] = {{6, 52}, {9, 58}, {66, 178}, {270, 630}};

BOOST_AUTO_TEST_SUITE(retry_burst_share)

// Guards against 270 VMs that each take a tenth of the burst while none knows how many they are.
BOOST_AUTO_TEST_CASE(vms_that_start_together_stay_within_one_budget) {
  for (const auto& [vms, burst] : kDeployments) {
    SimulatedFleet fleet(vms, burst);
    for (int step = 0; step < 30 * kStepsPerSecond; ++step) {
      if (step >= 3 * kStepsPerSecond) fleet.CountAlone(0, vms);
      fleet.Step();
    }
    BOOST_TEST_MESSAGE(vms << " VMs start together: " << fleet.WorstWindow());
    BOOST_TEST(fleet.WorstWindow() <= 1);
    BOOST_TEST(fleet.ShareOf(0) == 1.0 / static_cast<double>(vms));
  }
}

// Guards against 270 VMs that take the first list that they read, which names a few others and not
// themselves, for that of a small fleet.
BOOST_AUTO_TEST_CASE(list_without_this_vm_gives_no_share) {
  RetryBurstShare share(kWindow);
  share.OnList(4, true);
  BOOST_TEST(share.At(kStart) > 0);
  share.OnList(0, true);
  BOOST_TEST(share.At(kStart) == 0);
}

// Guards against a VM without a share that sends no retry at all.
BOOST_AUTO_TEST_CASE(vm_that_knows_no_others_retries_by_the_ratio) {
  const RetryBurstShare share(kWindow);
  WindowedRetryBudget budget(LimitsOfVm({0.2, 52, kWindow}, share.At(kStart)));
  for (int i = 0; i < 100; ++i) budget.OnFirstAttempt(kStart);
  BOOST_TEST(budget.TryAcquire(kStart));
}

// Guards against shares that grow while VMs that are cut off, alone or with coordinators of their
// own, still spend theirs.
BOOST_AUTO_TEST_CASE(shares_of_lost_vms_are_not_granted_again) {
  constexpr int kLostAt = 20 * kStepsPerSecond;
  constexpr int kUncountedAt = kLostAt + 5 * kStepsPerSecond;
  for (const auto& [vms, burst] : kDeployments) {
    for (const bool own_coordinator : {false, true}) {
      SimulatedFleet fleet(vms, burst);
      const std::size_t left = vms / 3;
      for (int step = 0; step < 35 * kStepsPerSecond; ++step) {
        if (step < kLostAt) fleet.CountAlone(0, vms);
        if (step >= kUncountedAt) fleet.CountAlone(0, left);
        if (step >= kUncountedAt && own_coordinator) fleet.CountAlone(left, vms);
        // Those that are left need retries when they are counted alone, the others all the time.
        fleet.Step([&](std::size_t vm) {
          return step >= kUncountedAt + kStepsPerSecond || (vm >= left && step > kLostAt);
        });
      }
      BOOST_TEST_MESSAGE(vms << " VMs, two thirds lost: " << fleet.WorstWindow());
      BOOST_TEST(fleet.WorstWindow() <= 1);
    }
  }
}

// Guards against a VM that keeps its share for ever because it hears of no one.
BOOST_AUTO_TEST_CASE(share_ends_with_its_lease) {
  RetryBurstShare share(kWindow);
  const absl::Time counted_at = kStart + absl::Seconds(10);
  share.OnMemberCount(4, kStart, kStart);
  share.OnMemberCount(4, counted_at, counted_at + absl::Seconds(1));
  BOOST_TEST(share.At(counted_at + RetryBurstShare::kLease) == 0.25);
  BOOST_TEST(share.At(counted_at + RetryBurstShare::kLease + absl::Milliseconds(1)) == 0);
  // An older state, which was on its way for longer, confirms nothing.
  const absl::Time later = counted_at + absl::Seconds(6);
  share.OnMemberCount(4, counted_at - absl::Seconds(1), later);
  BOOST_TEST(share.At(later) == 0);
}

BOOST_AUTO_TEST_CASE(share_grows_after_lease_and_window) {
  RetryBurstShare share(kWindow);
  absl::Time now = kStart;
  for (const std::size_t members : {100, 270, 80, 90, 90}) {
    share.OnMemberCount(members, now, now);
    now += absl::Seconds(1);
  }
  BOOST_TEST(share.members(now) == 270);
  now = kStart + absl::Seconds(2) + RetryBurstShare::kLease + kWindow;
  share.OnMemberCount(90, now, now);
  BOOST_TEST(share.members(now) == 90);
  BOOST_TEST(share.At(now) == 1.0 / 90);
}

// Guards against a share that comes back at once, when the others have spent it meanwhile.
BOOST_AUTO_TEST_CASE(vm_that_was_lost_for_long_accrues_its_share_again) {
  RetryBurstShare share(kWindow);
  absl::Time now = kStart;
  for (; now <= kStart + kWindow; now += absl::Seconds(1)) share.OnMemberCount(2, now, now);
  BOOST_TEST(share.At(now) == 0.5);
  now += RetryBurstShare::kLease + kWindow;
  share.OnMemberCount(2, now, now);
  BOOST_TEST(share.At(now) == 0);
  now += kWindow / 2;
  share.OnMemberCount(2, now, now);
  BOOST_TEST(share.At(now) == 0.5 * RetryBurstShare::kStartingPart / 2);
}

// Guards against a small fleet that refuses every repeat in its first seconds.
BOOST_AUTO_TEST_CASE(new_vm_of_a_small_fleet_has_a_part_at_once) {
  for (const std::size_t vms : {1, 3, 6, 8}) {
    RetryBurstShare share(kWindow);
    BOOST_TEST(share.At(kStart) == 0);
    for (const std::size_t counted : {std::size_t{0}, vms}) {
      share.OnList(vms, true);
      BOOST_TEST(LimitsOfVm({0.2, 52, kWindow}, share.At(kStart)).burst >= 1.8);
      share.OnMemberCount(counted, kStart, kStart);
      BOOST_TEST(LimitsOfVm({0.2, 52, kWindow}, share.At(kStart)).burst >= 1.8);
    }
    share.OnList(vms, false);
    BOOST_TEST(share.At(kStart) == 0);
  }
  RetryBurstShare share(kWindow);
  share.OnList(9, true);
  share.OnMemberCount(9, kStart, kStart);
  BOOST_TEST(LimitsOfVm({0.2, 58, kWindow}, share.At(kStart)).burst >= 1.8);
}

// The first eight VMs of a large fleet stay in the list, so that one that joins sees nine.
BOOST_AUTO_TEST_CASE(vm_that_joins_a_large_fleet_has_no_part_at_once) {
  RetryBurstShare share(kWindow);
  share.OnList(9, true);
  BOOST_TEST(share.At(kStart) == 0);
  share.OnMemberCount(270, kStart, kStart);
  BOOST_TEST(share.At(kStart) == 0);
}

// An earlier process that is not listed any more ended 3.5 s ago or more.
BOOST_AUTO_TEST_CASE(restart_after_a_pause_stays_within_one_budget) {
  constexpr int kKill = 20 * kStepsPerSecond;
  for (const auto& [vms, burst] : kDeployments) {
    SimulatedFleet fleet(vms, burst);
    for (int step = 0; step < 45 * kStepsPerSecond; ++step) {
      for (std::size_t vm = 0; vm < vms && step == kKill + 1; ++vm) fleet.Restart(vm, true);
      const bool down = step > kKill && step < kKill + 7 * kStepsPerSecond / 2;
      if (!down) fleet.CountAlone(0, vms);
      fleet.Step([&](std::size_t) { return step >= kKill && !down; });
    }
    BOOST_TEST_MESSAGE(vms << " VMs killed once, unlisted: " << fleet.WorstWindow());
    BOOST_TEST(fleet.WorstWindow() <= 1);
  }
}

// Guards against a share for each start of a VM in a window.
BOOST_AUTO_TEST_CASE(restarts_of_all_vms_stay_within_one_budget) {
  constexpr int kFirstKill = 20 * kStepsPerSecond;
  for (const auto& [vms, burst] : kDeployments) {
    for (const int seconds_between : {1, 3, 9}) {
      SimulatedFleet fleet(vms, burst);
      for (int step = 0; step < 45 * kStepsPerSecond; ++step) {
        const int since_kill = step - kFirstKill;
        const bool kill = since_kill > 0 && since_kill % (seconds_between * kStepsPerSecond) == 0;
        for (std::size_t vm = 0; vm < vms && kill; ++vm) fleet.Restart(vm);
        fleet.CountAlone(0, vms);
        fleet.Step([&](std::size_t) { return step >= kFirstKill; });
      }
      BOOST_TEST_MESSAGE(vms << " VMs killed every " << seconds_between
                             << " s: " << fleet.WorstWindow());
      BOOST_TEST(fleet.WorstWindow() <= 1);
    }
  }
}

/// A coordinator that counts a lost VM for 5 s more.
class SimulatedCoordinator {
 public:
  explicit SimulatedCoordinator(std::size_t vms) : last_heard_(vms, kStart) {}

  void Broadcast(SimulatedFleet& fleet, const std::vector<bool>& cut) {
    std::size_t members = 0;
    for (std::size_t vm = 0; vm < cut.size(); ++vm) {
      if (!cut[vm]) last_heard_[vm] = fleet.now();
      if (fleet.now() - last_heard_[vm] < absl::Seconds(5)) ++members;
    }
    for (std::size_t vm = 0; vm < cut.size(); ++vm) {
      if (!cut[vm]) fleet.Count(vm, members);
    }
  }

 private:
  std::vector<absl::Time> last_heard_;
};

// Guards against sequences of faults that the cases above do not name.
BOOST_AUTO_TEST_CASE(any_faults_stay_within_one_budget) {
  BOOST_TEST(rc::check("retries in every window <= ratio x requests + burst", [] {
    const auto& [vms, burst] = kDeployments[*rc::gen::inRange(0, 4)];
    SimulatedFleet fleet(vms, burst);
    SimulatedCoordinator coordinator(vms);
    std::vector<bool> cut(vms, false);
    const int quiet_until = *rc::gen::inRange(0, 200);
    for (int step = 0; step < 400; ++step) {
      const int event = *rc::gen::inRange(0, 60);
      const auto first = static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(vms)));
      for (std::size_t vm = first; vm < vms; ++vm) {
        if (event == 0) cut[vm] = true;
        if (event == 1) cut[vm] = false;
        if (event == 2) fleet.Restart(vm);
      }
      if (step % 3 == 0) coordinator.Broadcast(fleet, cut);
      fleet.Step([&](std::size_t) { return step >= quiet_until; });
    }
    RC_ASSERT(fleet.WorstWindow() <= 1);
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
