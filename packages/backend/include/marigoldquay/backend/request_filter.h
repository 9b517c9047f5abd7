// Keeps the caller's key and hop-by-hop headers away from backend servers.
#ifndef MARIGOLDQUAY_BACKEND_REQUEST_FILTER_H_
#define MARIGOLDQUAY_BACKEND_REQUEST_FILTER_H_

#include "absl/strings/string_view.h"
#include "marigoldquay/core/error.h"
#include "marigoldquay/transport/http_client.h"

namespace marigoldquay {

/// The headers that may be forwarded: without Authorization, Cookie, Proxy-*, hop-by-hop headers,
/// those that the router sets itself, and any that contain the key. `key_text` is the text of the
/// caller's key, empty on public routes.
HttpHeaders FilterRequestHeaders(const HttpHeaders& headers, absl::string_view key_text);

/// kInvalidArgument naming the field when the path, the query or the body contains the key, as it
/// is or percent-encoded, JSON-escaped, in base64 or in hexadecimal digits; also for a body with a
/// Content-Encoding, which cannot be searched. `target` is path and query.
Result<void> RejectKeyInRequest(absl::string_view target, const HttpHeaders& headers,
                                absl::string_view body, absl::string_view key_text);

/// The headers of a backend server's answer that may go to the caller.
HttpHeaders FilterResponseHeaders(const HttpHeaders& headers);

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_BACKEND_REQUEST_FILTER_H_
