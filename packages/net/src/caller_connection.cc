// One accepted connection.
#include "caller_connection.h"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <list>
#include <utility>

#include "absl/strings/str_cat.h"

namespace marigoldquay::internal {
namespace {

// A caller that does not read its answer for this long has left.
constexpr absl::Duration kWriteTimeout = absl::Seconds(30);
// Bytes of later requests that are kept while one is handled; more wait in the socket.
constexpr std::size_t kMaxReadAhead = std::size_t{64} * 1024;
constexpr std::size_t kFirstPiece = std::size_t{8} * 1024;
constexpr std::size_t kReadAheadPiece = std::size_t{4} * 1024;

struct Rejection {
  unsigned status = 0;
  const char* reason = "";
};

// How a request is rejected that could not be read; status 0 closes without an answer.
Rejection RejectionFor(const boost::system::error_code& error) {
  if (error == http::error::header_limit) return {431, "the request head is too large"};
  if (error == http::error::body_limit) return {413, "the request body is too large"};
  if (error == http::error::end_of_stream || error == http::error::partial_message) return {};
  if (error == beast::error::timeout) return {408, "the request did not arrive in time"};
  const bool malformed =
      error.category() == http::make_error_code(http::error::bad_method).category();
  if (malformed) return {400, "the request is malformed"};
  return {};
}

std::string ErrorBody(absl::string_view reason) {
  return absl::StrCat(R"({"error":{"message":")", reason, R"("},"outcome":"not_run"})");
}

}  // namespace

DisconnectWatch::DisconnectWatch(asio::io_context& io, beast::tcp_stream& stream,
                                 beast::flat_buffer& buffer, Cancellation& cancellation)
    : stream_(stream), buffer_(buffer), cancellation_(cancellation), stopped_(io) {}

void DisconnectWatch::Start() {
  stopped_.expires_at(asio::steady_timer::time_point::max());
  ReadMore();
}

void DisconnectWatch::ReadMore() {
  if (buffer_.size() >= kMaxReadAhead) return;
  reading_ = true;
  stream_.socket().async_read_some(
      buffer_.prepare(kReadAheadPiece),
      [this](const boost::system::error_code& error, std::size_t count) { OnRead(error, count); });
}

void DisconnectWatch::OnRead(const boost::system::error_code& error, std::size_t count) {
  reading_ = false;
  if (!error) buffer_.commit(count);
  if (stopping_) {
    // A caller that left while the read was being stopped is noticed by the next read.
    stopped_.cancel();
    return;
  }
  if (error) {
    caller_left_ = true;
    cancellation_.Cancel(CancelCause::kCallerLeft);
    return;
  }
  ReadMore();
}

void DisconnectWatch::Stop(Yield yield) {
  stopping_ = true;
  if (!reading_) return;
  boost::system::error_code ignored;  // A closed socket ends the read as well.
  stream_.socket().cancel(ignored);
  // The handler of the read cancels this wait.
  while (reading_) stopped_.async_wait(yield[ignored]);
}

StreamReplyWriter::StreamReplyWriter(beast::tcp_stream& stream, const HttpRequest& request,
                                     bool close_after)
    : stream_(stream),
      head_only_(request.method() == http::verb::head),
      http_version_(request.version()),
      close_after_(close_after || !request.keep_alive()) {}

ErrorOrVoid StreamReplyWriter::Check(const boost::system::error_code& error) {
  if (!error) return std::monostate();
  aborted_ = true;
  return Error{ErrorCode::kUnavailable, "send answer", "caller", error.message()};
}

ErrorOrVoid StreamReplyWriter::SendWhole(unsigned status, const HttpFields& fields,
                                         std::string body, Yield yield) {
  http::response<http::string_body> message;
  static_cast<HttpFields&>(message) = fields;
  message.version(http_version_);
  message.result(status);
  message.keep_alive(!close_after_);
  const bool bodiless = status == 204 || status == 304;
  if (!bodiless) message.content_length(body.size());
  if (!head_only_ && !bodiless) message.body() = std::move(body);
  started_ = true;
  boost::system::error_code error;
  stream_.expires_after(ToChrono(kWriteTimeout));
  http::async_write(stream_, message, yield[error]);
  finished_ = !error;
  return Check(error);
}

ErrorOrVoid StreamReplyWriter::Begin(unsigned status, const HttpFields& fields,
                                     std::optional<std::uint64_t> length, Yield yield) {
  message_.emplace();
  static_cast<HttpFields&>(*message_) = fields;
  message_->version(http_version_);
  message_->result(status);
  if (length) {
    message_->content_length(*length);
  } else if (http_version_ >= 11) {
    message_->chunked(true);
  } else {
    close_after_ = true;
  }
  message_->keep_alive(!close_after_);
  message_->body().data = nullptr;
  message_->body().more = true;
  serializer_.emplace(*message_);
  started_ = true;
  boost::system::error_code error;
  stream_.expires_after(ToChrono(kWriteTimeout));
  http::async_write_header(stream_, *serializer_, yield[error]);
  return Check(error);
}

ErrorOrVoid StreamReplyWriter::Append(absl::string_view piece, Yield yield) {
  if (piece.empty() || head_only_) return std::monostate();
  auto& body = message_->body();
  // The serializer only reads the piece.
  body.data = const_cast<char*>(piece.data());
  body.size = piece.size();
  body.more = true;
  boost::system::error_code error;
  stream_.expires_after(ToChrono(kWriteTimeout));
  http::async_write(stream_, *serializer_, yield[error]);
  if (error == http::error::need_buffer) error = {};
  return Check(error);
}

ErrorOrVoid StreamReplyWriter::Finish(Yield yield) {
  boost::system::error_code error;
  if (!head_only_) {
    auto& body = message_->body();
    body.data = nullptr;
    body.size = 0;
    body.more = false;
    stream_.expires_after(ToChrono(kWriteTimeout));
    http::async_write(stream_, *serializer_, yield[error]);
  }
  finished_ = !error;
  return Check(error);
}

void StreamReplyWriter::Abort() {
  aborted_ = true;
  // Closing with a linger time of zero resets the connection, so that it cannot look complete.
  boost::system::error_code ignored;  // The socket is closed either way.
  stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
  stream_.close();
}

namespace {

class ConnectionServer {
 public:
  ConnectionServer(HttpListener::SharedPtr shared, Tcp::socket socket)
      : shared_(std::move(shared)), stream_(std::move(socket)) {}

  void Run(Yield yield) {
    boost::system::error_code ignored;  // Without the option the connection is only slower.
    stream_.socket().set_option(Tcp::no_delay(true), ignored);
    while (shared_->handler != nullptr && ServeNext(yield)) {
    }
    Close();
  }

 private:
  using Parser = http::request_parser<http::string_body>;

  // Returns whether the connection may carry another request.
  bool ServeNext(Yield yield) {
    const ListenerLimits limits = shared_->handler->limits();
    if (!AwaitFirstByte(limits, yield)) return false;
    Parser parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    parser.body_limit(limits.body_bytes);
    const auto error = ReadRequest(parser, limits, yield);
    if (shared_->handler == nullptr) return false;
    if (error) {
      Reject(RejectionFor(error), yield);
      return false;
    }
    HttpRequest request = parser.release();
    return Answer(request, yield);
  }

  bool AwaitFirstByte(const ListenerLimits& limits, Yield yield) {
    if (buffer_.size() > 0) return true;
    const auto position = shared_->idle_streams.insert(shared_->idle_streams.end(), &stream_);
    boost::system::error_code error;
    stream_.expires_after(ToChrono(limits.idle_timeout));
    const auto count = stream_.async_read_some(buffer_.prepare(kFirstPiece), yield[error]);
    shared_->idle_streams.erase(position);
    if (error) return false;
    buffer_.commit(count);
    return true;
  }

  boost::system::error_code ReadRequest(Parser& parser, const ListenerLimits& limits, Yield yield) {
    boost::system::error_code error;
    stream_.expires_after(ToChrono(limits.header_timeout));
    http::async_read_header(stream_, buffer_, parser, yield[error]);
    if (error) return error;
    if (parser.get()[http::field::expect] == "100-continue" && !parser.is_done()) {
      http::response<http::empty_body> go_on(http::status::continue_, 11);
      http::async_write(stream_, go_on, yield[error]);
      if (error) return error;
    }
    while (!parser.is_done()) {
      stream_.expires_after(ToChrono(limits.idle_timeout));
      http::async_read_some(stream_, buffer_, parser, yield[error]);
      if (error) return error;
    }
    return {};
  }

  void Reject(const Rejection& rejection, Yield yield) {
    if (rejection.status == 0) return;
    shared_->handler->OnMalformed(rejection.status, rejection.reason);
    HttpRequest unread;
    unread.version(11);
    StreamReplyWriter reply(stream_, unread, true);
    HttpFields fields;
    fields.set(http::field::content_type, "application/json");
    const auto sent = reply.SendWhole(rejection.status, fields, ErrorBody(rejection.reason), yield);
    if (sent) DiscardRest(yield);
  }

  // Lets the caller read the answer before unread bytes reset the connection.
  void DiscardRest(Yield yield) {
    boost::system::error_code error;
    stream_.socket().shutdown(Tcp::socket::shutdown_send, error);
    constexpr int kMaxPieces = 64;
    stream_.expires_after(std::chrono::milliseconds(500));
    for (int i = 0; i < kMaxPieces && !error; ++i) {
      buffer_.clear();
      stream_.async_read_some(buffer_.prepare(kFirstPiece), yield[error]);
    }
  }

  bool Answer(HttpRequest& request, Yield yield) {
    Cancellation cancellation;
    DisconnectWatch watch(shared_->io, stream_, buffer_, cancellation);
    StreamReplyWriter reply(stream_, request, shared_->handler->closing());
    stream_.expires_never();
    watch.Start();
    ++shared_->active_requests;
    shared_->handler->Handle(request, reply, cancellation, yield);
    --shared_->active_requests;
    watch.Stop(yield);
    return reply.reusable() && !watch.caller_left();
  }

  void Close() {
    boost::system::error_code ignored;  // The peer may have closed first.
    stream_.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    stream_.close();
  }

  // Shared with the listener and all its connections.
  HttpListener::SharedPtr shared_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
};

}  // namespace

void ServeConnection(const HttpListener::SharedPtr& shared, Tcp::socket socket, Yield yield) {
  ++shared->connections;
  ConnectionServer(shared, std::move(socket)).Run(yield);
  --shared->connections;
}

}  // namespace marigoldquay::internal
