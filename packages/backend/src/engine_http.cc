// Small calls of the engine interface.
#include "engine_http.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "marigoldquay/scheduling/json_fields.h"

namespace marigoldquay {
namespace {

constexpr std::size_t kMaxHolds = 100000;
constexpr std::size_t kMaxMessageSize = 200;

ErrorCode CodeOfStatus(int status) {
  if (status == 429) return ErrorCode::kResourceExhausted;
  if (status == 410) return ErrorCode::kNotFound;
  if (status == 409) return ErrorCode::kConflict;
  return status >= 400 && status < 500 ? ErrorCode::kRefused : ErrorCode::kUnavailable;
}

// Performs a call and fails for a status other than 2xx.
Result<HttpResponse> Call(HttpClient& http, const BackendServer& server, const std::string& step,
                          const HttpRequest& request, absl::Duration timeout) {
  BOOST_LEAF_AUTO(response, http.Perform(request, {.timeout = timeout}));
  if (response.status < 200 || response.status > 299) {
    return Fail(EngineStatusError(server, step, response));
  }
  return response;
}

}  // namespace

HttpRequest MakeEngineRequest(const BackendServer& server, absl::string_view path,
                              const boost::json::object& body) {
  return {.method = "POST",
          .url = absl::StrCat("http://", server.address, path),
          .headers = {{"Content-Type", "application/json"}},
          .body = boost::json::serialize(body)};
}

Error EngineStatusError(const BackendServer& server, std::string step,
                        const HttpResponse& response) {
  std::string message = absl::StrCat("engine answered status ", response.status);
  if (const auto body = ParseJsonObject(response.body)) {
    if (const auto text = FindJsonString(*body, "error")) {
      absl::StrAppend(&message, ": ", text->substr(0, kMaxMessageSize));
    }
  }
  return {CodeOfStatus(response.status), std::move(step), server.id, std::move(message)};
}

Result<void> CancelAtEngine(HttpClient& http, const BackendServer& server,
                            const RequestId& request_id, absl::Duration timeout) {
  const auto request = MakeEngineRequest(server, "/v1/cancel", {{"request_id", request_id}});
  BOOST_LEAF_CHECK(Call(http, server, "cancel request", request, timeout));
  return {};
}

Result<std::vector<EngineHold>> ListEngineHolds(HttpClient& http, const BackendServer& server,
                                                absl::Duration timeout) {
  const HttpRequest request{.url = absl::StrCat("http://", server.address, "/v1/holds")};
  BOOST_LEAF_AUTO(response, Call(http, server, "list holds", request, timeout));
  const auto body = ParseJsonObject(response.body);
  const auto* list = body ? FindJsonField(*body, "holds") : nullptr;
  if (list == nullptr || !list->is_array() || list->as_array().size() > kMaxHolds) {
    return Fail(ErrorCode::kProtocol, "list holds", server.id,
                absl::StrCat("field holds must be an array of at most ", kMaxHolds, " entries"));
  }
  std::vector<EngineHold> holds;
  for (const auto& entry : list->as_array()) {
    const auto* object = entry.if_object();
    const auto id = object != nullptr ? FindJsonString(*object, "request_id") : std::nullopt;
    const auto holder = object != nullptr ? FindJsonString(*object, "holder") : std::nullopt;
    const auto age = object != nullptr ? FindJsonInt(*object, "age_ms") : std::nullopt;
    if (!id || !holder || !age) {
      return Fail(ErrorCode::kProtocol, "list holds", server.id,
                  "each hold needs request_id, holder and age_ms");
    }
    holds.push_back({std::string(*id), std::string(*holder), absl::Milliseconds(*age)});
  }
  return holds;
}

Result<void> SendEngineOrder(HttpClient& http, const BackendServer& server, absl::string_view kind,
                             absl::string_view value, Offset fencing, absl::Duration timeout) {
  const auto request =
      MakeEngineRequest(server, "/v1/orders",
                        {{"kind", boost::json::string(kind.data(), kind.size())},
                         {"value", boost::json::string(value.data(), value.size())},
                         {"fencing", fencing}});
  BOOST_LEAF_CHECK(Call(http, server, "send order", request, timeout));
  return {};
}

}  // namespace marigoldquay
