// Tests of the message codec with damaged bytes.
#include "marigoldquay/protocol/codec.h"

#include <boost/test/unit_test.hpp>

#include "absl/strings/match.h"
#include "property.h"

namespace marigoldquay {
namespace {

protocol::AcquireRequestT SampleAcquire() {
  protocol::AcquireRequestT request;
  request.sender = ToWire({"vm-3", 42});
  request.request_id = "r-1";
  request.workspace = "mugs";
  request.pool = "brief-writer";
  request.prompt_tokens = 12000;
  request.excluded = {"b-1", "b-2"};
  return request;
}

// Decodes and returns the error message, empty on success.
template <class ObjectT>
std::string FaultOf(absl::string_view payload) {
  return HandleError(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(DecodeMessage<ObjectT>(payload, "10.0.0.1:7000"));
        return std::string();
      },
      [](const Error& error) { return error.ToString(); });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(codec)

BOOST_AUTO_TEST_CASE(message_survives_encoding) {
  const auto request = SampleAcquire();
  const auto decoded = Capture<protocol::AcquireRequestT>(
      [&] { return DecodeMessage<protocol::AcquireRequestT>(EncodeMessage(request), "peer"); });
  BOOST_REQUIRE(decoded.index() == 0);
  BOOST_TEST((std::get<0>(decoded) == request));
}

// Guards against reading outside the payload when a peer sends damaged bytes.
BOOST_AUTO_TEST_CASE(mutated_messages_never_crash) {
  const std::string valid = EncodeMessage(SampleAcquire());
  testing::CheckProperty("mutated message", [&] {
    std::string bytes = valid;
    const int mutations = *rc::gen::inRange(1, 6);
    for (int i = 0; i < mutations; ++i) {
      bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
    }
    if (*rc::gen::arbitrary<bool>()) bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size()));
    const std::string fault = FaultOf<protocol::AcquireRequestT>(bytes);
    RC_ASSERT(fault.empty() || absl::StrContains(fault, "10.0.0.1:7000"));
  });
}

// Guards against a message of one type taken for another when a required field is missing.
BOOST_AUTO_TEST_CASE(missing_required_field_is_rejected) {
  const std::string fault = FaultOf<protocol::AcquireRequestT>(EncodeMessage(protocol::AckT()));
  BOOST_TEST(absl::StrContains(fault, "malformed marigoldquay.protocol.AcquireRequest"));
  BOOST_TEST(absl::StrContains(FaultOf<protocol::AckT>(""), "malformed"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace marigoldquay
