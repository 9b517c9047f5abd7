// An accepted connection: reads requests, detects when the caller disconnects while a request is
// handled, and writes responses.
#ifndef MARIGOLDQUAY_NET_SRC_CALLER_CONNECTION_H_
#define MARIGOLDQUAY_NET_SRC_CALLER_CONNECTION_H_

#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <memory>
#include <optional>
#include <string>

#include "marigoldquay/net/http_listener.h"
#include "marigoldquay/net/message_reader.h"

namespace marigoldquay::internal {

/// Reads from the caller's socket while its request is handled. Buffers bytes of the next request;
/// cancels the current request at the end of the stream.
class DisconnectWatch {
 public:
  DisconnectWatch(asio::io_context& io, beast::tcp_stream& stream, MessageReader& reader,
                  Cancellation& cancellation);
  /// Starts reading.
  void Start();
  /// Stops reading and waits until the pending read has ended.
  void Stop(Yield yield);
  bool caller_disconnected() const { return caller_disconnected_; }

 private:
  void ReadMore();
  void OnRead(const boost::system::error_code& error, std::size_t count);

  beast::tcp_stream& stream_;
  MessageReader& reader_;
  beast::flat_buffer& buffer_;
  Cancellation& cancellation_;
  asio::steady_timer stopped_;
  bool reading_ = false;
  bool stopping_ = false;
  bool caller_disconnected_ = false;
};

/// Writes the response to one request on a Beast stream.
class StreamReplyWriter final : public HttpReplyWriter {
 public:
  StreamReplyWriter(beast::tcp_stream& stream, const HttpRequest& request, bool close_after);

  ErrorOrVoid SendReply(unsigned status, const HttpFields& fields, std::string body,
                        Yield yield) override;
  ErrorOrVoid Begin(unsigned status, const HttpFields& fields, std::optional<std::uint64_t> length,
                    Yield yield) override;
  ErrorOrVoid Append(absl::string_view chunk, Yield yield) override;
  ErrorOrVoid Finish(Yield yield) override;
  void Abort() override;
  void CloseAfterReply() override { close_after_ = true; }
  bool started() const override { return started_; }

  /// Whether the connection can be used for another request.
  bool reusable() const { return finished_ && !close_after_ && !aborted_; }

 private:
  using StreamedMessage = http::response<http::buffer_body>;

  ErrorOrVoid CheckWrite(const boost::system::error_code& error);

  beast::tcp_stream& stream_;
  const bool head_only_;
  const unsigned http_version_;
  bool close_after_;
  bool started_ = false;
  bool finished_ = false;
  bool aborted_ = false;
  std::optional<StreamedMessage> message_;
  std::optional<http::response_serializer<http::buffer_body>> serializer_;
};

/// Serves requests on an accepted socket until it closes.
void ServeConnection(const HttpListener::SharedStatePtr& shared, Tcp::socket socket, Yield yield);

}  // namespace marigoldquay::internal

namespace marigoldquay {

struct HttpListener::SharedState {
  SharedState(asio::io_context& io, HttpHandler& handler, ListenerCapacity capacity,
              MemoryBudget& memory)
      : io(io), acceptor(io), handler(&handler), capacity(capacity), memory(memory) {}

  asio::io_context& io;
  Tcp::acceptor acceptor;
  // Null after the listener is destroyed.
  HttpHandler* handler;
  const ListenerCapacity capacity;
  MemoryBudget& memory;
  std::size_t connections = 0;
  std::size_t active_requests = 0;
  // Streams that are waiting for a request.
  std::list<beast::tcp_stream*> idle_streams;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_NET_SRC_CALLER_CONNECTION_H_
