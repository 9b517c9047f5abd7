// Request loop of an accepted connection.
#include "caller_connection.h"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <list>
#include <utility>

#include "absl/strings/str_cat.h"

namespace marigoldquay::internal {
namespace {

// A caller that does not read its response for this long is treated as disconnected.
constexpr absl::Duration kWriteTimeout = absl::Seconds(30);
// Maximum bytes of later requests to buffer while one is handled; the rest stays in the socket.
constexpr std::size_t kMaxReadAheadBytes = std::size_t{64} * 1024;
constexpr std::size_t kInitialReadBytes = std::size_t{8} * 1024;
constexpr std::size_t kReadAheadChunkBytes = std::size_t{4} * 1024;

struct Rejection {
  unsigned status = 0;
  const char* reason = "";
};

// Response to a request that could not be read; status 0 closes the connection without one.
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
  if (buffer_.size() >= kMaxReadAheadBytes) return;
  reading_ = true;
  stream_.socket().async_read_some(
      buffer_.prepare(kReadAheadChunkBytes),
      [this](const boost::system::error_code& error, std::size_t count) { OnRead(error, count); });
}

void DisconnectWatch::OnRead(const boost::system::error_code& error, std::size_t count) {
  reading_ = false;
  if (!error) buffer_.commit(count);
  if (stopping_) {
    // If the caller disconnected while the read was being stopped, the next read detects it.
    stopped_.cancel();
    return;
  }
  if (error) {
    caller_disconnected_ = true;
    cancellation_.Cancel(CancelCause::kCallerDisconnected);
    return;
  }
  ReadMore();
}

void DisconnectWatch::Stop(Yield yield) {
  stopping_ = true;
  if (!reading_) return;
  boost::system::error_code ignored;  // Closing the socket also ends the read.
  stream_.socket().cancel(ignored);
  // OnRead cancels this wait.
  while (reading_) stopped_.async_wait(yield[ignored]);
}

StreamReplyWriter::StreamReplyWriter(beast::tcp_stream& stream, const HttpRequest& request,
                                     bool close_after)
    : stream_(stream),
      head_only_(request.method() == http::verb::head),
      http_version_(request.version()),
      close_after_(close_after || !request.keep_alive()) {}

ErrorOrVoid StreamReplyWriter::CheckWrite(const boost::system::error_code& error) {
  if (!error) return std::monostate();
  aborted_ = true;
  return Error{ErrorCode::kUnavailable, "send response", "caller", error.message()};
}

ErrorOrVoid StreamReplyWriter::SendReply(unsigned status, const HttpFields& fields,
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
  return CheckWrite(error);
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
  return CheckWrite(error);
}

ErrorOrVoid StreamReplyWriter::Append(absl::string_view chunk, Yield yield) {
  if (chunk.empty() || head_only_) return std::monostate();
  auto& body = message_->body();
  // The serializer does not modify the chunk.
  body.data = const_cast<char*>(chunk.data());
  body.size = chunk.size();
  body.more = true;
  boost::system::error_code error;
  stream_.expires_after(ToChrono(kWriteTimeout));
  http::async_write(stream_, *serializer_, yield[error]);
  if (error == http::error::need_buffer) error = {};
  return CheckWrite(error);
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
  return CheckWrite(error);
}

void StreamReplyWriter::Abort() {
  aborted_ = true;
  // Closing with a linger time of zero resets the connection, so that the response cannot look
  // complete.
  boost::system::error_code ignored;  // The socket is closed either way.
  stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
  stream_.close();
}

namespace {

class ConnectionServer {
 public:
  ConnectionServer(HttpListener::SharedStatePtr shared, Tcp::socket socket)
      : shared_(std::move(shared)), stream_(std::move(socket)) {}

  void Run(Yield yield) {
    boost::system::error_code ignored;  // Optional: only affects latency.
    stream_.socket().set_option(Tcp::no_delay(true), ignored);
    while (shared_->handler != nullptr && ServeNextRequest(yield)) {
    }
    Close();
  }

 private:
  using Parser = http::request_parser<http::string_body>;

  // Serves one request. Returns whether the connection can be used for another one.
  bool ServeNextRequest(Yield yield) {
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
    return HandleRequest(request, yield);
  }

  bool AwaitFirstByte(const ListenerLimits& limits, Yield yield) {
    if (buffer_.size() > 0) return true;
    const auto position = shared_->idle_streams.insert(shared_->idle_streams.end(), &stream_);
    boost::system::error_code error;
    stream_.expires_after(ToChrono(limits.idle_timeout));
    const auto count = stream_.async_read_some(buffer_.prepare(kInitialReadBytes), yield[error]);
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
      http::response<http::empty_body> continue_response(http::status::continue_, 11);
      http::async_write(stream_, continue_response, yield[error]);
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
    shared_->handler->OnRejected(rejection.status, rejection.reason);
    HttpRequest unread_request;
    unread_request.version(11);
    StreamReplyWriter reply(stream_, unread_request, true);
    HttpFields fields;
    fields.set(http::field::content_type, "application/json");
    const auto sent = reply.SendReply(rejection.status, fields, ErrorBody(rejection.reason), yield);
    if (sent) DiscardUnreadInput(yield);
  }

  // Discards unread input, which would reset the connection before the caller reads the response.
  void DiscardUnreadInput(Yield yield) {
    boost::system::error_code error;
    stream_.socket().shutdown(Tcp::socket::shutdown_send, error);
    constexpr int kMaxReads = 64;
    stream_.expires_after(std::chrono::milliseconds(500));
    for (int i = 0; i < kMaxReads && !error; ++i) {
      buffer_.clear();
      stream_.async_read_some(buffer_.prepare(kInitialReadBytes), yield[error]);
    }
  }

  bool HandleRequest(HttpRequest& request, Yield yield) {
    Cancellation cancellation;
    DisconnectWatch watch(shared_->io, stream_, buffer_, cancellation);
    StreamReplyWriter reply(stream_, request, shared_->handler->closing());
    stream_.expires_never();
    watch.Start();
    ++shared_->active_requests;
    shared_->handler->Handle(request, reply, cancellation, yield);
    --shared_->active_requests;
    watch.Stop(yield);
    return reply.reusable() && !watch.caller_disconnected();
  }

  void Close() {
    boost::system::error_code ignored;  // The peer may have closed first.
    stream_.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    stream_.close();
  }

  // Shared with the listener and all its connections.
  HttpListener::SharedStatePtr shared_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
};

}  // namespace

void ServeConnection(const HttpListener::SharedStatePtr& shared, Tcp::socket socket, Yield yield) {
  ++shared->connections;
  ConnectionServer(shared, std::move(socket)).Run(yield);
  --shared->connections;
}

}  // namespace marigoldquay::internal
