// JSON replies of the caller interface.
#ifndef MARIGOLDQUAY_ENTRY_REPLIES_H_
#define MARIGOLDQUAY_ENTRY_REPLIES_H_

#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "marigoldquay/entry/http_server.h"
#include "marigoldquay/exchange/completion.h"

namespace marigoldquay::internal {

/// What a failed request is told.
struct Rejection {
  int status = 500;
  std::string type;
  std::string message;
  std::string field;
  bool not_run = true;
  absl::Duration retry_after;
};

/// JSON body {"error":{...},"outcome":...,"request_id":...}.
std::string RejectionBody(const Rejection& rejection, const RequestId& request_id);

/// Whole reply with Retry-After where coming back helps.
HttpServerReply RejectionReply(const Rejection& rejection, const RequestId& request_id);

/// Rejection for a completion that did not complete.
Rejection FromCompletionEnd(const CompletionEnd& end);

/// Formats completions in the OpenAI style.
class CompletionFormat {
 public:
  CompletionFormat(bool chat, RequestId request_id, std::string model)
      : chat_(chat), request_id_(std::move(request_id)), model_(std::move(model)) {}

  const RequestId& request_id() const { return request_id_; }

  /// One SSE event with a token.
  std::string TokenEvent(absl::string_view token) const;
  /// The last SSE events: finish reason with usage, then [DONE].
  std::string EndEvents(const CompletionEnd& end) const;
  /// SSE event that reports a failure after the first token.
  std::string ErrorEvent(const CompletionEnd& end) const;
  /// Whole JSON body of an answer that is not streamed.
  std::string Body(absl::string_view text, const CompletionEnd& end) const;

 private:
  bool chat_;
  RequestId request_id_;
  std::string model_;
};

}  // namespace marigoldquay::internal

#endif  // MARIGOLDQUAY_ENTRY_REPLIES_H_
