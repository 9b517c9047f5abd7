// Framing of HTTP/1.1 messages that the parser accepts although their end is not certain.
#ifndef MARIGOLDQUAY_NET_SRC_MESSAGE_FRAMING_H_
#define MARIGOLDQUAY_NET_SRC_MESSAGE_FRAMING_H_

#include "marigoldquay/net/async.h"

namespace marigoldquay::internal {

/// Whether the transfer codings of a message, if it has any, are "chunked" alone. The end of a body
/// in another coding is not known (RFC 9112, section 6.3), and no other coding can be decoded here.
/// `version` is that of the message, 11 for HTTP/1.1; earlier versions have no transfer codings.
bool HasKnownTransferCoding(const HttpFields& fields, unsigned version);

}  // namespace marigoldquay::internal

#endif  // MARIGOLDQUAY_NET_SRC_MESSAGE_FRAMING_H_
