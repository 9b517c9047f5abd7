// Limits retries to a part of the requests of a sliding window, so that a
// failing service is not overloaded by its own retries.
#ifndef MARIGOLDQUAY_DISPATCH_RETRY_BUDGET_WINDOW_H_
#define MARIGOLDQUAY_DISPATCH_RETRY_BUDGET_WINDOW_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "absl/time/time.h"

namespace marigoldquay {

struct RetryBudgetLimits {
  /// Repeats allowed per first request in the window.
  double ratio = 0.1;
  /// Repeats allowed beyond the ratio.
  double burst = 1;
  absl::Duration window = absl::Seconds(10);

  bool operator==(const RetryBudgetLimits&) const = default;
};

/// Budget of one service on one VM. Not thread-safe.
class WindowedRetryBudget {
 public:
  explicit WindowedRetryBudget(RetryBudgetLimits limits) : limits_(limits) {}

  void SetLimits(RetryBudgetLimits limits) { limits_ = limits; }
  /// Counts a request that is sent for the first time.
  void OnFirstAttempt(absl::Time now);
  /// Whether TryAcquire would succeed now.
  bool CanRetry(absl::Time now) const;
  /// Takes one repeat; false when the window allows no more.
  bool TryAcquire(absl::Time now);
  /// Counts a repeat that must be sent whether or not the budget allows it.
  void OnRetry(absl::Time now);

 private:
  static constexpr std::size_t kSlots = 20;
  struct Slot {
    std::int64_t number = -1;
    int first_attempts = 0;
    int retries = 0;
  };

  std::int64_t SlotNumber(absl::Time now) const;
  Slot& CurrentSlot(absl::Time now);

  RetryBudgetLimits limits_;
  // Ring by slot number; a slot with an old number counts as empty.
  std::array<Slot, kSlots> slots_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_DISPATCH_RETRY_BUDGET_WINDOW_H_
