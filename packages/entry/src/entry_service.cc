// Caller interface: authentication, completions, addresses, health.
#include "marigoldquay/entry/entry_service.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "caller.h"
#include "marigoldquay/core/metrics.h"
#include "marigoldquay/entry/address_selector.h"
#include "marigoldquay/entry/completion_parser.h"
#include "replies.h"

namespace marigoldquay {
namespace {

namespace json = boost::json;
using internal::CompletionFormat;
using internal::kMaxIdempotencyKeySize;
using internal::Rejection;
using internal::RejectionReply;

constexpr auto kRetryAfterUnavailable = absl::Seconds(1);

void CountReply(absl::string_view route, int status) {
  MetricsRegistry::Global()
      .counter("marigoldquay_requests_total", "Caller requests by kind and status.",
               {{"kind", std::string(route)}, {"status", absl::StrCat(status)}})
      .Increment();
}

HttpServerReply TextReply(int status, std::string type, std::string body) {
  HttpServerReply reply;
  reply.status = status;
  reply.headers = {{"Content-Type", std::move(type)}};
  reply.body = std::move(body);
  return reply;
}

HttpServerReply WrongMethod(const std::string& allowed, const RequestId& request_id) {
  auto reply = RejectionReply(
      {405, "method_not_allowed", absl::StrCat("the method must be one of ", allowed), "method",
       true, absl::ZeroDuration()},
      request_id);
  reply.headers.emplace_back("Allow", allowed);
  return reply;
}

std::string QueryParameter(absl::string_view query, absl::string_view name) {
  for (const absl::string_view part : absl::StrSplit(query, '&')) {
    const std::pair<absl::string_view, absl::string_view> pair =
        absl::StrSplit(part, absl::MaxSplits('=', 1));
    if (pair.first == name) return std::string(pair.second);
  }
  return "";
}

}  // namespace

EntryService::EntryService(EntryOptions options, EntryServices services)
    : options_(std::move(options)), services_(services), random_(RandomId()) {}

HttpServerReply EntryService::Handle(const HttpServerRequest& request) {
  if (request.path == "/healthz") return TextReply(200, "text/plain", "ok\n");
  if (request.path == "/readyz") return Readiness();
  if (request.path == "/metrics") {
    return TextReply(200, "text/plain; version=0.0.4", MetricsRegistry::Global().RenderText());
  }
  HttpServerReply reply;
  absl::string_view kind = "plain";
  if (request.path == "/v1/addresses") {
    kind = "addresses";
    reply = Addresses(request);
  } else if (request.path == "/v1/completions") {
    kind = "completion";
    reply = HandleCompletion(request, false);
  } else if (request.path == "/v1/chat/completions") {
    kind = "completion";
    reply = HandleCompletion(request, true);
  } else {
    reply = HandlePlain(request);
  }
  CountReply(kind, reply.status);
  return reply;
}

HttpServerReply EntryService::Readiness() const {
  if (draining_) return TextReply(503, "text/plain", "draining\n");
  if (!ready_) return TextReply(503, "text/plain", "starting\n");
  return TextReply(200, "text/plain", "ready\n");
}

HttpServerReply EntryService::Addresses(const HttpServerRequest& request) {
  if (request.method != "GET") return WrongMethod("GET", RandomHexId());
  auto zone = QueryParameter(request.query, "availability_zone");
  if (zone.empty()) zone = options_.availability_zone;
  std::vector<Member> selected;
  {
    const std::scoped_lock lock(random_mutex_);
    selected = SelectAddresses(services_.members, zone, random_);
  }
  json::array addresses;
  for (const auto& member : selected) {
    addresses.push_back(json::object{{"address", member.caller_address},
                                     {"vm", member.instance.vm},
                                     {"availability_zone", member.availability_zone}});
  }
  const auto max_age = absl::ToInt64Seconds(options_.address_max_age);
  auto reply = TextReply(
      200, "application/json",
      json::serialize(json::object{{"addresses", std::move(addresses)}, {"max_age", max_age}}));
  reply.headers.emplace_back("Cache-Control", absl::StrCat("max-age=", max_age));
  return reply;
}

std::optional<HttpServerReply> EntryService::Authenticate(const HttpServerRequest& request,
                                                          Caller& caller) const {
  const auto reject = [&](int status, std::string type, std::string message,
                          absl::Duration retry_after = absl::ZeroDuration()) {
    return RejectionReply(
        {status, std::move(type), std::move(message), "Authorization", true, retry_after},
        caller.request_id);
  };
  const auto* header = request.FindHeader("authorization");
  if (header == nullptr) {
    return reject(401, "key_missing", "the header must be \"Bearer \" and a workspace's key");
  }
  constexpr absl::string_view kBearer = "Bearer ";
  if (!absl::StartsWith(*header, kBearer)) {
    return reject(401, "key_malformed", "the header must be \"Bearer \" and a workspace's key");
  }
  if (!services_.config.current()) {
    return reject(503, "configuration_stale",
                  "this VM cannot tell whether keys were withdrawn; use another address",
                  kRetryAfterUnavailable);
  }
  caller.key_text = header->substr(kBearer.size());
  const auto config = services_.config.Read();
  const auto* key = config->CheckKey(caller.key_text);
  if (key == nullptr) return reject(401, "key_unknown", "the key is unknown or withdrawn");
  caller.key_id = key->id;
  caller.workspace = key->workspace;
  caller.revision = config->revision();
  return std::nullopt;
}

HttpServerReply EntryService::HandleCompletion(const HttpServerRequest& request, bool chat) {
  Caller caller;
  if (request.method != "POST") return WrongMethod("POST", caller.request_id);
  if (auto rejected = Authenticate(request, caller)) return std::move(*rejected);
  auto parsed = ParseCompletion(request.body, chat);
  if (auto* failure = std::get_if<FieldError>(&parsed)) {
    return RejectionReply(
        {400, "invalid_request", absl::StrCat(failure->field, " ", failure->message),
         failure->field, true, absl::ZeroDuration()},
        caller.request_id);
  }
  auto& fields = std::get<ParsedCompletion>(parsed);
  // A prompt or model name that contains the key would carry it to a backend server.
  if (absl::StrContains(fields.prompt, caller.key_text) ||
      absl::StrContains(fields.model, caller.key_text)) {
    return RejectionReply({400, "key_in_body", "the body must not contain the workspace's key",
                           "body", true, absl::ZeroDuration()},
                          caller.request_id);
  }
  CompletionRequest completion;
  completion.request_id = caller.request_id;
  completion.workspace = caller.workspace;
  if (const auto* key = request.FindHeader("idempotency-key")) completion.idempotency_key = *key;
  if (completion.idempotency_key.size() > kMaxIdempotencyKeySize) {
    return RejectionReply(
        {400, "invalid_request",
         absl::StrCat("Idempotency-Key must have 1 to ", kMaxIdempotencyKeySize, " bytes"),
         "Idempotency-Key", true, absl::ZeroDuration()},
        caller.request_id);
  }
  completion.model = fields.model;
  completion.prompt = std::move(fields.prompt);
  completion.max_tokens = fields.max_tokens;
  completion.priority = fields.priority;
  completion.timeout = options_.completion_timeout;

  auto submitted = services_.completions.Submit(completion);
  if (const auto* end = std::get_if<CompletionEnd>(&submitted)) {
    return RejectionReply(internal::FromCompletionEnd(*end), caller.request_id);
  }
  internal::CompletionDelivery delivery(
      std::get<OutcomeReader>(std::move(submitted)),
      CompletionFormat(chat, caller.request_id, fields.model),
      internal::CallerWatch(services_.config, request.caller_gone, caller.key_id, caller.revision));
  return fields.stream ? internal::CompletionDelivery::Streamed(std::move(delivery))
                       : delivery.Whole();
}

HttpServerReply EntryService::HandlePlain(const HttpServerRequest& request) {
  Caller caller;
  Route route;
  {
    const auto config = services_.config.Read();
    const auto* found = config->FindRoute(request.path);
    if (found == nullptr) {
      return RejectionReply(
          {404, "route_not_found", "no route serves this path", "path", true, absl::ZeroDuration()},
          caller.request_id);
    }
    route = *found;
  }
  if (std::find(route.methods.begin(), route.methods.end(), request.method) ==
      route.methods.end()) {
    return WrongMethod(absl::StrJoin(route.methods, ", "), caller.request_id);
  }
  if (!route.open) {
    if (auto rejected = Authenticate(request, caller)) return std::move(*rejected);
  }
  return route.idempotent ? Forward(request, caller, route.pool)
                          : RunOnce(request, caller, route.pool);
}

}  // namespace marigoldquay
