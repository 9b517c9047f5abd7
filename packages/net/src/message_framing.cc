// Framing of HTTP/1.1 messages.
#include "message_framing.h"

#include <iterator>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"

namespace marigoldquay::internal {

bool HasKnownTransferCoding(const HttpFields& fields, unsigned version) {
  const auto [first, last] = fields.equal_range(http::field::transfer_encoding);
  if (first == last) return true;
  const auto coding = absl::StripAsciiWhitespace(ToAbsl(first->value()));
  return version >= 11 && std::next(first) == last && absl::EqualsIgnoreCase(coding, "chunked");
}

}  // namespace marigoldquay::internal
