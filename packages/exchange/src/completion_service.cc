// Completions: local, shared at their owner, or followed from another VM.
#include "marigoldquay/exchange/completion_service.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "marigoldquay/core/logger.h"
#include "marigoldquay/core/rendezvous.h"

namespace marigoldquay {
namespace {

using protocol::AskPart;
using protocol::AskReplyT;
using protocol::AskRequestT;

constexpr auto kRetryAfter = absl::Seconds(1);
// How often a wait looks at whether its reader is still there.
constexpr auto kPollInterval = absl::Milliseconds(20);

const Logger& Log() {
  static const Logger logger("entry");
  return logger;
}

CompletionEnd TooManyRequests() {
  return RejectedEnd(503, "overloaded", "too many requests on this VM", true, kRetryAfter);
}

std::string OwnershipKey(const CompletionRequest& request) {
  return absl::StrCat("query/", request.workspace, "/", request.idempotency_key);
}

AskRequestT MakeAskRequest(const CompletionRequest& request, const Instance& self) {
  AskRequestT ask;
  ask.sender = ToWire(self);
  ask.request_id = request.request_id;
  ask.workspace = request.workspace;
  ask.idempotency_key = request.idempotency_key;
  ask.model = request.model;
  ask.prompt = request.prompt;
  ask.max_tokens = request.max_tokens;
  ask.priority = request.priority;
  ask.timeout_ms = static_cast<std::uint32_t>(absl::ToInt64Milliseconds(request.timeout));
  return ask;
}

CompletionRequest FromAskRequest(const AskRequestT& ask) {
  CompletionRequest request;
  request.request_id = ask.request_id;
  request.workspace = ask.workspace;
  request.idempotency_key = ask.idempotency_key;
  request.model = ask.model;
  request.prompt = ask.prompt;
  request.max_tokens = ask.max_tokens;
  request.priority = ask.priority;
  request.timeout = absl::Milliseconds(ask.timeout_ms);
  return request;
}

AskReplyT MakeEndReply(const CompletionEnd& end, std::uint64_t total, std::uint64_t digest) {
  AskReplyT reply;
  reply.part = AskPart::End;
  reply.status = static_cast<std::uint16_t>(end.complete ? 200 : end.http_status);
  reply.total = total;
  reply.digest = digest;
  reply.finish_reason = end.finish_reason;
  reply.prompt_tokens = end.prompt_tokens;
  reply.output_tokens = end.output_tokens;
  reply.retry_after_ms = static_cast<std::uint32_t>(absl::ToInt64Milliseconds(end.retry_after));
  reply.error_type = end.error_type;
  reply.message = end.message;
  reply.field = end.field;
  reply.not_run = end.not_run;
  return reply;
}

CompletionEnd FromEndReply(const AskReplyT& reply) {
  CompletionEnd end;
  end.complete = reply.status == 200;
  end.finish_reason = reply.finish_reason;
  end.prompt_tokens = reply.prompt_tokens;
  end.output_tokens = reply.output_tokens;
  if (!end.complete) end.http_status = reply.status;
  end.error_type = reply.error_type;
  end.message = reply.message;
  end.field = reply.field;
  end.not_run = reply.not_run;
  end.retry_after = absl::Milliseconds(reply.retry_after_ms);
  return end;
}

// Copies the replies of one Ask call into an outcome and checks that they are whole.
class AskFollower {
 public:
  explicit AskFollower(SharedOutcome& outcome) : outcome_(outcome) {}

  // False when the call is to be cancelled.
  bool OnReply(absl::string_view payload, const std::string& peer) {
    const auto decoded =
        Capture<AskReplyT>([&] { return DecodeMessage<AskReplyT>(payload, peer); });
    if (std::holds_alternative<Error>(decoded)) return false;
    const auto& reply = std::get<AskReplyT>(decoded);
    if (reply.part == AskPart::Head) return !outcome_.abandoned();
    if (reply.part == AskPart::End) {
      whole_ = reply.total == next_ && reply.digest == digest_;
      if (whole_) end_ = FromEndReply(reply);
      return whole_;
    }
    if (reply.sequence != next_) return false;
    ++next_;
    digest_ = StableHash(reply.data, digest_);
    outcome_.Append(reply.data);
    return !outcome_.abandoned();
  }

  std::uint64_t tokens() const { return next_; }
  const std::optional<CompletionEnd>& end() const { return end_; }

 private:
  SharedOutcome& outcome_;
  std::uint64_t next_ = 0;
  std::uint64_t digest_ = 0;
  bool whole_ = false;
  std::optional<CompletionEnd> end_;
};

}  // namespace

CompletionService::CompletionService(CompletionRunner& runner, const MemberView& members,
                                     RpcClient& rpc, const Clock& clock, int max_running)
    : runner_(runner),
      members_(members),
      rpc_(rpc),
      clock_(clock),
      queries_({}, clock),
      tasks_(max_running) {}

void CompletionService::RegisterHandlers(RpcRegistry& registry) {
  registry.Register(protocol::MessageType::Ask,
                    [this](const RpcCall& call, ReplyWriter& reply) { HandleAsk(call, reply); });
}

std::variant<OutcomeReader, CompletionEnd> CompletionService::Submit(
    const CompletionRequest& request) {
  if (request.idempotency_key.empty()) return RunLocally(request);
  const auto ranked = members_.RankFor(OwnershipKey(request));
  if (ranked.empty() || ranked.front().instance == members_.self()) return RunShared(request);
  return Follow(request);
}

std::variant<OutcomeReader, CompletionEnd> CompletionService::RunLocally(
    const CompletionRequest& request) {
  auto outcome = SharedOutcome::Make();
  auto reader = outcome->Join();
  const bool started = tasks_.Start([this, request, outcome] {
    runner_.Run(request, *outcome, [this] { return stopping_.load(); });
  });
  if (!started) return TooManyRequests();
  return std::move(*reader);
}

std::variant<OutcomeReader, CompletionEnd> CompletionService::RunShared(
    const CompletionRequest& request) {
  auto joined = queries_.Join(request);
  switch (joined.status) {
    case QueryTable::JoinStatus::kJoined:
      return std::move(*joined.reader);
    case QueryTable::JoinStatus::kMismatch:
      return RejectedEnd(422, "idempotency_key_reused",
                         "the Idempotency-Key was used for another request", true,
                         absl::ZeroDuration(), "Idempotency-Key");
    case QueryTable::JoinStatus::kFull:
      return TooManyRequests();
    case QueryTable::JoinStatus::kStarted:
      break;
  }
  const bool started = tasks_.Start([this, request, outcome = joined.outcome] {
    runner_.Run(request, *outcome, [this] { return stopping_.load(); });
  });
  if (!started) {
    joined.outcome->Finish(TooManyRequests());
  }
  return std::move(*joined.reader);
}

std::variant<OutcomeReader, CompletionEnd> CompletionService::Follow(
    const CompletionRequest& request) {
  auto outcome = SharedOutcome::Make();
  auto reader = outcome->Join();
  const bool started = tasks_.Start([this, request, outcome] { FollowOwner(request, *outcome); });
  if (!started) return TooManyRequests();
  return std::move(*reader);
}

void CompletionService::FollowOwner(const CompletionRequest& request, SharedOutcome& outcome) {
  const auto deadline = clock_.Now() + request.timeout;
  for (const auto& owner : members_.RankFor(OwnershipKey(request))) {
    if (owner.instance == members_.self()) {
      auto local = RunShared(request);
      if (auto* end = std::get_if<CompletionEnd>(&local)) return outcome.Finish(*end);
      auto& reader = std::get<OutcomeReader>(local);
      while (!outcome.abandoned()) {
        auto item = reader.Next(kPollInterval);
        if (item.token) outcome.Append(*item.token);
        if (item.end) return outcome.Finish(*item.end);
      }
      return;
    }
    AskFollower follower(outcome);
    CallOptions options;
    options.timeout = deadline - clock_.Now();
    options.cancelled = [&] { return outcome.abandoned() || stopping_.load(); };
    const auto error = HandleError(
        [&]() -> Result<std::optional<Error>> {
          BOOST_LEAF_CHECK(rpc_.Stream(owner.inner_address, protocol::MessageType::Ask,
                                       EncodeMessage(MakeAskRequest(request, members_.self())),
                                       options, [&](absl::string_view payload) {
                                         return follower.OnReply(payload, owner.inner_address);
                                       }));
          return std::optional<Error>();
        },
        [](const Error& failure) { return std::optional<Error>(failure); });
    if (follower.end()) return outcome.Finish(*follower.end());
    if (outcome.abandoned()) return;
    if (error) Log().Warn("request ", request.request_id, " lost its owner: ", error->ToString());
    if (follower.tokens() > 0 || clock_.Now() >= deadline) break;
  }
  outcome.Finish(
      RejectedEnd(502, "owner_lost", "the VM that ran the request has failed", false, kRetryAfter));
}

void CompletionService::HandleAsk(const RpcCall& call, ReplyWriter& reply) {
  auto decoded =
      Capture<AskRequestT>([&] { return DecodeMessage<AskRequestT>(call.payload, call.peer); });
  if (const auto* error = std::get_if<Error>(&decoded)) return reply.FinishWithError(*error);
  auto submitted = RunShared(FromAskRequest(std::get<AskRequestT>(decoded)));
  std::uint64_t total = 0;
  std::uint64_t digest = 0;
  if (const auto* end = std::get_if<CompletionEnd>(&submitted)) {
    return reply.Finish(EncodeMessage(MakeEndReply(*end, total, digest)));
  }
  auto& reader = std::get<OutcomeReader>(submitted);
  while (!reply.cancelled()) {
    auto item = reader.Next(kPollInterval);
    if (item.token) {
      AskReplyT chunk;
      chunk.part = AskPart::Chunk;
      chunk.sequence = total++;
      digest = StableHash(*item.token, digest);
      chunk.data = std::move(*item.token);
      if (!reply.Write(EncodeMessage(chunk))) return;
    }
    if (item.end) return reply.Finish(EncodeMessage(MakeEndReply(*item.end, total, digest)));
  }
}

}  // namespace marigoldquay
