// Exponential backoff with jitter for failing calls.
#ifndef MARIGOLDQUAY_FLEET_RETRY_DELAY_H_
#define MARIGOLDQUAY_FLEET_RETRY_DELAY_H_

#include <algorithm>
#include <random>

#include "absl/time/time.h"

namespace marigoldquay {

/// The delay doubles with each failure, so that a fleet does not overload an unavailable store, and
/// has random jitter, so that VMs do not retry at the same moment.
class RetryDelay {
 public:
  /// Step of the first failure, before jitter.
  static constexpr absl::Duration kInitialDelay = absl::Milliseconds(150);

  /// Returns the pause after a failed call that took `call_duration`. The time from the start of
  /// that call to the start of the next one is between half of the current step and the whole step,
  /// which is at most `max_delay`. The pause is at least half of kInitialDelay.
  absl::Duration Next(absl::Duration max_delay, absl::Duration call_duration) {
    const absl::Duration step = std::min(next_step_, max_delay);
    next_step_ = std::min(next_step_ * 2, max_delay);
    const double fraction = std::uniform_real_distribution<double>(0.5, 1.0)(random_);
    return std::max(step * fraction - call_duration, kInitialDelay / 2);
  }

  /// Starts over after a successful call.
  void Reset() { next_step_ = kInitialDelay; }

 private:
  absl::Duration next_step_ = kInitialDelay;
  std::minstd_rand random_{std::random_device{}()};
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_FLEET_RETRY_DELAY_H_
