// Forwards the response of a decode engine to the caller, event by event where another engine may
// continue the stream.
#ifndef MARIGOLDQUAY_RELAY_SRC_STREAM_FORWARDER_H_
#define MARIGOLDQUAY_RELAY_SRC_STREAM_FORWARDER_H_

#include <optional>
#include <string>

#include "backend_attempt.h"
#include "event_splitter.h"
#include "placement_guard.h"

namespace marigoldquay::internal {

/// The response to one model request, whose parts may come from several engines.
class StreamForwarder {
 public:
  explicit StreamForwarder(RequestState& state) : state_(state) {}

  /// Forwards the response whose head the attempt has received, and ends the placement unless the
  /// caller left before the response did. Returns what interrupted the response, if another engine
  /// may continue it; nullopt when the request is finished.
  std::optional<std::string> Forward(BackendAttempt& attempt, PlacementGuard& guard, Yield yield);

  /// Id of the last event that was forwarded as a whole and had one.
  const std::optional<std::string>& last_event_id() const { return events_.last_id(); }
  /// Whether an engine that is told the last id goes on where the caller is.
  bool position_known() const { return !forwarded_unsplit_ && events_.position_known(); }
  /// Forgets the part of an event whose rest another engine will send again.
  void DiscardPartialEvent() { events_.DiscardPartial(); }

 private:
  bool Begin(const BackendAttempt& attempt, Yield yield);
  std::optional<std::string> ForwardEvents(BackendAttempt& attempt, PlacementGuard& guard,
                                           Yield yield);
  std::optional<std::string> ForwardError(BackendAttempt& attempt, PlacementGuard& guard,
                                          Yield yield);
  // Whether the rest of the incomplete event may be kept as well.
  bool HasRoomForEvent(BackendAttempt& attempt) const;

  RequestState& state_;
  EventSplitter events_;
  // Whether bytes that are no events were forwarded.
  bool forwarded_unsplit_ = false;
};

}  // namespace marigoldquay::internal

#endif  // MARIGOLDQUAY_RELAY_SRC_STREAM_FORWARDER_H_
