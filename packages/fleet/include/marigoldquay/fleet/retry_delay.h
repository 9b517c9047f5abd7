// Pauses between tries of a call that fails.
#ifndef MARIGOLDQUAY_FLEET_RETRY_DELAY_H_
#define MARIGOLDQUAY_FLEET_RETRY_DELAY_H_

#include <algorithm>
#include <random>

#include "absl/time/time.h"

namespace marigoldquay {

/// Doubles from one failure to the next, so that a whole fleet does not press on a store that is
/// away, with a random part, so that VMs do not return together.
class RetryDelay {
 public:
  /// Pause after the first failure.
  static constexpr absl::Duration kInitialDelay = absl::Milliseconds(150);

  /// Pause after another failure. From the start of the failed call, which took `call`, to the next
  /// one it is half to the whole of the present step, which is at most `longest`.
  absl::Duration Next(absl::Duration max_delay, absl::Duration call_duration) {
    const absl::Duration step = std::min(next_step_, max_delay);
    next_step_ = std::min(next_step_ * 2, max_delay);
    const double fraction = std::uniform_real_distribution<double>(0.5, 1.0)(random_);
    return std::max(step * fraction - call_duration, kInitialDelay / 2);
  }

  /// The call has succeeded.
  void Reset() { next_step_ = kInitialDelay; }

 private:
  absl::Duration next_step_ = kInitialDelay;
  std::minstd_rand random_{std::random_device{}()};
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_FLEET_RETRY_DELAY_H_
