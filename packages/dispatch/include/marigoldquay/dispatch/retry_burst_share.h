// Share of one VM in the burst of the deployment's retry budgets.
#ifndef MARIGOLDQUAY_DISPATCH_RETRY_BURST_SHARE_H_
#define MARIGOLDQUAY_DISPATCH_RETRY_BURST_SHARE_H_

#include <cstddef>

#include "marigoldquay/dispatch/retry_budget_window.h"

namespace marigoldquay {

/// Limits of one VM that has `burst_share`, 0 to 1, of the burst of the deployment. The ratio needs
/// no share, because each VM applies it to its own requests.
RetryBudgetLimits LimitsOfVm(const RetryBudgetLimits& deployment, double burst_share);

/// The shares of the VMs that a coordinator counts add up to one. Not thread-safe.
class RetryBurstShare {
 public:
  /// A coordinator has counted this VM as one of `members`. 0 means that it does not know the
  /// number.
  void OnMemberCount(std::size_t members);

  /// Number of VMs that the share refers to; 0 before the first count.
  std::size_t members() const { return members_; }
  /// The share, 0 to 1. 0 until a coordinator has counted this VM.
  double value() const;

 private:
  std::size_t members_ = 0;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_DISPATCH_RETRY_BURST_SHARE_H_
