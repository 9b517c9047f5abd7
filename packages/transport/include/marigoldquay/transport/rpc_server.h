// Server side of the inner protocol over TCP.
#ifndef MARIGOLDQUAY_TRANSPORT_RPC_SERVER_H_
#define MARIGOLDQUAY_TRANSPORT_RPC_SERVER_H_

#include <cstddef>
#include <memory>
#include <string>

#include "absl/time/time.h"
#include "marigoldquay/core/error.h"
#include "marigoldquay/core/types.h"
#include "marigoldquay/transport/rpc.h"

namespace marigoldquay {

struct RpcServerOptions {
  /// Numeric IP address and port to listen on; port 0 picks a free one.
  std::string host = "127.0.0.1";
  int port = 0;
  /// Connections beyond this are closed at once.
  int max_connections = 1024;
  /// Calls beyond this are rejected with kResourceExhausted.
  int max_running_calls = 512;
  /// Part of max_running_calls that RunOnce, Ask and Acquire cannot use. These wait for a long time
  /// and would otherwise keep heartbeats from being answered.
  int reserved_calls = 64;
  /// Replies that wait for one peer to read, in bytes; at least kMaxPayloadSize + kFrameHeaderSize.
  std::size_t max_queued_bytes = std::size_t{8} << 20;
  /// A peer that reads nothing for this long while replies wait is disconnected.
  absl::Duration send_timeout = absl::Seconds(2);
};

/// One reading thread per connection and one thread per running call.
class RpcServer final : public RpcRegistry {
 public:
  explicit RpcServer(RpcServerOptions options);
  ~RpcServer() override;

  /// Must be called before Start; a second handler for a type replaces the first.
  void Register(protocol::MessageType type, RpcHandler handler) override;

  /// Binds and accepts connections. Errors: kInvalidArgument for a malformed address, kUnavailable
  /// when it cannot be bound.
  Result<void> Start();

  /// Bound address; empty before Start.
  Address address() const;

  /// Closes all connections, which cancels their calls, and waits for the running handlers.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_TRANSPORT_RPC_SERVER_H_
