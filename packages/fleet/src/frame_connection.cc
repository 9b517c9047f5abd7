// Reads and writes frames on a TCP socket.
#include "marigoldquay/fleet/frame_connection.h"

#include <array>
#include <boost/asio/write.hpp>
#include <utility>

#include "absl/strings/str_cat.h"

namespace marigoldquay {
namespace {

constexpr std::size_t kMaxQueuedBytes = std::size_t{1} << 20;
constexpr std::size_t kReadChunkBytes = std::size_t{8} * 1024;

std::string PeerName(const Tcp::socket& socket) {
  boost::system::error_code error;
  const auto endpoint = socket.remote_endpoint(error);
  if (error) return "unknown";
  return absl::StrCat(endpoint.address().to_string(), ":", endpoint.port());
}

}  // namespace

FrameConnection::FrameConnection(Tcp::socket socket, MemoryBudget& memory)
    : socket_(std::move(socket)),
      read_timer_(socket_.get_executor()),
      peer_(PeerName(socket_)),
      memory_(memory) {
  boost::system::error_code ignored;  // Optional: only affects latency.
  socket_.set_option(Tcp::no_delay(true), ignored);
}

FrameConnectionPtr FrameConnection::Make(Tcp::socket socket, MemoryBudget& memory) {
  return FrameConnectionPtr(new FrameConnection(std::move(socket), memory));
}

bool FrameConnection::Charge(std::size_t more) {
  return memory_.Resize(decoder_.buffered_bytes() + queued_bytes_.size() + in_flight_bytes_.size() +
                        more);
}

ErrorOr<FrameConnectionPtr> FrameConnection::Connect(asio::io_context& io, const Address& peer,
                                                     absl::Duration timeout, MemoryBudget& memory,
                                                     Yield yield) {
  const auto endpoint = ParseEndpoint(peer);
  if (!endpoint) return Error{ErrorCode::kNotSent, "connect to VM", peer, "malformed address"};
  Tcp::socket socket(io);
  asio::steady_timer timer(io, ToChrono(timeout));
  timer.async_wait([&socket](const boost::system::error_code& error) {
    boost::system::error_code ignored;  // Cancels the pending connect.
    if (!error) socket.close(ignored);
  });
  boost::system::error_code error;
  socket.async_connect(*endpoint, yield[error]);
  timer.cancel();
  // Lets an already queued timer handler run first, as it refers to the local socket.
  boost::system::error_code ignored;
  asio::post(io, yield[ignored]);
  if (error || !socket.is_open()) {
    return Error{ErrorCode::kNotSent, "connect to VM", peer, error ? error.message() : "timed out"};
  }
  return Make(std::move(socket), memory);
}

void FrameConnection::SendBytes(const std::string& bytes) {
  if (!open_) return;
  if (queued_bytes_.size() + bytes.size() > kMaxQueuedBytes || !Charge(bytes.size())) {
    Close();
    return;
  }
  queued_bytes_ += bytes;
  if (!write_in_progress_) WriteNext();
}

void FrameConnection::WriteNext() {
  write_in_progress_ = true;
  in_flight_bytes_ = std::exchange(queued_bytes_, {});
  asio::async_write(
      socket_, asio::buffer(in_flight_bytes_),
      [self = shared_from_this()](const boost::system::error_code& error, std::size_t) {
        self->write_in_progress_ = false;
        self->in_flight_bytes_ = {};
        (void)self->Charge(0);  // A decrease is always granted.
        if (error) {
          self->Close();
        } else if (!self->queued_bytes_.empty()) {
          self->WriteNext();
        }
      });
}

ErrorOr<Frame> FrameConnection::Read(absl::Duration timeout, Yield yield) {
  const auto until = asio::steady_timer::clock_type::now() + ToChrono(timeout);
  while (open_) {
    auto next = Capture<std::optional<Frame>>([&] { return decoder_.Next(); });
    if (auto* error = std::get_if<1>(&next)) {
      Close();
      return *error;
    }
    if (auto& frame = std::get<0>(next)) return std::move(*frame);
    if (!Charge(kReadChunkBytes)) {
      Close();
      return Error{ErrorCode::kResourceExhausted, "read from VM", peer_, "no memory for a frame"};
    }
    // The timer handler keeps the connection alive until it has run.
    read_timer_.expires_at(until);
    read_timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
      if (!error) self->Close();
    });
    std::array<char, kReadChunkBytes> chunk;
    boost::system::error_code error;
    const auto count = socket_.async_read_some(asio::buffer(chunk), yield[error]);
    read_timer_.cancel();
    if (error) {
      Close();
      return Error{ErrorCode::kUnavailable, "read from VM", peer_, error.message()};
    }
    decoder_.Append({chunk.data(), count});
  }
  return Error{ErrorCode::kUnavailable, "read from VM", peer_, "closed"};
}

void FrameConnection::Close() {
  open_ = false;
  boost::system::error_code ignored;  // The socket may be closed already.
  socket_.close(ignored);
}

}  // namespace marigoldquay
