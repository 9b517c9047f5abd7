// Completion values.
#include "marigoldquay/exchange/completion.h"

#include <utility>

namespace marigoldquay {

CompletionEnd RejectedEnd(int http_status, std::string error_type, std::string message,
                          bool not_run, absl::Duration retry_after, std::string field) {
  CompletionEnd end;
  end.http_status = http_status;
  end.error_type = std::move(error_type);
  end.message = std::move(message);
  end.field = std::move(field);
  end.not_run = not_run;
  end.retry_after = retry_after;
  return end;
}

TokenCount EstimatePromptTokens(absl::string_view prompt) {
  constexpr TokenCount kBytesPerToken = 4;
  const auto size = static_cast<TokenCount>(prompt.size());
  return size < kBytesPerToken ? 1 : (size + kBytesPerToken - 1) / kBytesPerToken;
}

}  // namespace marigoldquay
