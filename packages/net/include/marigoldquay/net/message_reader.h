// Reads HTTP messages within bounds: what the parser cannot consume yet, an unfinished head, head
// of a chunk or trailer, is limited for each connection, and all that a message takes is charged to
// the memory budget of the process before it is read.
#ifndef MARIGOLDQUAY_NET_MESSAGE_READER_H_
#define MARIGOLDQUAY_NET_MESSAGE_READER_H_

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <cstddef>

#include "absl/strings/string_view.h"
#include "marigoldquay/net/async.h"
#include "marigoldquay/net/memory_budget.h"

namespace marigoldquay::internal {

/// Error of a read that the memory budget does not allow.
inline boost::system::error_code OutOfMemory() {
  return make_error_code(boost::system::errc::not_enough_memory);
}

/// Receive side of one connection; reads one message after the other. The stream and the budget
/// must outlive it.
class MessageReader {
 public:
  /// Most bytes that one read adds to the buffer.
  static constexpr std::size_t kReadBytes = std::size_t{8} * 1024;
  /// Most fields of a head or trailer. Each takes far more time and memory than its bytes, and
  /// heads of proper messages have some tens.
  static constexpr std::size_t kMaxFields = 1000;

  MessageReader(beast::tcp_stream& stream, MemoryBudget& budget)
      : stream_(stream), memory_(budget) {}

  /// Begins the next message, whose head, head of a chunk and trailer may each have at most
  /// `max_head` bytes; one read for a chunk or trailer is always allowed.
  void StartMessage(std::size_t max_head) {
    max_head_ = max_head;
    received_head_ = 0;
    fields_ = 0;
    head_bytes_ = 0;
    body_bytes_ = 0;
  }

  /// Gives back the memory of the last message; bytes behind it stay in the buffer.
  void EndMessage() {
    StartMessage(0);
    if (buffer_.size() == 0) buffer_.clear();
    if (buffer_.capacity() > 2 * kReadBytes) buffer_.shrink_to_fit();
    (void)memory_.Resize(buffer_.capacity());  // A decrease is always granted.
  }

  /// Gives back the memory of the last message and the bytes behind it.
  void Discard() {
    buffer_.clear();
    buffer_.shrink_to_fit();
    EndMessage();
  }

  /// Charges `bytes` for what is kept of the body, in place of what was charged before. Returns
  /// false when the budget does not grant them.
  [[nodiscard]] bool ChargeBody(std::size_t bytes) {
    if (!memory_.Resize(head_bytes_ + buffer_.capacity() + bytes)) return false;
    body_bytes_ = bytes;
    return true;
  }

  /// Charges the buffer with room for `bytes` more.
  [[nodiscard]] bool ChargeRead(std::size_t bytes) {
    const std::size_t capacity = std::max(buffer_.capacity(), buffer_.size() + bytes);
    return memory_.Resize(head_bytes_ + body_bytes_ + capacity);
  }

  /// Room for `bytes` more in the buffer, whose capacity grows no further than that; otherwise it
  /// doubles.
  beast::flat_buffer::mutable_buffers_type Prepare(std::size_t bytes) {
    buffer_.max_size(std::max(buffer_.capacity(), buffer_.size() + bytes));
    return buffer_.prepare(bytes);
  }

  /// Reads until `done()` holds, which must be at the end of the message at the latest. Fails with
  /// header_limit when a head, head of a chunk or trailer is too long or has too many fields, and
  /// with OutOfMemory().
  template <class Parser, class Done>
  boost::system::error_code ReadUntil(Parser& parser, const Done& done, Yield yield) {
    boost::system::error_code error;
    while (!done()) {
      if (buffer_.size() > 0) {
        Parse(parser, error);
        if (!error) continue;
        if (error != http::error::need_more) return error;
      }
      error = ReadMore(!parser.is_header_done(), yield);
      if (error == asio::error::eof) return EndOfInput(parser);
      if (error) return error;
    }
    return error;
  }

  beast::flat_buffer& buffer() { return buffer_; }

 private:
  // Memory of one parsed header field beside its text, twice: most messages are passed on with a
  // copy of their fields.
  static constexpr std::size_t kFieldBytes = std::size_t{2} * 96;

  template <class Parser>
  void Parse(Parser& parser, boost::system::error_code& error) {
    const bool in_head = !parser.is_header_done();
    if (in_head && fields_ + LinesOfHead() > kMaxFields) {
      error = http::error::header_limit;
      return;
    }
    const std::size_t used = parser.put(buffer_.data(), error);
    // The last piece of a message in chunks is the trailer, whose lines become fields as well.
    if (in_head || (parser.is_done() && parser.chunked())) ChargeFields(used);
    if (fields_ > kMaxFields) error = http::error::header_limit;
    if (in_head) received_head_ += used;
    buffer_.consume(used);
  }

  absl::string_view Buffered() const {
    const auto bytes = buffer_.cdata();
    return {static_cast<const char*>(bytes.data()), bytes.size()};
  }

  static std::size_t CountLines(absl::string_view text) {
    return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
  }

  // Lines in the buffer up to the end of the head.
  std::size_t LinesOfHead() const {
    return CountLines(Buffered().substr(0, Buffered().find("\r\n\r\n")));
  }

  // Each line becomes a field.
  void ChargeFields(std::size_t used) {
    const std::size_t lines = CountLines(Buffered().substr(0, used));
    fields_ += lines;
    head_bytes_ += 2 * used + lines * kFieldBytes;
  }

  boost::system::error_code ReadMore(bool in_head, Yield yield) {
    // The parser itself limits only the part of a head that it has not consumed.
    const std::size_t pending = buffer_.size() + (in_head ? received_head_ : 0);
    const std::size_t limit = in_head ? max_head_ : std::max(max_head_, kReadBytes);
    if (pending >= limit) return http::error::header_limit;
    const std::size_t size = std::min(FreeBytes(), limit - pending);
    if (!ChargeRead(size)) return OutOfMemory();
    boost::system::error_code error;
    const std::size_t count = stream_.async_read_some(Prepare(size), yield[error]);
    if (!error) buffer_.commit(count);
    return error;
  }

  // The rest of the buffer unless it is small, so that bytes that trickle in do not move the
  // buffer each time.
  std::size_t FreeBytes() const {
    const std::size_t rest = buffer_.capacity() - buffer_.size();
    return rest < kReadBytes / 8 ? kReadBytes : std::min(rest, kReadBytes);
  }

  template <class Parser>
  boost::system::error_code EndOfInput(Parser& parser) {
    if (!parser.got_some()) return http::error::end_of_stream;
    boost::system::error_code error;
    parser.put_eof(error);
    return error;
  }

  beast::tcp_stream& stream_;
  // Received bytes that are not parsed yet.
  beast::flat_buffer buffer_;
  MemoryHolding memory_;
  std::size_t max_head_ = 0;
  // Bytes of the head that the parser has consumed.
  std::size_t received_head_ = 0;
  std::size_t fields_ = 0;
  // Memory of the parsed head, and of what is kept of the body.
  std::size_t head_bytes_ = 0;
  std::size_t body_bytes_ = 0;
};

}  // namespace marigoldquay::internal

#endif  // MARIGOLDQUAY_NET_MESSAGE_READER_H_
