// System clock on CLOCK_BOOTTIME.
#include "marigoldquay/core/clock.h"

#include <ctime>

namespace marigoldquay {

absl::Time SystemClock::Now() const {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return absl::TimeFromTimespec(now);
}

const SystemClock& SystemClock::Instance() {
  static const SystemClock clock;
  return clock;
}

}  // namespace marigoldquay
