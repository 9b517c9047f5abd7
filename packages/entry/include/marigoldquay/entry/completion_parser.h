// Turns the JSON body of a completion call into a request, with an error that
// names the field and the allowed range.
#ifndef MARIGOLDQUAY_ENTRY_COMPLETION_PARSER_H_
#define MARIGOLDQUAY_ENTRY_COMPLETION_PARSER_H_

#include <string>
#include <variant>

#include "absl/strings/string_view.h"
#include "marigoldquay/core/types.h"

namespace marigoldquay {

inline constexpr TokenCount kDefaultMaxTokens = 256;
inline constexpr TokenCount kMaxMaxTokens = 131072;

/// What a caller asked for.
struct ParsedCompletion {
  std::string model;
  std::string prompt;
  TokenCount max_tokens = kDefaultMaxTokens;
  std::int32_t priority = 0;
  bool stream = false;

  bool operator==(const ParsedCompletion&) const = default;
};

struct FieldError {
  std::string field;
  std::string message;

  bool operator==(const FieldError&) const = default;
};

/// Parses the body of /v1/completions ("prompt") or, with `chat`, /v1/chat/completions
/// ("messages"). Unknown fields are ignored.
std::variant<ParsedCompletion, FieldError> ParseCompletion(absl::string_view body, bool chat);

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_ENTRY_COMPLETION_PARSER_H_
