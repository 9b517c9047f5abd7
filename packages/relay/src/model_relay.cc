// Model requests: the prompt is read by a prefill engine, then a decode engine
// fetches the KV cache and streams. Every path ends the placement and frees a KV
// cache that was not fetched.
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
// A caller that has no event after this multiple of the latency target leaves.
constexpr double kPatienceFactor = 4.0;
// A prefill that takes so much longer than predicted is given up.
constexpr double kPrefillTimeoutFactor = 3.0;
constexpr absl::Duration kPrefillTimeoutSlack = absl::Milliseconds(300);
constexpr absl::Duration kPrefillConnectTimeout = absl::Milliseconds(120);
constexpr absl::Duration kReleaseTimeout = absl::Milliseconds(500);
constexpr std::size_t kMaxErrorBytes = std::size_t{64} * 1024;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr absl::Duration kRefusedRetryAfter = absl::Milliseconds(500);

/// Ends a placement exactly once.
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

/// A KV cache that waits at a prefill engine.
struct WaitingCache {
  Address engine;
  PrefillHandle prefill;
};

class ModelRelay {
 public:
  explicit ModelRelay(RequestState& state)
      : state_(state), budget_(state.context.budgets.Of(state.service->name)) {}

  void Run(Yield yield) {
    StreamPlacementRequest request = MakeRequest();
    for (int i = 0; i < kMaxPlacements; ++i) {
      request.demand.excluded = state_.context.health.Refusing(state_.Now());
      request.demand.excluded.insert(request.demand.excluded.end(), excluded_.begin(),
                                     excluded_.end());
      const auto outcome = state_.context.placer.Place(request, state_.cancellation, yield);
      if (state_.cancellation.cancelled()) {
        AbandonPlacement(outcome);
        EndCancelled(state_, yield);
        return;
      }
      if (const auto* refusal = std::get_if<PlacementRefusal>(&outcome)) {
        Refuse(*refusal, yield);
        return;
      }
      request.charge = 0;
      if (Serve(std::get<StreamPlacement>(outcome), yield) == Next::kStop) return;
    }
    GiveUp(yield);
  }

 private:
  enum class Next { kStop, kOther };

  StreamPlacementRequest MakeRequest() const {
    StreamPlacementRequest request;
    request.service = state_.service->name;
    request.workspace = state_.workspace_name();
    const TokenDemand tokens = state_.caller.tokens.value_or(TokenDemand{});
    if (state_.workspace != nullptr) {
      request.charge = state_.caller.tokens ? tokens.prompt + tokens.output
                                            : state_.workspace->quota.default_cost;
    }
    auto& demand = request.demand;
    demand.request = state_.caller.id;
    demand.prompt_tokens = tokens.prompt;
    demand.output_tokens = tokens.output;
    demand.first_event_due = state_.arrived + state_.route->latency_target;
    const absl::Time patience = state_.arrived + state_.route->latency_target * kPatienceFactor;
    demand.caller_deadline = std::min(state_.deadline, patience);
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

  void Refuse(const PlacementRefusal& refusal, Yield yield) {
    if (state_.reply.started()) {
      state_.outcome = absl::StrCat("stream broke off and cannot go on: ", refusal.reason);
      state_.reply.Abort();
      return;
    }
    if (state_.runs > 0) {
      SendError(state_, kBadGateway, absl::StrCat("no usable answer: ", last_detail_),
                absl::ZeroDuration(), yield);
      return;
    }
    SendError(state_, refusal.over_quota ? kTooManyRequests : kUnavailable, refusal.reason,
              refusal.retry_after, yield);
  }

  void GiveUp(Yield yield) {
    Refuse({false, kRefusedRetryAfter, absl::StrCat("no engine took the request: ", last_detail_)},
           yield);
  }

  Next Exclude(const BackendServerId& server) {
    excluded_.push_back(server);
    return Next::kOther;
  }

  Next Serve(const StreamPlacement& placement, Yield yield) {
    PlacementGuard guard(state_.context.placer, placement);
    const auto& replicas = state_.context.cluster.replicas();
    const Replica* listed = replicas.Find(placement.decode);
    if (listed == nullptr || listed->draining) {
      last_detail_ = absl::StrCat("decode engine ", placement.decode, " is not listed");
      guard.End(StreamEnd::kRefused);
      return Exclude(placement.decode);
    }
    const Replica decode = *listed;
    auto cache = placement.prefill ? ReadPrompt(placement, yield) : nullptr;
    if (state_.cancellation.cancelled()) {
      Release(std::move(cache));
      EndCancelled(state_, yield);
      return Next::kStop;
    }
    return Stream(placement, decode, std::move(cache), guard, yield);
  }

  // Null when the prompt could not be read; the decode engine then reads it itself.
  std::unique_ptr<WaitingCache> ReadPrompt(const StreamPlacement& placement, Yield yield) {
    const Replica* listed = state_.context.cluster.replicas().Find(*placement.prefill);
    if (listed == nullptr) {
      state_.context.placer.OnPrefillEnd(placement, false);
      return nullptr;
    }
    const Replica engine = *listed;
    const absl::Time started = state_.Now();
    auto result = CallPrefill(engine, placement, yield);
    if (state_.cancellation.cancelled() && !result) return nullptr;
    state_.context.placer.OnPrefillEnd(placement, result.ok());
    LogFields fields;
    fields.Add("request_id", state_.caller.id)
        .Add("engine", engine.id)
        .Add("expected_ms", placement.expected)
        .Add("took_ms", state_.Now() - started)
        .Add("outcome", result ? "read" : result.error().ToString());
    RelayLog().Event("prefill", fields);
    if (!result) return nullptr;
    return std::make_unique<WaitingCache>(WaitingCache{engine.address, std::move(*result)});
  }

  ErrorOr<PrefillHandle> CallPrefill(const Replica& engine, const StreamPlacement& placement,
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
    const auto sent = connection->Send(
        state_.context.dialect.MakeBackendRequest(state_.request, call), timeout, yield);
    if (!sent) return sent.error();
    const auto reply = connection->ReadWhole(kMaxErrorBytes, timeout, yield);
    if (!reply) return reply.error();
    if (connection->open()) pool.Put(std::move(connection), state_.MaxIdleConnections());
    const auto answer = state_.context.dialect.DecodeAnswer(reply->status, reply->fields);
    RecordServerState(state_, engine.id, answer);
    if (!answer.request_id.empty() && answer.request_id != state_.caller.id) {
      return Error{ErrorCode::kProtocol, "read prompt", engine.address,
                   "answer to another request"};
    }
    return state_.context.dialect.DecodePrefill(*reply, engine.address);
  }

  void Release(std::unique_ptr<WaitingCache> cache) {
    if (!cache) return;
    const auto& context = state_.context;
    SpawnFiber(context.io, "release KV cache",
               [&context, request_id = state_.caller.id, cache = std::move(cache)](Yield yield) {
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

  Next Stream(const StreamPlacement& placement, const Replica& decode,
              std::unique_ptr<WaitingCache> cache, PlacementGuard& guard, Yield yield) {
    const bool had_cache = cache != nullptr;
    if (state_.arrivals > 0 && !budget_.TryAcquire(state_.Now())) {
      Release(std::move(cache));
      guard.End(StreamEnd::kCancelled);
      Refuse({false, kRefusedRetryAfter,
              absl::StrCat("retry budget is used up after: ", last_detail_)},
             yield);
      return Next::kStop;
    }
    BackendAttempt attempt(state_, decode);
    const AttemptEnd end = attempt.Open(MakeCall(decode, cache.get()), MakeOptions(), yield);
    last_detail_ = attempt.detail();
    if (attempt.reached() && state_.arrivals++ == 0) budget_.OnFirstAttempt(state_.Now());
    if (!attempt.reached()) Release(std::move(cache));
    switch (end) {
      case AttemptEnd::kCancelled:
        EndCancelled(state_, yield);
        return Next::kStop;
      case AttemptEnd::kNotRun:
        LogRefusal(decode, had_cache);
        return AfterRefusal(placement, attempt, had_cache, guard);
      case AttemptEnd::kUnknown:
        ++state_.runs;
        guard.End(StreamEnd::kFailed);
        return AfterBreak(decode.id, yield);
      case AttemptEnd::kAnswered:
        ++state_.runs;
        return PassOn(placement, attempt, guard, yield);
    }
    return Next::kStop;
  }

  Next AfterRefusal(const StreamPlacement& placement, const BackendAttempt& attempt, bool had_cache,
                    PlacementGuard& guard) {
    if (!attempt.reached()) {
      guard.End(StreamEnd::kFailed);
      return Exclude(attempt.replica().id);
    }
    if (attempt.answer().wrong_server) {
      guard.End(StreamEnd::kEngineReplaced);
      return Exclude(attempt.replica().id);
    }
    if (had_cache) {
      // The decode engine had room reserved, so it is the cache that is gone.
      guard.End(StreamEnd::kCacheLost);
      return Exclude(*placement.prefill);
    }
    guard.End(StreamEnd::kRefused);
    return Exclude(attempt.replica().id);
  }

  void LogRefusal(const Replica& decode, bool had_cache) const {
    LogFields fields;
    fields.Add("request_id", state_.caller.id)
        .Add("engine", decode.id)
        .Add("with_kv_cache", had_cache)
        .Add("reason", last_detail_);
    RelayLog().Event("decode_refused", fields);
  }

  BackendCall MakeCall(const Replica& decode, const WaitingCache* cache) const {
    BackendCall call;
    call.expected_server = decode.id;
    call.time_left = state_.TimeLeft();
    call.workspace = state_.workspace_name();
    call.resume_after = events_.last_id() ? events_.last_id() : state_.caller.resume_after;
    if (cache != nullptr) {
      call.kv_source = state_.context.dialect.KvSource(cache->engine, cache->prefill);
    }
    return call;
  }

  AttemptOptions MakeOptions() const {
    AttemptOptions options;
    options.fresh_connection = !state_.route->resumable;
    return options;
  }

  bool MayResume() const {
    return state_.route->resumable && state_.runs < state_.route->max_attempts;
  }

  // The stream broke off, or no answer came.
  Next AfterBreak(const BackendServerId& server, Yield yield) {
    if (MayResume()) {
      events_.DropPartial();
      return Exclude(server);
    }
    if (state_.reply.started()) {
      state_.outcome = absl::StrCat("stream broke off: ", last_detail_);
      state_.reply.Abort();
    } else {
      SendError(state_, kBadGateway, absl::StrCat("no usable answer: ", last_detail_),
                absl::ZeroDuration(), yield);
    }
    return Next::kStop;
  }

  Next PassOn(const StreamPlacement& placement, BackendAttempt& attempt, PlacementGuard& guard,
              Yield yield) {
    const bool success = attempt.status() >= 200 && attempt.status() < 300;
    if (!success) return PassOnFailure(attempt, guard, yield);
    if (!state_.reply.started()) {
      state_.status = attempt.status();
      // A stream that may be resumed can turn out longer or shorter than its first server said.
      const auto length = state_.route->resumable ? std::nullopt : attempt.content_length();
      const auto begun = state_.reply.Begin(
          attempt.status(), state_.context.dialect.CallerFields(attempt.fields()), length, yield);
      if (!begun) {
        EndCancelled(state_, yield);
        return Next::kStop;
      }
    }
    return PassOnEvents(placement, attempt, guard, yield);
  }

  Next PassOnEvents(const StreamPlacement& placement, BackendAttempt& attempt,
                    PlacementGuard& guard, Yield yield) {
    std::string piece;
    bool first = true;
    while (!attempt.done()) {
      const auto read = attempt.ReadSome(piece, yield);
      if (state_.cancellation.cancelled()) {
        EndCancelled(state_, yield);
        return Next::kStop;
      }
      if (!read) {
        last_detail_ = attempt.detail();
        guard.End(StreamEnd::kFailed);
        return AfterBreak(attempt.replica().id, yield);
      }
      if (first && !piece.empty()) {
        first = false;
        first_event_at_ = state_.Now();
        state_.context.placer.OnFirstEvent(placement);
      }
      const std::string events = state_.route->resumable ? events_.Append(piece) : piece;
      const auto sent = state_.reply.Append(events, yield);
      if (!sent) {
        state_.outcome = sent.error().message;
        state_.reply.Abort();
        return Next::kStop;
      }
    }
    guard.End(StreamEnd::kDone);
    const auto finished = state_.reply.Finish(yield);
    state_.outcome = finished ? "answered" : finished.error().message;
    return Next::kStop;
  }

  Next PassOnFailure(BackendAttempt& attempt, PlacementGuard& guard, Yield yield) {
    std::string body;
    const auto read = attempt.ReadUpTo(kMaxErrorBytes, body, yield);
    if (state_.cancellation.cancelled()) {
      EndCancelled(state_, yield);
      return Next::kStop;
    }
    guard.End(StreamEnd::kFailed);
    if (!read || !*read || state_.reply.started()) {
      last_detail_ = absl::StrCat("status ", attempt.status(), " ", attempt.detail());
      return AfterBreak(attempt.replica().id, yield);
    }
    state_.status = attempt.status();
    state_.outcome = "answered";
    const auto sent = state_.reply.SendWhole(attempt.status(),
                                             state_.context.dialect.CallerFields(attempt.fields()),
                                             std::move(body), yield);
    if (!sent) state_.outcome = sent.error().message;
    return Next::kStop;
  }

  RequestState& state_;
  WindowedRetryBudget& budget_;
  std::vector<BackendServerId> excluded_;
  EventSplitter events_;
  std::string last_detail_;
  absl::Time first_event_at_ = absl::InfiniteFuture();
};

}  // namespace

void RelayModelRequest(RequestState& state, Yield yield) { ModelRelay(state).Run(yield); }

}  // namespace marigoldquay::internal
