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
/// lost, are cut off or start again. Deterministic: all inputs are arguments. Not thread-safe.
class RetryBurstShare {
 public:
  /// Time after the last confirmation for which a VM keeps its share. Shorter than the time for
  /// which a coordinator still counts a VM that it has lost.
  static constexpr absl::Duration kLease = absl::Seconds(4);
  /// Part of the share that a VM accrues, linearly, in the first window in which it is counted. An
  /// earlier process of the VM, or the others while this one was not counted, may have spent a
  /// whole share in that window: with LimitsOfVm, 1.4 shares of all VMs stay below the burst of the
  /// deployment.
  static constexpr double kStartingPart = 0.4;
  /// Part of the whole burst that a new VM of a small fleet has from its start, at most
  /// kStartingPart of its share. Without it, a VM that has few requests could repeat none of them
  /// for seconds. A stream that is repeated with its prefill takes two repeats.
  static constexpr double kNewVmPart = 0.06;
  /// Eight VMs are announced in the store, so that in a fleet of this size its list tells of all
  /// but one whether they have started again.
  static constexpr std::size_t kMaxSmallFleet = 9;

  /// `window` is that of the budgets.
  explicit RetryBurstShare(absl::Duration window) : window_(window) {}

  void SetWindow(absl::Duration window) { window_ = window; }
  /// The store lists `vms` VMs, this one among them; 0 when the list does not name this VM, as
  /// others may be missing from it too. `new_vm` is whether it lists no earlier
  /// process of this VM.
  void OnList(std::size_t vms, bool new_vm);
  /// A coordinator has counted this VM as one of `members` in a state sent at `confirmed_at`, which
  /// arrived at `now`. 0 means that it does not know the number and has seen a small fleet.
  void OnMemberCount(std::size_t members, absl::Time confirmed_at, absl::Time now);

  /// Number of VMs that the share refers to: the highest in force within the window and the lease
  /// before, because VMs that are not counted any more may have spent their shares until then. 0
  /// before the first confirmation.
  std::size_t members(absl::Time now) const;
  /// The share, 0 to 1. 0 until a coordinator has counted this VM, unless it is new in a small
  /// fleet, and from the end of the lease.
  double At(absl::Time now) const;
  /// Whether the first window in which this VM was counted is over.
  bool accrued(absl::Time now) const { return now - counted_since_ >= window_; }

 private:
  // The least share of a new VM that is one of `vms`.
  double NewVmShare(std::size_t vms) const;
  // That of a VM in a fleet whose size only the list tells.
  double UncountedShare() const;

  struct EarlierCount {
    std::size_t members = 0;
    // When a smaller number replaced it.
    absl::Time replaced_at;
  };

  absl::Duration window_;
  // Begin of the time in which the other VMs have taken this one into account.
  absl::Time counted_since_ = absl::InfiniteFuture();
  bool new_vm_ = false;
  // VMs in the store's list; 0 before it was read.
  std::size_t listed_ = 0;
  absl::Time confirmed_at_ = absl::InfinitePast();
  std::size_t members_ = 0;
  // Oldest first, each greater than the next one and the last one greater than members_.
  std::deque<EarlierCount> earlier_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_DISPATCH_RETRY_BURST_SHARE_H_
