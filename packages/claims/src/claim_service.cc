// Claims: choice of the owner, and shards that run here.
#include "marigoldquay/claims/claim_service.h"

#include <algorithm>
#include <utility>

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
constexpr auto kCloseInterval = absl::Seconds(5);

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
    while (!stopping_.WaitForNotificationWithTimeout(kCloseInterval)) CloseIdleShards();
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

void ClaimService::CloseIdleShards() {
  std::vector<ShardPtr> closed;
  const std::scoped_lock lock(mutex_);
  for (auto it = shards_.begin(); it != shards_.end();) {
    // A call that still uses the shard keeps a reference and would be missed by its idle check.
    if (it->second.use_count() == 1 && it->second->idle(clock_.Now())) {
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
  return MakeResult(sent ? OnceOutcome::kUnknown : OnceOutcome::kNotRun, last_error,
                    options_.retry_after);
}

protocol::RunOnceReplyT ClaimService::HandleRunOnce(const protocol::RunOnceRequestT& wire,
                                                    absl::Time deadline) {
  if (wire.lookup_only) {
    // The sender knows only the digest, which is all that the log holds.
    const auto& key = wire.idempotency_key;
    return internal::ToWireReply(OpenShard(ShardOf(key))->Lookup(key, deadline));
  }
  return internal::ToWireReply(RunHere(internal::FromWireRequest(wire), deadline));
}

}  // namespace marigoldquay
