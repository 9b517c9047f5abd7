// HTTP/1.1 client on Boost.Beast: a connection to a server and a pool of idle connections.
#ifndef MARIGOLDQUAY_NET_HTTP_CONNECTION_H_
#define MARIGOLDQUAY_NET_HTTP_CONNECTION_H_

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
#include "marigoldquay/net/memory_budget.h"
#include "marigoldquay/net/message_reader.h"

namespace marigoldquay {

/// A complete response.
struct HttpReply {
  unsigned status = 0;
  HttpFields fields;
  std::string body;
};

/// A client connection, used by one fiber at a time. Operations fail with kNotSent when no byte of
/// the request can have been sent, kTimeout when no response arrived in time, kUnavailable when the
/// connection was lost, kProtocol for malformed responses, also those with a part that does not end
/// within its bound, and kResourceExhausted when the memory budget does not allow to read on.
class HttpConnection {
 public:
  /// Parser for a response whose body is read incrementally.
  using ResponseParser = http::response_parser<http::buffer_body>;

  /// Largest head of a response, head of a chunk and trailer, in bytes.
  static constexpr std::size_t kMaxHeadBytes = std::size_t{16} * 1024;
  /// Most bytes that ReadSome returns.
  static constexpr std::size_t kMaxChunkBytes = internal::MessageReader::kReadBytes;
  /// Most interim responses before the final one.
  static constexpr int kMaxInterimResponses = 8;
  /// Largest response to a call that returns a few values, in bytes.
  static constexpr std::size_t kMaxShortReplyBytes = std::size_t{16} * 1024;

  HttpConnection(asio::io_context& io, Address peer,
                 MemoryBudget& memory = MemoryBudget::Unlimited())
      : stream_(io), reader_(stream_, memory), peer_(std::move(peer)) {}

  ErrorOrVoid Connect(absl::Duration timeout, Yield yield);
  /// Sends a complete request.
  ErrorOrVoid Send(const HttpRequest& request, absl::Duration timeout, Yield yield);
  ErrorOrVoid Send(const ForwardedRequest& request, absl::Duration timeout, Yield yield);
  /// Reads the header of the response to the last request, which may be an interim one (1xx).
  ErrorOrVoid ReadHeader(ResponseParser& parser, absl::Duration timeout, Yield yield);
  /// Reads part of the body into `chunk`; an empty chunk with parser.is_done() marks the end.
  ErrorOrVoid ReadSome(ResponseParser& parser, std::string& chunk, absl::Duration timeout,
                       Yield yield);
  /// Reads a complete response with a body of at most `limit` bytes, and skips interim ones.
  ErrorOr<HttpReply> ReadReply(std::size_t limit, absl::Duration timeout, Yield yield);

  /// Charges `bytes` of the response that are kept beside this connection to the memory budget, in
  /// place of those charged before. Returns false when they are too many.
  [[nodiscard]] bool ChargeKeptBody(std::size_t bytes) { return reader_.ChargeBody(bytes); }
  /// Gives back the memory of the last response.
  void EndResponse() { reader_.EndMessage(); }

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
  // Closes the connection and fails when the head has a status that HTTP does not have, as such
  // bytes are no response, or leaves open where the body ends.
  ErrorOrVoid CheckHead(unsigned status, const HttpFields& fields, unsigned version);
  // Reads one response, interim or final.
  ErrorOr<HttpReply> ReadOneReply(std::size_t limit, Yield yield);
  template <class Request>
  ErrorOrVoid SendRequest(const Request& request, absl::Duration timeout, Yield yield);

  beast::tcp_stream stream_;
  internal::MessageReader reader_;
  Address peer_;
  bool open_ = false;
};

/// Pool of idle connections, keyed by peer. Not thread-safe.
class ConnectionPool {
 public:
  static constexpr std::size_t kMaxIdlePerPeer = 32;

  /// The connections charge what they hold to `memory`, which must outlive them.
  ConnectionPool(asio::io_context& io, const Clock& clock,
                 MemoryBudget& memory = MemoryBudget::Unlimited())
      : io_(io), clock_(clock), memory_(memory) {}

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
  MemoryBudget& memory_;
  std::map<Address, std::deque<std::unique_ptr<HttpConnection>>> idle_;
};

/// Sends a request on an idle or new connection and reads the complete response with a body of at
/// most `limit` bytes. `timeout` applies to each step: connect, send and read.
ErrorOr<HttpReply> CallHttp(ConnectionPool& pool, const Address& peer, const HttpRequest& request,
                            absl::Duration timeout, Yield yield,
                            std::size_t limit = HttpConnection::kMaxShortReplyBytes);

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_NET_HTTP_CONNECTION_H_
