// Retries of a whole deployment stay within its budget while VMs start.
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
  void Count(std::size_t vm, std::size_t members) { vms_[vm].share.OnMemberCount(members); }
  double ShareOf(std::size_t vm) const { return vms_[vm].share.value(); }

  void Step() {
    requests_.push_back(0);
    retries_.push_back(0);
    for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
      Vm& state = vms_[vm];
      state.budget.SetLimits(LimitsOfVm(deployment_, state.share.value()));
      if ((requests_.size() + vm) % 20 == 0) {
        state.budget.OnFirstAttempt(now_);
        ++requests_.back();
      }
      while (state.budget.TryAcquire(now_)) ++retries_.back();
    }
    now_ += kStep;
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

  Vm Started() const { return {WindowedRetryBudget({0, 0, kWindow}), RetryBurstShare()}; }

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
  const RetryBurstShare share;
  WindowedRetryBudget budget(LimitsOfVm({0.2, 52, kWindow}, share.value()));
  for (int i = 0; i < 100; ++i) budget.OnFirstAttempt(kStart);
  BOOST_TEST(budget.TryAcquire(kStart));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
