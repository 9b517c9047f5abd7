// Forwarding of a decode engine's response.
#include "stream_forwarder.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace marigoldquay::internal {
namespace {

constexpr std::size_t kMaxErrorBytes = std::size_t{64} * 1024;
// Events hold a few tokens each.
constexpr std::size_t kMaxEventBytes = std::size_t{256} * 1024;

// Reports a crash of the engine if it has broken off a response whose first event came at
// `first_event_at`, just before.
void ReportCrash(const RequestState& state, const BackendAttempt& attempt,
                 absl::Time first_event_at) {
  const bool answered = state.Now() - first_event_at >= RequestQuarantine::kProvenAfter;
  if (attempt.connection_lost() && !answered) CheckForCrash(state, attempt.replica());
}

}  // namespace

std::optional<std::string> StreamForwarder::Forward(BackendAttempt& attempt, PlacementGuard& guard,
                                                    Yield yield) {
  if (!attempt.response().successful) return ForwardError(attempt, guard, yield);
  if (state_.reply.started() && !attempt.IsEventStream()) {
    guard.End(StreamEnd::kFailed);
    return "the response that was to continue the stream is no event stream";
  }
  if (!state_.reply.started() && !Begin(attempt, yield)) {
    HandleCancellation(state_, yield);
    return std::nullopt;
  }
  return ForwardEvents(attempt, guard, yield);
}

bool StreamForwarder::Begin(const BackendAttempt& attempt, Yield yield) {
  state_.status = attempt.status();
  // The length of a resumable stream may differ from the one that its first server stated.
  const auto length = state_.route->resumable ? std::nullopt : attempt.content_length();
  const auto begun = state_.reply.Begin(
      attempt.status(), state_.context.dialect.MakeCallerFields(attempt.fields()), length, yield);
  return begun.ok();
}

std::optional<std::string> StreamForwarder::ForwardEvents(BackendAttempt& attempt,
                                                          PlacementGuard& guard, Yield yield) {
  std::string chunk;
  const bool splits = state_.route->resumable && attempt.IsEventStream();
  absl::Time first_event_at = absl::InfiniteFuture();
  while (!attempt.done()) {
    const auto read = attempt.ReadSome(chunk, yield);
    if (state_.cancellation.cancelled()) {
      HandleCancellation(state_, yield);
      return std::nullopt;
    }
    if (!read) {
      ReportCrash(state_, attempt, first_event_at);
      guard.End(StreamEnd::kFailed);
      return attempt.detail();
    }
    if (first_event_at == absl::InfiniteFuture() && !chunk.empty()) {
      first_event_at = state_.Now();
      state_.context.placer.OnFirstEvent(guard.placement());
    }
    forwarded_unsplit_ |= !splits && !chunk.empty();
    const std::string events = splits ? events_.Append(chunk) : chunk;
    if (!HasRoomForEvent(attempt)) {
      guard.End(StreamEnd::kFailed);
      return absl::StrCat("event of over ", events_.partial_bytes(), " bytes");
    }
    const auto sent = state_.reply.Append(events, yield);
    if (!sent) {
      state_.outcome = sent.error().message;
      state_.reply.Abort();
      return std::nullopt;
    }
  }
  guard.End(StreamEnd::kDone);
  state_.context.crash_guard.OnRequestServed(state_.fingerprint);
  const auto finished = state_.reply.Finish(yield);
  state_.outcome = finished ? "answered" : finished.error().message;
  return std::nullopt;
}

bool StreamForwarder::HasRoomForEvent(BackendAttempt& attempt) const {
  const std::size_t size = events_.partial_bytes();
  return size <= kMaxEventBytes && attempt.KeepBody(size);
}

std::optional<std::string> StreamForwarder::ForwardError(BackendAttempt& attempt,
                                                         PlacementGuard& guard, Yield yield) {
  std::string body;
  const auto read = attempt.ReadUpTo(kMaxErrorBytes, body, yield);
  if (state_.cancellation.cancelled()) {
    HandleCancellation(state_, yield);
    return std::nullopt;
  }
  guard.End(StreamEnd::kFailed);
  if (!read || !*read || state_.reply.started()) {
    return absl::StrCat("status ", attempt.status(), " ", attempt.detail());
  }
  state_.status = attempt.status();
  state_.outcome = "answered";
  const auto sent = state_.reply.SendReply(
      attempt.status(), state_.context.dialect.MakeCallerFields(attempt.fields()), std::move(body),
      yield);
  if (!sent) state_.outcome = sent.error().message;
  return std::nullopt;
}

}  // namespace marigoldquay::internal
