#include "test_http.h"

#include <curl/curl.h>

#include <memory>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "absl/time/clock.h"

namespace marigoldquay::testing {
namespace {

struct Transfer {
  const ClientRequest& request;
  ClientResponse& response;
};

std::size_t OnBody(char* data, std::size_t, std::size_t size, void* cls) {
  auto& transfer = *static_cast<Transfer*>(cls);
  transfer.response.body.append(data, size);
  const auto& on_data = transfer.request.on_data;
  return !on_data || on_data(absl::string_view(data, size)) ? size : 0;
}

std::size_t OnHeader(char* data, std::size_t, std::size_t size, void* cls) {
  const std::pair<absl::string_view, absl::string_view> parts =
      absl::StrSplit(absl::string_view(data, size), absl::MaxSplits(':', 1));
  auto& headers = static_cast<Transfer*>(cls)->response.headers;
  if (!absl::StartsWith(parts.first, "HTTP/")) {
    headers[absl::AsciiStrToLower(parts.first)] =
        std::string(absl::StripAsciiWhitespace(parts.second));
  }
  return size;
}

}  // namespace

boost::json::object ClientResponse::Json() const {
  boost::json::error_code error_code;
  const boost::json::value value = boost::json::parse(body, error_code);
  return !error_code && value.is_object() ? value.as_object() : boost::json::object();
}

ClientResponse Fetch(const ClientRequest& request) {
  static const CURLcode initialized = curl_global_init(CURL_GLOBAL_ALL);
  (void)initialized;
  ClientResponse response;
  Transfer transfer{request, response};
  const std::unique_ptr<CURL, void (*)(CURL*)> curl(curl_easy_init(), &curl_easy_cleanup);
  curl_slist* list = curl_slist_append(nullptr, "Expect:");
  for (const std::string& header : request.headers) list = curl_slist_append(list, header.c_str());
  const std::unique_ptr<curl_slist, void (*)(curl_slist*)> headers(list, &curl_slist_free_all);
  curl_easy_setopt(curl.get(), CURLOPT_URL, request.url.c_str());
  curl_easy_setopt(curl.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl.get(), CURLOPT_NOPROXY, "*");
  if (request.method != "GET") {
    curl_easy_setopt(curl.get(), CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
    curl_easy_setopt(curl.get(), CURLOPT_POSTFIELDS, request.body.c_str());
  }
  curl_easy_setopt(curl.get(), CURLOPT_CUSTOMREQUEST, request.method.c_str());
  curl_easy_setopt(curl.get(), CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(curl.get(), CURLOPT_TIMEOUT_MS,
                   static_cast<long>(absl::ToInt64Milliseconds(request.timeout)));  // NOLINT
  curl_easy_setopt(curl.get(), CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(curl.get(), CURLOPT_WRITEDATA, &transfer);
  curl_easy_setopt(curl.get(), CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(curl.get(), CURLOPT_HEADERDATA, &transfer);
  const absl::Time start = absl::Now();
  const CURLcode code = curl_easy_perform(curl.get());
  response.duration = absl::Now() - start;
  long status = 0;  // NOLINT(google-runtime-int): libcurl's type.
  curl_easy_getinfo(curl.get(), CURLINFO_RESPONSE_CODE, &status);
  response.status = static_cast<int>(status);
  if (code != CURLE_OK) response.error = curl_easy_strerror(code);
  return response;
}

ClientResponse Get(const std::string& url) {
  ClientRequest request;
  request.url = url;
  return Fetch(request);
}

ClientResponse PostJson(const std::string& url, const boost::json::value& body,
                        std::vector<std::string> headers) {
  ClientRequest request{"POST", url, std::move(headers), boost::json::serialize(body)};
  request.headers.emplace_back("Content-Type: application/json");
  return Fetch(request);
}

std::vector<std::string> SseEvents(absl::string_view body) {
  std::vector<std::string> events;
  std::vector<absl::string_view> parts = absl::StrSplit(body, "\n\n");
  parts.pop_back();  // What follows the last separator is not a complete event.
  for (absl::string_view part : parts) {
    if (absl::ConsumePrefix(&part, "data: ")) events.emplace_back(part);
  }
  return events;
}

std::string StreamedText(absl::string_view body) {
  std::string text;
  for (const std::string& event : SseEvents(body)) {
    boost::json::error_code error_code;
    const boost::json::value value = boost::json::parse(event, error_code);
    if (error_code) continue;  // "[DONE]"
    for (const char* pointer : {"/choices/0/text", "/choices/0/delta/content"}) {
      const auto* piece = value.find_pointer(pointer, error_code);
      if (piece != nullptr && piece->is_string()) text += piece->as_string().c_str();
    }
  }
  return text;
}

}  // namespace marigoldquay::testing
