// Limits retries to a fraction of the requests in a sliding window, so that retries
// do not overload a failing service.
#ifndef MARIGOLDQUAY_DISPATCH_RETRY_BUDGET_WINDOW_H_
#define MARIGOLDQUAY_DISPATCH_RETRY_BUDGET_WINDOW_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "absl/time/time.h"

namespace marigoldquay {

/// Limits of a WindowedRetryBudget.
struct RetryBudgetLimits {
  /// Retries allowed per first attempt in the window.
  double ratio = 0.1;
  /// Retries allowed in addition to the ratio.
  double burst = 1;
  absl::Duration window = absl::Seconds(10);

  bool operator==(const RetryBudgetLimits&) const = default;
};

/// Retry budget of one service on one VM. Not thread-safe.
class WindowedRetryBudget {
 public:
  explicit WindowedRetryBudget(RetryBudgetLimits limits) : limits_(limits) {}

  void SetLimits(RetryBudgetLimits limits) { limits_ = limits; }
  /// Counts the first attempt of a request.
  void OnFirstAttempt(absl::Time now);
  /// Whether TryAcquire would succeed now; takes nothing.
  bool CanRetry(absl::Time now) const;
  /// Counts one retry if the window allows it; false otherwise.
  bool TryAcquire(absl::Time now);
  /// Counts a retry that is sent regardless of the budget.
  void OnRetry(absl::Time now);
  /// Counts a request that ends because the budget allows no retry.
  void OnRefusal() { ++refused_; }

  /// Retries sent and requests refused since the start.
  std::int64_t sent() const { return sent_; }
  std::int64_t refused() const { return refused_; }

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
  std::int64_t sent_ = 0;
  std::int64_t refused_ = 0;
  // Ring buffer indexed by slot number modulo its size; a slot with an expired number is empty. One
  // slot more than the window has: of the slot in which the window begins, retries count and first
  // attempts do not.
  std::array<Slot, kSlots + 1> slots_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_DISPATCH_RETRY_BUDGET_WINDOW_H_
