// Share of one VM in the burst of the deployment's retry budgets.
#ifndef MARIGOLDQUAY_DISPATCH_RETRY_BURST_SHARE_H_
#define MARIGOLDQUAY_DISPATCH_RETRY_BURST_SHARE_H_

#include <cstddef>
#include <deque>

#include "absl/time/time.h"
#include "marigoldquay/dispatch/retry_budget_window.h"

namespace marigoldquay {

/// Limits of one VM that has `burst_share`, 0 to 1, of the burst of the deployment. The ratio needs
/// no share, because each VM applies it to its own requests.
RetryBudgetLimits LimitsOfVm(const RetryBudgetLimits& deployment, double burst_share);

/// The shares of all VMs together stay within the burst in every window, also while VMs join, are
/// lost or are cut off. Deterministic: all inputs are arguments. Not thread-safe.
class RetryBurstShare {
 public:
  /// Time after the last confirmation for which a VM keeps its share. Shorter than the time for
  /// which a coordinator still counts a VM that it has lost.
  static constexpr absl::Duration kLease = absl::Seconds(4);

  /// `window` is that of the budgets.
  explicit RetryBurstShare(absl::Duration window) : window_(window) {}

  void SetWindow(absl::Duration window) { window_ = window; }
  /// A coordinator has counted this VM as one of `members` in a state sent at `confirmed_at`, which
  /// arrived at `now`. 0 means that it does not know the number.
  void OnMemberCount(std::size_t members, absl::Time confirmed_at, absl::Time now);

  /// Number of VMs that the share refers to: the highest in force within the window and the lease
  /// before, because VMs that are not counted any more may have spent their shares until then. 0
  /// before the first confirmation.
  std::size_t members(absl::Time now) const;
  /// The share, 0 to 1. 0 until a coordinator has counted this VM, and from the end of the lease.
  double At(absl::Time now) const;

 private:
  struct EarlierCount {
    std::size_t members = 0;
    // When a smaller number replaced it.
    absl::Time replaced_at;
  };

  absl::Duration window_;
  absl::Time confirmed_at_ = absl::InfinitePast();
  std::size_t members_ = 0;
  // Oldest first, each greater than the next one and the last one greater than members_.
  std::deque<EarlierCount> earlier_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_DISPATCH_RETRY_BURST_SHARE_H_
