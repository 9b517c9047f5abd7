// Errors of calls in their wire form.
#ifndef MARIGOLDQUAY_TRANSPORT_SRC_RPC_ERRORS_H_
#define MARIGOLDQUAY_TRANSPORT_SRC_RPC_ERRORS_H_

#include <string>

#include "absl/strings/string_view.h"
#include "marigoldquay/core/error.h"
#include "marigoldquay/core/types.h"

namespace marigoldquay {

/// Payload of an error frame; long texts are cut.
std::string EncodeError(const Error& error);

/// Error from such a payload; kProtocol when it is malformed. An error without a peer gets `peer`.
Error DecodeError(absl::string_view payload, const Address& peer);

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_TRANSPORT_SRC_RPC_ERRORS_H_
