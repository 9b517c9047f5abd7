// One TCP connection of the inner protocol, used by the server and the client.
// A single thread reads; any thread may send. Sending first tries the socket
// and queues what does not fit, and the reading thread writes the queue out, so
// that a sender waits only while the queue is full.
#ifndef MARIGOLDQUAY_TRANSPORT_SRC_CONNECTION_H_
#define MARIGOLDQUAY_TRANSPORT_SRC_CONNECTION_H_

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "marigoldquay/core/error.h"
#include "marigoldquay/core/types.h"
#include "marigoldquay/protocol/frame.h"
#include "socket.h"

namespace marigoldquay {

struct ConnectionLimits {
  std::size_t max_queued_bytes = std::size_t{8} << 20;
  /// Longest time without progress while bytes wait to be sent.
  absl::Duration send_timeout = absl::Seconds(2);
  /// Longest time for a frame to arrive whole; bounds the memory that idle peers can hold.
  absl::Duration partial_frame_timeout = absl::Seconds(10);
};

enum class SendStatus {
  kQueued,
  /// The queue stayed full; no byte of the frame was or will be sent.
  kFull,
  /// The connection is closed; no byte of the frame was or will be sent.
  kClosed,
};

class Connection {
 public:
  Connection(UniqueFd fd, Address peer, const ConnectionLimits& limits);

  /// Reads frames until the connection ends and returns why it ended. `on_frame` returns an error
  /// to end it. Called once, by the reading thread.
  Error Run(const std::function<std::optional<Error>(Frame)>& on_frame);

  /// Sends a whole frame; waits up to `max_wait` while the queue is full.
  SendStatus Send(absl::string_view frame, absl::Duration max_wait);

  /// Ends Run and all waiting senders.
  void Close();

  /// Called by the reading thread after Run: sends what is queued and a last frame, waits briefly
  /// for the peer to close, then closes.
  void SayFarewell(absl::string_view frame);

  /// Whether nothing more can be sent.
  bool closed() const;
  const Address& peer() const { return peer_; }

 private:
  // Writes queued bytes as far as the socket takes them; closes on errors. Needs mutex_.
  void Flush();
  void CloseLocked();
  bool PeerClosed() const;
  bool HasQueued() const;
  // How the connection has overstepped a time limit, if it has.
  std::optional<Error> CheckTimes(absl::Time now) const;
  // Reads once and passes on whole frames; an error ends the connection.
  std::optional<Error> ReadOnce(const std::function<std::optional<Error>(Frame)>& on_frame);
  Error Ended(ErrorCode code, std::string message) const;

  const UniqueFd fd_;
  const WakeFd wake_;
  const Address peer_;
  const ConnectionLimits limits_;

  // Used by the reading thread only.
  FrameDecoder decoder_;
  std::size_t partial_bytes_ = 0;
  absl::Time partial_since_;

  mutable std::mutex mutex_;
  std::condition_variable room_;
  // Guarded by mutex_. queue_[sent_..] waits to be written and is at most max_queued_bytes.
  std::string queue_;
  std::size_t sent_ = 0;
  absl::Time last_progress_;
  bool closed_ = false;
  // The peer sends nothing more; what it sent before is still read.
  bool peer_closed_ = false;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_TRANSPORT_SRC_CONNECTION_H_
