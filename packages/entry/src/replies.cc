// JSON replies of the caller interface, on Boost.JSON.
#include "replies.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace marigoldquay::internal {
namespace {

namespace json = boost::json;

json::string ToJson(absl::string_view text) { return json::string(text.data(), text.size()); }

json::object Usage(const CompletionEnd& end) {
  return {{"prompt_tokens", end.prompt_tokens},
          {"completion_tokens", end.output_tokens},
          {"total_tokens", end.prompt_tokens + end.output_tokens}};
}

std::string Event(const json::object& object) {
  return absl::StrCat("data: ", json::serialize(object), "\n\n");
}

json::object Envelope(const char* object, const RequestId& request_id, const std::string& model) {
  return {{"id", request_id},
          {"object", object},
          {"created", absl::ToUnixSeconds(absl::Now())},
          {"model", model}};
}

}  // namespace

std::string RejectionBody(const Rejection& rejection, const RequestId& request_id) {
  json::object error{{"message", rejection.message}, {"type", rejection.type}};
  if (!rejection.field.empty()) error["field"] = rejection.field;
  return json::serialize(json::object{{"error", std::move(error)},
                                      {"outcome", rejection.not_run ? "not_run" : "unknown"},
                                      {"request_id", request_id}});
}

HttpServerReply RejectionReply(const Rejection& rejection, const RequestId& request_id) {
  HttpServerReply reply;
  reply.status = rejection.status;
  reply.headers = {{"Content-Type", "application/json"}, {"X-Request-Id", request_id}};
  if (rejection.retry_after > absl::ZeroDuration()) {
    const auto seconds = std::max<std::int64_t>(
        1, static_cast<std::int64_t>(std::ceil(absl::ToDoubleSeconds(rejection.retry_after))));
    reply.headers.emplace_back("Retry-After", absl::StrCat(seconds));
  }
  if (rejection.status == 401) reply.headers.emplace_back("WWW-Authenticate", "Bearer");
  reply.body = RejectionBody(rejection, request_id);
  return reply;
}

Rejection FromCompletionEnd(const CompletionEnd& end) {
  return {end.http_status, end.error_type, end.message, end.field, end.not_run, end.retry_after};
}

std::string CompletionFormat::TokenEvent(absl::string_view token) const {
  auto event = Envelope(chat_ ? "chat.completion.chunk" : "text_completion", request_id_, model_);
  json::object choice{{"index", 0}, {"finish_reason", nullptr}};
  if (chat_) {
    choice["delta"] = json::object{{"content", ToJson(token)}};
  } else {
    choice["text"] = ToJson(token);
  }
  event["choices"] = json::array{std::move(choice)};
  return Event(event);
}

std::string CompletionFormat::EndEvents(const CompletionEnd& end) const {
  auto event = Envelope(chat_ ? "chat.completion.chunk" : "text_completion", request_id_, model_);
  json::object choice{{"index", 0}, {"finish_reason", end.finish_reason}};
  if (chat_) {
    choice["delta"] = json::object{};
  } else {
    choice["text"] = "";
  }
  event["choices"] = json::array{std::move(choice)};
  event["usage"] = Usage(end);
  return absl::StrCat(Event(event), "data: [DONE]\n\n");
}

std::string CompletionFormat::ErrorEvent(const CompletionEnd& end) const {
  return absl::StrCat("data: ", RejectionBody(FromCompletionEnd(end), request_id_), "\n\n");
}

std::string CompletionFormat::Body(absl::string_view text, const CompletionEnd& end) const {
  auto body = Envelope(chat_ ? "chat.completion" : "text_completion", request_id_, model_);
  json::object choice{{"index", 0}, {"finish_reason", end.finish_reason}};
  if (chat_) {
    choice["message"] = json::object{{"role", "assistant"}, {"content", ToJson(text)}};
  } else {
    choice["text"] = ToJson(text);
  }
  body["choices"] = json::array{std::move(choice)};
  body["usage"] = Usage(end);
  return json::serialize(body);
}

}  // namespace marigoldquay::internal
