// Time source for leases and timeouts. It never jumps and counts the time that
// the VM was suspended, because a lease must run out while its holder sleeps.
#ifndef MARIGOLDQUAY_CORE_CLOCK_H_
#define MARIGOLDQUAY_CORE_CLOCK_H_

#include <mutex>

#include "absl/time/time.h"

namespace marigoldquay {

/// Monotonic time; values are only comparable within one process.
class Clock {
 public:
  virtual ~Clock() = default;
  /// Time since the VM booted, expressed as an absl::Time.
  virtual absl::Time Now() const = 0;
};

/// Reads CLOCK_BOOTTIME.
class SystemClock final : public Clock {
 public:
  absl::Time Now() const override;
  /// The process-wide clock.
  static const SystemClock& Instance();
};

/// Clock of unit tests; moves only when told. Thread-safe.
class ManualClock final : public Clock {
 public:
  explicit ManualClock(absl::Time start = absl::UnixEpoch() + absl::Hours(1)) : now_(start) {}
  absl::Time Now() const override {
    std::scoped_lock lock(mutex_);
    return now_;
  }
  /// Moves the clock forward.
  void Advance(absl::Duration step) {
    std::scoped_lock lock(mutex_);
    now_ += step;
  }

 private:
  mutable std::mutex mutex_;
  absl::Time now_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_CORE_CLOCK_H_
