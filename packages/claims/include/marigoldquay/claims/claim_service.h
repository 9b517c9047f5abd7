// Runs non-idempotent requests at most once: at the owner of the key's shard,
// under a claim that is first in the log.
#ifndef MARIGOLDQUAY_CLAIMS_CLAIM_SERVICE_H_
#define MARIGOLDQUAY_CLAIMS_CLAIM_SERVICE_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "absl/synchronization/notification.h"
#include "absl/time/time.h"
#include "marigoldquay/claims/run_once.h"
#include "marigoldquay/core/clock.h"
#include "marigoldquay/logstore/log_client.h"
#include "marigoldquay/membership/member_view.h"
#include "marigoldquay/transport/rpc.h"

namespace marigoldquay {

namespace internal {
class AppendPacer;
class ClaimShard;
}  // namespace internal

inline constexpr int kClaimShards = 48;

struct ClaimOptions {
  /// How long a key is remembered; at most the retention of the log.
  absl::Duration window = absl::Hours(24);
  /// Time for a claim to be appended and read back before the request is given up as not run.
  absl::Duration claim_timeout = absl::Seconds(1);
  /// Extra time for an answer to wait until its outcome is recorded.
  absl::Duration outcome_wait = absl::Milliseconds(250);
  absl::Duration append_timeout = absl::Milliseconds(800);
  /// How long a read of a claims stream waits at its tail. Evidence that a key has not run is
  /// younger than twice this, so it must be below half of claim_timeout.
  absl::Duration tail_wait = absl::Milliseconds(400);
  /// A void or an outcome that was not read back is appended again after this long.
  absl::Duration append_retry = absl::Seconds(1);
  /// An abandoned claim is voided after this long; until then a retry takes it up again.
  absl::Duration void_delay = absl::Seconds(2);
  /// With less time left, a request is not dispatched any more.
  absl::Duration min_dispatch_time = absl::Milliseconds(50);
  /// Time for one member to say whether it has run a key, and for all of them.
  absl::Duration ask_timeout = absl::Milliseconds(150);
  absl::Duration ask_all_timeout = absl::Milliseconds(500);
  /// Keys that a shard remembers; beyond it, new keys are refused. About 300 bytes each.
  std::size_t max_keys = 100'000;
  /// Bytes of recorded bodies that a shard keeps; older ones are read from the log when asked for.
  std::size_t max_body_bytes = std::size_t{4} << 20;
  /// What the caller is told for "not run".
  absl::Duration retry_after = absl::Seconds(1);
  /// A shard that is not used and that another VM owns is closed after this long.
  absl::Duration idle_close = absl::Seconds(60);
};

/// Thread-safe. All references must outlive it.
class ClaimService final : public OnceRunner {
 public:
  ClaimService(ClaimOptions options, const MemberView& members, LogClient& log, RpcClient& rpc,
               OnceDispatcher& dispatcher, const Clock& clock);
  ~ClaimService() override;

  /// Registers the handler of RunOnce.
  void RegisterHandlers(RpcRegistry& registry);
  /// Starts and stops the thread that opens the shards which this VM owns and closes unused ones.
  void Start();
  void Stop();

  OnceResult Run(const OnceRequest& request, absl::Duration timeout) override;

  /// Requests that this VM runs for any VM.
  int running() const;

 private:
  using ShardPtr = std::shared_ptr<internal::ClaimShard>;  // Shared with the calls that use it.

  ShardPtr OpenShard(int number);
  ShardPtr FindShard(int number) const;
  bool Owns(int number) const;
  void OpenOwnedShards();
  void CloseIdleShards();
  protocol::RunOnceReplyT HandleLookup(const std::string& key, absl::Time deadline);
  OnceResult RunHere(const OnceRequest& request, absl::Time deadline);
  OnceResult RunAtOwner(const OnceRequest& request, absl::Time deadline);
  protocol::RunOnceReplyT HandleRunOnce(const protocol::RunOnceRequestT& wire, absl::Time deadline);

  const ClaimOptions options_;
  const MemberView& members_;
  LogClient& log_;
  RpcClient& rpc_;
  OnceDispatcher& dispatcher_;
  const Clock& clock_;
  const std::unique_ptr<internal::AppendPacer> pacer_;
  mutable std::mutex mutex_;
  std::map<int, ShardPtr> shards_;
  // When a shard was last closed here. By then, all its runs were read back from the log.
  std::map<int, absl::Time> closed_at_;
  absl::Notification stopping_;
  std::thread closer_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_CLAIMS_CLAIM_SERVICE_H_
