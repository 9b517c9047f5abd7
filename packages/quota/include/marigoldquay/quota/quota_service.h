// Client side of the quota on each VM: reserves tokens at the workspace's home, falls back to the
// local standby allowance when the home does not answer, and settles in the background.
#ifndef MARIGOLDQUAY_QUOTA_QUOTA_SERVICE_H_
#define MARIGOLDQUAY_QUOTA_QUOTA_SERVICE_H_

#include <atomic>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "marigoldquay/config/config_view.h"
#include "marigoldquay/core/clock.h"
#include "marigoldquay/membership/member_view.h"
#include "marigoldquay/quota/quota_client.h"
#include "marigoldquay/quota/workspace_homes.h"
#include "marigoldquay/transport/rpc.h"

namespace marigoldquay {

class StandbyAllowances;

struct QuotaServiceOptions {
  /// Timeout of a reservation at a home; after it, the standby allowance is used.
  absl::Duration home_timeout = absl::Milliseconds(100);
  /// Timeout of settlement and renewal calls.
  absl::Duration background_timeout = absl::Milliseconds(250);
  /// Bound on queued settlements; further ones are dropped and their unused tokens are lost.
  std::size_t max_queued_settlements = 10'000;
  /// Delay before a failed settlement is sent again; it is dropped after max_attempts attempts.
  absl::Duration settle_retry_interval = absl::Seconds(2);
  int max_attempts = 10;
  /// Interval at which WorkspaceHomes::Refresh is called and due renewals are sent.
  absl::Duration poll_interval = absl::Milliseconds(100);
};

/// Reserves at the homes of all workspaces on behalf of this process. Thread-safe.
class QuotaService final : public QuotaClient {
 public:
  /// `members`, `client`, `homes` and `clock` must outlive the service. `homes` answers for the
  /// workspaces whose home is this process.
  QuotaService(const QuotaServiceOptions& options, const MemberView& members, RpcClient& client,
               WorkspaceHomes& homes, const Clock& clock);
  ~QuotaService() override;

  /// Starts the threads that follow the configuration, renew allowances and send settlements.
  /// `config` must outlive the service.
  void Start(const ConfigView& config);
  /// Stops the threads after waiting at most `grace` for queued settlements to be sent.
  void Stop(absl::Duration grace = absl::ZeroDuration());

  Reservation Reserve(absl::string_view workspace, absl::string_view request_id,
                      TokenCount tokens) override;
  void Settle(const Reservation& reservation, TokenCount unused) override;

  /// Sends the allowance renewals that are due. Called by the periodic thread and by unit tests.
  void RenewAllowances();
  /// Sends the settlements that are due. Called by the settlement thread and by unit tests.
  void SendSettlements();
  /// Passes the workspaces to the homes when the configuration changed, and refreshes the homes.
  void FollowConfiguration(const ConfigView& config);

  /// Tokens of the unexpired standby allowance that this VM holds for the workspace.
  TokenCount allowance(absl::string_view workspace) const;
  std::size_t queued_settlements() const;

 private:
  // A settlement that is to be sent, or a reservation whose reply was lost and that is returned.
  struct PendingSettlement {
    WorkspaceId workspace;
    Instance home;
    std::uint64_t reservation_id = 0;
    TokenCount unused = 0;
    // Call id of the lost reservation; set while `reservation_id` is unknown.
    std::string unanswered_call_id;
    int attempts = 0;
    absl::Time not_before;
  };
  enum class SendOutcome { kDone, kRetry };

  // Calls one home; nullopt when no reply arrived within the timeout.
  std::optional<ReserveResult> RequestReservation(const Member& home, absl::string_view workspace,
                                                  const std::string& call_id, TokenCount tokens);
  // Calls the current owner, and the previous one if the current owner does not hold the role yet.
  // Sets `answered_by` to the instance called last.
  std::optional<ReserveResult> ReserveAtHome(absl::string_view workspace,
                                             const std::string& call_id, TokenCount tokens,
                                             Instance& answered_by);
  SendOutcome TrySendSettlement(PendingSettlement& settlement);
  void Enqueue(PendingSettlement settlement);
  std::optional<AllowanceResult> RequestAllowance(const Member& home, absl::string_view workspace,
                                                  TokenCount held, TokenCount spent,
                                                  TokenCount wanted);
  void RunPeriodicLoop(const ConfigView& config);
  void RunSettlementLoop();

  const QuotaServiceOptions options_;
  const MemberView& members_;
  RpcClient& client_;
  WorkspaceHomes& homes_;
  const Clock& clock_;
  std::atomic<std::uint64_t> next_call_id_{0};

  mutable absl::Mutex allowances_mutex_;
  std::unique_ptr<StandbyAllowances> allowances_ ABSL_PT_GUARDED_BY(allowances_mutex_);

  mutable absl::Mutex queue_mutex_;
  std::deque<PendingSettlement> settlement_queue_ ABSL_GUARDED_BY(queue_mutex_);
  bool stopping_ ABSL_GUARDED_BY(queue_mutex_) = false;

  // Revision whose workspaces were passed to homes_. Used only by FollowConfiguration, which runs
  // on one thread.
  std::optional<Offset> applied_revision_;
  std::thread periodic_thread_;
  std::thread settlement_thread_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_QUOTA_QUOTA_SERVICE_H_
