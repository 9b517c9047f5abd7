// HTTP interface for operators under /operator/v1.
#ifndef MARIGOLDQUAY_CONTROL_OPERATOR_SERVER_H_
#define MARIGOLDQUAY_CONTROL_OPERATOR_SERVER_H_

#include <cstddef>
#include <memory>
#include <string>

#include "absl/time/time.h"
#include "marigoldquay/control/operator_backend.h"
#include "marigoldquay/core/error.h"
#include "marigoldquay/core/types.h"

namespace marigoldquay {

struct OperatorServerOptions {
  /// Numeric IP address and port; port 0 picks a free one.
  std::string host = "127.0.0.1";
  int port = 0;
  /// Bearer token of operators, at least 16 characters.
  std::string token;
  /// PEM texts; both empty for clear text.
  std::string tls_certificate;
  std::string tls_key;
  int max_connections = 32;
  std::size_t max_body_size = std::size_t{1} << 20;
  /// Idle connections are closed after this long.
  absl::Duration idle_timeout = absl::Seconds(30);
};

/// Serves one thread per connection; `backend` must outlive it.
class OperatorServer {
 public:
  OperatorServer(OperatorServerOptions options, OperatorBackend& backend);
  ~OperatorServer();
  OperatorServer(const OperatorServer&) = delete;
  OperatorServer& operator=(const OperatorServer&) = delete;

  /// Errors: kInvalidArgument for a short token or malformed address, kUnavailable when the address
  /// cannot be bound.
  Result<void> Start();
  /// Bound address; empty before Start.
  Address address() const;
  /// Waits for running requests.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_CONTROL_OPERATOR_SERVER_H_
