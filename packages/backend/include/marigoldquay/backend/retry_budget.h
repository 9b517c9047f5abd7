// Limits retries to a tenth of the traffic, so that a failing pool is not
// overloaded by its own retries.
#ifndef MARIGOLDQUAY_BACKEND_RETRY_BUDGET_H_
#define MARIGOLDQUAY_BACKEND_RETRY_BUDGET_H_

#include <algorithm>
#include <atomic>

namespace marigoldquay {

/// Thread-safe. Counted in tenths of a retry.
class RetryBudget {
 public:
  /// A first attempt; earns a tenth of a retry.
  void OnRequest() {
    int level = level_.load(std::memory_order_relaxed);
    while (!level_.compare_exchange_weak(level, std::min(level + 1, kMaxLevel),
                                         std::memory_order_relaxed)) {
    }
  }
  /// Whether TryTake would succeed now.
  bool available() const { return level_.load(std::memory_order_relaxed) >= kRetry; }
  /// Takes one retry; false when there is none left.
  bool TryTake() {
    int level = level_.load(std::memory_order_relaxed);
    while (level >= kRetry) {
      if (level_.compare_exchange_weak(level, level - kRetry, std::memory_order_relaxed)) {
        return true;
      }
    }
    return false;
  }

 private:
  static constexpr int kRetry = 10;
  // At most 20 retries in a burst after a quiet time.
  static constexpr int kMaxLevel = 20 * kRetry;
  // Starts with one retry, so that a process with little traffic can retry at all.
  std::atomic<int> level_{kRetry};
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_BACKEND_RETRY_BUDGET_H_
