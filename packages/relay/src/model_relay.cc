// Relays model requests. A prefill engine processes the prompt, then a decode
// engine fetches the KV cache and streams the response. Every path ends the
// placement and frees a KV cache that was not fetched.
#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "backend_attempt.h"
#include "event_splitter.h"

namespace marigoldquay::internal {
namespace {

constexpr int kMaxPlacements = 3;
// Callers disconnect when they have received no event after this multiple of the latency target.
constexpr double kAbandonmentFactor = 4.0;
// A prefill is abandoned when it takes longer than its predicted time multiplied by this factor,
// plus the slack.
constexpr double kPrefillTimeoutFactor = 3.0;
constexpr absl::Duration kPrefillTimeoutSlack = absl::Milliseconds(300);
constexpr absl::Duration kPrefillConnectTimeout = absl::Milliseconds(120);
constexpr absl::Duration kReleaseTimeout = absl::Milliseconds(500);
constexpr std::size_t kMaxErrorBytes = std::size_t{64} * 1024;
// Events hold a few tokens each.
constexpr std::size_t kMaxEventBytes = std::size_t{256} * 1024;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr absl::Duration kRefusedRetryAfter = absl::Milliseconds(500);

/// Ends a placement exactly once, as cancelled unless End() was called before.
class PlacementGuard {
 public:
  PlacementGuard(StreamPlacer& placer, const StreamPlacement& placement)
      : placer_(placer), placement_(placement) {}
  ~PlacementGuard() { End(StreamEnd::kCancelled); }
  PlacementGuard(const PlacementGuard&) = delete;
  PlacementGuard& operator=(const PlacementGuard&) = delete;

  void End(StreamEnd end) {
    if (std::exchange(ended_, true)) return;
    placer_.OnEnd(placement_, end);
  }

 private:
  StreamPlacer& placer_;
  const StreamPlacement& placement_;
  bool ended_ = false;
};

/// A KV cache held by a prefill engine until the decode engine fetches it.
struct PendingKvCache {
  Address engine;
  PrefillHandle prefill;
};

class ModelRelay {
 public:
  explicit ModelRelay(RequestState& state)
      : state_(state), budget_(state.context.budgets.ForService(state.service->name)) {}

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
      const auto outcome = state_.context.placer.Place(request, state_.cancellation, yield);
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

  // The first prefill that an engine accepts belongs to the first attempt; any other one is a
  // retry.
  void CountPrefill(bool accepted) {
    state_.prompt_processed |= accepted;
    if (accepted && !std::exchange(prefill_accepted_, true)) return;
    budget_.OnRetry(state_.Now());
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
    auto cache = placement.prefill ? RunPrefill(placement, yield) : nullptr;
    if (state_.cancellation.cancelled()) {
      ReleaseCache(std::move(cache));
      HandleCancellation(state_, yield);
      return NextStep::kStop;
    }
    // A request like this one may have crashed a server during the prefill.
    if (IsQuarantined()) {
      ReleaseCache(std::move(cache));
      guard.End(StreamEnd::kCancelled);
      return NextStep::kRetry;
    }
    return StreamFromDecode(placement, decode, std::move(cache), guard, yield);
  }

  bool IsQuarantined() const { return state_.QuarantineTimeLeft() > absl::ZeroDuration(); }

  // Reports a crash of the engine if it has broken off a response that had just begun or was about
  // to begin.
  void ReportCrash(const BackendAttempt& attempt) const {
    const bool answered = state_.Now() - first_event_at_ >= RequestQuarantine::kProvenAfter;
    if (attempt.connection_lost() && !answered) CheckForCrash(state_, attempt.replica());
  }

  // Returns null when the prefill failed; the decode engine then processes the prompt itself.
  std::unique_ptr<PendingKvCache> RunPrefill(const StreamPlacement& placement, Yield yield) {
    const Replica* listed = state_.context.cluster.replicas().Find(*placement.prefill);
    if (listed == nullptr || listed->draining) {
      state_.context.placer.OnPrefillEnd(placement, false);
      return nullptr;
    }
    const Replica engine = *listed;
    const absl::Time started = state_.Now();
    auto result = SendPrefillRequest(engine, placement, yield);
    if (state_.cancellation.cancelled() && !result) return nullptr;
    state_.context.placer.OnPrefillEnd(placement, result.ok());
    LogFields fields;
    fields.Add("request_id", state_.metadata.id)
        .Add("engine", engine.id)
        .Add("expected_ms", placement.expected)
        .Add("took_ms", state_.Now() - started)
        .Add("outcome", result ? "read" : result.error().ToString());
    RelayLog().Event("prefill", fields);
    if (!result) return nullptr;
    return std::make_unique<PendingKvCache>(PendingKvCache{engine.address, std::move(*result)});
  }

  ErrorOr<PrefillHandle> SendPrefillRequest(const Replica& engine, const StreamPlacement& placement,
                                            Yield yield) {
    const absl::Duration timeout =
        placement.expected * kPrefillTimeoutFactor + kPrefillTimeoutSlack;
    BackendCall call;
    call.expected_server = engine.id;
    call.time_left = state_.TimeLeft();
    call.workspace = state_.workspace_name();
    call.prefill_only = true;
    auto& pool = state_.context.connections;
    auto connection = pool.TakeIdle(engine.address);
    const bool fresh = connection == nullptr;
    if (fresh) connection = pool.MakeNew(engine.address);
    const Cancellation::Hook hook(state_.cancellation, [&] { connection->Close(); });
    if (fresh) {
      const auto connected = connection->Connect(kPrefillConnectTimeout, yield);
      if (!connected) return connected.error();
    }
    if (!MayReceiveRequests(state_.context, engine)) {
      return Error{ErrorCode::kNotSent, "read prompt", engine.address,
                   "the engine left before the prompt was sent"};
    }
    const absl::Time sent_at = state_.Now();
    CountBackendRequest(engine.id);
    const auto sent = connection->Send(
        state_.context.dialect.MakeBackendRequest(state_.request, call), timeout, yield);
    if (!sent) return sent.error();
    const auto reply = connection->ReadReply(HttpConnection::kMaxShortReplyBytes, timeout, yield);
    if (!reply) {
      CountPrefill(true);
      if (reply.error().code == ErrorCode::kUnavailable) CheckForCrash(state_, engine);
      return reply.error();
    }
    const auto response = state_.context.dialect.DecodeResponse(reply->status, reply->fields);
    // A faulty engine may send a refusal once more, to the next request of the connection.
    const bool reusable = connection->open() && !response.not_executed;
    CountPrefill(!response.not_executed);
    if (reusable) pool.Put(std::move(connection), state_.MaxIdleConnections());
    RecordServerState(state_, engine, response, sent_at);
    if (!response.request_id.empty() && response.request_id != state_.metadata.id) {
      return Error{ErrorCode::kProtocol, "read prompt", engine.address,
                   "response belongs to another request"};
    }
    return state_.context.dialect.DecodePrefill(*reply, engine.address);
  }

  void ReleaseCache(std::unique_ptr<PendingKvCache> cache) {
    if (!cache) return;
    const auto& context = state_.context;
    SpawnFiber(context.io, "release KV cache",
               [&context, request_id = state_.metadata.id, cache = std::move(cache)](Yield yield) {
                 const auto request =
                     context.dialect.MakePrefillRelease(cache->prefill, cache->engine);
                 const auto reply =
                     CallHttp(context.connections, cache->engine, request, kReleaseTimeout, yield);
                 LogFields fields;
                 fields.Add("request_id", request_id)
                     .Add("engine", cache->engine)
                     .Add("outcome", reply ? absl::StrCat("status ", reply->status)
                                           : reply.error().ToString());
                 RelayLog().Event("kv_cache_release", fields);
               });
  }

  NextStep StreamFromDecode(const StreamPlacement& placement, const Replica& decode,
                            std::unique_ptr<PendingKvCache> cache, PlacementGuard& guard,
                            Yield yield) {
    const bool had_cache = cache != nullptr;
    if (state_.send_count > 0 && !budget_.TryAcquire(state_.Now())) {
      ReleaseCache(std::move(cache));
      guard.End(StreamEnd::kCancelled);
      RejectByBudget(yield);
      return NextStep::kStop;
    }
    first_event_at_ = absl::InfiniteFuture();
    BackendAttempt attempt(state_, decode);
    const AttemptOutcome attempt_outcome =
        attempt.Start(MakeBackendCall(decode, cache.get()), MakeAttemptOptions(), yield);
    last_detail_ = attempt.detail();
    if (attempt.may_have_reached() && state_.send_count++ == 0) {
      budget_.OnFirstAttempt(state_.Now());
    }
    if (!attempt.may_have_reached()) ReleaseCache(std::move(cache));
    switch (attempt_outcome) {
      case AttemptOutcome::kCancelled:
        HandleCancellation(state_, yield);
        return NextStep::kStop;
      case AttemptOutcome::kNotExecuted:
        LogRejection(decode, had_cache);
        return HandleRejection(placement, attempt, had_cache, guard);
      case AttemptOutcome::kUnknown:
        ++state_.execution_count;
        software_version_ = decode.software_version;
        ReportCrash(attempt);
        guard.End(StreamEnd::kFailed);
        return HandleInterruption(decode, yield);
      case AttemptOutcome::kResponded:
        ++state_.execution_count;
        software_version_ = decode.software_version;
        return ForwardResponse(placement, attempt, guard, yield);
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
    call.resume_after = events_.last_id() ? events_.last_id() : state_.metadata.resume_after;
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
           IsVersionCertain(decode);
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
      events_.DiscardPartial();
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

  NextStep ForwardResponse(const StreamPlacement& placement, BackendAttempt& attempt,
                           PlacementGuard& guard, Yield yield) {
    if (!attempt.response().successful) return ForwardErrorResponse(attempt, guard, yield);
    if (state_.reply.started() && !attempt.IsEventStream()) {
      last_detail_ = "the response that was to continue the stream is no event stream";
      guard.End(StreamEnd::kFailed);
      return HandleInterruption(attempt.replica(), yield);
    }
    if (!state_.reply.started()) {
      state_.status = attempt.status();
      // The length of a resumable stream may differ from the one that its first server stated.
      const auto length = state_.route->resumable ? std::nullopt : attempt.content_length();
      const auto begun = state_.reply.Begin(
          attempt.status(), state_.context.dialect.MakeCallerFields(attempt.fields()), length,
          yield);
      if (!begun) {
        HandleCancellation(state_, yield);
        return NextStep::kStop;
      }
    }
    return ForwardEvents(placement, attempt, guard, yield);
  }

  NextStep ForwardEvents(const StreamPlacement& placement, BackendAttempt& attempt,
                         PlacementGuard& guard, Yield yield) {
    std::string chunk;
    bool first = true;
    while (!attempt.done()) {
      const auto read = attempt.ReadSome(chunk, yield);
      if (state_.cancellation.cancelled()) {
        HandleCancellation(state_, yield);
        return NextStep::kStop;
      }
      if (!read) {
        last_detail_ = attempt.detail();
        ReportCrash(attempt);
        guard.End(StreamEnd::kFailed);
        return HandleInterruption(attempt.replica(), yield);
      }
      if (first && !chunk.empty()) {
        first = false;
        first_event_at_ = state_.Now();
        state_.context.placer.OnFirstEvent(placement);
      }
      const std::string events = state_.route->resumable ? events_.Append(chunk) : chunk;
      if (!HasRoomForEvent(attempt)) {
        last_detail_ = absl::StrCat("event of over ", events_.partial_bytes(), " bytes");
        guard.End(StreamEnd::kFailed);
        return HandleInterruption(attempt.replica(), yield);
      }
      const auto sent = state_.reply.Append(events, yield);
      if (!sent) {
        state_.outcome = sent.error().message;
        state_.reply.Abort();
        return NextStep::kStop;
      }
    }
    guard.End(StreamEnd::kDone);
    state_.context.crash_guard.OnRequestServed(state_.fingerprint);
    const auto finished = state_.reply.Finish(yield);
    state_.outcome = finished ? "answered" : finished.error().message;
    return NextStep::kStop;
  }

  // Whether the rest of the incomplete event may be kept as well.
  bool HasRoomForEvent(BackendAttempt& attempt) const {
    const std::size_t size = events_.partial_bytes();
    return size <= kMaxEventBytes && attempt.KeepBody(size);
  }

  NextStep ForwardErrorResponse(BackendAttempt& attempt, PlacementGuard& guard, Yield yield) {
    std::string body;
    const auto read = attempt.ReadUpTo(kMaxErrorBytes, body, yield);
    if (state_.cancellation.cancelled()) {
      HandleCancellation(state_, yield);
      return NextStep::kStop;
    }
    guard.End(StreamEnd::kFailed);
    if (!read || !*read || state_.reply.started()) {
      last_detail_ = absl::StrCat("status ", attempt.status(), " ", attempt.detail());
      return HandleInterruption(attempt.replica(), yield);
    }
    state_.status = attempt.status();
    state_.outcome = "answered";
    const auto sent = state_.reply.SendReply(
        attempt.status(), state_.context.dialect.MakeCallerFields(attempt.fields()),
        std::move(body), yield);
    if (!sent) state_.outcome = sent.error().message;
    return NextStep::kStop;
  }

  RequestState& state_;
  WindowedRetryBudget& budget_;
  std::vector<BackendServerId> excluded_;
  EventSplitter events_;
  std::string last_detail_;
  bool prefill_accepted_ = false;
  // Version of the first engine that may have run the request. Only engines of this version can
  // continue the stream.
  std::optional<std::string> software_version_;
  // Of the current attempt.
  absl::Time first_event_at_ = absl::InfiniteFuture();
};

}  // namespace

void RelayModelRequest(RequestState& state, Yield yield) { ModelRelay(state).Run(yield); }

}  // namespace marigoldquay::internal
