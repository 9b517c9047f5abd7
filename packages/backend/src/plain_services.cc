// Requests to plain services.
#include "marigoldquay/backend/plain_services.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "marigoldquay/backend/request_filter.h"
#include "marigoldquay/core/logger.h"

namespace marigoldquay {
namespace {

constexpr int kMaxAttempts = 3;
// With less time left than this, a first attempt gets all of it: half would be too short to answer.
constexpr absl::Duration kMinSplitTimeout = absl::Milliseconds(200);

const Logger& Log() {
  static const Logger logger("backend");
  return logger;
}

// Statuses with which a server says that it could not process the request now.
bool IsServerFailure(int status) { return status == 502 || status == 503 || status == 504; }

bool IsRetryable(ErrorCode code) {
  return code == ErrorCode::kNotSent || code == ErrorCode::kTimeout ||
         code == ErrorCode::kUnavailable || code == ErrorCode::kProtocol;
}

HttpRequest MakeRequest(absl::string_view method, absl::string_view target, HttpHeaders headers,
                        const RequestId& request_id, const WorkspaceId& workspace,
                        const std::string& idempotency_key, std::string body) {
  headers.emplace_back("X-Request-Id", request_id);
  if (!workspace.empty()) headers.emplace_back("X-Workspace", workspace);
  if (!idempotency_key.empty()) headers.emplace_back("Idempotency-Key", idempotency_key);
  return {std::string(method), std::string(target), std::move(headers), std::move(body)};
}

Result<void> CheckTarget(absl::string_view target) {
  if (absl::StartsWith(target, "/")) return {};
  return Fail(ErrorCode::kInvalidArgument, "check request", "", "path must start with \"/\"");
}

}  // namespace

PlainServices::PlainServices(HttpClient& http, const ConfigView& config,
                             const LeavingServers& leaving, const Clock& clock, RetryBudget& budget)
    : http_(http), config_(config), leaving_(leaving), clock_(clock), budget_(budget) {}

std::optional<PlainServices::Choice> PlainServices::Choose(const PoolId& pool,
                                                           const std::set<BackendServerId>& tried) {
  std::vector<BackendServer> candidates;
  std::set<BackendServerId> configured;
  {
    const auto configuration = config_.Read();
    for (const auto& [id, server] : configuration->backend_servers()) {
      configured.insert(id);
      if (server.pool == pool && tried.count(id) == 0 && leaving_.MayGetWork(server)) {
        candidates.push_back(server);
      }
    }
  }
  if (candidates.empty()) return std::nullopt;
  const auto now = clock_.Now();
  absl::MutexLock lock(&mutex_);
  if (states_.size() > configured.size()) {
    std::erase_if(states_, [&](const auto& entry) {
      return entry.second.outstanding == 0 && configured.count(entry.first) == 0;
    });
  }
  const std::size_t first = next_++;
  // An ejected server is used only when there is no other: then trying it beats certain failure.
  const auto rank = [&](std::size_t index) {
    auto& state = states_[candidates[index].id];
    return std::tuple(!state.health.Usable(now), state.outstanding,
                      (index + candidates.size() - first % candidates.size()) % candidates.size());
  };
  std::size_t best = 0;
  for (std::size_t i = 1; i < candidates.size(); ++i) {
    if (rank(i) < rank(best)) best = i;
  }
  auto& state = states_[candidates[best].id];
  state.health.OnStart(now);
  ++state.outstanding;
  return Choice{candidates[best], candidates.size() > 1};
}

void PlainServices::RecordEnd(const BackendServerId& id, std::optional<bool> success) {
  absl::MutexLock lock(&mutex_);
  auto& state = states_[id];
  --state.outstanding;
  if (!success) {
    state.health.OnNeutral();
  } else if (*success) {
    state.health.OnSuccess();
  } else {
    state.health.OnFailure(clock_.Now());
  }
}

Result<HttpResponse> PlainServices::Attempt(const BackendServer& server, HttpRequest request,
                                            const HttpOptions& options) {
  request.url = absl::StrCat("http://", server.address, request.url);
  auto outcome = Capture<HttpResponse>([&] { return http_.Perform(request, options); });
  if (const auto* error = std::get_if<1>(&outcome)) {
    std::optional<bool> success;
    if (IsRetryable(error->code)) success = false;
    RecordEnd(server.id, success);
    return Fail(*error);
  }
  auto& response = std::get<0>(outcome);
  RecordEnd(server.id, !IsServerFailure(response.status));
  response.headers = FilterResponseHeaders(response.headers);
  return std::move(response);
}

Result<HttpResponse> PlainServices::Perform(const PlainRequest& request, absl::Duration timeout,
                                            const std::function<bool()>& cancelled) {
  BOOST_LEAF_CHECK(CheckTarget(request.target));
  BOOST_LEAF_CHECK(
      RejectKeyInRequest(request.target, request.headers, request.body, request.key_text));
  if (!request.key_text.empty() && absl::StrContains(request.idempotency_key, request.key_text)) {
    return Fail(ErrorCode::kInvalidArgument, "check request", "",
                "header Idempotency-Key contains the caller's key");
  }
  const auto http_request = MakeRequest(
      request.method, request.target, FilterRequestHeaders(request.headers, request.key_text),
      request.request_id, request.workspace, request.idempotency_key, request.body);
  const auto deadline = clock_.Now() + timeout;
  budget_.OnRequest();
  std::set<BackendServerId> tried;
  std::optional<std::variant<HttpResponse, Error>> last;
  for (int attempt = 1; attempt <= kMaxAttempts; ++attempt) {
    const auto remaining = deadline - clock_.Now();
    if (attempt > 1 && remaining <= absl::ZeroDuration()) break;
    const auto choice = Choose(request.pool, tried);
    if (!choice) break;
    const auto& server = choice->server;
    tried.insert(server.id);
    // A server that does not answer must leave time for another one.
    const bool split = attempt < kMaxAttempts && choice->has_others && budget_.available() &&
                       remaining >= kMinSplitTimeout;
    const HttpOptions options{.timeout = split ? remaining / 2 : remaining, .cancelled = cancelled};
    last = Capture<HttpResponse>([&] { return Attempt(server, http_request, options); });
    const auto* error = std::get_if<1>(&*last);
    if (error == nullptr && !IsServerFailure(std::get<0>(*last).status)) break;
    if (error != nullptr && !IsRetryable(error->code)) break;
    Log().Info("request ", request.request_id, " failed at ", server.id, ": ",
               error != nullptr ? error->ToString() : "server failure status");
    // An attempt that sent nothing cost no server anything and needs no budget.
    if (error != nullptr && error->code == ErrorCode::kNotSent) continue;
    if (!budget_.TryTake()) break;
  }
  if (!last) {
    return Fail(ErrorCode::kNotSent, "forward request", request.pool,
                "pool has no usable backend server");
  }
  if (const auto* error = std::get_if<1>(&*last)) return Fail(*error);
  return std::move(std::get<0>(*last));
}

DispatchResult PlainServices::Dispatch(const OnceRequest& request, absl::Duration timeout) {
  // The key was removed by whoever made the request; what the router sets itself is set here only.
  const auto http_request =
      MakeRequest(request.method, request.target, FilterRequestHeaders(request.headers, ""),
                  request.request_id, request.workspace, request.idempotency_key, request.body);
  const auto deadline = clock_.Now() + timeout;
  std::set<BackendServerId> tried;
  DispatchResult result{.outcome = DispatchOutcome::kNotSent,
                        .message = "pool has no usable backend server"};
  if (!absl::StartsWith(request.target, "/")) {
    result.message = "path must start with \"/\"";
    return result;
  }
  while (true) {
    const auto remaining = deadline - clock_.Now();
    if (remaining <= absl::ZeroDuration()) return result;
    const auto choice = Choose(request.pool, tried);
    if (!choice) return result;
    const auto& server = choice->server;
    tried.insert(server.id);
    auto outcome = Capture<HttpResponse>(
        [&] { return Attempt(server, http_request, {.timeout = remaining}); });
    if (auto* response = std::get_if<0>(&outcome)) {
      return {DispatchOutcome::kAnswered, response->status, std::move(response->headers),
              std::move(response->body), ""};
    }
    const auto& error = std::get<1>(outcome);
    Log().Warn("request ", request.request_id, " at ", server.id, ": ", error.ToString());
    result.message = error.ToString();
    // Any other error may have followed a first byte; another server could run it twice.
    if (error.code != ErrorCode::kNotSent) {
      result.outcome = DispatchOutcome::kUnknown;
      return result;
    }
  }
}

}  // namespace marigoldquay
