// Request loop of an accepted connection.
#include "caller_connection.h"

#include <array>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/write.hpp>
#include <list>
#include <utility>

#include "absl/strings/str_cat.h"
#include "message_framing.h"

namespace marigoldquay::internal {
namespace {

// A caller that does not read its response for this long is treated as disconnected.
constexpr absl::Duration kWriteTimeout = absl::Seconds(30);
// Maximum bytes of later requests to buffer while one is handled; the rest stays in the socket.
constexpr std::size_t kMaxReadAheadBytes = std::size_t{64} * 1024;
constexpr std::size_t kReadAheadChunkBytes = std::size_t{4} * 1024;
// A caller that has not taken the answer to a rejected request by then loses it.
constexpr absl::Duration kDiscardTimeout = absl::Seconds(2);
// Large, as the bytes of a large body cost a read each time.
constexpr std::size_t kDiscardBytes = std::size_t{64} * 1024;
// Large requests take some tenths of a second to be served.
constexpr char kMemoryRetryAfter[] = "0.50";

struct Rejection {
  unsigned status = 0;
  const char* reason = "";
  // Value of Retry-After in seconds; empty when the request is not to be repeated.
  const char* retry_after = "";
};

// Response to a request that could not be read; status 0 closes the connection without one.
Rejection RejectionFor(const boost::system::error_code& error) {
  if (error == http::error::header_limit) {
    return {431, "the request head, the head of a chunk or the trailer is too large"};
  }
  if (error == OutOfMemory()) {
    return {503, "too many large requests at once", kMemoryRetryAfter};
  }
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
                                 MessageReader& reader, Cancellation& cancellation)
    : stream_(stream),
      reader_(reader),
      buffer_(reader.buffer()),
      cancellation_(cancellation),
      stopped_(io) {}

void DisconnectWatch::Start() {
  stopped_.expires_at(asio::steady_timer::time_point::max());
  ReadMore();
}

void DisconnectWatch::ReadMore() {
  if (buffer_.size() >= kMaxReadAheadBytes) return;
  // The first piece needs no grant: without a read, the end of the stream is not detected.
  if (buffer_.size() > 0 && !reader_.ChargeRead(kReadAheadChunkBytes)) return;
  reading_ = true;
  stream_.socket().async_read_some(
      reader_.Prepare(kReadAheadChunkBytes),
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
      : shared_(std::move(shared)), stream_(std::move(socket)), reader_(stream_, shared_->memory) {}

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
    HttpRequest request;
    const auto error = ReadRequest(request, limits, yield);
    if (shared_->handler == nullptr) return false;
    if (error) {
      Reject(RejectionFor(error), limits, yield);
      return false;
    }
    if (shared_->active_requests >= shared_->capacity.requests) {
      Reject({503, "too many requests at once", kMemoryRetryAfter}, limits, yield);
      return false;
    }
    const bool reusable = HandleRequest(request, yield);
    // The charge for the request ends with it.
    request = {};
    reader_.EndMessage();
    return reusable;
  }

  bool AwaitFirstByte(const ListenerLimits& limits, Yield yield) {
    auto& buffer = reader_.buffer();
    if (buffer.size() > 0) return true;
    const auto position = shared_->idle_streams.insert(shared_->idle_streams.end(), &stream_);
    boost::system::error_code error;
    stream_.expires_after(ToChrono(limits.idle_timeout));
    const auto space = reader_.Prepare(MessageReader::kReadBytes);
    const auto count = stream_.async_read_some(space, yield[error]);
    shared_->idle_streams.erase(position);
    if (error) return false;
    buffer.commit(count);
    return true;
  }

  // What was read of a request that fails is freed when this returns.
  boost::system::error_code ReadRequest(HttpRequest& request, const ListenerLimits& limits,
                                        Yield yield) {
    Parser parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    parser.body_limit(limits.body_bytes);
    reader_.StartMessage(limits.header_bytes);
    const auto error = ReadParts(parser, limits, yield);
    if (!error) request = parser.release();
    return error;
  }

  boost::system::error_code ReadParts(Parser& parser, const ListenerLimits& limits, Yield yield) {
    stream_.expires_after(ToChrono(limits.header_timeout));
    auto error = reader_.ReadUntil(
        parser, [&] { return parser.is_header_done(); }, yield);
    if (error) return error;
    // The parser takes a message in an unknown coding for one without a body, and its body for
    // further requests.
    if (!HasKnownTransferCoding(parser.get(), parser.get().version())) {
      return http::error::bad_transfer_encoding;
    }
    // A body that does not fit is refused before it is sent.
    const std::uint64_t length = parser.content_length().value_or(0);
    if (!reader_.ChargeBody(static_cast<std::size_t>(length))) return OutOfMemory();
    if (parser.get()[http::field::expect] == "100-continue" && !parser.is_done()) {
      http::response<http::empty_body> continue_response(http::status::continue_, 11);
      http::async_write(stream_, continue_response, yield[error]);
      if (error) return error;
    }
    error = ReadBody(parser, limits, yield);
    // The fields of a trailer are only known now.
    if (!error && !reader_.ChargeRead(0)) return OutOfMemory();
    return error;
  }

  boost::system::error_code ReadBody(Parser& parser, const ListenerLimits& limits, Yield yield) {
    const auto& body = parser.get().body();
    const bool length_known = parser.content_length().has_value();
    while (!parser.is_done()) {
      const std::size_t received = body.size();
      // Otherwise the whole body is charged already.
      if (!length_known && !reader_.ChargeBody(received)) return OutOfMemory();
      stream_.expires_after(ToChrono(limits.idle_timeout));
      const auto more_read = [&] { return parser.is_done() || body.size() > received; };
      const auto error = reader_.ReadUntil(parser, more_read, yield);
      if (error) return error;
    }
    return {};
  }

  void Reject(const Rejection& rejection, const ListenerLimits& limits, Yield yield) {
    if (rejection.status == 0) return;
    shared_->handler->OnRejected(rejection.status, rejection.reason);
    HttpRequest unread_request;
    unread_request.version(11);
    StreamReplyWriter reply(stream_, unread_request, true);
    HttpFields fields;
    fields.set(http::field::content_type, "application/json");
    if (*rejection.retry_after != '\0') {
      fields.set(http::field::retry_after, rejection.retry_after);
    }
    const auto sent = reply.SendReply(rejection.status, fields, ErrorBody(rejection.reason), yield);
    if (sent) DiscardUnreadInput(limits.header_bytes + limits.body_bytes, yield);
  }

  // Discards unread input, at most `limit` bytes: it would reset the connection before the caller
  // reads the response.
  void DiscardUnreadInput(std::size_t limit, Yield yield) {
    boost::system::error_code error;
    stream_.socket().shutdown(Tcp::socket::shutdown_send, error);
    stream_.expires_after(ToChrono(kDiscardTimeout));
    reader_.Discard();
    // Shared by all connections of the thread, as nobody looks at the bytes.
    static thread_local std::array<char, kDiscardBytes> discarded_bytes;
    for (std::size_t discarded = 0; discarded < limit && !error;) {
      discarded += stream_.async_read_some(asio::buffer(discarded_bytes), yield[error]);
    }
  }

  bool HandleRequest(HttpRequest& request, Yield yield) {
    Cancellation cancellation;
    DisconnectWatch watch(shared_->io, stream_, reader_, cancellation);
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
  MessageReader reader_;
};

}  // namespace

void ServeConnection(const HttpListener::SharedStatePtr& shared, Tcp::socket socket, Yield yield) {
  ++shared->connections;
  ConnectionServer(shared, std::move(socket)).Run(yield);
  --shared->connections;
}

}  // namespace marigoldquay::internal
