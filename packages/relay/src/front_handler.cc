// Validates callers' requests, cheapest checks first, and relays them.
#include "marigoldquay/relay/front_handler.h"

#include <algorithm>
#include <optional>
#include <random>

#include "absl/strings/str_cat.h"
#include "marigoldquay/core/metrics.h"
#include "marigoldquay/core/rendezvous.h"
#include "request_state.h"

namespace marigoldquay {
namespace {

using internal::HandleCancellation;
using internal::RelayLog;
using internal::RequestState;
using internal::SendError;

constexpr unsigned kUnavailable = 503;
constexpr absl::Duration kNoConfigurationRetryAfter = absl::Milliseconds(500);
// Retry-After of a refusal that a newer configuration may lift, and the time that a request waits
// for one first: the next state of the coordinator or answer of the store is often that close, e.g.
// for a process that has just been resumed.
constexpr absl::Duration kUnconfirmedRetryAfter = absl::Milliseconds(500);
constexpr absl::Duration kMaxConfirmationWait = absl::Milliseconds(100);
constexpr absl::Duration kConfirmationPoll = absl::Milliseconds(10);
// Upper bound of the ages that are logged.
constexpr absl::Duration kMaxLoggedAge = absl::Hours(1);
// Subtracted from the time that the caller waits, so that the response arrives within it.
constexpr absl::Duration kResponseMargin = absl::Milliseconds(5);

absl::string_view PathOf(absl::string_view target) { return target.substr(0, target.find('?')); }

// Selects one of the services of a route at random, in proportion to their weights.
const std::string& ChooseService(const CatalogRoute& route) {
  static std::mt19937_64 generator{std::random_device{}()};
  std::uint64_t total_weight = 0;
  for (const auto& entry : route.services) total_weight += entry.weight;
  if (total_weight == 0) return route.services.front().service;
  std::uint64_t remaining_weight =
      std::uniform_int_distribution<std::uint64_t>(0, total_weight - 1)(generator);
  for (const auto& entry : route.services) {
    if (remaining_weight < entry.weight) return entry.service;
    remaining_weight -= entry.weight;
  }
  return route.services.back().service;
}

/// Why the configuration does not allow a request.
struct Refusal {
  unsigned status = 0;
  absl::string_view reason;
};

// Looks up the route and the workspace in the newest configuration.
std::optional<Refusal> FindRouteAndWorkspace(RequestState& state) {
  state.catalog = state.context.cluster.catalog();
  state.workspace = nullptr;
  const auto host = ToAbsl(state.request[http::field::host]);
  const auto path = PathOf(ToAbsl(state.request.target()));
  state.route = state.catalog->FindRoute(host, path);
  if (state.route == nullptr) return Refusal{404, "no route matches the host and path"};
  const bool needs_key = state.catalog->contents().requires_keys && !state.route->anonymous;
  if (!needs_key) return std::nullopt;
  state.workspace = state.catalog->FindWorkspaceByKey(state.metadata.key);
  if (state.workspace == nullptr) return Refusal{401, "unknown key"};
  return std::nullopt;
}

absl::Duration CatalogAge(const RequestState& state) {
  return state.Now() - state.context.catalog_confirmed_at();
}

void CountRefusal(const RequestState& state) {
  auto& metrics = MetricsRegistry::Global();
  metrics
      .summary("marigoldquay_relay_refusal_catalog_age_seconds",
               "Age of the configuration's confirmation at refusals by it.")
      .Observe(absl::ToDoubleSeconds(*state.catalog_age));
  if (state.status != kUnavailable) return;
  metrics
      .counter("marigoldquay_relay_unconfirmed_refusals_total",
               "Requests answered 503 because a newer configuration may allow them.")
      .Increment();
}

void SetDeadline(RequestState& state) {
  state.deadline = state.arrival_time + state.route->timeout;
  if (!state.metadata.time_left) return;
  const absl::Duration caller_timeout = *state.metadata.time_left - kResponseMargin;
  state.deadline = std::min(state.deadline, state.arrival_time + caller_timeout);
}

// The caller counts by its workspace, as its other keys lead to the same one.
RequestFingerprint FingerprintOf(const HttpRequest& request, const WorkspaceId& workspace) {
  const std::uint64_t body = StableHash(request.body());
  const auto method = request.method_string();
  const auto target = request.target();
  return StableHash(absl::StrCat(ToAbsl(method), " ", ToAbsl(target), "\n", workspace), body);
}

bool AdmitByQuota(RequestState& state, Yield yield) {
  if (state.workspace == nullptr) return true;
  TokenCount cost = state.workspace->quota.default_cost;
  if (state.metadata.tokens) cost = state.metadata.tokens->prompt + state.metadata.tokens->output;
  const auto decision =
      state.context.quota.Admit(*state.workspace, cost, state.cancellation, yield);
  if (decision.admitted) state.charged = cost;
  if (state.cancellation.cancelled()) {
    HandleCancellation(state, yield);
    return false;
  }
  if (decision.admitted) return true;
  SendError(state, 429, "rate limit of the workspace exceeded", decision.retry_after, yield);
  return false;
}

// A caller that is refused and comes again must not pay twice.
void RefundUnlessRun(const RequestState& state) {
  if (state.workspace == nullptr || state.charged <= 0 || state.MayHaveRun()) return;
  state.context.quota.Refund(*state.workspace, state.charged);
}

absl::string_view ToText(const std::optional<internal::BodyFraming>& framing) {
  constexpr absl::string_view kTexts[] = {"length", "chunks", "connection_end"};
  return framing ? kTexts[static_cast<int>(*framing)] : "";
}

void LogRequest(const RequestState& state) {
  const absl::Duration elapsed = state.Now() - state.arrival_time;
  LogFields fields;
  fields.Add("request_id", state.metadata.id)
      .Add("route", state.route == nullptr ? "" : state.route->name)
      .Add("workspace", state.workspace_name())
      .Add("service", state.service == nullptr ? "" : state.service->name)
      .Add("catalog_version", state.catalog ? state.catalog->version() : std::uint64_t{0})
      .Add("status", static_cast<std::int64_t>(state.status))
      .Add("outcome", state.outcome)
      .Add("backend_server", state.last_server)
      .Add("framing", ToText(state.framing))
      .Add("arrivals", state.send_count)
      .Add("took_ms", elapsed);
  if (state.catalog_age) fields.Add("catalog_age_ms", *state.catalog_age);
  RelayLog().Event("request", fields);
  auto& metrics = MetricsRegistry::Global();
  metrics
      .counter("marigoldquay_relay_requests_total", "Requests of callers by status.",
               {{"status", absl::StrCat(state.status)}})
      .Increment();
  metrics.summary("marigoldquay_relay_request_seconds", "Time until the last byte of the answer.")
      .Observe(absl::ToDoubleSeconds(elapsed));
}

}  // namespace

void RetryBudgets::SetLimits(RetryBudgetLimits limits) {
  limits_ = limits;
  for (auto& [service, budget] : budgets_) budget.SetLimits(limits);
}

WindowedRetryBudget& RetryBudgets::ForService(absl::string_view service) {
  const auto found = budgets_.find(service);
  if (found != budgets_.end()) return found->second;
  return budgets_.emplace(std::string(service), WindowedRetryBudget(limits_)).first->second;
}

void RetryBudgets::UpdateMetrics() const {
  const auto update = [](const std::string& service, const char* outcome, std::int64_t total) {
    auto& counter = MetricsRegistry::Global().counter(
        "marigoldquay_relay_retries_total",
        "Retries sent, and requests that ended because the budget allowed no retry.",
        {{"service", service}, {"outcome", outcome}});
    counter.Increment(total - counter.value());
  };
  for (const auto& [service, budget] : budgets_) {
    update(service, "sent", budget.sent());
    update(service, "refused", budget.refused());
  }
}

FrontHandler::FrontHandler(FrontContext context)
    : context_(std::move(context)), stop_(std::make_unique<internal::PlannedStop>()) {}

FrontHandler::~FrontHandler() = default;

void FrontHandler::Handle(HttpRequest& request, HttpReplyWriter& reply, Cancellation& cancellation,
                          Yield yield) {
  RequestState state{context_, request, reply, cancellation, *stop_};
  state.arrival_time = state.Now();
  state.catalog = context_.cluster.catalog();
  auto metadata = context_.dialect.DecodeRequestMetadata(request);
  if (!metadata) {
    reply.CloseAfterReply();
    SendError(state, 400, metadata.error().message, absl::ZeroDuration(), yield);
    LogRequest(state);
    return;
  }
  state.metadata = std::move(*metadata);
  if (!state.catalog) {
    SendError(state, 503, "no configuration received yet", kNoConfigurationRetryAfter, yield);
  } else if (Resolve(state, yield)) {
    SetDeadline(state);
    state.fingerprint = FingerprintOf(request, state.workspace_name());
    asio::steady_timer timer(context_.io, ToChrono(state.TimeLeft()));
    timer.async_wait([&cancellation](const boost::system::error_code& error) {
      if (!error) cancellation.Cancel(CancelCause::kTimeout);
    });
    Relay(state, yield);
    RefundUnlessRun(state);
    // The completion handler refers to the cancellation of this request, so it must run before this
    // function returns.
    timer.cancel();
    boost::system::error_code ignored;
    asio::post(context_.io, yield[ignored]);
  }
  LogRequest(state);
}

bool FrontHandler::Resolve(internal::RequestState& state, Yield yield) {
  auto refusal = FindRouteAndWorkspace(state);
  if (refusal && CatalogAge(state) > max_catalog_age_) {
    const absl::Time until = state.Now() + kMaxConfirmationWait;
    while (CatalogAge(state) > max_catalog_age_ && state.Now() < until &&
           !state.cancellation.cancelled()) {
      SleepFor(context_.io, kConfirmationPoll, yield);
    }
    if (state.cancellation.cancelled()) {
      HandleCancellation(state, yield);
      return false;
    }
    refusal = FindRouteAndWorkspace(state);
  }
  if (refusal) {
    Refuse(state, refusal->status, refusal->reason, yield);
    return false;
  }
  state.service = state.catalog->FindService(ChooseService(*state.route));
  if (state.service == nullptr) {
    SendError(state, kUnavailable, "the route refers to an unknown service", absl::Seconds(1),
              yield);
    return false;
  }
  return true;
}

void FrontHandler::Refuse(internal::RequestState& state, unsigned status, absl::string_view reason,
                          Yield yield) {
  state.catalog_age = std::min(CatalogAge(state), kMaxLoggedAge);
  if (*state.catalog_age > max_catalog_age_) {
    SendError(state, kUnavailable,
              absl::StrCat(reason, ", but the configuration may be out of date"),
              kUnconfirmedRetryAfter, yield);
  } else {
    SendError(state, status, reason, absl::ZeroDuration(), yield);
  }
  CountRefusal(state);
}

void FrontHandler::Relay(internal::RequestState& state, Yield yield) {
  const bool model = state.service->engine.has_value();
  const bool stream = state.route->kind == RequestKind::kStream;
  if (stop_->Rejects(state)) {
    internal::EndAsStopping(state, yield);
    return;
  }
  if (model && stream) {
    internal::RelayModelRequest(state, yield);
    return;
  }
  if (AdmitByQuota(state, yield)) internal::RelayPlain(state, yield);
}

void FrontHandler::RejectRequestsBeyond(absl::Time exit_time) { stop_->RejectBeyond(exit_time); }

void FrontHandler::EndWaits() { stop_->EndWaits(); }

ListenerLimits FrontHandler::limits() const {
  ListenerLimits limits;
  const auto catalog = context_.cluster.catalog();
  if (!catalog) return limits;
  const CallerLimits& configured = catalog->limits();
  if (configured.header_bytes > 0) limits.header_bytes = configured.header_bytes;
  if (configured.body_bytes > 0) limits.body_bytes = configured.body_bytes;
  if (configured.header_timeout > absl::ZeroDuration()) {
    limits.header_timeout = configured.header_timeout;
  }
  if (configured.idle_timeout > absl::ZeroDuration()) limits.idle_timeout = configured.idle_timeout;
  return limits;
}

void FrontHandler::OnRejected(unsigned status, absl::string_view reason) {
  LogFields fields;
  fields.Add("status", static_cast<std::int64_t>(status)).Add("reason", reason);
  RelayLog().Event("request_rejected", fields);
}

}  // namespace marigoldquay
