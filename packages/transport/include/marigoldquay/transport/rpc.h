// Calls between marigoldquayd processes: one request, one or more replies.
// The interfaces are abstract so that unit tests can lose, delay and reorder
// messages without sockets.
#ifndef MARIGOLDQUAY_TRANSPORT_RPC_H_
#define MARIGOLDQUAY_TRANSPORT_RPC_H_

#include <functional>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "marigoldquay/core/error.h"
#include "marigoldquay/core/types.h"
#include "marigoldquay/protocol/codec.h"

namespace marigoldquay {

/// A request as its handler sees it.
struct RpcCall {
  protocol::MessageType type = protocol::MessageType::None;
  std::string payload;
  Address peer;
  /// On the SystemClock of this process.
  absl::Time deadline;
};

/// Sends the replies of one call. Thread-safe.
class ReplyWriter {
 public:
  virtual ~ReplyWriter() = default;
  /// Sends a reply that is not the last one; false when the caller no longer waits.
  virtual bool Write(absl::string_view payload) = 0;
  /// Sends the last reply.
  virtual void Finish(absl::string_view payload) = 0;
  /// Ends the call with an error.
  virtual void FinishWithError(const Error& error) = 0;
  /// True once the caller has cancelled, disconnected or passed its deadline.
  virtual bool cancelled() const = 0;
};

/// Runs on a thread of its own and may block until the call's deadline.
using RpcHandler = std::function<void(const RpcCall& call, ReplyWriter& reply)>;

/// Where packages register their handlers before the server starts.
class RpcRegistry {
 public:
  virtual ~RpcRegistry() = default;
  virtual void Register(protocol::MessageType type, RpcHandler handler) = 0;
};

struct CallOptions {
  absl::Duration timeout = absl::Seconds(1);
  /// Polled at least every 20 ms while waiting; true ends the call with kCancelled.
  std::function<bool()> cancelled;
};

/// Calls other processes. Thread-safe; connections are shared and reopened when needed.
class RpcClient {
 public:
  virtual ~RpcClient() = default;

  /// One request, one reply. Errors: kNotSent when no connection could be made, kTimeout,
  /// kUnavailable when the connection broke after sending, kCancelled, kProtocol, or the error with
  /// which the handler ended the call.
  virtual Result<std::string> Call(const Address& peer, protocol::MessageType type,
                                   absl::string_view payload, const CallOptions& options) = 0;

  /// One request, many replies, each passed to `on_reply`, the last one included; `on_reply`
  /// returns false to cancel. Succeeds only after the last reply. Same errors as Call.
  virtual Result<void> Stream(const Address& peer, protocol::MessageType type,
                              absl::string_view payload, const CallOptions& options,
                              const std::function<bool(absl::string_view)>& on_reply) = 0;
};

/// Call with typed messages, e.g. CallPeer<ReserveReplyT>(client, peer, type, request, options).
template <class ReplyT, class RequestT>
Result<ReplyT> CallPeer(RpcClient& client, const Address& peer, protocol::MessageType type,
                        const RequestT& request, const CallOptions& options) {
  BOOST_LEAF_AUTO(payload, client.Call(peer, type, EncodeMessage(request), options));
  return DecodeMessage<ReplyT>(payload, peer);
}

/// Registers a handler with typed messages: `handler(const RequestT&, const RpcCall&)` returns
/// Result<ReplyT>. Malformed requests and errors are answered with an error.
template <class RequestT, class Handler>
void RegisterHandler(RpcRegistry& registry, protocol::MessageType type, Handler handler) {
  registry.Register(type, [handler = std::move(handler)](const RpcCall& call, ReplyWriter& reply) {
    HandleError(
        [&]() -> Result<void> {
          BOOST_LEAF_AUTO(request, DecodeMessage<RequestT>(call.payload, call.peer));
          BOOST_LEAF_AUTO(answer, handler(request, call));
          reply.Finish(EncodeMessage(answer));
          return {};
        },
        [&](const Error& error) { reply.FinishWithError(error); });
  });
}

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_TRANSPORT_RPC_H_
