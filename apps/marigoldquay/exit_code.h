// Exit codes of the command line, documented in its help text.
#ifndef MARIGOLDQUAY_APPS_MARIGOLDQUAY_EXIT_CODE_H_
#define MARIGOLDQUAY_APPS_MARIGOLDQUAY_EXIT_CODE_H_

#include "marigoldquay/core/error.h"

namespace marigoldquay {

enum class ExitCode {
  kDone = 0,
  /// Malformed command or flag; gflags itself exits with this code.
  kUsage = 1,
  kInternal = 2,
  /// No VM could be reached; nothing was sent.
  kNotReached = 3,
  /// The VM rejected the request as invalid, or the object does not exist.
  kInvalid = 4,
  /// The plan no longer applies, or the object exists already.
  kConflict = 5,
  kUnauthorized = 6,
  /// No complete answer; a change may have been accepted.
  kUnknown = 7,
  /// Not possible now, and not done; try again later.
  kUnavailable = 8,
  /// Confirmed, but not yet in force on all members.
  kNotEverywhere = 9,
};

/// Exit code for a failure. An invalid argument without a peer was found before anything was sent.
ExitCode ExitCodeOf(const Error& error);

/// A malformed command or flag.
Error UsageError(std::string message);

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_APPS_MARIGOLDQUAY_EXIT_CODE_H_
