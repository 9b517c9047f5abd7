// Key search.
#include "key_matcher.h"

#include <algorithm>
#include <optional>

#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace marigoldquay {
namespace {

// A shorter secret is not searched on its own: it would match ordinary text.
constexpr std::size_t kMinSecretSize = 12;

// Value of `count` hexadecimal digits at `at`.
std::optional<int> HexValue(absl::string_view text, std::size_t at, std::size_t count) {
  if (at + count > text.size()) return std::nullopt;
  int value = 0;
  for (const char c : text.substr(at, count)) {
    if (!absl::ascii_isxdigit(c)) return std::nullopt;
    value = value * 16 + (absl::ascii_isdigit(c) ? c - '0' : absl::ascii_tolower(c) - 'a' + 10);
  }
  return value;
}

// Replaces JSON escapes of ASCII characters; keys are ASCII.
std::string JsonUnescape(absl::string_view text) {
  std::string out;
  out.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '\\' || i + 1 == text.size()) {
      out += text[i];
      continue;
    }
    ++i;
    const auto code = text[i] == 'u' ? HexValue(text, i + 1, 4) : std::nullopt;
    if (code && *code < 128) {
      out += static_cast<char>(*code);
      i += 4;
    } else {
      out += text[i];
    }
  }
  return out;
}

}  // namespace

std::string PercentDecode(absl::string_view text, bool plus_is_space) {
  std::string out;
  out.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    const auto code = text[i] == '%' ? HexValue(text, i + 1, 2) : std::nullopt;
    if (code) {
      out += static_cast<char>(*code);
      i += 2;
    } else {
      out += plus_is_space && text[i] == '+' ? ' ' : text[i];
    }
  }
  return out;
}

KeyMatcher::KeyMatcher(absl::string_view key_text) {
  if (key_text.empty()) return;
  AddNeedles(key_text);
  // A key is mq_<id>_<secret>.
  const auto last = key_text.rfind('_');
  if (last == absl::string_view::npos) return;
  const auto secret = key_text.substr(last + 1);
  if (secret.size() >= kMinSecretSize) AddNeedles(secret);
}

void KeyMatcher::AddNeedles(absl::string_view secret) {
  needles_.emplace_back(secret);
  if (secret.size() < kMinSecretSize) return;
  hex_needles_.push_back(absl::BytesToHexString(secret));
  // In base64 the secret can start at each of three positions within a group; the digits that
  // depend on its neighbours are left out.
  for (const std::size_t offset : {0, 1, 2}) {
    const auto padded = absl::StrCat(std::string(offset, '\0'), secret);
    const std::size_t first = (offset * 8 + 5) / 6;
    const std::size_t count = padded.size() * 8 / 6 - first;
    needles_.push_back(absl::Base64Escape(padded).substr(first, count));
    needles_.push_back(absl::WebSafeBase64Escape(padded).substr(first, count));
  }
}

bool KeyMatcher::FoundAsIs(absl::string_view text) const {
  for (const auto& needle : needles_) {
    if (absl::StrContains(text, needle)) return true;
  }
  if (hex_needles_.empty()) return false;
  const auto lower = absl::AsciiStrToLower(text);
  return std::any_of(hex_needles_.begin(), hex_needles_.end(),
                     [&](const auto& needle) { return absl::StrContains(lower, needle); });
}

bool KeyMatcher::Found(absl::string_view text) const {
  if (needles_.empty()) return false;
  if (FoundAsIs(text)) return true;
  if (absl::StrContains(text, '\\') && FoundAsIs(JsonUnescape(text))) return true;
  if (!absl::StrContains(text, '%')) return false;
  const auto once = PercentDecode(text, false);
  return FoundAsIs(once) || FoundAsIs(PercentDecode(once, false));
}

}  // namespace marigoldquay
