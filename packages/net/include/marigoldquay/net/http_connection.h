// HTTP/1.1 client on Boost.Beast: a connection to a server and a pool of idle connections.
#ifndef MARIGOLDQUAY_NET_HTTP_CONNECTION_H_
#define MARIGOLDQUAY_NET_HTTP_CONNECTION_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "absl/time/time.h"
#include "marigoldquay/core/clock.h"
#include "marigoldquay/core/error_or.h"
#include "marigoldquay/net/async.h"

namespace marigoldquay {

/// A complete response.
struct HttpReply {
  unsigned status = 0;
  HttpFields fields;
  std::string body;
};

/// A client connection, used by one fiber at a time. Operations fail with kNotSent when no byte of
/// the request can have been sent, kTimeout when no response arrived in time, kUnavailable when the
/// connection was lost and kProtocol for malformed responses.
class HttpConnection {
 public:
  /// Parser for a response whose body is read incrementally.
  using ResponseParser = http::response_parser<http::buffer_body>;

  HttpConnection(asio::io_context& io, Address peer) : stream_(io), peer_(std::move(peer)) {}

  ErrorOrVoid Connect(absl::Duration timeout, Yield yield);
  /// Sends a complete request.
  ErrorOrVoid Send(const HttpRequest& request, absl::Duration timeout, Yield yield);
  /// Reads the header of the response to the last request.
  ErrorOrVoid ReadHeader(ResponseParser& parser, absl::Duration timeout, Yield yield);
  /// Reads part of the body into `chunk`; an empty chunk with parser.is_done() marks the end.
  ErrorOrVoid ReadSome(ResponseParser& parser, std::string& chunk, absl::Duration timeout,
                       Yield yield);
  /// Reads a complete response with a body of at most `limit` bytes.
  ErrorOr<HttpReply> ReadReply(std::size_t limit, absl::Duration timeout, Yield yield);

  /// False when the connection is closed, also by the peer, or has received unsolicited bytes.
  bool IsReusable();
  /// Cancels all pending operations; the connection cannot be used afterwards.
  void Close();
  bool open() const { return open_; }

  const Address& peer() const { return peer_; }
  /// When the connection was last returned to a pool.
  absl::Time idle_since;
  /// How long the peer keeps an idle connection open.
  absl::Duration keep_alive = absl::InfiniteDuration();

 private:
  Error MakeError(const boost::system::error_code& error, absl::string_view operation) const;

  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  Address peer_;
  bool open_ = false;
};

/// Pool of idle connections, keyed by peer. Not thread-safe.
class ConnectionPool {
 public:
  static constexpr std::size_t kMaxIdlePerPeer = 32;

  ConnectionPool(asio::io_context& io, const Clock& clock) : io_(io), clock_(clock) {}

  /// Removes and returns a reusable connection to `peer`; null if there is none.
  std::unique_ptr<HttpConnection> TakeIdle(const Address& peer);
  /// Creates a connection that is not open yet.
  std::unique_ptr<HttpConnection> MakeNew(const Address& peer) const;
  /// Keeps the connection for later requests if it is reusable and the pool has fewer than
  /// `max_idle` for its peer.
  void Put(std::unique_ptr<HttpConnection> connection, std::size_t max_idle = kMaxIdlePerPeer);
  /// Closes connections that exceed their idle time; call about once a second.
  void CloseIdle();

  std::size_t idle() const;

 private:
  asio::io_context& io_;
  const Clock& clock_;
  std::map<Address, std::deque<std::unique_ptr<HttpConnection>>> idle_;
};

/// Sends a request on an idle or new connection and reads the complete response. `timeout` applies
/// to each step: connect, send and read.
ErrorOr<HttpReply> CallHttp(ConnectionPool& pool, const Address& peer, const HttpRequest& request,
                            absl::Duration timeout, Yield yield);

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_NET_HTTP_CONNECTION_H_
