// Leases and the number of VMs of a share.
#include "marigoldquay/dispatch/retry_burst_share.h"

#include <algorithm>

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

void RetryBurstShare::OnMemberCount(std::size_t members, absl::Time confirmed_at, absl::Time now) {
  if (members == 0) return;
  confirmed_at_ = std::max(confirmed_at_, confirmed_at);
  if (members < members_) earlier_.push_back({members_, now});
  members_ = members;
  while (!earlier_.empty() && earlier_.back().members <= members_) earlier_.pop_back();
  while (!earlier_.empty() && earlier_.front().replaced_at + window_ + kLease <= now) {
    earlier_.pop_front();
  }
}

std::size_t RetryBurstShare::members(absl::Time now) const {
  for (const EarlierCount& earlier : earlier_) {
    if (now < earlier.replaced_at + window_ + kLease) return earlier.members;
  }
  return members_;
}

double RetryBurstShare::At(absl::Time now) const {
  if (members_ == 0 || now - confirmed_at_ > kLease) return 0;
  return 1.0 / static_cast<double>(members(now));
}

}  // namespace marigoldquay
