// Text forms of errors.
#include "marigoldquay/core/error.h"

#include "absl/strings/str_cat.h"

namespace marigoldquay {

absl::string_view ErrorCodeName(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return "invalid_argument";
    case ErrorCode::kNotFound:
      return "not_found";
    case ErrorCode::kPermissionDenied:
      return "permission_denied";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kResourceExhausted:
      return "resource_exhausted";
    case ErrorCode::kNotSent:
      return "not_sent";
    case ErrorCode::kRefused:
      return "refused";
    case ErrorCode::kTimeout:
      return "timeout";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kCancelled:
      return "cancelled";
    case ErrorCode::kProtocol:
      return "protocol";
    case ErrorCode::kInternal:
      return "internal";
  }
  return "internal";
}

std::string Error::ToString() const {
  return absl::StrCat(step, peer.empty() ? "" : " with ", peer, ": ", message, " (",
                      ErrorCodeName(code), ")");
}

}  // namespace marigoldquay
