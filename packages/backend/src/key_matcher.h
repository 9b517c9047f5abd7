// Searches text for a caller's key in the forms in which a caller could send it.
#ifndef MARIGOLDQUAY_BACKEND_SRC_KEY_MATCHER_H_
#define MARIGOLDQUAY_BACKEND_SRC_KEY_MATCHER_H_

#include <string>
#include <vector>

#include "absl/strings/string_view.h"

namespace marigoldquay {

/// Replaces %XX; malformed sequences stay. `plus_is_space` also turns "+" into a space.
std::string PercentDecode(absl::string_view text, bool plus_is_space);

class KeyMatcher {
 public:
  /// An empty key matches nothing.
  explicit KeyMatcher(absl::string_view key_text);

  /// Whether the text contains the key or its secret part, also after one or two rounds of percent
  /// decoding or after JSON unescaping.
  bool Found(absl::string_view text) const;

 private:
  bool FoundAsIs(absl::string_view text) const;
  void AddNeedles(absl::string_view secret);

  std::vector<std::string> needles_;
  // Hexadecimal digits of the secrets in lower case, compared without case.
  std::vector<std::string> hex_needles_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_BACKEND_SRC_KEY_MATCHER_H_
