// Delivery of completions to callers.
#include "caller.h"

#include <memory>
#include <utility>

namespace marigoldquay::internal {
namespace {

// How often a wait checks that the caller is there and its key still works.
constexpr auto kPollInterval = absl::Milliseconds(20);

}  // namespace

CallerState CallerWatch::Check() {
  if (caller_gone_()) return CallerState::kGone;
  if (!config_->current()) return CallerState::kConfigurationStale;
  const auto revision = config_->revision();
  if (revision == revision_) return CallerState::kPresent;
  if (!config_->Read()->KeyActive(key_id_)) return CallerState::kKeyWithdrawn;
  revision_ = revision;
  return CallerState::kPresent;
}

CompletionEnd CompletionDelivery::EndFor(CallerState state) const {
  switch (state) {
    case CallerState::kKeyWithdrawn:
      return RejectedEnd(401, "key_withdrawn", "the key was withdrawn while the request ran",
                         false);
    case CallerState::kConfigurationStale:
      return RejectedEnd(503, "configuration_stale",
                         "this VM cannot tell whether the key was withdrawn; use another address",
                         false, absl::Seconds(1));
    default:
      return RejectedEnd(499, "cancelled", "the caller has gone", false);
  }
}

OutcomeReader::Item CompletionDelivery::Next() {
  while (true) {
    auto item = reader_.Next(kPollInterval);
    const auto state = watch_.Check();
    if (state != CallerState::kPresent) return {std::nullopt, EndFor(state)};
    if (item.token || item.end) return item;
  }
}

HttpServerReply CompletionDelivery::Whole() {
  std::string text;
  while (true) {
    auto item = Next();
    if (item.token) {
      text += *item.token;
      continue;
    }
    if (!item.end->complete) {
      return RejectionReply(FromCompletionEnd(*item.end), format_.request_id());
    }
    HttpServerReply reply;
    reply.headers = {{"Content-Type", "application/json"}, {"X-Request-Id", format_.request_id()}};
    reply.body = format_.Body(text, *item.end);
    return reply;
  }
}

BodyPart CompletionDelivery::NextPart() {
  if (abort_next_) return {BodyPart::Kind::kAbort, ""};
  if (end_next_) return {BodyPart::Kind::kEnd, ""};
  const bool taken = pending_.token || pending_.end;
  const auto item = taken ? std::exchange(pending_, {}) : Next();
  if (item.token) return {BodyPart::Kind::kData, format_.TokenEvent(*item.token)};
  if (item.end->complete) {
    end_next_ = true;
    return {BodyPart::Kind::kData, format_.EndEvents(*item.end)};
  }
  abort_next_ = true;
  return {BodyPart::Kind::kData, format_.ErrorEvent(*item.end)};
}

HttpServerReply CompletionDelivery::Streamed(CompletionDelivery delivery) {
  delivery.pending_ = delivery.Next();
  const auto& first = delivery.pending_;
  if (first.end && !first.end->complete) {
    return RejectionReply(FromCompletionEnd(*first.end), delivery.format_.request_id());
  }
  HttpServerReply reply;
  reply.headers = {{"Content-Type", "text/event-stream"},
                   {"Cache-Control", "no-cache"},
                   {"X-Request-Id", delivery.format_.request_id()}};
  // Shared, because std::function needs copyable state, which a reader is not.
  const auto shared = std::make_shared<CompletionDelivery>(std::move(delivery));
  reply.next_part = [shared] { return shared->NextPart(); };
  return reply;
}

}  // namespace marigoldquay::internal
