// Frames of the VM-to-VM (inner) protocol over one TCP connection.
#ifndef MARIGOLDQUAY_FLEET_FRAME_CONNECTION_H_
#define MARIGOLDQUAY_FLEET_FRAME_CONNECTION_H_

#include <memory>
#include <string>

#include "absl/time/time.h"
#include "marigoldquay/core/error_or.h"
#include "marigoldquay/net/async.h"
#include "marigoldquay/net/memory_budget.h"
#include "marigoldquay/protocol/codec.h"
#include "marigoldquay/protocol/frame.h"

namespace marigoldquay {

class FrameConnection;
/// Shared with the completion handlers of writes and timers, which may run after the session ends.
using FrameConnectionPtr = std::shared_ptr<FrameConnection>;

/// Queues writes without blocking and reads in one fiber. The connection is closed when the write
/// queue exceeds its limit because the peer does not read, or when the memory budget is used up.
class FrameConnection : public std::enable_shared_from_this<FrameConnection> {
 public:
  /// Charges what it holds to `memory`, which must outlive it.
  static FrameConnectionPtr Make(Tcp::socket socket,
                                 MemoryBudget& memory = MemoryBudget::Unlimited());

  /// Connects to another VM. Fails with kNotSent for a malformed address, a failed connect or when
  /// `timeout` expires.
  static ErrorOr<FrameConnectionPtr> Connect(asio::io_context& io, const Address& peer,
                                             absl::Duration timeout, MemoryBudget& memory,
                                             Yield yield);

  /// Encodes a frame, e.g. once to send it on several connections.
  template <class ObjectT>
  static std::string Encode(protocol::MessageType type, std::uint64_t call_id,
                            const ObjectT& message) {
    FrameHeader header;
    header.type = type;
    header.call_id = call_id;
    return EncodeFrame(header, EncodeMessage(message));
  }
  template <class ObjectT>
  void Send(protocol::MessageType type, std::uint64_t call_id, const ObjectT& message) {
    SendBytes(Encode(type, call_id, message));
  }
  /// Queues an encoded frame; does nothing on a closed connection.
  void SendBytes(const std::string& bytes);

  /// Reads the next frame. Fails and closes the connection when the peer closes it, sends a
  /// malformed frame or has sent no complete one after `timeout`.
  ErrorOr<Frame> Read(absl::Duration timeout, Yield yield);

  void Close();
  bool open() const { return open_; }
  const std::string& peer() const { return peer_; }

 private:
  FrameConnection(Tcp::socket socket, MemoryBudget& memory);

  // Charges the bytes held both ways and `more`; false when the memory budget does not grant them.
  [[nodiscard]] bool Charge(std::size_t more);

  void WriteNext();

  Tcp::socket socket_;
  asio::steady_timer read_timer_;
  std::string peer_;
  FrameDecoder decoder_;
  MemoryHolding memory_;
  // Bytes to send after the write in progress.
  std::string queued_bytes_;
  std::string in_flight_bytes_;
  bool write_in_progress_ = false;
  bool open_ = true;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_FLEET_FRAME_CONNECTION_H_
