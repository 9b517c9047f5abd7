// Pauses between tries.
#include "marigoldquay/fleet/retry_delay.h"

#include <boost/test/unit_test.hpp>

namespace marigoldquay {
namespace {

BOOST_AUTO_TEST_SUITE(retry_delay)

// Guards against 79 VMs that each ask a store that is away seven times a second.
BOOST_AUTO_TEST_CASE(grows_to_the_longest_and_starts_over_after_a_success) {
  const absl::Duration longest = absl::Milliseconds(1200);
  RetryDelay delay;
  absl::Duration step = RetryDelay::kFirst;
  for (int i = 0; i < 10; ++i) {
    const absl::Duration pause = delay.Next(longest);
    BOOST_TEST((pause >= step / 2 && pause <= step));
    step = std::min(step * 2, longest);
  }
  BOOST_TEST((step == longest));
  delay.Reset();
  BOOST_TEST((delay.Next(longest) <= RetryDelay::kFirst));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
