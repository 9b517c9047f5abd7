// Small calls of the engine interface that several classes of this package use.
#ifndef MARIGOLDQUAY_BACKEND_SRC_ENGINE_HTTP_H_
#define MARIGOLDQUAY_BACKEND_SRC_ENGINE_HTTP_H_

#include <boost/json.hpp>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "marigoldquay/config/objects.h"
#include "marigoldquay/core/error.h"
#include "marigoldquay/core/types.h"
#include "marigoldquay/transport/http_client.h"

namespace marigoldquay {

/// One entry of GET /v1/holds.
struct EngineHold {
  RequestId request_id;
  /// "<vm>/<incarnation in hex>" of the instance that runs the request.
  std::string holder;
  absl::Duration age;

  bool operator==(const EngineHold&) const = default;
};

/// POST with a JSON body.
HttpRequest MakeEngineRequest(const BackendServer& server, absl::string_view path,
                              const boost::json::object& body);

/// The error for a status other than 2xx: 429, 410 and 409 as engine_client.h says, other 4xx
/// kRefused, everything else kUnavailable.
Error EngineStatusError(const BackendServer& server, std::string step,
                        const HttpResponse& response);

/// Cancels the request; succeeds when the engine has confirmed that it holds nothing for it.
Result<void> CancelAtEngine(HttpClient& http, const BackendServer& server,
                            const RequestId& request_id, absl::Duration timeout);

/// What the engine holds; at most 100,000 entries.
Result<std::vector<EngineHold>> ListEngineHolds(HttpClient& http, const BackendServer& server,
                                                absl::Duration timeout);

/// Sends an order; kConflict when the engine has seen a newer fencing number.
Result<void> SendEngineOrder(HttpClient& http, const BackendServer& server, absl::string_view kind,
                             absl::string_view value, Offset fencing, absl::Duration timeout);

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_BACKEND_SRC_ENGINE_HTTP_H_
