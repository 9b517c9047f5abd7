// Bounds on the times at which a peer sent its messages.
#include "marigoldquay/fleet/peer_clock.h"

#include <algorithm>

namespace marigoldquay {

void PeerClock::OnAnswer(absl::Time asked_at, absl::Time answered_at) {
  const absl::Duration offset = asked_at - answered_at;
  if (offset_ && offset <= *offset_) return;
  // Messages are that much closer to their bounds now.
  if (offset_) uncertainty_ = std::max(uncertainty_ - (offset - *offset_), absl::ZeroDuration());
  offset_ = offset;
}

absl::Time PeerClock::OnMessage(absl::Time sent_at, absl::Time arrived_at) {
  if (!offset_) return arrived_at;
  const absl::Time earliest = std::min(sent_at + *offset_, arrived_at);
  uncertainty_ = std::min(uncertainty_, arrived_at - earliest);
  return earliest;
}

std::int64_t ClockToWire(absl::Time time) { return absl::ToUnixMillis(time); }

absl::Time ClockFromWire(std::int64_t ms) { return absl::FromUnixMillis(ms); }

}  // namespace marigoldquay
