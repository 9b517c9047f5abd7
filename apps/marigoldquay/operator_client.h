// Requests to the operators' interface of any VM.
#ifndef MARIGOLDQUAY_APPS_MARIGOLDQUAY_OPERATOR_CLIENT_H_
#define MARIGOLDQUAY_APPS_MARIGOLDQUAY_OPERATOR_CLIENT_H_

#include <boost/json.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "marigoldquay/core/error.h"
#include "marigoldquay/transport/http_client.h"

namespace marigoldquay {

struct OperatorClientOptions {
  /// "host:port" or URLs; the next one is tried when nothing could be sent to the one before.
  std::vector<std::string> addresses;
  std::string token;
  absl::Duration timeout = absl::Seconds(30);
  /// A progress line appears after this long.
  absl::Duration progress_after = absl::Seconds(2);
};

class OperatorClient {
 public:
  /// Progress lines go to `progress`; both references must outlive the client.
  OperatorClient(HttpClient& http, OperatorClientOptions options, std::ostream& progress)
      : http_(http), options_(std::move(options)), progress_(progress) {}

  /// `path` follows /operator/v1/. A failed status becomes an error whose code tells whether a
  /// change may have been accepted (kUnavailable) or not.
  Result<boost::json::object> Get(const std::string& path);
  Result<std::string> GetText(const std::string& path);
  Result<boost::json::object> Post(const std::string& path, const boost::json::object& body);

 private:
  Result<std::string> Send(const std::string& method, const std::string& path,
                           const std::string& body);
  Result<std::string> SendTo(const std::string& address, const std::string& method,
                             const std::string& path, const std::string& body);

  HttpClient& http_;
  const OperatorClientOptions options_;
  std::ostream& progress_;
};

/// Text for use as a value in a query.
std::string QueryEscape(absl::string_view text);

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_APPS_MARIGOLDQUAY_OPERATOR_CLIENT_H_
