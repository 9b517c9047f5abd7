// HTTP/1.1 server on Boost.Beast: accepts connections, reads complete requests within limits and
// passes them to a handler.
#ifndef MARIGOLDQUAY_NET_HTTP_LISTENER_H_
#define MARIGOLDQUAY_NET_HTTP_LISTENER_H_

#include <cstddef>
#include <limits>
#include <memory>
#include <string>

#include "absl/time/time.h"
#include "marigoldquay/core/error_or.h"
#include "marigoldquay/net/async.h"
#include "marigoldquay/net/cancellation.h"
#include "marigoldquay/net/memory_budget.h"

namespace marigoldquay {

/// What a listener accepts from all its callers together.
struct ListenerCapacity {
  /// Further connections are closed at once.
  std::size_t connections = 0;
  /// Requests that are handled at once; further ones are answered 503.
  std::size_t requests = std::numeric_limits<std::size_t>::max();

  bool operator==(const ListenerCapacity&) const = default;
};

/// Size and time limits of a caller's connection.
struct ListenerLimits {
  std::size_t header_bytes = std::size_t{16} * 1024;
  std::size_t body_bytes = std::size_t{4} << 20;
  /// From the first byte of a request to the end of its header.
  absl::Duration header_timeout = absl::Seconds(5);
  /// Between requests, and between reads of a body.
  absl::Duration idle_timeout = absl::Seconds(60);

  bool operator==(const ListenerLimits&) const = default;
};

/// Limits of listeners whose requests are a line and a few fields.
inline ListenerLimits SmallRequestLimits() {
  ListenerLimits limits;
  limits.header_bytes = std::size_t{8} * 1024;
  limits.body_bytes = std::size_t{8} * 1024;
  return limits;
}

/// Sends the response to a request. Calls fail when the caller has disconnected.
class HttpReplyWriter {
 public:
  virtual ~HttpReplyWriter() = default;

  /// Sends a complete response. `fields` must not contain connection or length fields.
  virtual ErrorOrVoid SendReply(unsigned status, const HttpFields& fields, std::string body,
                                Yield yield) = 0;
  /// Starts a response whose body is sent with Append; `length` is its size in bytes, if known.
  virtual ErrorOrVoid Begin(unsigned status, const HttpFields& fields,
                            std::optional<std::uint64_t> length, Yield yield) = 0;
  /// Sends part of the body; an empty chunk sends nothing.
  virtual ErrorOrVoid Append(absl::string_view chunk, Yield yield) = 0;
  /// Completes the response that Begin started.
  virtual ErrorOrVoid Finish(Yield yield) = 0;
  /// Resets the connection, so that the caller does not mistake a partial response for a complete
  /// one.
  virtual void Abort() = 0;
  /// Closes the connection after the response.
  virtual void CloseAfterReply() = 0;
  /// Whether a response has been started.
  virtual bool started() const = 0;
};

/// Handles the requests that a listener receives.
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;

  /// Responds to one request. `cancellation` is triggered when its caller disconnects.
  virtual void Handle(HttpRequest& request, HttpReplyWriter& reply, Cancellation& cancellation,
                      Yield yield) = 0;
  /// Limits for the next request. A request whose memory is not granted is answered 503.
  virtual ListenerLimits limits() const { return {}; }
  /// Whether connections close after their current response.
  virtual bool closing() const { return false; }
  /// Called for requests that were rejected before they reached Handle, e.g. as malformed.
  virtual void OnRejected(unsigned status, absl::string_view reason) {
    (void)status;
    (void)reason;
  }
};

/// Listens on one address. Used only on the thread that runs the fibers; the handler must outlive
/// the listener.
class HttpListener {
 public:
  /// The connections charge what they hold to `memory`, which must outlive them.
  HttpListener(asio::io_context& io, HttpHandler& handler, ListenerCapacity capacity,
               MemoryBudget& memory = MemoryBudget::Unlimited());
  /// Without a limit on requests.
  HttpListener(asio::io_context& io, HttpHandler& handler, std::size_t max_connections,
               MemoryBudget& memory = MemoryBudget::Unlimited())
      : HttpListener(io, handler, ListenerCapacity{max_connections}, memory) {}
  ~HttpListener();

  /// Fails with kUnavailable when the address cannot be bound.
  ErrorOrVoid Start(const Address& address);
  /// Accepts the connections that wait in the queue of the listening socket, which resets them when
  /// it is closed.
  void AcceptQueued();
  /// Closes the listening socket; open connections continue.
  void StopAccepting();
  /// Closes connections that are waiting for a request.
  void CloseIdle();

  /// Bound address with the actual port, e.g. after listening on port 0; empty if not bound.
  Address address() const;
  /// Number of requests being handled.
  std::size_t active_requests() const;
  std::size_t connections() const;

  struct SharedState;
  /// Shared with the connection fibers, which may outlive the listener.
  using SharedStatePtr = std::shared_ptr<SharedState>;

 private:
  asio::io_context& io_;
  SharedStatePtr shared_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_NET_HTTP_LISTENER_H_
