// Requests to the operators' interface of any VM.
#include "operator_client.h"

#include <optional>
#include <utility>
#include <variant>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "exit_code.h"
#include "progress_line.h"

namespace marigoldquay {
namespace {

// Lists of all keys at design scale take some megabytes.
constexpr std::size_t kMaxAnswerSize = std::size_t{64} << 20;

ErrorCode CodeOf(int status, bool may_have_effect) {
  switch (status) {
    case 400:
    case 413:
      return ErrorCode::kInvalidArgument;
    case 401:
    case 403:
      return ErrorCode::kPermissionDenied;
    case 404:
      return ErrorCode::kNotFound;
    case 409:
      return ErrorCode::kConflict;
    case 429:
      return ErrorCode::kResourceExhausted;
    default:
      return may_have_effect ? ErrorCode::kUnavailable : ErrorCode::kRefused;
  }
}

std::string TextField(const boost::json::object& object, boost::json::string_view name) {
  const auto* value = object.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

// Error that a failed answer describes.
Error ReadFailure(const HttpResponse& response, std::string step, const std::string& address) {
  Error error{CodeOf(response.status, true), std::move(step), address,
              absl::StrCat("status ", response.status)};
  boost::json::error_code parse_error;
  const boost::json::value body = boost::json::parse(response.body, parse_error);
  if (parse_error || !body.is_object()) return error;
  const bool unknown = TextField(body.get_object(), "outcome") != "not_run";
  error.code = CodeOf(response.status, unknown);
  if (const auto* details = body.get_object().if_contains("error");
      details != nullptr && details->is_object()) {
    error.message = TextField(details->get_object(), "message");
  }
  return error;
}

Result<boost::json::object> ParseObject(const std::string& text, const std::string& path) {
  boost::json::error_code error;
  boost::json::value value = boost::json::parse(text, error);
  if (error || !value.is_object()) {
    return Fail(ErrorCode::kProtocol, absl::StrCat("read answer to ", path), "VM",
                "answer malformed, allowed a JSON object");
  }
  return std::move(value.as_object());
}

}  // namespace

Result<boost::json::object> OperatorClient::Get(const std::string& path) {
  BOOST_LEAF_AUTO(text, Send("GET", path, ""));
  return ParseObject(text, path);
}

Result<std::string> OperatorClient::GetText(const std::string& path) {
  return Send("GET", path, "");
}

Result<boost::json::object> OperatorClient::Post(const std::string& path,
                                                 const boost::json::object& body) {
  BOOST_LEAF_AUTO(text, Send("POST", path, boost::json::serialize(body)));
  return ParseObject(text, path);
}

Result<std::string> OperatorClient::Send(const std::string& method, const std::string& path,
                                         const std::string& body) {
  std::optional<Error> last;
  for (const std::string& address : options_.addresses) {
    auto outcome = Capture<std::string>([&] { return SendTo(address, method, path, body); });
    if (auto* text = std::get_if<0>(&outcome)) return std::move(*text);
    last = std::get<1>(outcome);
    if (last->code != ErrorCode::kNotSent) break;
  }
  if (!last) return Fail(UsageError("--operator_address is empty, allowed host:port[,...]"));
  return Fail(*std::move(last));
}

Result<std::string> OperatorClient::SendTo(const std::string& address, const std::string& method,
                                           const std::string& path, const std::string& body) {
  const std::string base =
      absl::StrContains(address, "://") ? address : absl::StrCat("http://", address);
  HttpRequest request{method, absl::StrCat(base, "/operator/v1/", path), {}, body};
  request.headers.emplace_back("Authorization", absl::StrCat("Bearer ", options_.token));
  if (!body.empty()) request.headers.emplace_back("Content-Type", "application/json");
  const std::string step = absl::StrCat(method, " ", path);
  const ProgressLine progress(progress_, absl::StrCat("waiting for ", address, ", ", step),
                              options_.progress_after);
  BOOST_LEAF_AUTO(response, http_.Perform(request, {.timeout = options_.timeout,
                                                    .connect_timeout = absl::Seconds(3),
                                                    .max_body_size = kMaxAnswerSize}));
  if (response.status != 200) return Fail(ReadFailure(response, step, address));
  return std::move(response.body);
}

std::string QueryEscape(absl::string_view text) {
  std::string escaped;
  for (const char c : text) {
    if (absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.') {
      escaped += c;
    } else {
      absl::StrAppend(&escaped, "%", absl::Hex(static_cast<unsigned char>(c), absl::kZeroPad2));
    }
  }
  return escaped;
}

}  // namespace marigoldquay
