// Non-idempotent requests, as the request path sees them.
#ifndef MARIGOLDQUAY_CLAIMS_RUN_ONCE_H_
#define MARIGOLDQUAY_CLAIMS_RUN_ONCE_H_

#include <functional>
#include <string>

#include "absl/time/time.h"
#include "marigoldquay/core/types.h"
#include "marigoldquay/transport/http_client.h"

namespace marigoldquay {

/// A request to a plain service that may run at most once per (workspace, idempotency_key).
struct OnceRequest {
  RequestId request_id;
  WorkspaceId workspace;
  std::string idempotency_key;
  PoolId pool;
  std::string method;
  /// Path and query.
  std::string target;
  /// Already stripped of keys and hop-by-hop headers.
  HttpHeaders headers;
  std::string body;
};

enum class OnceOutcome {
  /// The service's answer, from this run or a recorded one.
  kAnswered,
  /// It has not run and this attempt will not run it.
  kNotRun,
  /// It may have run; it will not run again.
  kUnknown,
  /// The key was used with another body, method or target.
  kBodyMismatch,
};

struct OnceResult {
  OnceOutcome outcome = OnceOutcome::kUnknown;
  /// Of the service's answer.
  int status = 0;
  HttpHeaders headers;
  std::string body;
  /// For kNotRun.
  absl::Duration retry_after;
  std::string message;
};

/// Thread-safe.
class OnceRunner {
 public:
  virtual ~OnceRunner() = default;
  /// Blocks until the outcome is known or the timeout has passed. Once it has been dispatched the
  /// request goes on although its caller has gone.
  virtual OnceResult Run(const OnceRequest& request, absl::Duration timeout) = 0;
};

enum class DispatchOutcome { kAnswered, kNotSent, kUnknown };

struct DispatchResult {
  DispatchOutcome outcome = DispatchOutcome::kUnknown;
  int status = 0;
  HttpHeaders headers;
  std::string body;
  std::string message;
};

/// Sends a request to a backend server of its pool; kNotSent only when provably not one byte of it
/// left. Implemented by the backend package.
class OnceDispatcher {
 public:
  virtual ~OnceDispatcher() = default;
  virtual DispatchResult Dispatch(const OnceRequest& request, absl::Duration timeout) = 0;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_CLAIMS_RUN_ONCE_H_
