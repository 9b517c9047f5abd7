// One TCP connection of the inner protocol.
#include "connection.h"

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "marigoldquay/core/clock.h"

namespace marigoldquay {
namespace {

constexpr std::size_t kReadSize = std::size_t{64} << 10;
constexpr int kIdlePollMs = 5000;
// While bytes wait in either direction, so that the time limits are noticed.
constexpr int kBusyPollMs = 100;
// An error frame gets this long to reach the peer before the connection is closed.
constexpr int kFarewellMs = 200;

absl::Time Now() { return SystemClock::Instance().Now(); }

bool WouldBlock(int error) { return error == EAGAIN || error == EWOULDBLOCK || error == EINTR; }

}  // namespace

Connection::Connection(UniqueFd fd, Address peer, const ConnectionLimits& limits)
    : fd_(std::move(fd)), peer_(std::move(peer)), limits_(limits) {}

Error Connection::Ended(ErrorCode code, std::string message) const {
  return {code, "read from connection", peer_, std::move(message)};
}

bool Connection::closed() const {
  const std::scoped_lock lock(mutex_);
  return closed_ || peer_closed_;
}

bool Connection::PeerClosed() const {
  pollfd state{fd_.descriptor(), POLLRDHUP, 0};
  return poll(&state, 1, 0) > 0;
}

bool Connection::HasQueued() const {
  const std::scoped_lock lock(mutex_);
  return sent_ < queue_.size();
}

void Connection::CloseLocked() {
  if (closed_) return;
  closed_ = true;
  shutdown(fd_.descriptor(), SHUT_RDWR);
  wake_.Wake();
  room_.notify_all();
}

void Connection::Close() {
  const std::scoped_lock lock(mutex_);
  CloseLocked();
}

void Connection::Flush() {
  while (!closed_ && sent_ < queue_.size()) {
    const auto n =
        send(fd_.descriptor(), queue_.data() + sent_, queue_.size() - sent_, MSG_NOSIGNAL);
    if (n < 0) {
      if (!WouldBlock(errno)) CloseLocked();
      break;
    }
    sent_ += static_cast<std::size_t>(n);
    last_progress_ = Now();
  }
  if (sent_ == queue_.size()) {
    queue_ = std::string();
    sent_ = 0;
  } else if (sent_ > queue_.size() / 2) {
    queue_.erase(0, sent_);
    sent_ = 0;
  }
  room_.notify_all();
}

SendStatus Connection::Send(absl::string_view frame, absl::Duration max_wait) {
  std::unique_lock lock(mutex_);
  const auto fits = [&] {
    return closed_ || queue_.size() - sent_ + frame.size() <= limits_.max_queued_bytes;
  };
  if (!fits()) room_.wait_for(lock, absl::ToChronoMilliseconds(max_wait), fits);
  // The socket would still take bytes that the peer never reads while the reading thread has not
  // yet seen the end of the stream; the caller could then not know that nothing had an effect.
  peer_closed_ = peer_closed_ || (!closed_ && PeerClosed());
  if (closed_ || peer_closed_) return SendStatus::kClosed;
  if (!fits()) return SendStatus::kFull;
  std::size_t written = 0;
  if (queue_.empty()) {
    const auto n = send(fd_.descriptor(), frame.data(), frame.size(), MSG_NOSIGNAL);
    if (n < 0 && !WouldBlock(errno)) {
      CloseLocked();
      return SendStatus::kClosed;
    }
    written = n < 0 ? 0 : static_cast<std::size_t>(n);
    if (written == frame.size()) return SendStatus::kQueued;
    last_progress_ = Now();
  }
  const auto rest = frame.substr(written);
  queue_.append(rest.data(), rest.size());
  wake_.Wake();
  return SendStatus::kQueued;
}

std::optional<Error> Connection::CheckTimes(absl::Time now) const {
  if (partial_bytes_ > 0 && now - partial_since_ > limits_.partial_frame_timeout) {
    return Ended(ErrorCode::kTimeout, "frame did not arrive whole in time");
  }
  const std::scoped_lock lock(mutex_);
  if (sent_ < queue_.size() && now - last_progress_ > limits_.send_timeout) {
    return Ended(ErrorCode::kTimeout, absl::StrCat("peer did not read for ",
                                                   absl::FormatDuration(limits_.send_timeout)));
  }
  return std::nullopt;
}

std::optional<Error> Connection::ReadOnce(
    const std::function<std::optional<Error>(Frame)>& on_frame) {
  thread_local std::vector<char> buffer(kReadSize);
  const auto n = recv(fd_.descriptor(), buffer.data(), buffer.size(), 0);
  if (n < 0 && WouldBlock(errno)) return std::nullopt;
  if (n <= 0) return Ended(ErrorCode::kUnavailable, n == 0 ? "closed by peer" : "broken");
  decoder_.Append(absl::string_view(buffer.data(), static_cast<std::size_t>(n)));
  if (partial_bytes_ == 0) partial_since_ = Now();
  partial_bytes_ += static_cast<std::size_t>(n);
  while (true) {
    std::optional<Error> fault;
    std::optional<Frame> frame = HandleError([&] { return decoder_.Next(); },
                                             [&](const Error& error) {
                                               fault = error;
                                               fault->peer = peer_;
                                               return std::optional<Frame>();
                                             });
    if (fault) return fault;
    if (!frame) return std::nullopt;
    partial_bytes_ -= kFrameHeaderSize + frame->payload.size();
    partial_since_ = Now();
    if (auto error = on_frame(*std::move(frame))) return error;
  }
}

Error Connection::Run(const std::function<std::optional<Error>(Frame)>& on_frame) {
  while (true) {
    const bool queued = HasQueued();
    std::array<pollfd, 2> waiting{pollfd{fd_.descriptor(), POLLIN, 0},
                                  pollfd{wake_.fd(), POLLIN, 0}};
    if (queued) waiting[0].events |= POLLOUT;
    poll(waiting.data(), waiting.size(), queued || partial_bytes_ > 0 ? kBusyPollMs : kIdlePollMs);
    if ((waiting[1].revents & POLLIN) != 0) wake_.Clear();
    {
      const std::scoped_lock lock(mutex_);
      if (closed_) return Ended(ErrorCode::kUnavailable, "closed");
      if ((waiting[0].revents & POLLOUT) != 0) Flush();
    }
    if ((waiting[0].revents & (POLLIN | POLLERR | POLLHUP)) != 0) {
      if (auto error = ReadOnce(on_frame)) return *error;
    }
    if (auto error = CheckTimes(Now())) return *error;
  }
}

void Connection::SayFarewell(absl::string_view frame) {
  if (Send(frame, absl::ZeroDuration()) == SendStatus::kQueued) {
    {
      const std::scoped_lock lock(mutex_);
      Flush();
    }
    // Closing with unread input would reset the connection and could destroy the last frame.
    shutdown(fd_.descriptor(), SHUT_WR);
    const absl::Time deadline = Now() + absl::Milliseconds(kFarewellMs);
    std::array<char, 4096> discarded{};
    for (int left = kFarewellMs; left > 0;
         left = static_cast<int>(absl::ToInt64Milliseconds(deadline - Now()))) {
      pollfd waiting{fd_.descriptor(), POLLIN, 0};
      if (poll(&waiting, 1, left) <= 0) break;
      if (recv(fd_.descriptor(), discarded.data(), discarded.size(), 0) <= 0) break;
    }
  }
  Close();
}

}  // namespace marigoldquay
