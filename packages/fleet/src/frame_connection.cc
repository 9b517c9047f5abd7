// Frames over TCP.
#include "marigoldquay/fleet/frame_connection.h"

#include <array>
#include <boost/asio/write.hpp>
#include <utility>

#include "absl/strings/str_cat.h"

namespace marigoldquay {
namespace {

constexpr std::size_t kMaxWaitingBytes = std::size_t{1} << 20;
constexpr std::size_t kReadBytes = std::size_t{8} * 1024;

std::string PeerName(const Tcp::socket& socket) {
  boost::system::error_code error;
  const auto endpoint = socket.remote_endpoint(error);
  if (error) return "unknown";
  return absl::StrCat(endpoint.address().to_string(), ":", endpoint.port());
}

}  // namespace

FrameConnection::FrameConnection(Tcp::socket socket)
    : socket_(std::move(socket)), read_timer_(socket_.get_executor()), peer_(PeerName(socket_)) {
  boost::system::error_code ignored;  // Without the option the connection is only slower.
  socket_.set_option(Tcp::no_delay(true), ignored);
}

FrameConnectionPtr FrameConnection::Make(Tcp::socket socket) {
  return FrameConnectionPtr(new FrameConnection(std::move(socket)));
}

ErrorOr<FrameConnectionPtr> FrameConnection::Connect(asio::io_context& io, const Address& peer,
                                                     absl::Duration timeout, Yield yield) {
  const auto endpoint = ParseEndpoint(peer);
  if (!endpoint) return Error{ErrorCode::kNotSent, "connect to VM", peer, "malformed address"};
  Tcp::socket socket(io);
  asio::steady_timer timer(io, ToChrono(timeout));
  timer.async_wait([&socket](const boost::system::error_code& error) {
    boost::system::error_code ignored;  // Only ends the connect that is under way.
    if (!error) socket.close(ignored);
  });
  boost::system::error_code error;
  socket.async_connect(*endpoint, yield[error]);
  timer.cancel();
  // Lets a handler of the timer run that has already expired, as it refers to the socket.
  boost::system::error_code ignored;
  asio::post(io, yield[ignored]);
  if (error || !socket.is_open()) {
    return Error{ErrorCode::kNotSent, "connect to VM", peer, error ? error.message() : "timed out"};
  }
  return Make(std::move(socket));
}

void FrameConnection::SendBytes(const std::string& bytes) {
  if (!open_) return;
  if (waiting_.size() + bytes.size() > kMaxWaitingBytes) {
    Close();
    return;
  }
  waiting_ += bytes;
  if (!write_in_progress_) WriteNext();
}

void FrameConnection::WriteNext() {
  write_in_progress_ = true;
  writing_ = std::exchange(waiting_, {});
  asio::async_write(
      socket_, asio::buffer(writing_),
      [self = shared_from_this()](const boost::system::error_code& error, std::size_t) {
        self->write_in_progress_ = false;
        if (error) {
          self->Close();
        } else if (!self->waiting_.empty()) {
          self->WriteNext();
        }
      });
}

ErrorOr<Frame> FrameConnection::Read(absl::Duration timeout, Yield yield) {
  while (open_) {
    auto next = Capture<std::optional<Frame>>([&] { return decoder_.Next(); });
    if (auto* error = std::get_if<1>(&next)) {
      Close();
      return *error;
    }
    if (auto& frame = std::get<0>(next)) return std::move(*frame);
    // The timer's handler keeps the connection alive until it has run.
    read_timer_.expires_after(ToChrono(timeout));
    read_timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
      if (!error) self->Close();
    });
    std::array<char, kReadBytes> piece;
    boost::system::error_code error;
    const auto count = socket_.async_read_some(asio::buffer(piece), yield[error]);
    read_timer_.cancel();
    if (error) {
      Close();
      return Error{ErrorCode::kUnavailable, "read from VM", peer_, error.message()};
    }
    decoder_.Append({piece.data(), count});
  }
  return Error{ErrorCode::kUnavailable, "read from VM", peer_, "closed"};
}

void FrameConnection::Close() {
  open_ = false;
  boost::system::error_code ignored;  // A closed socket is what is wanted.
  socket_.close(ignored);
}

}  // namespace marigoldquay
