// Relays requests to plain services. Backend servers are tried one at a time;
// the next one is tried only when the request was not executed or may be repeated.
#include <algorithm>
#include <vector>

#include "absl/strings/str_cat.h"
#include "backend_attempt.h"
#include "marigoldquay/dispatch/stream_versions.h"

namespace marigoldquay::internal {
namespace {

// Responses up to this size are buffered before they are forwarded, so that the request can still
// be sent to another server when the response is interrupted.
constexpr std::size_t kMaxBufferedBytes = std::size_t{64} * 1024;
// Maximum number of backend servers tried in turn while each reports that it has not executed the
// request.
constexpr int kMaxServersTried = 4;
// An idempotent request is sent to another server when no response has arrived after this fraction
// of its latency target.
constexpr double kResendFraction = 0.65;
constexpr absl::Duration kMinResendDelay = absl::Milliseconds(60);
constexpr absl::Duration kOverloadRetryAfter = absl::Milliseconds(400);
constexpr absl::Duration kNoServerRetryAfter = absl::Seconds(1);
constexpr absl::Duration kMinLimitRetryAfter = absl::Milliseconds(100);
// The list of servers is read again within about a second while the store or the coordinator can be
// reached.
constexpr absl::Duration kMaxListWait = absl::Milliseconds(1200);
constexpr absl::Duration kListPoll = absl::Milliseconds(20);
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;

/// Relays one request; holds the state shared by its attempts.
class PlainRelay {
 public:
  explicit PlainRelay(RequestState& state)
      : state_(state),
        budget_(state.context.budgets.ForService(state.service->name)),
        idempotent_(state.route->kind == RequestKind::kIdempotent) {}

  void Run(Yield yield) {
    if (TakesUpUnknownStream(yield)) return RejectTakeUp(yield);
    for (int i = 0; i < kMaxServersTried; ++i) {
      const absl::Duration quarantine = state_.QuarantineTimeLeft();
      if (quarantine > absl::ZeroDuration()) return RejectAsQuarantined(quarantine, yield);
      const auto replica = PickServer(yield);
      if (state_.cancellation.cancelled()) return HandleCancellation(state_, yield);
      if (!replica) break;
      if (state_.send_count > 0 && !budget_.TryAcquire(state_.Now())) {
        budget_.OnRefusal();
        last_detail_ = absl::StrCat("retry budget exhausted after: ", last_detail_);
        break;
      }
      if (TryServer(*replica, yield) == NextStep::kStop) return;
      excluded_.push_back(replica->id);
    }
    RejectExhausted(yield);
  }

 private:
  enum class NextStep { kStop, kRetry };

  // The best server whose request limit allows another request, which is charged to it.
  std::optional<Replica> PickServer(Yield yield) {
    while (!state_.cancellation.cancelled()) {
      const auto ready = state_.context.cluster.replicas().FindReady(state_.service->name);
      auto replica = state_.context.balancer.Pick(ready, excluded_, !idempotent_, state_.Now());
      if (!replica || !replica->request_limit.per_second) return replica;
      const auto decision = state_.context.quota.AdmitRequest(*replica, state_.cancellation, yield);
      if (decision.admitted) return replica;
      excluded_.push_back(replica->id);
      limit_wait_ = std::min(limit_wait_, decision.retry_after);
    }
    return std::nullopt;
  }

  NextStep TryServer(const Replica& replica, Yield yield) {
    auto& balancer = state_.context.balancer;
    const absl::Time started = state_.Now();
    balancer.OnStart(replica.id);
    bool complete = false;
    const NextStep next = Attempt(replica, complete, yield);
    balancer.OnEnd(replica.id,
                   complete ? std::make_optional(state_.Now() - started) : std::nullopt);
    return next;
  }

  BackendCall MakeBackendCall(const Replica& replica) const {
    BackendCall call;
    call.expected_server = replica.id;
    call.time_left = state_.TimeLeft();
    call.workspace = state_.workspace_name();
    call.resume_after = state_.metadata.resume_after;
    return call;
  }

  AttemptOptions MakeAttemptOptions() const {
    AttemptOptions options;
    options.fresh_connection = !idempotent_;
    const bool may_repeat = idempotent_ &&
                            state_.execution_count + 1 < state_.route->max_attempts &&
                            budget_.CanRetry(state_.Now());
    if (may_repeat) {
      options.head_timeout =
          std::max(kMinResendDelay, state_.route->latency_target * kResendFraction);
    }
    return options;
  }

  NextStep Attempt(const Replica& replica, bool& complete, Yield yield) {
    BackendAttempt attempt(state_, replica);
    const AttemptOutcome attempt_outcome =
        attempt.Start(MakeBackendCall(replica), MakeAttemptOptions(), yield);
    CountSend(attempt);
    last_detail_ = attempt.detail();
    switch (attempt_outcome) {
      case AttemptOutcome::kCancelled:
        HandleCancellation(state_, yield);
        return NextStep::kStop;
      case AttemptOutcome::kNotExecuted:
        return NextStep::kRetry;
      case AttemptOutcome::kUnknown:
        ++state_.execution_count;
        ReportCrash(attempt, yield);
        return HandleUnknownOutcome(yield);
      case AttemptOutcome::kResponded:
        ++state_.execution_count;
        return ForwardResponse(attempt, complete, yield);
    }
    return NextStep::kStop;
  }

  void CountSend(const BackendAttempt& attempt) {
    if (!attempt.may_have_reached()) return;
    if (state_.send_count++ == 0) budget_.OnFirstAttempt(state_.Now());
  }

  bool MayRepeat() const {
    return idempotent_ && state_.execution_count < state_.route->max_attempts;
  }

  // Reports a crash of the server if that is why the connection was lost. A request that is going
  // to be repeated waits for the verdict, as it may have caused the crash.
  void ReportCrash(const BackendAttempt& attempt, Yield yield) {
    if (!attempt.connection_lost()) return;
    if (!MayRepeat()) return CheckForCrash(state_, attempt.replica());
    const ServerCrash crash = MakeServerCrash(state_, attempt.replica().id);
    if (HasCrashed(state_.context, attempt.replica().address, yield)) {
      state_.context.crash_guard.OnCrash(crash);
    }
  }

  NextStep HandleUnknownOutcome(Yield yield) {
    if (MayRepeat()) return NextStep::kRetry;
    SendError(state_, kBadGateway, absl::StrCat("no valid response: ", last_detail_),
              absl::ZeroDuration(), yield);
    return NextStep::kStop;
  }

  NextStep ForwardResponse(BackendAttempt& attempt, bool& complete, Yield yield) {
    std::string body;
    const bool stream = state_.route->kind == RequestKind::kStream;
    const auto read = attempt.ReadUpTo(stream ? 0 : kMaxBufferedBytes, body, yield);
    if (state_.cancellation.cancelled()) {
      HandleCancellation(state_, yield);
      return NextStep::kStop;
    }
    if (!read) {
      last_detail_ = attempt.detail();
      state_.context.health.Record(attempt.replica().id, ReplicaOutcome::kUnreachable,
                                   state_.Now());
      ReportCrash(attempt, yield);
      return HandleUnknownOutcome(yield);
    }
    complete = *read;
    state_.context.crash_guard.OnRequestServed(state_.fingerprint);
    state_.status = attempt.status();
    state_.outcome = "answered";
    const HttpFields fields = state_.context.dialect.MakeCallerFields(attempt.fields());
    if (*read) {
      const auto sent = state_.reply.SendReply(attempt.status(), fields, std::move(body), yield);
      if (!sent) state_.outcome = sent.error().message;
      return NextStep::kStop;
    }
    ForwardRest(attempt, fields, std::move(body), yield);
    return NextStep::kStop;
  }

  // Forwards what was kept of a response and then the rest of it as it arrives.
  void ForwardRest(BackendAttempt& attempt, const HttpFields& fields, std::string kept,
                   Yield yield) {
    auto sent = state_.reply.Begin(attempt.status(), fields, attempt.content_length(), yield);
    if (sent) sent = state_.reply.Append(kept, yield);
    // A caller may take long to read the rest.
    kept = std::string();
    (void)attempt.KeepBody(0);  // A decrease is always granted.
    std::string chunk;
    while (sent && !attempt.done()) {
      const auto read = attempt.ReadSome(chunk, yield);
      if (!read) {
        state_.outcome = absl::StrCat("response interrupted: ", attempt.detail());
        state_.reply.Abort();
        return;
      }
      sent = state_.reply.Append(chunk, yield);
    }
    if (sent) sent = state_.reply.Finish(yield);
    if (!sent) state_.outcome = sent.error().message;
  }

  // Whether the request takes up a stream that servers of one of several software versions may have
  // begun. Which one is recorded for model services only.
  bool TakesUpUnknownStream(Yield yield) {
    if (state_.route->kind != RequestKind::kStream || !state_.metadata.resumes) return false;
    return HasSeveralVersions() || !AwaitListReadSinceArrival(yield) || HasSeveralVersions();
  }

  bool HasSeveralVersions() const {
    const auto ready = state_.context.cluster.replicas().FindReady(state_.service->name);
    return std::any_of(ready.begin(), ready.end(), [&](const Replica& replica) {
      return replica.software_version != ready.front().software_version;
    });
  }

  // An older list may lack servers of another version that began the stream for another VM, while
  // this one stood still or was cut off. False when no newer list comes.
  bool AwaitListReadSinceArrival(Yield yield) {
    const absl::Time until = state_.Now() + kMaxListWait;
    while (state_.context.servers_read_at() < state_.arrival_time) {
      if (state_.Now() >= until || state_.cancellation.cancelled()) return false;
      SleepFor(state_.context.io, kListPoll, yield);
    }
    return true;
  }

  void RejectTakeUp(Yield yield) {
    if (state_.cancellation.cancelled()) return HandleCancellation(state_, yield);
    SendError(state_, kUnavailable, kUnknownOriginReason, kOverloadRetryAfter, yield);
  }

  void RejectAsQuarantined(absl::Duration time_left, Yield yield) {
    if (state_.execution_count > 0) return RejectExhausted(yield);
    SendError(state_, kUnavailable, kQuarantinedReason, time_left, yield);
  }

  void RejectExhausted(Yield yield) {
    if (state_.execution_count > 0) {
      SendError(state_, kBadGateway, absl::StrCat("no valid response: ", last_detail_),
                absl::ZeroDuration(), yield);
      return;
    }
    if (!last_detail_.empty()) {
      SendError(state_, kUnavailable, "no backend server accepted the request: " + last_detail_,
                std::max(kOverloadRetryAfter, TimeUntilServerAvailable()), yield);
      return;
    }
    if (limit_wait_ < absl::InfiniteDuration()) {
      SendError(state_, kUnavailable, "request limits of the backend servers reached",
                std::max(kMinLimitRetryAfter, limit_wait_), yield);
      return;
    }
    SendError(state_, kUnavailable, "no backend server available",
              std::max(kNoServerRetryAfter, TimeUntilServerAvailable()), yield);
  }

  // Zero when a server accepts requests now or none is listed.
  absl::Duration TimeUntilServerAvailable() const {
    absl::Time earliest = absl::InfiniteFuture();
    for (const Replica& replica :
         state_.context.cluster.replicas().FindReady(state_.service->name)) {
      earliest = std::min(earliest, state_.context.health.refused_until(replica.id));
    }
    if (earliest == absl::InfiniteFuture()) return absl::ZeroDuration();
    return std::max(earliest - state_.Now(), absl::ZeroDuration());
  }

  RequestState& state_;
  WindowedRetryBudget& budget_;
  const bool idempotent_;
  // Servers that were tried or whose request limit is reached.
  std::vector<BackendServerId> excluded_;
  // Empty until a server is tried.
  std::string last_detail_;
  // Time until a request limit allows another request; infinite when none has refused one.
  absl::Duration limit_wait_ = absl::InfiniteDuration();
};

}  // namespace

void RelayPlain(RequestState& state, Yield yield) { PlainRelay(state).Run(yield); }

}  // namespace marigoldquay::internal
