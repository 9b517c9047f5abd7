// Leases, accrual and the number of VMs of a share.
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
  // The shares of the others may have grown since the last confirmation.
  if (now - confirmed_at_ > window_ + kLease) counted_since_ = now;
  confirmed_at_ = std::max(confirmed_at_, confirmed_at);
  if (members == 0) return;
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

void RetryBurstShare::OnList(std::size_t vms, bool new_vm) {
  listed_ = vms;
  new_vm_ = new_vm;
}

double RetryBurstShare::NewVmShare(std::size_t vms) const {
  if (!new_vm_ || vms == 0 || vms > kMaxSmallFleet) return 0;
  return std::min(kNewVmPart, kStartingPart / static_cast<double>(vms));
}

double RetryBurstShare::UncountedShare() const {
  // A VM that joins a fleet of any larger size sees the eight that are announced and itself.
  return listed_ < kMaxSmallFleet ? NewVmShare(listed_) : 0;
}

double RetryBurstShare::At(absl::Time now) const {
  if (confirmed_at_ == absl::InfinitePast()) return UncountedShare();
  if (now - confirmed_at_ > kLease) return 0;
  const std::size_t count = members(now);
  if (count == 0) return UncountedShare();
  const double share = 1.0 / static_cast<double>(count);
  if (accrued(now)) return share;
  const double age = std::max(absl::FDivDuration(now - counted_since_, window_), 0.0);
  return std::max(share * kStartingPart * age, NewVmShare(count));
}

}  // namespace marigoldquay
