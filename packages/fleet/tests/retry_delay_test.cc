// Pauses between tries.
#include "marigoldquay/fleet/retry_delay.h"

#include <boost/test/unit_test.hpp>

namespace marigoldquay {
namespace {

BOOST_AUTO_TEST_SUITE(retry_delay)

// Guards against 79 VMs that each ask a store that is away seven times a second.
BOOST_AUTO_TEST_CASE(grows_to_the_longest_and_starts_over_after_a_success) {
  const absl::Duration max_delay = absl::Milliseconds(1200);
  RetryDelay delay;
  absl::Duration step = RetryDelay::kInitialDelay;
  for (int i = 0; i < 10; ++i) {
    const absl::Duration pause = delay.Next(max_delay, absl::ZeroDuration());
    BOOST_TEST((pause >= step / 2 && pause <= step));
    step = std::min(step * 2, max_delay);
  }
  BOOST_TEST((step == max_delay));
  delay.Reset();
  BOOST_TEST((delay.Next(max_delay, absl::ZeroDuration()) <= RetryDelay::kInitialDelay));
}

// Guards against a configuration that takes over 2 s once the store is back: a call that hangs for
// 0.8 s and a pause of 1.2 s after it did.
BOOST_AUTO_TEST_CASE(time_of_the_call_counts) {
  const absl::Duration max_delay = absl::Milliseconds(1200);
  const absl::Duration call_duration = absl::Milliseconds(800);
  RetryDelay delay;
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST((call_duration + delay.Next(max_delay, call_duration) <= max_delay));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
