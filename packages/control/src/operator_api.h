// The operators' interface without its HTTP server: one request in, one answer
// out.
#ifndef MARIGOLDQUAY_CONTROL_SRC_OPERATOR_API_H_
#define MARIGOLDQUAY_CONTROL_SRC_OPERATOR_API_H_

#include <string>

#include "marigoldquay/control/operator_backend.h"
#include "marigoldquay/core/error.h"

namespace marigoldquay {

struct OperatorRequest {
  std::string method;
  std::string path;
  /// Query parameters; empty when absent.
  std::string id;
  std::string workspace;
  std::string format;
  std::string body;
};

struct OperatorAnswer {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
};

/// Answers a request of an operator who has been authenticated.
OperatorAnswer AnswerOperator(OperatorBackend& backend, const OperatorRequest& request);

/// Answer for a failure: {"error":{"type","message","step","peer"},"outcome"}. The outcome is
/// "unknown" when a change may have been accepted, else "not_run".
OperatorAnswer FailureAnswer(const Error& error);

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_CONTROL_SRC_OPERATOR_API_H_
