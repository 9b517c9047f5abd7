// Requests to plain services: one backend server at a time, another one only
// when the request has not run or may run again.
#include <algorithm>
#include <vector>

#include "absl/strings/str_cat.h"
#include "backend_attempt.h"

namespace marigoldquay::internal {
namespace {

// Answers up to this size are read whole before they are passed on, so that a broken one can still
// be replaced.
constexpr std::size_t kWholeAnswerBytes = std::size_t{64} * 1024;
// Backend servers that are asked in turn when each says that it has not run the request.
constexpr int kMaxServers = 4;
// An idempotent request is sent again when this part of its latency target has passed.
constexpr double kSilentPart = 0.65;
constexpr absl::Duration kMinSilence = absl::Milliseconds(60);
constexpr absl::Duration kOverloadRetryAfter = absl::Milliseconds(400);
constexpr absl::Duration kNoServerRetryAfter = absl::Seconds(1);
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;

/// Relays one request; holds what the attempts share.
class PlainRelay {
 public:
  explicit PlainRelay(RequestState& state)
      : state_(state),
        budget_(state.context.budgets.Of(state.service->name)),
        idempotent_(state.route->kind == RequestKind::kIdempotent) {}

  void Run(Yield yield) {
    for (int i = 0; i < kMaxServers; ++i) {
      const auto ready = state_.context.cluster.replicas().Ready(state_.service->name);
      const auto replica =
          state_.context.balancer.Pick(ready, excluded_, !idempotent_, state_.Now());
      if (!replica) break;
      if (state_.arrivals > 0 && !budget_.TryAcquire(state_.Now())) {
        last_detail_ = absl::StrCat("retry budget is used up after: ", last_detail_);
        break;
      }
      if (TryServer(*replica, yield) == Next::kStop) return;
      excluded_.push_back(replica->id);
    }
    GiveUp(yield);
  }

 private:
  enum class Next { kStop, kOther };

  Next TryServer(const Replica& replica, Yield yield) {
    auto& balancer = state_.context.balancer;
    const absl::Time started = state_.Now();
    balancer.OnStart(replica.id);
    bool whole = false;
    const Next next = Attempt(replica, whole, yield);
    balancer.OnEnd(replica.id, whole ? std::make_optional(state_.Now() - started) : std::nullopt);
    return next;
  }

  BackendCall MakeCall(const Replica& replica) const {
    BackendCall call;
    call.expected_server = replica.id;
    call.time_left = state_.TimeLeft();
    call.workspace = state_.workspace_name();
    call.resume_after = state_.caller.resume_after;
    return call;
  }

  AttemptOptions MakeOptions() const {
    AttemptOptions options;
    options.fresh_connection = !idempotent_;
    const bool may_repeat = idempotent_ && state_.runs + 1 < state_.route->max_attempts &&
                            budget_.CanRetry(state_.Now());
    if (may_repeat) {
      options.head_timeout = std::max(kMinSilence, state_.route->latency_target * kSilentPart);
    }
    return options;
  }

  Next Attempt(const Replica& replica, bool& whole, Yield yield) {
    BackendAttempt attempt(state_, replica);
    const AttemptEnd end = attempt.Open(MakeCall(replica), MakeOptions(), yield);
    CountArrival(attempt);
    last_detail_ = attempt.detail();
    switch (end) {
      case AttemptEnd::kCancelled:
        EndCancelled(state_, yield);
        return Next::kStop;
      case AttemptEnd::kNotRun:
        return Next::kOther;
      case AttemptEnd::kUnknown:
        ++state_.runs;
        return AfterUnknown(yield);
      case AttemptEnd::kAnswered:
        ++state_.runs;
        return PassOn(attempt, whole, yield);
    }
    return Next::kStop;
  }

  void CountArrival(const BackendAttempt& attempt) {
    if (!attempt.reached()) return;
    if (state_.arrivals++ == 0) budget_.OnFirstAttempt(state_.Now());
  }

  Next AfterUnknown(Yield yield) {
    if (idempotent_ && state_.runs < state_.route->max_attempts) return Next::kOther;
    SendError(state_, kBadGateway, absl::StrCat("no usable answer: ", last_detail_),
              absl::ZeroDuration(), yield);
    return Next::kStop;
  }

  Next PassOn(BackendAttempt& attempt, bool& whole, Yield yield) {
    std::string body;
    const bool stream = state_.route->kind == RequestKind::kStream;
    const auto read = attempt.ReadUpTo(stream ? 0 : kWholeAnswerBytes, body, yield);
    if (state_.cancellation.cancelled()) {
      EndCancelled(state_, yield);
      return Next::kStop;
    }
    if (!read) {
      last_detail_ = attempt.detail();
      state_.context.health.Record(attempt.replica().id, ReplicaOutcome::kUnreachable,
                                   state_.Now());
      return AfterUnknown(yield);
    }
    whole = *read;
    state_.status = attempt.status();
    state_.outcome = "answered";
    const HttpFields fields = state_.context.dialect.CallerFields(attempt.fields());
    if (*read) {
      const auto sent = state_.reply.SendWhole(attempt.status(), fields, std::move(body), yield);
      if (!sent) state_.outcome = sent.error().message;
      return Next::kStop;
    }
    PassOnPieces(attempt, fields, std::move(body), yield);
    return Next::kStop;
  }

  void PassOnPieces(BackendAttempt& attempt, const HttpFields& fields, std::string piece,
                    Yield yield) {
    auto sent = state_.reply.Begin(attempt.status(), fields, attempt.content_length(), yield);
    while (sent) {
      sent = state_.reply.Append(piece, yield);
      if (!sent || attempt.done()) break;
      const auto read = attempt.ReadSome(piece, yield);
      if (!read) {
        state_.outcome = absl::StrCat("answer broke off: ", attempt.detail());
        state_.reply.Abort();
        return;
      }
    }
    if (sent) sent = state_.reply.Finish(yield);
    if (!sent) state_.outcome = sent.error().message;
  }

  void GiveUp(Yield yield) {
    if (state_.runs > 0) {
      SendError(state_, kBadGateway, absl::StrCat("no usable answer: ", last_detail_),
                absl::ZeroDuration(), yield);
      return;
    }
    const bool none_tried = excluded_.empty();
    const absl::Duration usual = none_tried ? kNoServerRetryAfter : kOverloadRetryAfter;
    const absl::Duration wait = std::max(usual, TimeUntilServersTakeRequests());
    SendError(state_, kUnavailable,
              none_tried ? std::string("no backend server")
                         : "no backend server took the request: " + last_detail_,
              wait, yield);
  }

  // Zero when a server may be asked now.
  absl::Duration TimeUntilServersTakeRequests() const {
    absl::Time soonest = absl::InfiniteFuture();
    for (const Replica& replica : state_.context.cluster.replicas().Ready(state_.service->name)) {
      soonest = std::min(soonest, state_.context.health.refused_until(replica.id));
    }
    if (soonest == absl::InfiniteFuture()) return absl::ZeroDuration();
    return std::max(soonest - state_.Now(), absl::ZeroDuration());
  }

  RequestState& state_;
  WindowedRetryBudget& budget_;
  const bool idempotent_;
  std::vector<BackendServerId> excluded_;
  std::string last_detail_;
};

}  // namespace

void RelayPlain(RequestState& state, Yield yield) { PlainRelay(state).Run(yield); }

}  // namespace marigoldquay::internal
