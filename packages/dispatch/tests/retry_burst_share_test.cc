// Retries of a whole deployment stay within its budget while VMs start or are lost.
#include "marigoldquay/dispatch/retry_burst_share.h"

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
    for (std::size_t vm = 0; vm < vms; ++vm) vms_.push_back(Started());
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
  const absl::Time counted_at = kStart + absl::Seconds(20);
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
  absl::Time now = kStart + absl::Seconds(20);
  for (const std::size_t members : {100, 270, 80, 90, 90}) {
    share.OnMemberCount(members, now, now);
    now += absl::Seconds(1);
  }
  BOOST_TEST(share.members(now) == 270);
  now = kStart + absl::Seconds(22) + RetryBurstShare::kLease + kWindow;
  share.OnMemberCount(90, now, now);
  BOOST_TEST(share.members(now) == 90);
  BOOST_TEST(share.At(now) == 1.0 / 90);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
