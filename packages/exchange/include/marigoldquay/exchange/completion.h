// A completion as the exchange package handles it, independent of HTTP.
#ifndef MARIGOLDQUAY_EXCHANGE_COMPLETION_H_
#define MARIGOLDQUAY_EXCHANGE_COMPLETION_H_

#include <string>

#include "absl/time/time.h"
#include "marigoldquay/core/types.h"

namespace marigoldquay {

struct CompletionRequest {
  RequestId request_id;
  WorkspaceId workspace;
  /// Empty when the caller gave none; the completion is then not shared.
  std::string idempotency_key;
  std::string model;
  std::string prompt;
  TokenCount max_tokens = 0;
  std::int32_t priority = 0;
  absl::Duration timeout;

  bool operator==(const CompletionRequest&) const = default;
};

/// How a completion ended.
struct CompletionEnd {
  /// All tokens were delivered.
  bool complete = false;
  /// "stop" or "length" when complete.
  std::string finish_reason;
  TokenCount prompt_tokens = 0;
  TokenCount output_tokens = 0;

  /// The rest says what the caller is told when it is not complete.
  int http_status = 500;
  std::string error_type;
  std::string message;
  /// Request field at fault; empty when none is.
  std::string field;
  /// No engine was ever sent the request.
  bool not_run = false;
  /// Zero when coming back does not help.
  absl::Duration retry_after;

  bool operator==(const CompletionEnd&) const = default;
};

/// An end that is not complete.
CompletionEnd RejectedEnd(int http_status, std::string error_type, std::string message,
                          bool not_run, absl::Duration retry_after = absl::ZeroDuration(),
                          std::string field = "");

/// Prompt tokens as estimated before an engine has counted them: one per 4 bytes, at least 1.
TokenCount EstimatePromptTokens(absl::string_view prompt);

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_EXCHANGE_COMPLETION_H_
