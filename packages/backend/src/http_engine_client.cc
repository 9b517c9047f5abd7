// Prefill and decode calls over HTTP.
#include "marigoldquay/backend/http_engine_client.h"

#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "engine_http.h"
#include "marigoldquay/scheduling/json_fields.h"
#include "sse_parser.h"

namespace marigoldquay {
namespace {

constexpr std::size_t kMaxPrefillAnswer = std::size_t{64} << 10;

using OnToken = std::function<bool(std::int64_t index, absl::string_view token)>;

// State of one decode stream.
class DecodeStream {
 public:
  DecodeStream(const BackendServer& server, std::int64_t from_token, const OnToken& on_token)
      : server_(server), next_index_(from_token), on_token_(on_token) {}

  // Returns false to end the stream early.
  bool OnData(absl::string_view bytes) {
    const bool go_on =
        parser_.Append(bytes, [this](absl::string_view data) { return OnEvent(data); });
    if (parser_.overflowed()) return SetError("event is larger than 1 MiB");
    return go_on;
  }

  const std::optional<Error>& error() const { return error_; }
  bool done() const { return done_; }
  const DecodeResult& result() const { return result_; }

 private:
  bool SetError(std::string message) {
    error_ = Error{ErrorCode::kProtocol, "decode", server_.id, std::move(message)};
    return false;
  }

  bool OnEvent(absl::string_view data) {
    if (done_) return data == "[DONE]" || SetError("event after the last one");
    const auto event = ParseJsonObject(data);
    if (!event) return SetError("event is not a JSON object");
    const auto* done = FindJsonField(*event, "done");
    if (done != nullptr && done->is_bool() && done->as_bool()) return OnDone(*event);
    if (const auto message = FindJsonString(*event, "error")) {
      error_ = Error{ErrorCode::kUnavailable, "decode", server_.id, std::string(*message)};
      return false;
    }
    return OnTokenEvent(*event);
  }

  bool OnTokenEvent(const boost::json::object& event) {
    const auto index = FindJsonInt(event, "index");
    const auto token = FindJsonString(event, "token");
    if (!index || !token) return SetError("event needs index and token");
    if (*index != next_index_) {
      return SetError(absl::StrCat("token index ", *index, " where ", next_index_, " is due"));
    }
    ++next_index_;
    return on_token_(*index, *token);
  }

  // completion_tokens counts the whole answer, the tokens before from_token included, so that an
  // answer that was cut before its end cannot pass as complete.
  bool OnDone(const boost::json::object& event) {
    const auto* usage = FindJsonField(event, "usage");
    const TokenCount count = usage != nullptr && usage->is_object()
                                 ? FindJsonInt(usage->as_object(), "completion_tokens").value_or(-1)
                                 : -1;
    const auto reason = FindJsonString(event, "finish_reason");
    if (count < 0 || !reason) {
      return SetError("last event needs finish_reason and usage.completion_tokens");
    }
    if (count != next_index_) {
      return SetError(absl::StrCat("answer of ", count, " tokens ended after ", next_index_));
    }
    done_ = true;
    result_ = {std::string(*reason), count};
    return true;
  }

  const BackendServer& server_;
  SseParser parser_;
  std::int64_t next_index_;
  const OnToken& on_token_;
  bool done_ = false;
  DecodeResult result_;
  std::optional<Error> error_;
};

class HttpEngineClient final : public EngineClient {
 public:
  HttpEngineClient(HttpClient& http, const MemberView& members) : http_(http), members_(members) {}

  Result<PrefillResult> Prefill(const BackendServer& server, const PrefillRequest& request,
                                absl::Duration timeout,
                                const std::function<bool()>& cancelled) override {
    const auto http_request = MakeEngineRequest(server, "/v1/prefill",
                                                {{"request_id", request.request_id},
                                                 {"holder", members_.self().ToString()},
                                                 {"model", request.model},
                                                 {"prompt", request.prompt},
                                                 {"prompt_tokens", request.prompt_tokens},
                                                 {"priority", request.priority}});
    BOOST_LEAF_AUTO(response, http_.Perform(http_request, {.timeout = timeout,
                                                           .max_body_size = kMaxPrefillAnswer,
                                                           .cancelled = cancelled}));
    if (response.status != 200) return Fail(EngineStatusError(server, "prefill", response));
    return ParsePrefill(server, request, response.body);
  }

  Result<DecodeResult> Decode(const BackendServer& server, const DecodeRequest& request,
                              absl::Duration silence_timeout,
                              const std::function<bool()>& cancelled,
                              const OnToken& on_token) override {
    const auto http_request = MakeEngineRequest(
        server, "/v1/decode",
        {{"request_id", request.request_id},
         {"holder", members_.self().ToString()},
         {"model", request.model},
         {"source", {{"address", request.prefill_address}, {"handle", request.handle}}},
         {"prompt_tokens", request.prompt_tokens},
         {"max_tokens", request.max_tokens},
         {"from_token", request.from_token}});
    DecodeStream stream(server, request.from_token, on_token);
    const auto outcome = Capture<HttpResponse>([&] {
      return http_.Stream(http_request, {.timeout = silence_timeout, .cancelled = cancelled},
                          [&](absl::string_view bytes) { return stream.OnData(bytes); });
    });
    if (stream.error()) return Fail(*stream.error());
    // The count was right, so a connection that breaks after the last event loses nothing.
    if (stream.done()) return stream.result();
    if (outcome.index() == 1) return Fail(std::get<1>(outcome));
    const auto& response = std::get<0>(outcome);
    if (response.status != 200) return Fail(EngineStatusError(server, "decode", response));
    return Fail(ErrorCode::kUnavailable, "decode", server.id, "stream ended before its last event");
  }

 private:
  static Result<PrefillResult> ParsePrefill(const BackendServer& server,
                                            const PrefillRequest& request,
                                            const std::string& body) {
    const auto answer = ParseJsonObject(body);
    const auto handle = answer ? FindJsonString(*answer, "handle") : std::nullopt;
    if (!handle || handle->empty()) {
      return Fail(ErrorCode::kProtocol, "prefill", server.id, "answer needs a handle");
    }
    PrefillResult result{std::string(*handle),
                         FindJsonInt(*answer, "prompt_tokens").value_or(request.prompt_tokens),
                         FindJsonInt(*answer, "cached_tokens").value_or(0)};
    if (result.cached_tokens < 0 || result.cached_tokens > result.prompt_tokens) {
      return Fail(ErrorCode::kProtocol, "prefill", server.id,
                  absl::StrCat("cached_tokens ", result.cached_tokens, " is outside 0 to ",
                               result.prompt_tokens));
    }
    return result;
  }

  HttpClient& http_;
  const MemberView& members_;
};

}  // namespace

std::unique_ptr<EngineClient> MakeHttpEngineClient(HttpClient& http, const MemberView& members) {
  return std::make_unique<HttpEngineClient>(http, members);
}

}  // namespace marigoldquay
