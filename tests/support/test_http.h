// HTTP client of tests and stand-ins, over libcurl; each call uses its own connection.
#ifndef MARIGOLDQUAY_TESTS_SUPPORT_TEST_HTTP_H_
#define MARIGOLDQUAY_TESTS_SUPPORT_TEST_HTTP_H_

#include <boost/json.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace marigoldquay::testing {

struct ClientRequest {
  std::string method = "GET";
  std::string url;
  /// "Name: value".
  std::vector<std::string> headers;
  std::string body;
  /// Time for the whole exchange.
  absl::Duration timeout = absl::Seconds(10);
  /// Sees each piece of the body as it arrives; returns false to disconnect.
  std::function<bool(absl::string_view)> on_data;
};

struct ClientResponse {
  /// 0 when no answer arrived.
  int status = 0;
  /// Names in lower case.
  std::map<std::string, std::string> headers;
  /// Also holds what was passed to on_data.
  std::string body;
  /// Empty when the answer arrived whole; else libcurl's text.
  std::string error;
  absl::Duration duration;

  bool complete() const { return status != 0 && error.empty(); }
  /// Body as a JSON object; empty when it is not one.
  boost::json::object Json() const;
};

/// Thread-safe.
ClientResponse Fetch(const ClientRequest& request);
ClientResponse Get(const std::string& url);
ClientResponse PostJson(const std::string& url, const boost::json::value& body,
                        std::vector<std::string> headers = {});

/// Contents of the complete "data:" events of a server-sent event stream.
std::vector<std::string> SseEvents(absl::string_view body);

/// Text of a streamed completion or chat completion of the caller interface.
std::string StreamedText(absl::string_view body);

}  // namespace marigoldquay::testing

#endif  // MARIGOLDQUAY_TESTS_SUPPORT_TEST_HTTP_H_
