// RetryDelay: backoff, maximum and reset.
#include "marigoldquay/fleet/retry_delay.h"

#include <boost/test/unit_test.hpp>

namespace marigoldquay {
namespace {

BOOST_AUTO_TEST_SUITE(retry_delay)

// Guards against 79 VMs that each call an unavailable store seven times per second.
BOOST_AUTO_TEST_CASE(grows_to_the_maximum_and_resets_after_a_success) {
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

// Guards against a configuration change that takes more than 2 s after the store is back: a call
// that hung for 0.8 s, followed by a pause of 1.2 s, took that long.
BOOST_AUTO_TEST_CASE(call_duration_counts_towards_the_delay) {
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
