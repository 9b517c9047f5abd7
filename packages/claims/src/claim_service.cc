// Claims: choice of the owner, and shards that run here.
#include "marigoldquay/claims/claim_service.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "claim_shard.h"
#include "marigoldquay/core/rendezvous.h"
#include "marigoldquay/core/secret.h"
#include "wire.h"

namespace marigoldquay {
namespace {

using internal::ClaimShard;

// Members that are asked in turn when the first cannot be reached.
constexpr std::size_t kMaxOwners = 3;
constexpr auto kRetryPause = absl::Milliseconds(50);
// How long an unreachable owner is waited for before "not run", when nothing was sent.
constexpr auto kUnreachableWait = absl::Seconds(2);
constexpr auto kOwnershipInterval = absl::Milliseconds(500);

std::string KeyDigest(const OnceRequest& request) {
  return Sha256Hex(
      absl::StrCat(request.workspace.size(), ":", request.workspace, request.idempotency_key));
}

int ShardOf(const std::string& key) { return static_cast<int>(StableHash(key) % kClaimShards); }

std::string ShardRole(int shard) { return absl::StrCat("claim-shard/", shard); }

OnceResult MakeResult(OnceOutcome outcome, std::string message, absl::Duration retry_after) {
  OnceResult result;
  result.outcome = outcome;
  result.message = std::move(message);
  result.retry_after = retry_after;
  return result;
}

}  // namespace

ClaimService::ClaimService(ClaimOptions options, const MemberView& members, LogClient& log,
                           RpcClient& rpc, OnceDispatcher& dispatcher, const Clock& clock)
    : options_(options),
      members_(members),
      log_(log),
      rpc_(rpc),
      dispatcher_(dispatcher),
      clock_(clock),
      pacer_(std::make_unique<internal::AppendPacer>(members, clock)) {}

ClaimService::~ClaimService() { Stop(); }

void ClaimService::RegisterHandlers(RpcRegistry& registry) {
  RegisterHandler<protocol::RunOnceRequestT>(
      registry, protocol::MessageType::RunOnce,
      [this](const protocol::RunOnceRequestT& wire, const RpcCall& call)
          -> Result<protocol::RunOnceReplyT> { return HandleRunOnce(wire, call.deadline); });
}

void ClaimService::Start() {
  closer_ = std::thread([this] {
    // An owned shard is followed before the first request comes, so that there is evidence of what
    // has not run when the log stops answering.
    do {
      OpenOwnedShards();
      CloseIdleShards();
    } while (!stopping_.WaitForNotificationWithTimeout(kOwnershipInterval));
  });
}

void ClaimService::Stop() {
  if (!stopping_.HasBeenNotified()) stopping_.Notify();
  if (closer_.joinable()) closer_.join();
  std::map<int, ShardPtr> shards;
  {
    const std::scoped_lock lock(mutex_);
    shards.swap(shards_);
  }
}

OnceResult ClaimService::Run(const OnceRequest& request, absl::Duration timeout) {
  return RunAtOwner(request, clock_.Now() + timeout);
}

int ClaimService::running() const {
  const std::scoped_lock lock(mutex_);
  int running = 0;
  for (const auto& [number, shard] : shards_) running += shard->running();
  return running;
}

ClaimService::ShardPtr ClaimService::OpenShard(int number) {
  const std::scoped_lock lock(mutex_);
  auto& shard = shards_[number];
  if (!shard) {
    shard = std::make_shared<ClaimShard>(
        number,
        internal::ShardContext{options_, members_, log_, rpc_, dispatcher_, clock_, *pacer_});
  }
  return shard;
}

ClaimService::ShardPtr ClaimService::FindShard(int number) const {
  const std::scoped_lock lock(mutex_);
  const auto found = shards_.find(number);
  return found == shards_.end() ? nullptr : found->second;
}

bool ClaimService::Owns(int number) const {
  const auto owner = members_.OwnerOf(ShardRole(number));
  return owner && owner->instance == members_.self();
}

void ClaimService::OpenOwnedShards() {
  for (int number = 0; number < kClaimShards; ++number) {
    if (Owns(number)) OpenShard(number);
  }
}

void ClaimService::CloseIdleShards() {
  std::vector<ShardPtr> closed;
  const std::scoped_lock lock(mutex_);
  for (auto it = shards_.begin(); it != shards_.end();) {
    // A call that still uses the shard keeps a reference and would be missed by its idle check.
    if (it->second.use_count() == 1 && it->second->idle(clock_.Now()) && !Owns(it->first)) {
      closed_at_[it->first] = clock_.Now();
      closed.push_back(std::move(it->second));
      it = shards_.erase(it);
    } else {
      ++it;
    }
  }
}

OnceResult ClaimService::RunHere(const OnceRequest& request, absl::Time deadline) {
  const auto key = KeyDigest(request);
  return OpenShard(ShardOf(key))->Run(request, key, deadline);
}

OnceResult ClaimService::RunAtOwner(const OnceRequest& request, absl::Time deadline) {
  const auto role = ShardRole(ShardOf(KeyDigest(request)));
  const auto wire = internal::ToWireRequest(request, members_.self());
  const auto give_up = std::min(deadline, clock_.Now() + kUnreachableWait);
  // A VM that got the request and did not answer may still run it.
  bool sent = false;
  std::string last_error = "no VM can be reached";
  while (clock_.Now() < (sent ? deadline : give_up)) {
    auto ranked = members_.RankFor(role);
    if (ranked.size() > kMaxOwners) ranked.resize(kMaxOwners);
    for (const auto& owner : ranked) {
      std::optional<OnceResult> result;
      if (owner.instance == members_.self()) {
        result = RunHere(request, deadline);
      } else {
        CallOptions options;
        options.timeout = deadline - clock_.Now();
        options.cancelled = [&] { return !members_.health(owner.instance.vm).responsive; };
        const auto reply = Capture<protocol::RunOnceReplyT>([&] {
          return CallPeer<protocol::RunOnceReplyT>(rpc_, owner.inner_address,
                                                   protocol::MessageType::RunOnce, wire, options);
        });
        if (const auto* error = std::get_if<Error>(&reply)) {
          last_error = error->ToString();
          const bool certainly_not_run =
              error->code == ErrorCode::kNotSent || error->code == ErrorCode::kResourceExhausted;
          sent = sent || !certainly_not_run;
          continue;
        }
        result = internal::FromWireReply(std::get<protocol::RunOnceReplyT>(reply));
      }
      if (result->outcome == OnceOutcome::kNotRun && sent) {
        return MakeResult(OnceOutcome::kUnknown, last_error, absl::ZeroDuration());
      }
      return *result;
    }
    absl::SleepFor(kRetryPause);
  }
  if (sent) return MakeResult(OnceOutcome::kUnknown, last_error, absl::ZeroDuration());
  // Only an owner can tell whether an earlier request of the key has run, and any VM can be one.
  return RunHere(request, deadline);
}

protocol::RunOnceReplyT ClaimService::HandleLookup(const std::string& key, absl::Time deadline) {
  const int number = ShardOf(key);
  const auto shard = FindShard(number);
  // Read before the lookup, as the shard may catch up during it.
  const bool knows_all = shard && shard->caught_up();
  if (const auto known = shard ? shard->Lookup(key, deadline) : std::nullopt) {
    return internal::ToWireReply(*known);
  }
  protocol::RunOnceReplyT reply;
  reply.outcome = protocol::RunOutcome::NoClaim;
  reply.retry_after_ms = internal::kNeverRan;
  const std::scoped_lock lock(mutex_);
  const auto closed = closed_at_.find(number);
  if (!knows_all && closed != closed_at_.end()) {
    const auto age = absl::ToInt64Milliseconds(clock_.Now() - closed->second);
    reply.retry_after_ms = static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(age, 0, std::int64_t{internal::kNeverRan} - 1));
  }
  return reply;
}

protocol::RunOnceReplyT ClaimService::HandleRunOnce(const protocol::RunOnceRequestT& wire,
                                                    absl::Time deadline) {
  // A lookup carries the digest for the key, which is all that the log holds.
  if (wire.lookup_only) return HandleLookup(wire.idempotency_key, deadline);
  return internal::ToWireReply(RunHere(internal::FromWireRequest(wire), deadline));
}

}  // namespace marigoldquay
