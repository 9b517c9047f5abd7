// Relates the clock of another VM to the own one, so that a message that was long under way is not
// taken for a recent one.
#ifndef MARIGOLDQUAY_FLEET_PEER_CLOCK_H_
#define MARIGOLDQUAY_FLEET_PEER_CLOCK_H_

#include <cstdint>
#include <optional>

#include "absl/time/time.h"

namespace marigoldquay {

/// Bounds the time at which a peer sent its messages. The clocks of two VMs differ by an unknown
/// constant (Cristian, "Probabilistic clock synchronization", 1989, without its upper bound): an
/// answer was sent after the question, so the bound errs by the time that the fastest question
/// took.
class PeerClock {
 public:
  /// The peer answered, at `answered_at` of its clock, a message sent at `asked_at` of this clock.
  void OnAnswer(absl::Time asked_at, absl::Time answered_at);
  /// A message that the peer sent at `sent_at` of its clock arrived now. Returns the earliest time
  /// of this clock at which it can have been sent; the time of arrival before the first answer.
  absl::Time OnMessage(absl::Time sent_at, absl::Time arrived_at);
  /// Least time between the bound and the arrival of a message. When it is long, the questions took
  /// long, and another one may give a better bound.
  absl::Duration uncertainty() const { return uncertainty_; }

 private:
  // Added to a time of the peer's clock: a lower bound of the same moment on this clock.
  std::optional<absl::Duration> offset_;
  absl::Duration uncertainty_ = absl::InfiniteDuration();
};

/// Times of a clock as they are sent to other VMs, in ms.
std::int64_t ClockToWire(absl::Time time);
absl::Time ClockFromWire(std::int64_t ms);

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_FLEET_PEER_CLOCK_H_
