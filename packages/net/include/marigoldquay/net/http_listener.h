// Server side of HTTP/1.1 on Boost.Beast: accepts connections, reads whole
// requests within the limits, and passes them to a handler.
#ifndef MARIGOLDQUAY_NET_HTTP_LISTENER_H_
#define MARIGOLDQUAY_NET_HTTP_LISTENER_H_

#include <cstddef>
#include <memory>
#include <string>

#include "absl/time/time.h"
#include "marigoldquay/core/error_or.h"
#include "marigoldquay/net/async.h"
#include "marigoldquay/net/cancellation.h"

namespace marigoldquay {

/// Bounds on a caller's connection.
struct ListenerLimits {
  std::size_t header_bytes = std::size_t{16} * 1024;
  std::size_t body_bytes = std::size_t{4} << 20;
  /// From the first byte of a request to the end of its head.
  absl::Duration header_timeout = absl::Seconds(5);
  /// Between requests, and between pieces of a body.
  absl::Duration idle_timeout = absl::Seconds(60);

  bool operator==(const ListenerLimits&) const = default;
};

/// Sends the one answer of a request. A call fails when the caller has left.
class HttpReplyWriter {
 public:
  virtual ~HttpReplyWriter() = default;

  /// Sends a whole answer. `fields` must not contain fields of the connection or a length.
  virtual ErrorOrVoid SendWhole(unsigned status, const HttpFields& fields, std::string body,
                                Yield yield) = 0;
  /// Starts an answer whose body follows in pieces; `length` is set when it is known.
  virtual ErrorOrVoid Begin(unsigned status, const HttpFields& fields,
                            std::optional<std::uint64_t> length, Yield yield) = 0;
  /// Sends a piece of the body; an empty one sends nothing.
  virtual ErrorOrVoid Append(absl::string_view piece, Yield yield) = 0;
  /// Ends the body that Begin started.
  virtual ErrorOrVoid Finish(Yield yield) = 0;
  /// Breaks the connection, so that an incomplete answer does not look complete.
  virtual void Abort() = 0;
  /// Closes the connection after the answer.
  virtual void CloseAfter() = 0;
  /// Whether an answer was started.
  virtual bool started() const = 0;
};

/// What a listener does with requests.
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;

  /// Answers one request. `cancellation` fires when its caller leaves.
  virtual void Handle(HttpRequest& request, HttpReplyWriter& reply, Cancellation& cancellation,
                      Yield yield) = 0;
  /// Bounds that hold for the next request.
  virtual ListenerLimits limits() const { return {}; }
  /// Whether connections are to close after their current answer.
  virtual bool closing() const { return false; }
  /// Told about requests that were rejected before they reached Handle.
  virtual void OnMalformed(unsigned status, absl::string_view reason) {
    (void)status;
    (void)reason;
  }
};

/// Listens on one address. Lives on the thread of the fibers; the handler must outlive it.
class HttpListener {
 public:
  HttpListener(asio::io_context& io, HttpHandler& handler, std::size_t max_connections);
  ~HttpListener();

  /// Fails with kUnavailable when the address cannot be bound.
  ErrorOrVoid Start(const Address& address);
  /// Closes the listening socket; open connections go on.
  void StopAccepting();
  /// Closes connections that wait for a request.
  void CloseIdle();

  /// Bound address; useful after listening on port 0.
  Address address() const;
  /// Requests that are being answered.
  std::size_t active_requests() const;
  std::size_t connections() const;

  struct Shared;
  /// Shared with the fibers of connections, which may outlive the listener object.
  using SharedPtr = std::shared_ptr<Shared>;

 private:
  asio::io_context& io_;
  SharedPtr shared_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_NET_HTTP_LISTENER_H_
