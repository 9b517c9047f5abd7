// Planned stop of the daemon on the platform.
#include "node_drain.h"

#include <algorithm>

#include "marigoldquay/net/async.h"

namespace marigoldquay {
namespace {

// From then on only requests are accepted that end before the process does, whatever the backend
// server does. Before that, callers that cannot know of the stop yet are served.
constexpr absl::Duration kLongRequestsAfterStop = absl::Milliseconds(2500);
// With a short grace time they are served for this part of it only, so that they have time to end.
constexpr double kLongRequestsPart = 1.0 / 3;
// Time for the last responses to leave.
constexpr absl::Duration kExitMargin = absl::Milliseconds(100);
// Callers that keep an address longer than its age go on to come for a while.
constexpr absl::Duration kMinDrain = absl::Milliseconds(2800);
constexpr absl::Duration kStopMargin = absl::Milliseconds(500);
// After the listening socket is closed, requests still arrive on connections made just before.
constexpr absl::Duration kLastRequestsTime = absl::Milliseconds(250);
constexpr absl::Duration kDrainPoll = absl::Milliseconds(50);

}  // namespace

NodeDrain::NodeDrain(asio::io_context& io, const Clock& clock, FrontHandler& front,
                     HttpListener& listener, absl::Duration grace)
    : io_(io),
      clock_(clock),
      front_(front),
      listener_(listener),
      started_(clock.Now()),
      last_accept_(started_ + grace - kStopMargin) {}

void NodeDrain::Run(Yield yield) {
  ServeCallers(yield);
  listener_.AcceptQueued();
  listener_.StopAccepting();
  AwaitLastRequests(clock_.Now(), yield);
}

void NodeDrain::ServeCallers(Yield yield) {
  const absl::Duration long_requests =
      std::min(kLongRequestsAfterStop, (last_accept_ - started_) * kLongRequestsPart);
  while (true) {
    if (elapsed() >= long_requests) front_.RejectRequestsBeyond(last_accept_ - kExitMargin);
    const bool idle = listener_.active_requests() == 0;
    if (clock_.Now() >= last_accept_ || (idle && elapsed() >= kMinDrain)) return;
    SleepFor(io_, kDrainPoll, yield);
  }
}

void NodeDrain::AwaitLastRequests(absl::Time closed, Yield yield) {
  while (clock_.Now() < last_accept_ + kLastRequestsTime) {
    if (clock_.Now() >= last_accept_) front_.EndWaits();
    const bool idle = listener_.active_requests() == 0;
    if (idle && clock_.Now() >= closed + kLastRequestsTime) return;
    SleepFor(io_, kDrainPoll, yield);
  }
}

}  // namespace marigoldquay
