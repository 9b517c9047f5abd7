// Frame header layout and the decoder of the byte stream.
#include "marigoldquay/protocol/frame.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace marigoldquay {
namespace {

constexpr absl::string_view kMagic = "MQ";
constexpr std::uint8_t kKnownFlags = kFrameIsReply | kFrameIsLast | kFrameIsCancel;

// Offsets of the header's fields.
constexpr std::size_t kVersionAt = 2;
constexpr std::size_t kFlagsAt = 3;
constexpr std::size_t kTypeAt = 4;
constexpr std::size_t kReservedAt = 6;
constexpr std::size_t kPayloadSizeAt = 8;
constexpr std::size_t kRemainingAt = 12;
constexpr std::size_t kCallIdAt = 16;

// A buffer that grew beyond this for one large frame is given back once the frame is consumed.
constexpr std::size_t kKeptCapacity = std::size_t{256} << 10;

template <class Number>
void Store(std::string& out, std::size_t at, Number value) {
  for (std::size_t i = 0; i < sizeof(Number); ++i) {
    out[at + i] = static_cast<char>((static_cast<std::uint64_t>(value) >> (8 * i)) & 0xFF);
  }
}

template <class Number>
Number Load(absl::string_view bytes, std::size_t at) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < sizeof(Number); ++i) {
    value |= std::uint64_t{static_cast<unsigned char>(bytes[at + i])} << (8 * i);
  }
  return static_cast<Number>(value);
}

FrameHeader ParseHeader(absl::string_view bytes) {
  FrameHeader header;
  header.version = Load<std::uint8_t>(bytes, kVersionAt);
  header.flags = Load<std::uint8_t>(bytes, kFlagsAt);
  header.type = static_cast<protocol::MessageType>(Load<std::uint16_t>(bytes, kTypeAt));
  header.payload_size = Load<std::uint32_t>(bytes, kPayloadSizeAt);
  header.remaining_ms = Load<std::uint32_t>(bytes, kRemainingAt);
  header.call_id = Load<std::uint64_t>(bytes, kCallIdAt);
  return header;
}

bool FlagsAllowed(std::uint8_t flags) {
  if ((flags & ~kKnownFlags) != 0) return false;
  const bool reply = (flags & kFrameIsReply) != 0;
  if ((flags & kFrameIsLast) != 0 && !reply) return false;
  return (flags & kFrameIsCancel) == 0 || !reply;
}

// Says which field of the header at the start of `bytes` is wrong; empty when none is.
std::string HeaderFault(absl::string_view bytes, std::uint32_t max_payload_size) {
  if (bytes.substr(0, kMagic.size()) != kMagic) {
    return absl::StrCat("magic 0x", absl::Hex(Load<std::uint8_t>(bytes, 0), absl::kZeroPad2),
                        absl::Hex(Load<std::uint8_t>(bytes, 1), absl::kZeroPad2),
                        ", allowed 0x4d51");
  }
  const FrameHeader header = ParseHeader(bytes);
  if (header.version < kOldestProtocolVersion || header.version > kProtocolVersion) {
    return absl::StrCat("version ", header.version, ", allowed ", kOldestProtocolVersion, " to ",
                        kProtocolVersion);
  }
  if (!FlagsAllowed(header.flags)) {
    return absl::StrCat("flags ", header.flags,
                        ", allowed 0 (request), 1 (reply), 3 (last reply) and 4 (cancel)");
  }
  if (const auto reserved = Load<std::uint16_t>(bytes, kReservedAt); reserved != 0) {
    return absl::StrCat("reserved ", reserved, ", allowed 0");
  }
  if (header.payload_size > max_payload_size) {
    return absl::StrCat("payload_size ", header.payload_size, ", allowed 0 to ", max_payload_size);
  }
  return {};
}

}  // namespace

std::string EncodeFrame(FrameHeader header, absl::string_view payload) {
  header.payload_size = static_cast<std::uint32_t>(payload.size());
  std::string out;
  out.reserve(kFrameHeaderSize + payload.size());
  out.resize(kFrameHeaderSize);
  out.replace(0, kMagic.size(), kMagic.data(), kMagic.size());
  Store(out, kVersionAt, header.version);
  Store(out, kFlagsAt, header.flags);
  Store(out, kTypeAt, static_cast<std::uint16_t>(header.type));
  Store(out, kPayloadSizeAt, header.payload_size);
  Store(out, kRemainingAt, header.remaining_ms);
  Store(out, kCallIdAt, header.call_id);
  out.append(payload.data(), payload.size());
  return out;
}

void FrameDecoder::Append(absl::string_view bytes) {
  const auto rest = absl::string_view(buffer_).substr(consumed_);
  // Nothing after a malformed header is ever decoded, so nothing more is kept.
  if (rest.size() >= kFrameHeaderSize && !HeaderFault(rest, max_payload_size_).empty()) return;
  if (consumed_ > 0) {
    buffer_.erase(0, consumed_);
    consumed_ = 0;
    if (buffer_.capacity() > kKeptCapacity && buffer_.size() < kKeptCapacity) {
      buffer_.shrink_to_fit();
    }
  }
  buffer_.append(bytes.data(), bytes.size());
}

Result<std::optional<Frame>> FrameDecoder::Next() {
  const auto rest = absl::string_view(buffer_).substr(consumed_);
  if (rest.size() < kFrameHeaderSize) return std::optional<Frame>();
  if (std::string fault = HeaderFault(rest, max_payload_size_); !fault.empty()) {
    return Fail(ErrorCode::kProtocol, "decode frame header", "", std::move(fault));
  }
  Frame frame{ParseHeader(rest), {}};
  if (rest.size() - kFrameHeaderSize < frame.header.payload_size) return std::optional<Frame>();
  frame.payload = std::string(rest.substr(kFrameHeaderSize, frame.header.payload_size));
  consumed_ += kFrameHeaderSize + frame.header.payload_size;
  return std::optional<Frame>(std::move(frame));
}

}  // namespace marigoldquay
