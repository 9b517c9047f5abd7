// Drives one completion through quota, scheduler and engines.
#include "marigoldquay/exchange/completion_runner.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "marigoldquay/core/logger.h"
#include "marigoldquay/core/metrics.h"
#include "marigoldquay/core/rendezvous.h"

namespace marigoldquay {
namespace {

const Logger& Log() {
  static const Logger logger("entry");
  return logger;
}

// One placement and one retry at other servers; more would hide a failing pool behind latency.
constexpr int kMaxAttempts = 3;
// A stream without a token for this long counts as broken; far above any healthy gap.
constexpr auto kDecodeSilence = absl::Seconds(5);
constexpr auto kRetryAfterUnavailable = absl::Seconds(1);
// Prompts that share this many leading bytes (about one memory piece) share a cached prefix.
constexpr std::size_t kPrefixBytes = 8000;

std::uint64_t PrefixHash(absl::string_view prompt) {
  return prompt.size() < kPrefixBytes ? 0 : StableHash(prompt.substr(0, kPrefixBytes));
}

CompletionEnd CancelledEnd(bool not_run) {
  return RejectedEnd(499, "cancelled", "the request was cancelled", not_run);
}

}  // namespace

// State of one completion across its attempts.
class CompletionRunner::Attempt {
 public:
  Attempt(CompletionServices& services, const CompletionRequest& request, SharedOutcome& outcome,
          const std::function<bool()>& cancelled)
      : services_(services),
        request_(request),
        outcome_(outcome),
        cancelled_([this, &cancelled] {
          return cancelled() || outcome_.abandoned() || services_.clock.Now() >= deadline_;
        }),
        started_(services.clock.Now()),
        deadline_(started_ + request.timeout) {}

  CompletionEnd Run() {
    {
      const auto config = services_.config.Read();
      const auto* workspace = config->FindWorkspace(request_.workspace);
      const auto* pool = config->FindPoolByModel(request_.model);
      if (workspace == nullptr) {
        return RejectedEnd(403, "workspace_unknown", "the key's workspace no longer exists", true);
      }
      if (pool == nullptr) {
        return RejectedEnd(404, "model_not_found",
                           absl::StrCat("no pool serves model \"", request_.model, "\""), true,
                           absl::ZeroDuration(), "model");
      }
      weight_ = workspace->weight;
      burst_ = workspace->burst;
      pool_ = *pool;
    }
    prompt_tokens_ = EstimatePromptTokens(request_.prompt);
    const auto reservation = services_.quota.Reserve(request_.workspace, request_.request_id,
                                                     prompt_tokens_ + request_.max_tokens);
    if (!reservation.granted()) return QuotaRejection(reservation);
    auto end = RunAttempts();
    const TokenCount used = sent_ ? prompt_tokens_ + tokens_ : 0;
    services_.quota.Settle(reservation, std::max<TokenCount>(0, reservation.tokens - used));
    RecordTargets(end);
    return end;
  }

 private:
  CompletionEnd QuotaRejection(const Reservation& reservation) const {
    const auto wanted = prompt_tokens_ + request_.max_tokens;
    switch (reservation.outcome) {
      case ReserveOutcome::kOverBurst:
        return RejectedEnd(400, "over_burst",
                           absl::StrCat("the request needs ", wanted, " tokens; allowed are 1 to ",
                                        burst_, ", the workspace's burst"),
                           true, absl::ZeroDuration(), "max_tokens");
      case ReserveOutcome::kOverRate:
        return RejectedEnd(429, "over_rate", "the workspace is over its token rate", true,
                           std::max(reservation.retry_after, absl::Milliseconds(1)));
      default:
        return RejectedEnd(503, "quota_unavailable", "the workspace's quota cannot be checked now",
                           true, kRetryAfterUnavailable);
    }
  }

  CompletionEnd RunAttempts() {
    CompletionEnd end;
    for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
      const auto placement = services_.scheduler.Acquire(MakePlacementRequest(), cancelled_);
      if (!placement.granted()) return PlacementRejection(placement);
      if (auto done = RunPlaced(placement)) return *done;
      if (cancelled_()) return CancelledOrLate();
    }
    return RejectedEnd(502, "backend_failed",
                       absl::StrCat("the backend servers failed ", kMaxAttempts, " times"), !sent_,
                       kRetryAfterUnavailable);
  }

  PlacementRequest MakePlacementRequest() const {
    PlacementRequest placement;
    placement.request_id = request_.request_id;
    placement.workspace = request_.workspace;
    placement.weight = weight_;
    placement.pool = pool_.id;
    placement.prompt_tokens = prompt_tokens_;
    placement.max_output_tokens = request_.max_tokens - tokens_;
    placement.prefix_hash = PrefixHash(request_.prompt);
    // A resumed stream has had its first token, so that its target no longer decides.
    const auto budget =
        absl::Milliseconds(pool_.first_token_ms) - (services_.clock.Now() - started_);
    placement.first_token_budget = std::max(budget, absl::ZeroDuration());
    placement.serve_late = pool_.serve_late || tokens_ > 0;
    placement.priority = request_.priority;
    placement.excluded.assign(excluded_.begin(), excluded_.end());
    return placement;
  }

  CompletionEnd PlacementRejection(const Placement& placement) const {
    if (cancelled_()) return CancelledOrLate();
    if (placement.outcome == PlacementOutcome::kRefused) {
      return RejectedEnd(429, "overloaded", placement.message, !sent_,
                         std::max(placement.retry_after, absl::Milliseconds(1)));
    }
    return RejectedEnd(503, "no_backend_server", placement.message, !sent_, kRetryAfterUnavailable);
  }

  CompletionEnd CancelledOrLate() const {
    if (services_.clock.Now() >= deadline_) {
      return RejectedEnd(504, "deadline", "the request's deadline has passed", !sent_,
                         kRetryAfterUnavailable);
    }
    return CancelledEnd(!sent_);
  }

  std::optional<BackendServer> FindServer(const BackendServerId& id) const {
    const auto config = services_.config.Read();
    const auto* server = config->FindBackendServer(id);
    if (server == nullptr) return std::nullopt;
    return *server;
  }

  // Runs prefill and decode; nullopt when another placement should be tried.
  std::optional<CompletionEnd> RunPlaced(const Placement& placement) {
    const auto prefill_server = FindServer(placement.prefill_server);
    const auto decode_server = FindServer(placement.decode_server);
    if (!prefill_server || !decode_server) {
      services_.scheduler.Release(placement, PlacementEnd::kCancelled, 0, absl::ZeroDuration());
      return std::nullopt;
    }
    const auto prefill = RunPrefill(placement, *prefill_server);
    if (!prefill) return std::nullopt;
    return RunDecode(placement, *prefill_server, *decode_server, *prefill);
  }

  std::optional<PrefillResult> RunPrefill(const Placement& placement, const BackendServer& server) {
    PrefillRequest prefill;
    prefill.request_id = request_.request_id;
    prefill.model = pool_.model;
    prefill.prompt = request_.prompt;
    prefill.prompt_tokens = prompt_tokens_;
    prefill.priority = request_.priority;
    const auto begin = services_.clock.Now();
    sent_ = true;
    auto result = Capture<PrefillResult>(
        [&] { return services_.engines.Prefill(server, prefill, deadline_ - begin, cancelled_); });
    if (auto* error = std::get_if<Error>(&result)) {
      services_.releaser.Release(server, request_.request_id);
      services_.scheduler.Release(placement, EndForPrefillError(*error), 0, absl::ZeroDuration());
      NoteFailure(server, *error);
      return std::nullopt;
    }
    auto& done = std::get<PrefillResult>(result);
    if (done.prompt_tokens > 0) prompt_tokens_ = done.prompt_tokens;
    prefill_done_ = services_.clock.Now();
    services_.scheduler.PrefillDone(placement, done.cached_tokens, prefill_done_ - begin);
    return done;
  }

  static PlacementEnd EndForPrefillError(const Error& error) {
    if (error.code == ErrorCode::kCancelled) return PlacementEnd::kCancelled;
    if (error.code == ErrorCode::kResourceExhausted) return PlacementEnd::kEngineRefused;
    return PlacementEnd::kPrefillFailed;
  }

  std::optional<CompletionEnd> RunDecode(const Placement& placement,
                                         const BackendServer& prefill_server,
                                         const BackendServer& decode_server,
                                         const PrefillResult& prefill) {
    DecodeRequest decode;
    decode.request_id = request_.request_id;
    decode.model = pool_.model;
    decode.prefill_address = prefill_server.address;
    decode.handle = prefill.handle;
    decode.prompt_tokens = prompt_tokens_;
    decode.max_tokens = request_.max_tokens;
    decode.from_token = tokens_;
    const auto first_index = tokens_;
    attempt_has_token_ = false;
    attempt_first_token_ = last_token_ = services_.clock.Now();
    auto result = Capture<DecodeResult>([&] {
      return services_.engines.Decode(decode_server, decode, kDecodeSilence, cancelled_,
                                      [&](std::int64_t index, absl::string_view token) {
                                        return TakeToken(placement, index, token);
                                      });
    });
    const auto decode_time = last_token_ - attempt_first_token_;
    const auto produced = tokens_ - first_index;
    if (auto* done = std::get_if<DecodeResult>(&result)) {
      services_.scheduler.Release(placement, PlacementEnd::kDone, produced, decode_time);
      CompletionEnd end;
      end.complete = true;
      end.finish_reason = done->finish_reason;
      end.prompt_tokens = prompt_tokens_;
      end.output_tokens = tokens_;
      return end;
    }
    const auto& error = std::get<Error>(result);
    services_.releaser.Release(decode_server, request_.request_id);
    services_.releaser.Release(prefill_server, request_.request_id);
    services_.scheduler.Release(placement, EndForDecodeError(error), produced, decode_time);
    NoteFailure(decode_server, error);
    return std::nullopt;
  }

  static PlacementEnd EndForDecodeError(const Error& error) {
    if (error.code == ErrorCode::kCancelled) return PlacementEnd::kCancelled;
    if (error.code == ErrorCode::kResourceExhausted) return PlacementEnd::kEngineRefused;
    if (error.code == ErrorCode::kNotFound) return PlacementEnd::kKvEvicted;
    return PlacementEnd::kDecodeFailed;
  }

  bool TakeToken(const Placement& placement, std::int64_t index, absl::string_view token) {
    if (index != tokens_) return false;
    const auto now = services_.clock.Now();
    if (!attempt_has_token_) {
      attempt_has_token_ = true;
      attempt_first_token_ = now;
    }
    if (tokens_ == 0) {
      first_token_ = now;
      services_.scheduler.FirstToken(placement, now - prefill_done_);
    }
    last_token_ = now;
    ++tokens_;
    outcome_.Append(token);
    return !cancelled_();
  }

  // A server that merely had no room or lost an evicted result stays eligible.
  void NoteFailure(const BackendServer& server, const Error& error) {
    if (error.code == ErrorCode::kCancelled) return;
    Log().Info("request ", request_.request_id, " failed at backend server ", server.id, ": ",
               error.ToString());
    if (error.code == ErrorCode::kResourceExhausted || error.code == ErrorCode::kNotFound) return;
    excluded_.insert(server.id);
  }

  void RecordTargets(const CompletionEnd& end) const {
    const bool in_time =
        tokens_ > 0 && first_token_ - started_ <= absl::Milliseconds(pool_.first_token_ms);
    if (tokens_ > 0) {
      static Summary& first_token_seconds = MetricsRegistry::Global().summary(
          "marigoldquay_first_token_seconds", "Time from acceptance to the first token.");
      first_token_seconds.Observe(absl::ToDoubleSeconds(first_token_ - started_));
    }
    if (!services_.record_target || end.error_type == "cancelled") return;
    services_.record_target(request_.workspace, "first_token", end.complete && in_time);
    if (tokens_ < 2) return;
    const auto gap = (last_token_ - first_token_) / (tokens_ - 1);
    services_.record_target(request_.workspace, "between_tokens",
                            gap <= absl::Milliseconds(pool_.between_tokens_ms));
  }

  CompletionServices& services_;
  const CompletionRequest& request_;
  SharedOutcome& outcome_;
  const std::function<bool()> cancelled_;
  const absl::Time started_;
  const absl::Time deadline_;

  Pool pool_;
  std::int32_t weight_ = 1;
  TokenCount burst_ = 0;
  TokenCount prompt_tokens_ = 0;
  // Set before the first engine call; decides whether "not_run" is true.
  bool sent_ = false;
  std::set<BackendServerId> excluded_;
  absl::Time prefill_done_;
  absl::Time first_token_;
  // First token of the current placement, which is not the first of a resumed stream.
  bool attempt_has_token_ = false;
  absl::Time attempt_first_token_;
  absl::Time last_token_;
  // Tokens delivered to the outcome; the index of the next one.
  std::int64_t tokens_ = 0;
};

void CompletionRunner::Run(const CompletionRequest& request, SharedOutcome& outcome,
                           const std::function<bool()>& cancelled) {
  if (!services_.active.Add(request.request_id)) {
    outcome.Finish(RejectedEnd(503, "overloaded", "too many requests on this VM", true,
                               kRetryAfterUnavailable));
    return;
  }
  Attempt attempt(services_, request, outcome, cancelled);
  auto end = attempt.Run();
  services_.active.Remove(request.request_id);
  outcome.Finish(std::move(end));
}

}  // namespace marigoldquay
