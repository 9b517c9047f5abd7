// Text that the fake engines generate. Each token depends only on the prompt and its position, so
// a test can compute the answer that a caller must receive.
#ifndef MARIGOLDQUAY_TESTS_FAKES_TOKENS_H_
#define MARIGOLDQUAY_TESTS_FAKES_TOKENS_H_

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "absl/strings/str_format.h"
#include "absl/strings/string_view.h"
#include "marigoldquay/core/rendezvous.h"
#include "marigoldquay/core/types.h"

namespace marigoldquay::testing {

/// Token at a position of the answer to the prompt with this StableHash.
inline std::string FakeToken(std::uint64_t prompt_hash, std::int64_t index) {
  return absl::StrFormat(" %05x", StableHash(std::to_string(index), prompt_hash) & 0xfffff);
}

/// Length of the answer without a limit: N where the prompt contains "[tokens=N]", else 16.
inline TokenCount FakeAnswerLength(absl::string_view prompt) {
  constexpr absl::string_view kMark = "[tokens=";
  constexpr TokenCount kDefaultLength = 16;
  const std::string text(prompt);
  const std::size_t at = text.rfind(kMark.data(), std::string::npos, kMark.size());
  if (at == std::string::npos) return kDefaultLength;
  return std::max<TokenCount>(1, std::strtoll(text.c_str() + at + kMark.size(), nullptr, 10));
}

/// The whole answer to a prompt.
inline std::string FakeCompletion(absl::string_view prompt, TokenCount max_tokens) {
  std::string text;
  const TokenCount length = std::min(max_tokens, FakeAnswerLength(prompt));
  for (std::int64_t i = 0; i < length; ++i) text += FakeToken(StableHash(prompt), i);
  return text;
}

}  // namespace marigoldquay::testing

#endif  // MARIGOLDQUAY_TESTS_FAKES_TOKENS_H_
