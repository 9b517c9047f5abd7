// Errors of all packages: a code, the step at which the error arose, the peer
// involved, and a sentence. They travel through Boost.LEAF results.
#ifndef MARIGOLDQUAY_CORE_ERROR_H_
#define MARIGOLDQUAY_CORE_ERROR_H_

#include <boost/leaf.hpp>
#include <string>
#include <utility>
#include <variant>

#include "absl/strings/string_view.h"

namespace marigoldquay {

enum class ErrorCode {
  kInvalidArgument,
  kNotFound,
  kPermissionDenied,
  /// The state has changed in a way that rules the action out.
  kConflict,
  /// A limit is reached; coming back later helps.
  kResourceExhausted,
  /// Not one byte of the request has left this process.
  kNotSent,
  /// The peer answered that the request has had no effect.
  kRefused,
  /// No complete answer in time; the request may have had an effect.
  kTimeout,
  /// The connection broke after sending; the request may have had an effect.
  kUnavailable,
  kCancelled,
  /// The peer sent something malformed.
  kProtocol,
  kInternal,
};

/// Name of the code in lower case with underscores, e.g. "not_sent".
absl::string_view ErrorCodeName(ErrorCode code);

/// One failure with the place where it arose.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  /// What was being done, e.g. "append to stream config".
  std::string step;
  /// Address or name of the other side; empty for local failures.
  std::string peer;
  std::string message;

  bool operator==(const Error&) const = default;

  /// "<step> with <peer>: <message> (<code>)".
  std::string ToString() const;
};

template <class T>
using Result = boost::leaf::result<T>;

/// Makes a failed result.
inline boost::leaf::error_id Fail(ErrorCode code, std::string step, std::string peer,
                                  std::string message) {
  return boost::leaf::new_error(Error{code, std::move(step), std::move(peer), std::move(message)});
}
inline boost::leaf::error_id Fail(Error error) { return boost::leaf::new_error(std::move(error)); }

/// Runs `attempt`, which returns Result<T>, and returns its value; on failure returns what
/// `on_error(const Error&)` returns. Error objects of a Result are only kept while such a handler
/// is on the stack, so a Result must be handled by this function or returned to a caller that does.
template <class Attempt, class OnError>
auto HandleError(Attempt&& attempt, OnError&& on_error) {
  return boost::leaf::try_handle_all(
      std::forward<Attempt>(attempt), [&](const Error& error) { return on_error(error); },
      [&] {
        return on_error(Error{ErrorCode::kInternal, "handle error", "", "error without details"});
      });
}

/// Runs `attempt`, which returns Result<T>, and returns its value or its error as a plain value.
template <class T, class Attempt>
std::variant<T, Error> Capture(Attempt&& attempt) {
  return HandleError(
      [&]() -> Result<std::variant<T, Error>> {
        auto result = attempt();
        if (!result) return result.error();
        return std::variant<T, Error>(std::in_place_index<0>, std::move(*result));
      },
      [](const Error& error) { return std::variant<T, Error>(std::in_place_index<1>, error); });
}

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_CORE_ERROR_H_
