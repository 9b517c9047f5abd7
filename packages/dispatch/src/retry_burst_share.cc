// Limits of one VM among those that a coordinator counts.
#include "marigoldquay/dispatch/retry_burst_share.h"

namespace marigoldquay {
namespace {

// Parts of the deployment's limits that are used, so that counting on both sides may differ.
constexpr double kRatioPart = 0.8;
constexpr double kBurstPart = 0.7;

}  // namespace

RetryBudgetLimits LimitsOfVm(const RetryBudgetLimits& deployment, double burst_share) {
  return {deployment.ratio * kRatioPart, deployment.burst * kBurstPart * burst_share,
          deployment.window};
}

void RetryBurstShare::OnMemberCount(std::size_t members) {
  if (members > 0) members_ = members;
}

double RetryBurstShare::value() const {
  return members_ > 0 ? 1.0 / static_cast<double>(members_) : 0;
}

}  // namespace marigoldquay
