// An HttpClient whose answers a test chooses.
#ifndef MARIGOLDQUAY_TESTS_SUPPORT_FAKE_HTTP_CLIENT_H_
#define MARIGOLDQUAY_TESTS_SUPPORT_FAKE_HTTP_CLIENT_H_

#include <functional>
#include <utility>
#include <vector>

#include "marigoldquay/transport/http_client.h"

namespace marigoldquay::testing {

/// Passes each request to a function and keeps it. Not thread-safe.
class FakeHttpClient final : public HttpClient {
 public:
  using Handler = std::function<Result<HttpResponse>(const HttpRequest&, const HttpOptions&)>;

  explicit FakeHttpClient(Handler handler) : handler_(std::move(handler)) {}

  Result<HttpResponse> Perform(const HttpRequest& request, const HttpOptions& options) override {
    requests.push_back(request);
    return handler_(request, options);
  }
  Result<HttpResponse> Stream(const HttpRequest& request, const HttpOptions& options,
                              const std::function<bool(absl::string_view)>& on_data) override {
    BOOST_LEAF_AUTO(response, Perform(request, options));
    if (response.status / 100 == 2 && !on_data(response.body)) {
      return Fail(ErrorCode::kCancelled, "stream", "", "stopped by the consumer");
    }
    return response;
  }

  /// Requests so far.
  std::vector<HttpRequest> requests;

 private:
  Handler handler_;
};

}  // namespace marigoldquay::testing

#endif  // MARIGOLDQUAY_TESTS_SUPPORT_FAKE_HTTP_CLIENT_H_
