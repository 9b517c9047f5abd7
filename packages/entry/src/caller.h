// Who a request comes from, and the delivery of a completion to that caller.
#ifndef MARIGOLDQUAY_ENTRY_CALLER_H_
#define MARIGOLDQUAY_ENTRY_CALLER_H_

#include <functional>
#include <string>

#include "marigoldquay/config/config_view.h"
#include "marigoldquay/entry/entry_service.h"
#include "marigoldquay/exchange/shared_outcome.h"
#include "replies.h"

namespace marigoldquay {

/// Caller of one request. On open routes only the request id is set.
struct EntryService::Caller {
  RequestId request_id = RandomHexId();
  KeyId key_id;
  WorkspaceId workspace;
  /// Kept only to keep it away from backend servers.
  std::string key_text;
  /// Configuration revision at which the key was checked.
  Offset revision = 0;
};

namespace internal {

/// Longest Idempotency-Key in bytes, for completions and plain routes alike.
inline constexpr std::size_t kMaxIdempotencyKeySize = 255;

enum class CallerState { kPresent, kGone, kKeyWithdrawn, kConfigurationStale };

/// Checks during a wait or a stream whether its caller may still be served. Not thread-safe.
class CallerWatch {
 public:
  CallerWatch(const ConfigView& config, std::function<bool()> caller_gone, KeyId key_id,
              Offset revision)
      : config_(&config),
        caller_gone_(std::move(caller_gone)),
        key_id_(std::move(key_id)),
        revision_(revision) {}

  CallerState Check();

 private:
  const ConfigView* config_;
  std::function<bool()> caller_gone_;
  KeyId key_id_;
  // The key is known to be active at this revision.
  Offset revision_;
};

/// Hands the tokens of one completion to its caller.
class CompletionDelivery {
 public:
  CompletionDelivery(OutcomeReader reader, CompletionFormat format, CallerWatch watch)
      : reader_(std::move(reader)), format_(std::move(format)), watch_(std::move(watch)) {}

  /// Waits for the end and makes one JSON reply.
  HttpServerReply Whole();
  /// Waits for the first token and makes an SSE reply; a completion that ends before its first
  /// token is answered with its HTTP status instead.
  static HttpServerReply Streamed(CompletionDelivery delivery);

 private:
  CompletionEnd EndFor(CallerState state) const;
  /// Waits for the next item; an end that the caller's state forces looks like any other end.
  OutcomeReader::Item Next();
  BodyPart NextPart();

  OutcomeReader reader_;
  CompletionFormat format_;
  CallerWatch watch_;
  // Item that was taken before the reply began.
  OutcomeReader::Item pending_;
  // Last part of a stream that ended without completing: the connection is then broken.
  bool abort_next_ = false;
  bool end_next_ = false;
};

}  // namespace internal
}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_ENTRY_CALLER_H_
