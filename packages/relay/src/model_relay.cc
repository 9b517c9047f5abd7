// Relays model requests. A prefill engine processes the prompt (prefill_exchange), then a decode
// engine fetches the KV cache and streams the response (stream_forwarder). This part asks for
// engines and decides whether another one may try. Every path ends the placement and frees a KV
// cache that was not fetched.
#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "backend_attempt.h"
#include "placement_guard.h"
#include "prefill_exchange.h"
#include "stream_forwarder.h"

namespace marigoldquay::internal {
namespace {

constexpr int kMaxPlacements = 3;
// Callers disconnect when they have received no event after this multiple of the latency target.
constexpr double kAbandonmentFactor = 4.0;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr absl::Duration kRefusedRetryAfter = absl::Milliseconds(500);

class ModelRelay {
 public:
  explicit ModelRelay(RequestState& state)
      : state_(state),
        budget_(state.context.budgets.ForService(state.service->name)),
        prefills_(state, budget_),
        forwarder_(state) {}

  void Run(Yield yield) {
    StreamPlacementRequest request = MakeRequest();
    for (int i = 0; i < kMaxPlacements; ++i) {
      if (IsQuarantined()) return RejectAsQuarantined(yield);
      // Without a retry there is no use in another prefill.
      if (state_.send_count > 0 && !budget_.CanRetry(state_.Now())) return RejectByBudget(yield);
      request.demand.excluded = state_.context.health.Refusing(state_.Now());
      request.demand.excluded.insert(request.demand.excluded.end(), excluded_.begin(),
                                     excluded_.end());
      request.demand.software_version = software_version_;
      const auto outcome = AwaitPlacement(request, yield);
      const bool granted = std::holds_alternative<StreamPlacement>(outcome);
      if (granted) state_.charged += std::exchange(request.charge, 0);
      if (state_.cancellation.cancelled()) {
        AbandonPlacement(outcome);
        HandleCancellation(state_, yield);
        return;
      }
      if (const auto* refusal = std::get_if<PlacementRefusal>(&outcome)) {
        Reject(*refusal, yield);
        return;
      }
      if (ServePlacement(std::get<StreamPlacement>(outcome), yield) == NextStep::kStop) return;
    }
    RejectExhausted(yield);
  }

 private:
  enum class NextStep { kStop, kRetry };

  StreamPlacementRequest MakeRequest() const {
    StreamPlacementRequest request;
    request.service = state_.service->name;
    request.workspace = state_.workspace_name();
    const TokenDemand tokens = state_.metadata.tokens.value_or(TokenDemand{});
    if (state_.workspace != nullptr) {
      request.charge = state_.metadata.tokens ? tokens.prompt + tokens.output
                                              : state_.workspace->quota.default_cost;
    }
    request.resumes = state_.metadata.resumes;
    request.taken_up_at = state_.arrival_time;
    auto& demand = request.demand;
    demand.request = state_.metadata.id;
    demand.shared_parts = state_.metadata.shared_parts;
    demand.prompt_tokens = tokens.prompt;
    demand.output_tokens = tokens.output;
    demand.first_event_due = state_.arrival_time + state_.route->latency_target;
    const absl::Time abandonment =
        state_.arrival_time + state_.route->latency_target * kAbandonmentFactor;
    demand.caller_deadline = std::min(state_.deadline, abandonment);
    demand.priority = state_.route->priority;
    if (state_.workspace != nullptr && state_.workspace->priority) {
      demand.priority = *state_.workspace->priority;
    }
    return request;
  }

  PlacementOutcome AwaitPlacement(const StreamPlacementRequest& request, Yield yield) {
    const PlannedStop::Wait wait(state_.stop, state_);
    if (state_.cancellation.cancelled()) return PlacementRefusal{};
    return state_.context.placer.Place(request, state_.cancellation, yield);
  }

  void AbandonPlacement(const PlacementOutcome& outcome) {
    const auto* placement = std::get_if<StreamPlacement>(&outcome);
    if (placement != nullptr) state_.context.placer.OnEnd(*placement, StreamEnd::kCancelled);
  }

  void Reject(const PlacementRefusal& refusal, Yield yield) {
    if (state_.reply.started()) {
      state_.outcome = absl::StrCat("stream interrupted and cannot be resumed: ", refusal.reason);
      state_.reply.Abort();
      return;
    }
    if (state_.execution_count > 0) {
      SendError(state_, kBadGateway, absl::StrCat("no valid response: ", last_detail_),
                absl::ZeroDuration(), yield);
      return;
    }
    SendError(state_, refusal.over_quota ? kTooManyRequests : kUnavailable, refusal.reason,
              refusal.retry_after, yield);
  }

  void RejectExhausted(Yield yield) {
    Reject(
        {false, kRefusedRetryAfter, absl::StrCat("no engine accepted the request: ", last_detail_)},
        yield);
  }

  void RejectByBudget(Yield yield) {
    budget_.OnRefusal();
    Reject(
        {false, kRefusedRetryAfter, absl::StrCat("retry budget exhausted after: ", last_detail_)},
        yield);
  }

  void RejectAsQuarantined(Yield yield) {
    Reject({false, state_.QuarantineTimeLeft(), kQuarantinedReason}, yield);
  }

  NextStep Exclude(const BackendServerId& server) {
    excluded_.push_back(server);
    return NextStep::kRetry;
  }

  NextStep ServePlacement(const StreamPlacement& placement, Yield yield) {
    PlacementGuard guard(state_.context.placer, placement);
    const auto& replicas = state_.context.cluster.replicas();
    const Replica* listed = replicas.Find(placement.decode);
    if (listed == nullptr || listed->draining) {
      last_detail_ =
          absl::StrCat("decode engine ", placement.decode, " is not listed or is draining");
      guard.End(StreamEnd::kRefused);
      return Exclude(placement.decode);
    }
    const Replica decode = *listed;
    const auto& required = software_version_ ? software_version_ : placement.software_version;
    if (required && decode.software_version != *required) {
      last_detail_ = absl::StrCat("decode engine ", decode.id, " has software version ",
                                  decode.software_version, " instead of ", *required);
      guard.End(StreamEnd::kCancelled);
      return Exclude(decode.id);
    }
    if (Continues() && !IsStartCertain(state_.context, decode, yield)) {
      guard.End(StreamEnd::kCancelled);
      RejectAsUncertain(yield);
      return NextStep::kStop;
    }
    auto cache = placement.prefill ? prefills_.Run(placement, yield) : nullptr;
    if (state_.cancellation.cancelled()) {
      ReleaseKvCache(state_, std::move(cache));
      HandleCancellation(state_, yield);
      return NextStep::kStop;
    }
    // A request like this one may have crashed a server during the prefill.
    if (IsQuarantined()) {
      ReleaseKvCache(state_, std::move(cache));
      guard.End(StreamEnd::kCancelled);
      return NextStep::kRetry;
    }
    return StreamFromDecode(placement, decode, std::move(cache), guard, yield);
  }

  // Whether the engine is to go on with a stream that another one may have begun.
  bool Continues() const { return software_version_ || state_.metadata.resumes; }

  void RejectAsUncertain(Yield yield) {
    Reject({false, kRefusedRetryAfter,
            "the software version of the engine is not certain, as the list of servers is old"},
           yield);
  }

  // Called when an engine may run the request, which it got with a list that was recent or not.
  void RecordExecution(const Replica& decode, bool list_was_recent) {
    ++state_.execution_count;
    if (!software_version_) version_certain_ = list_was_recent;
    software_version_ = decode.software_version;
  }

  bool IsQuarantined() const { return state_.QuarantineTimeLeft() > absl::ZeroDuration(); }

  NextStep StreamFromDecode(const StreamPlacement& placement, const Replica& decode,
                            std::unique_ptr<PendingKvCache> cache, PlacementGuard& guard,
                            Yield yield) {
    const bool had_cache = cache != nullptr;
    if (state_.send_count > 0 && !budget_.TryAcquire(state_.Now())) {
      ReleaseKvCache(state_, std::move(cache));
      guard.End(StreamEnd::kCancelled);
      RejectByBudget(yield);
      return NextStep::kStop;
    }
    BackendAttempt attempt(state_, decode);
    const bool list_is_recent = IsListRecent(state_.context);
    const AttemptOutcome attempt_outcome =
        attempt.Start(MakeBackendCall(decode, cache.get()), MakeAttemptOptions(), yield);
    last_detail_ = attempt.detail();
    if (attempt.may_have_reached() && state_.send_count++ == 0) {
      budget_.OnFirstAttempt(state_.Now());
    }
    if (!attempt.may_have_reached()) ReleaseKvCache(state_, std::move(cache));
    switch (attempt_outcome) {
      case AttemptOutcome::kCancelled:
        HandleCancellation(state_, yield);
        return NextStep::kStop;
      case AttemptOutcome::kNotExecuted:
        LogRejection(decode, had_cache);
        return HandleRejection(placement, attempt, had_cache, guard);
      case AttemptOutcome::kUnknown:
        RecordExecution(decode, list_is_recent);
        if (attempt.connection_lost()) CheckForCrash(state_, attempt.replica());
        guard.End(StreamEnd::kFailed);
        return HandleInterruption(decode, yield);
      case AttemptOutcome::kResponded:
        RecordExecution(decode, list_is_recent);
        return ForwardResponse(attempt, guard, yield);
    }
    return NextStep::kStop;
  }

  NextStep HandleRejection(const StreamPlacement& placement, const BackendAttempt& attempt,
                           bool had_cache, PlacementGuard& guard) {
    if (!attempt.may_have_reached()) {
      guard.End(attempt.server_left() ? StreamEnd::kRefused : StreamEnd::kFailed);
      return Exclude(attempt.replica().id);
    }
    if (attempt.response().wrong_instance) {
      guard.End(StreamEnd::kEngineReplaced);
      return Exclude(attempt.replica().id);
    }
    if (had_cache) {
      // Capacity was reserved at the decode engine, so the rejection means that the KV cache is
      // lost.
      guard.End(StreamEnd::kCacheLost);
      return Exclude(*placement.prefill);
    }
    guard.End(StreamEnd::kRefused);
    return Exclude(attempt.replica().id);
  }

  void LogRejection(const Replica& decode, bool had_cache) const {
    LogFields fields;
    fields.Add("request_id", state_.metadata.id)
        .Add("engine", decode.id)
        .Add("with_kv_cache", had_cache)
        .Add("reason", last_detail_);
    RelayLog().Event("decode_refused", fields);
  }

  BackendCall MakeBackendCall(const Replica& decode, const PendingKvCache* cache) const {
    BackendCall call;
    call.expected_server = decode.id;
    call.time_left = state_.TimeLeft();
    call.workspace = state_.workspace_name();
    call.resume_after =
        forwarder_.last_event_id() ? forwarder_.last_event_id() : state_.metadata.resume_after;
    if (cache != nullptr) {
      call.kv_source = state_.context.dialect.MakeKvSource(cache->engine, cache->prefill);
    }
    return call;
  }

  AttemptOptions MakeAttemptOptions() const {
    AttemptOptions options;
    options.fresh_connection = !state_.route->resumable;
    return options;
  }

  // Whether another engine may continue after the attempt at `decode`.
  bool MayResume(const Replica& decode) const {
    return state_.route->resumable && state_.execution_count < state_.route->max_attempts &&
           forwarder_.position_known() && version_certain_ && IsVersionCertain(decode);
  }

  // False when a server with the same id and another software version has started meanwhile: the
  // response may have come from either.
  bool IsVersionCertain(const Replica& decode) const {
    const Replica* listed = state_.context.cluster.replicas().Find(decode.id);
    return listed == nullptr || listed->started_unix_ms == decode.started_unix_ms ||
           listed->software_version == decode.software_version;
  }

  // Handles a stream that was interrupted or a request without a valid response.
  NextStep HandleInterruption(const Replica& decode, Yield yield) {
    if (MayResume(decode)) {
      forwarder_.DiscardPartialEvent();
      return Exclude(decode.id);
    }
    if (state_.reply.started()) {
      state_.outcome = absl::StrCat("stream interrupted: ", last_detail_);
      state_.reply.Abort();
    } else {
      SendError(state_, kBadGateway, absl::StrCat("no valid response: ", last_detail_),
                absl::ZeroDuration(), yield);
    }
    return NextStep::kStop;
  }

  NextStep ForwardResponse(BackendAttempt& attempt, PlacementGuard& guard, Yield yield) {
    const auto interruption = forwarder_.Forward(attempt, guard, yield);
    if (!interruption) return NextStep::kStop;
    last_detail_ = *interruption;
    return HandleInterruption(attempt.replica(), yield);
  }

  RequestState& state_;
  WindowedRetryBudget& budget_;
  PrefillExchange prefills_;
  StreamForwarder forwarder_;
  std::vector<BackendServerId> excluded_;
  std::string last_detail_;
  // Version of the first engine that may have run the request. Only engines of this version can
  // continue the stream.
  std::optional<std::string> software_version_;
  // Whether that engine was listed in its present start when it got the request.
  bool version_certain_ = true;
};

}  // namespace

void RelayModelRequest(RequestState& state, Yield yield) { ModelRelay(state).Run(yield); }

}  // namespace marigoldquay::internal
