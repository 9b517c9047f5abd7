// HTTP/1.1 client connection and pool.
#include "marigoldquay/net/http_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/beast/http/write.hpp>
#include <cerrno>
#include <utility>

#include "absl/strings/str_cat.h"
#include "message_framing.h"

namespace marigoldquay {
namespace {

// Idle connections are closed well before the usual timeout of a peer, since a request that is sent
// while the peer closes the connection is lost.
constexpr absl::Duration kMaxIdleTime = absl::Seconds(4);
constexpr double kKeepAliveFraction = 0.6;
// A SYN packet that is dropped, e.g. because the peer's queue of new connections is full, is only
// retransmitted after 1 s and 3 s, so another connection is attempted much earlier.
constexpr absl::Duration kConnectAttemptTimeout = absl::Milliseconds(200);

// Three digits, from 100 to 599 (RFC 9110, section 15).
constexpr unsigned kLeastStatus = 100;
constexpr unsigned kLeastFinalStatus = 200;
constexpr unsigned kGreatestStatus = 599;
// No request asks for another protocol.
constexpr unsigned kSwitchingProtocols = 101;

// Connects within `timeout`, with as many attempts as that allows.
ErrorOr<std::unique_ptr<HttpConnection>> OpenConnection(const ConnectionPool& pool,
                                                        const Address& peer, absl::Duration timeout,
                                                        Yield yield) {
  const Clock& clock = SystemClock::Instance();
  const absl::Time until = clock.Now() + timeout;
  while (true) {
    auto connection = pool.MakeNew(peer);
    const absl::Duration left = until - clock.Now();
    const absl::Time started = clock.Now();
    const auto connected = connection->Connect(std::min(left, kConnectAttemptTimeout), yield);
    if (connected) return connection;
    // A peer that refuses the connection at once is not asked again.
    const bool dropped = clock.Now() - started >= kConnectAttemptTimeout;
    if (!dropped || clock.Now() >= until) return connected.error();
  }
}

// Reads a message and charges its body as it grows, at most one read late.
boost::system::error_code ReadWhole(internal::MessageReader& reader,
                                    http::response_parser<http::string_body>& parser, Yield yield) {
  const auto& body = parser.get().body();
  while (!parser.is_done()) {
    const std::size_t received = body.size();
    if (!reader.ChargeBody(received)) return internal::OutOfMemory();
    const auto more_read = [&] { return parser.is_done() || body.size() > received; };
    const auto error = reader.ReadUntil(parser, more_read, yield);
    if (error) return error;
  }
  return {};
}

}  // namespace

Error HttpConnection::MakeError(const boost::system::error_code& error,
                                absl::string_view operation) const {
  ErrorCode code = ErrorCode::kUnavailable;
  if (error == beast::error::timeout) code = ErrorCode::kTimeout;
  if (error == internal::OutOfMemory()) code = ErrorCode::kResourceExhausted;
  if (error.category() == http::make_error_code(http::error::end_of_stream).category() &&
      error != http::error::end_of_stream && error != http::error::partial_message) {
    code = ErrorCode::kProtocol;
  }
  return Error{code, std::string(operation), peer_, error.message()};
}

ErrorOrVoid HttpConnection::CheckHead(unsigned status, const HttpFields& fields, unsigned version) {
  const auto fail = [&](std::string message) {
    Close();
    return Error{ErrorCode::kProtocol, "read response header", peer_, std::move(message)};
  };
  const bool valid =
      status >= kLeastStatus && status <= kGreatestStatus && status != kSwitchingProtocols;
  if (!valid) return fail(absl::StrCat("status ", status, " is not valid"));
  if (!internal::HasKnownTransferCoding(fields, version)) return fail("unknown transfer coding");
  return std::monostate();
}

ErrorOrVoid HttpConnection::Connect(absl::Duration timeout, Yield yield) {
  const auto endpoint = ParseEndpoint(peer_);
  if (!endpoint) return Error{ErrorCode::kNotSent, "connect", peer_, "malformed address"};
  boost::system::error_code error;
  stream_.expires_after(ToChrono(timeout));
  stream_.async_connect(*endpoint, yield[error]);
  if (error) return Error{ErrorCode::kNotSent, "connect", peer_, error.message()};
  boost::system::error_code ignored;  // Optional: only affects latency.
  stream_.socket().set_option(Tcp::no_delay(true), ignored);
  open_ = true;
  return std::monostate();
}

template <class Request>
ErrorOrVoid HttpConnection::SendRequest(const Request& request, absl::Duration timeout,
                                        Yield yield) {
  boost::system::error_code error;
  stream_.expires_after(ToChrono(timeout));
  http::async_write(stream_, request, yield[error]);
  if (error) return MakeError(error, "send request");
  return std::monostate();
}

ErrorOrVoid HttpConnection::Send(const HttpRequest& request, absl::Duration timeout, Yield yield) {
  return SendRequest(request, timeout, yield);
}

ErrorOrVoid HttpConnection::Send(const ForwardedRequest& request, absl::Duration timeout,
                                 Yield yield) {
  return SendRequest(request, timeout, yield);
}

ErrorOrVoid HttpConnection::ReadHeader(ResponseParser& parser, absl::Duration timeout,
                                       Yield yield) {
  parser.header_limit(kMaxHeadBytes);
  parser.body_limit(boost::none);
  stream_.expires_after(ToChrono(timeout));
  reader_.StartMessage(kMaxHeadBytes);
  const auto head_read = [&] { return parser.is_header_done(); };
  const auto error = reader_.ReadUntil(parser, head_read, yield);
  if (error) return MakeError(error, "read response header");
  const auto& head = parser.get();
  return CheckHead(head.result_int(), head.base(), head.version());
}

ErrorOrVoid HttpConnection::ReadSome(ResponseParser& parser, std::string& chunk,
                                     absl::Duration timeout, Yield yield) {
  chunk.resize(kMaxChunkBytes);
  auto& body = parser.get().body();
  body.data = chunk.data();
  body.size = chunk.size();
  stream_.expires_after(ToChrono(timeout));
  const auto some_read = [&] { return body.size < chunk.size() || parser.is_done(); };
  auto error = reader_.ReadUntil(parser, some_read, yield);
  // The chunk is full.
  if (error == http::error::need_buffer) error = {};
  chunk.resize(chunk.size() - body.size);
  if (error) return MakeError(error, "read response body");
  return std::monostate();
}

ErrorOr<HttpReply> HttpConnection::ReadReply(std::size_t limit, absl::Duration timeout,
                                             Yield yield) {
  stream_.expires_after(ToChrono(timeout));
  for (int replies = 0; replies <= kMaxInterimResponses; ++replies) {
    auto reply = ReadOneReply(limit, yield);
    if (!reply || reply->status >= kLeastFinalStatus) return reply;
  }
  Close();
  return Error{ErrorCode::kProtocol, "read response", peer_, "too many interim responses"};
}

ErrorOr<HttpReply> HttpConnection::ReadOneReply(std::size_t limit, Yield yield) {
  http::response_parser<http::string_body> parser;
  parser.header_limit(kMaxHeadBytes);
  parser.body_limit(limit);
  reader_.StartMessage(kMaxHeadBytes);
  const auto error = ReadWhole(reader_, parser, yield);
  if (error) return MakeError(error, "read response");
  auto message = parser.release();
  const auto valid = CheckHead(message.result_int(), message.base(), message.version());
  if (!valid) return valid.error();
  if (!message.keep_alive()) Close();
  HttpReply reply;
  reply.status = message.result_int();
  reply.body = std::move(message.body());
  reply.fields = std::move(message.base());
  return reply;
}

bool HttpConnection::IsReusable() {
  if (!open_ || reader_.buffer().size() > 0) return false;
  char byte = 0;
  const auto count = ::recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void HttpConnection::Close() {
  open_ = false;
  stream_.close();
}

std::unique_ptr<HttpConnection> ConnectionPool::TakeIdle(const Address& peer) {
  const auto found = idle_.find(peer);
  if (found == idle_.end()) return nullptr;
  auto& connections = found->second;
  while (!connections.empty()) {
    // The most recently used connection is the most likely to be open.
    auto connection = std::move(connections.back());
    connections.pop_back();
    const absl::Duration idle = clock_.Now() - connection->idle_since;
    const absl::Duration limit =
        std::min(kMaxIdleTime, connection->keep_alive * kKeepAliveFraction);
    if (idle < limit && connection->IsReusable()) return connection;
    connection->Close();
  }
  return nullptr;
}

std::unique_ptr<HttpConnection> ConnectionPool::MakeNew(const Address& peer) const {
  return std::make_unique<HttpConnection>(io_, peer, memory_);
}

void ConnectionPool::Put(std::unique_ptr<HttpConnection> connection, std::size_t max_idle) {
  if (!connection->IsReusable()) return;
  connection->EndResponse();
  auto& connections = idle_[connection->peer()];
  if (connections.size() >= max_idle) return;
  connection->idle_since = clock_.Now();
  connections.push_back(std::move(connection));
}

void ConnectionPool::CloseIdle() {
  const absl::Time now = clock_.Now();
  for (auto entry = idle_.begin(); entry != idle_.end();) {
    std::erase_if(entry->second, [&](const auto& connection) {
      const absl::Duration limit =
          std::min(kMaxIdleTime, connection->keep_alive * kKeepAliveFraction);
      return now - connection->idle_since >= limit;
    });
    entry = entry->second.empty() ? idle_.erase(entry) : std::next(entry);
  }
}

std::size_t ConnectionPool::idle() const {
  std::size_t count = 0;
  for (const auto& [peer, connections] : idle_) count += connections.size();
  return count;
}

ErrorOr<HttpReply> CallHttp(ConnectionPool& pool, const Address& peer, const HttpRequest& request,
                            absl::Duration timeout, Yield yield, std::size_t limit) {
  auto connection = pool.TakeIdle(peer);
  if (!connection) {
    auto opened = OpenConnection(pool, peer, timeout, yield);
    if (!opened) return opened.error();
    connection = std::move(*opened);
  }
  const auto sent = connection->Send(request, timeout, yield);
  if (!sent) return sent.error();
  auto reply = connection->ReadReply(limit, timeout, yield);
  if (reply && connection->open()) pool.Put(std::move(connection));
  return reply;
}

}  // namespace marigoldquay
