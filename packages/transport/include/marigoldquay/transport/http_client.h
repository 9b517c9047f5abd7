// HTTP requests to the platform and to backend servers.
#ifndef MARIGOLDQUAY_TRANSPORT_HTTP_CLIENT_H_
#define MARIGOLDQUAY_TRANSPORT_HTTP_CLIENT_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "marigoldquay/core/error.h"

namespace marigoldquay {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

struct HttpRequest {
  std::string method = "GET";
  /// "http://10.0.0.1:8000/path?query".
  std::string url;
  HttpHeaders headers;
  std::string body;
};

struct HttpResponse {
  int status = 0;
  /// Names in lower case.
  HttpHeaders headers;
  std::string body;
};

struct HttpOptions {
  /// Total time, or the longest silence for Stream.
  absl::Duration timeout = absl::Seconds(5);
  absl::Duration connect_timeout = absl::Milliseconds(500);
  std::size_t max_body_size = std::size_t{8} << 20;
  /// Polled at least every 20 ms; true ends the request with kCancelled.
  std::function<bool()> cancelled;
};

/// Thread-safe; keeps connections open between requests.
class HttpClient {
 public:
  virtual ~HttpClient() = default;

  /// Whole response. An HTTP status is not an error. Errors: kNotSent when not one byte of the
  /// request can have left (no connection), kTimeout, kUnavailable (broken or short response),
  /// kCancelled, kResourceExhausted (body over max_body_size).
  virtual Result<HttpResponse> Perform(const HttpRequest& request, const HttpOptions& options) = 0;

  /// Passes the body to `on_data` as it arrives; `on_data` returns false to stop (kCancelled).
  /// The body of a response with a status other than 2xx is returned in the response instead.
  virtual Result<HttpResponse> Stream(const HttpRequest& request, const HttpOptions& options,
                                      const std::function<bool(absl::string_view)>& on_data) = 0;
};

/// Client on libcurl's multi interface. A request that was sent on a kept connection which the
/// server had closed is never repeated by itself, so that kUnavailable stays truthful.
std::unique_ptr<HttpClient> MakeCurlHttpClient();

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_TRANSPORT_HTTP_CLIENT_H_
