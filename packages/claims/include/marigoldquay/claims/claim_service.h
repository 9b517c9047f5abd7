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
#include "marigoldquay/membership/member_view.h"
#include "marigoldquay/platform/log_client.h"
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
  /// A void or an outcome that was not read back is appended again after this long.
  absl::Duration append_retry = absl::Seconds(1);
  /// An abandoned claim is voided after this long; until then a retry takes it up again.
  absl::Duration void_delay = absl::Seconds(2);
  /// What the caller is told for "not run".
  absl::Duration retry_after = absl::Seconds(1);
  /// A shard that is not used is closed after this long.
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
  /// Starts and stops the thread that closes unused shards.
  void Start();
  void Stop();

  OnceResult Run(const OnceRequest& request, absl::Duration timeout) override;

  /// Requests that this VM runs for any VM.
  int running() const;

 private:
  using ShardPtr = std::shared_ptr<internal::ClaimShard>;  // Shared with the calls that use it.

  ShardPtr OpenShard(int number);
  void CloseIdleShards();
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
  absl::Notification stopping_;
  std::thread closer_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_CLAIMS_CLAIM_SERVICE_H_
