// Frames of the inner protocol: a fixed header of 24 bytes, little-endian, and
// a FlatBuffers payload.
#ifndef MARIGOLDQUAY_PROTOCOL_FRAME_H_
#define MARIGOLDQUAY_PROTOCOL_FRAME_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "absl/strings/string_view.h"
#include "marigoldquay/core/error.h"
#include "marigoldquay/protocol/inner_generated.h"

namespace marigoldquay {

/// Version that this release speaks; it understands this one and the one before.
inline constexpr std::uint8_t kProtocolVersion = 1;
inline constexpr std::uint8_t kOldestProtocolVersion = 1;
inline constexpr std::size_t kFrameHeaderSize = 24;
/// Largest payload in bytes; a larger one ends the connection.
inline constexpr std::uint32_t kMaxPayloadSize = 4U << 20;

/// Bits of FrameHeader::flags.
enum FrameFlags : std::uint8_t {
  kFrameIsReply = 1,
  /// Last reply of a call.
  kFrameIsLast = 2,
  /// The caller no longer waits; the handler should stop.
  kFrameIsCancel = 4,
};

/// Layout: magic "MQ" (2), version (1), flags (1), message type (2), reserved (2), payload length
/// (4), remaining time in ms (4, requests only), call id (8).
struct FrameHeader {
  std::uint8_t version = kProtocolVersion;
  std::uint8_t flags = 0;
  protocol::MessageType type = protocol::MessageType::None;
  std::uint32_t payload_size = 0;
  std::uint32_t remaining_ms = 0;
  std::uint64_t call_id = 0;

  bool operator==(const FrameHeader&) const = default;
};

struct Frame {
  FrameHeader header;
  std::string payload;

  bool operator==(const Frame&) const = default;
};

/// Serializes a frame; sets payload_size from the payload.
std::string EncodeFrame(FrameHeader header, absl::string_view payload);

/// Cuts a byte stream into frames. Memory is bounded by one frame plus what is passed to Append.
class FrameDecoder {
 public:
  explicit FrameDecoder(std::uint32_t max_payload_size = kMaxPayloadSize)
      : max_payload_size_(max_payload_size) {}

  /// Adds received bytes.
  void Append(absl::string_view bytes);

  /// The next whole frame, or nullopt when more bytes are needed. Fails with kProtocol, naming the
  /// field and the allowed range, for a wrong magic, version, flag or size; the stream is then
  /// unusable and every later call fails likewise.
  Result<std::optional<Frame>> Next();

  /// Bytes of frames that Next has not returned yet.
  std::size_t buffered_bytes() const { return buffer_.size() - consumed_; }

 private:
  std::string buffer_;
  std::size_t consumed_ = 0;
  std::uint32_t max_payload_size_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_PROTOCOL_FRAME_H_
