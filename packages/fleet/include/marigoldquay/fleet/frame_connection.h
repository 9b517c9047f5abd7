// Frames of the inner protocol over one TCP connection between two VMs.
#ifndef MARIGOLDQUAY_FLEET_FRAME_CONNECTION_H_
#define MARIGOLDQUAY_FLEET_FRAME_CONNECTION_H_

#include <memory>
#include <string>

#include "absl/time/time.h"
#include "marigoldquay/core/error_or.h"
#include "marigoldquay/net/async.h"
#include "marigoldquay/protocol/codec.h"
#include "marigoldquay/protocol/frame.h"

namespace marigoldquay {

class FrameConnection;
/// Shared with the handlers of writes and timers, which may run after the session has ended.
using FrameConnectionPtr = std::shared_ptr<FrameConnection>;

/// Sends without waiting and reads in one fiber. A peer that does not read is cut off when too much
/// is waiting for it.
class FrameConnection : public std::enable_shared_from_this<FrameConnection> {
 public:
  static FrameConnectionPtr Make(Tcp::socket socket);

  /// Connects to another VM.
  static ErrorOr<FrameConnectionPtr> Connect(asio::io_context& io, const Address& peer,
                                             absl::Duration timeout, Yield yield);

  /// A frame as bytes, for connections that all get the same.
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
  /// Sends a whole frame.
  void SendBytes(const std::string& bytes);

  /// The next frame; fails when the connection ends or nothing comes for `timeout`.
  ErrorOr<Frame> Read(absl::Duration timeout, Yield yield);

  void Close();
  bool open() const { return open_; }
  const std::string& peer() const { return peer_; }

 private:
  explicit FrameConnection(Tcp::socket socket);

  void WriteNext();

  Tcp::socket socket_;
  asio::steady_timer read_timer_;
  std::string peer_;
  FrameDecoder decoder_;
  // Bytes that wait while a write is under way.
  std::string waiting_;
  std::string writing_;
  bool write_in_progress_ = false;
  bool open_ = true;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_FLEET_FRAME_CONNECTION_H_
