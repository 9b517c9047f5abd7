// Tests of the frame codec.
#include "marigoldquay/protocol/frame.h"

#include <boost/test/unit_test.hpp>
#include <vector>

#include "absl/strings/match.h"
#include "property.h"

namespace marigoldquay {
namespace {

constexpr std::uint32_t kSmallLimit = 512;

Frame ArbitraryFrame() {
  Frame frame;
  frame.header.flags = *rc::gen::element<std::uint8_t>(0, 1, 3, 4);
  frame.header.type = static_cast<protocol::MessageType>(*rc::gen::inRange(0, 20));
  frame.header.remaining_ms = *rc::gen::arbitrary<std::uint32_t>();
  frame.header.call_id = *rc::gen::arbitrary<std::uint64_t>();
  const auto size = static_cast<std::size_t>(*rc::gen::inRange(0, 200));
  frame.payload = *rc::gen::container<std::string>(size, rc::gen::arbitrary<char>());
  frame.header.payload_size = static_cast<std::uint32_t>(size);
  return frame;
}

// Frames decoded until the decoder needs more bytes, and the error that stopped it, if any.
struct Decoded {
  std::vector<Frame> frames;
  std::string fault;
};

void Drain(FrameDecoder& decoder, Decoded& decoded) {
  for (bool more = true; more;) {
    more = HandleError(
        [&]() -> Result<bool> {
          BOOST_LEAF_AUTO(frame, decoder.Next());
          if (!frame) return false;
          decoded.frames.push_back(*std::move(frame));
          return decoded.frames.size() < 1000;
        },
        [&](const Error& error) {
          BOOST_TEST((error.code == ErrorCode::kProtocol));
          decoded.fault = error.message;
          return false;
        });
  }
}

std::string FaultOf(std::string bytes, std::size_t at, char value) {
  bytes[at] = value;
  FrameDecoder decoder(kSmallLimit);
  decoder.Append(bytes);
  Decoded decoded;
  Drain(decoder, decoded);
  Drain(decoder, decoded);
  BOOST_TEST(decoded.frames.empty());
  return decoded.fault;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(frame)

// Guards against frames that depend on how TCP cuts the stream.
BOOST_AUTO_TEST_CASE(any_cut_gives_the_same_frames) {
  testing::CheckProperty("frames survive any cut", [] {
    std::vector<Frame> frames;
    std::string bytes;
    const int count = *rc::gen::inRange(0, 6);
    for (int i = 0; i < count; ++i) {
      frames.push_back(ArbitraryFrame());
      bytes += EncodeFrame(frames.back().header, frames.back().payload);
    }
    FrameDecoder decoder(kSmallLimit);
    Decoded decoded;
    for (std::size_t at = 0; at < bytes.size();) {
      const auto step = static_cast<std::size_t>(*rc::gen::inRange(1, 60));
      decoder.Append(absl::string_view(bytes).substr(at, step));
      at += step;
      if (*rc::gen::arbitrary<bool>()) Drain(decoder, decoded);
    }
    Drain(decoder, decoded);
    RC_ASSERT(decoded.fault.empty());
    RC_ASSERT(decoded.frames == frames);
  });
}

// Guards against crashes and unclear errors on hostile bytes, and against a decoder that goes on
// after it lost its place in the stream.
BOOST_AUTO_TEST_CASE(mutated_bytes_are_rejected_or_decoded) {
  testing::CheckProperty("mutations never crash", [] {
    std::string bytes;
    for (int i = 0; i < 3; ++i) {
      const Frame frame = ArbitraryFrame();
      bytes += EncodeFrame(frame.header, frame.payload);
    }
    const int mutations = *rc::gen::inRange(1, 8);
    for (int i = 0; i < mutations; ++i) {
      const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
      bytes[at] = *rc::gen::arbitrary<char>();
    }
    FrameDecoder decoder(kSmallLimit);
    decoder.Append(bytes);
    Decoded decoded;
    Drain(decoder, decoded);
    for (const Frame& frame : decoded.frames) RC_ASSERT(frame.payload.size() <= kSmallLimit);
    if (decoded.fault.empty()) return;
    RC_ASSERT(absl::StrContains(decoded.fault, "allowed"));
    const Frame valid = ArbitraryFrame();
    decoder.Append(EncodeFrame(valid.header, valid.payload));
    const std::size_t before = decoded.frames.size();
    Drain(decoder, decoded);
    RC_ASSERT(decoded.frames.size() == before);
  });
}

BOOST_AUTO_TEST_CASE(random_bytes_never_crash) {
  testing::CheckProperty("random bytes", [](const std::string& bytes) {
    FrameDecoder decoder(kSmallLimit);
    decoder.Append(bytes);
    Decoded decoded;
    Drain(decoder, decoded);
    RC_ASSERT(bytes.size() < kFrameHeaderSize || !decoded.fault.empty() || bytes[0] == 'M');
  });
}

// Guards against error messages that don't tell the operator which field is wrong.
BOOST_AUTO_TEST_CASE(faults_name_field_and_range) {
  const std::string bytes = EncodeFrame({.type = protocol::MessageType::Reserve}, "payload");
  BOOST_TEST(FaultOf(bytes, 0, 'X') == "magic 0x5851, allowed 0x4d51");
  BOOST_TEST(FaultOf(bytes, 2, 9) == "version 9, allowed 1 to 1");
  BOOST_TEST(absl::StrContains(FaultOf(bytes, 3, 2), "flags 2, allowed"));
  BOOST_TEST(absl::StrContains(FaultOf(bytes, 3, 8), "flags 8, allowed"));
  BOOST_TEST(FaultOf(bytes, 6, 1) == "reserved 1, allowed 0");
  BOOST_TEST(FaultOf(bytes, 10, 1) == "payload_size 65543, allowed 0 to 512");
}

// Guards against an accidental change of the wire layout, which would break adjacent releases.
BOOST_AUTO_TEST_CASE(layout_is_fixed) {
  const std::string bytes = EncodeFrame({.flags = 1,
                                         .type = protocol::MessageType::Heartbeat,
                                         .remaining_ms = 0x01020304,
                                         .call_id = 0x1122334455667788},
                                        "ab");
  const std::string expected(
      "MQ\x01\x01\x02\x00\x00\x00\x02\x00\x00\x00\x04\x03\x02\x01"
      "\x88\x77\x66\x55\x44\x33\x22\x11"
      "ab",
      26);
  BOOST_TEST(bytes == expected);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace marigoldquay
