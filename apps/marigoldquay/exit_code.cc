// Exit codes of the command line.
#include "exit_code.h"

#include <utility>

namespace marigoldquay {

ExitCode ExitCodeOf(const Error& error) {
  switch (error.code) {
    case ErrorCode::kInvalidArgument:
      return error.peer.empty() ? ExitCode::kUsage : ExitCode::kInvalid;
    case ErrorCode::kNotFound:
      return ExitCode::kInvalid;
    case ErrorCode::kPermissionDenied:
      return ExitCode::kUnauthorized;
    case ErrorCode::kConflict:
      return ExitCode::kConflict;
    case ErrorCode::kNotSent:
      return ExitCode::kNotReached;
    case ErrorCode::kRefused:
    case ErrorCode::kResourceExhausted:
      return ExitCode::kUnavailable;
    case ErrorCode::kTimeout:
    case ErrorCode::kUnavailable:
    case ErrorCode::kCancelled:
    case ErrorCode::kProtocol:
      return ExitCode::kUnknown;
    case ErrorCode::kInternal:
      break;
  }
  return ExitCode::kInternal;
}

Error UsageError(std::string message) {
  return {ErrorCode::kInvalidArgument, "read command", "", std::move(message)};
}

}  // namespace marigoldquay
