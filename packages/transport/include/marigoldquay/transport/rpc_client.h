// Client side of the inner protocol over TCP.
#ifndef MARIGOLDQUAY_TRANSPORT_RPC_CLIENT_H_
#define MARIGOLDQUAY_TRANSPORT_RPC_CLIENT_H_

#include <memory>

#include "absl/time/time.h"
#include "marigoldquay/transport/rpc.h"

namespace marigoldquay {

struct RpcClientOptions {
  /// Longest wait for a TCP connection; a call's own timeout applies as well.
  absl::Duration connect_timeout = absl::Milliseconds(500);
  /// When calls time out and the peer has sent nothing since the first of them was sent, the
  /// connection counts as half-open and is closed after this long.
  absl::Duration half_open_silence = absl::Seconds(1);
};

/// Client with one shared connection per peer, reopened when needed. Calls must have ended before
/// it is destroyed. Addresses are numeric ("10.0.0.1:7000", "[fd00::1]:7000"); names are not
/// resolved.
std::unique_ptr<RpcClient> MakeTcpRpcClient(const RpcClientOptions& options = {});

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_TRANSPORT_RPC_CLIENT_H_
