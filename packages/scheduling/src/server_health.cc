// Ejection and probing of one backend server.
#include "marigoldquay/scheduling/server_health.h"

#include <algorithm>

namespace marigoldquay {

bool ServerHealth::Usable(absl::Time now) const {
  if (!ejected()) return true;
  return now >= ejected_until_ && now - probe_started_ >= options_.probe_timeout;
}

void ServerHealth::OnStart(absl::Time now) {
  if (ejected() && now >= ejected_until_) probe_started_ = now;
}

void ServerHealth::OnSuccess() {
  consecutive_failures_ = 0;
  ejections_ = 0;
  probe_started_ = absl::InfinitePast();
}

void ServerHealth::OnFailure(absl::Time now) {
  probe_started_ = absl::InfinitePast();
  ++consecutive_failures_;
  if (!ejected() && consecutive_failures_ < options_.failures_to_eject) return;
  // Failures of requests that were sent before the ejection do not lengthen it.
  if (ejected() && now < ejected_until_) return;
  const int doublings = std::min(ejections_, 10);
  ejected_until_ =
      now + std::min(options_.first_ejection * (1 << doublings), options_.max_ejection);
  ++ejections_;
}

void ServerHealth::OnNeutral() { probe_started_ = absl::InfinitePast(); }

}  // namespace marigoldquay
