// Errors of calls in their wire form.
#include "rpc_errors.h"

#include "marigoldquay/protocol/codec.h"

namespace marigoldquay {
namespace {

// Keeps error frames small; a message may quote a peer's answer.
constexpr std::size_t kMaxErrorText = 1024;

}  // namespace

std::string EncodeError(const Error& error) {
  protocol::ErrorMessageT message;
  message.code = static_cast<std::uint16_t>(error.code);
  message.step = error.step.substr(0, kMaxErrorText);
  message.peer = error.peer.substr(0, kMaxErrorText);
  message.message = error.message.substr(0, kMaxErrorText);
  return EncodeMessage(message);
}

Error DecodeError(absl::string_view payload, const Address& peer) {
  return HandleError(
      [&]() -> Result<Error> {
        BOOST_LEAF_AUTO(message, DecodeMessage<protocol::ErrorMessageT>(payload, peer));
        // A newer release may know more codes.
        const bool known = message.code <= static_cast<std::uint16_t>(ErrorCode::kInternal);
        return Error{known ? static_cast<ErrorCode>(message.code) : ErrorCode::kInternal,
                     message.step, message.peer.empty() ? peer : message.peer, message.message};
      },
      [](const Error& error) { return error; });
}

}  // namespace marigoldquay
