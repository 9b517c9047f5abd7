// Entry side of the quota: reserves at the workspace's home, falls back to a
// standby allowance when the home does not answer, and settles in the background.
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
  /// Time for the first answer of a home; the standby allowance is used after it.
  absl::Duration home_timeout = absl::Milliseconds(100);
  /// For calls in the background.
  absl::Duration background_timeout = absl::Milliseconds(250);
  /// Settlements that wait to be sent; further ones are dropped, which loses their tokens.
  std::size_t max_queued_settlements = 10'000;
  /// A settlement that could not be sent is tried again after this long, up to max_attempts times.
  absl::Duration settle_retry_interval = absl::Seconds(2);
  int max_attempts = 10;
  /// Interval of WorkspaceHomes::Refresh and of looking for due renewals.
  absl::Duration poll_interval = absl::Milliseconds(100);
};

class QuotaService final : public QuotaClient {
 public:
  /// All arguments must outlive it; `homes` is the one of this process.
  QuotaService(const QuotaServiceOptions& options, const MemberView& members, RpcClient& client,
               WorkspaceHomes& homes, const Clock& clock);
  ~QuotaService() override;

  /// Starts the threads that follow the configuration, renew allowances and send settlements.
  /// `config` must outlive the service.
  void Start(const ConfigView& config);
  /// Stops the threads; sends waiting settlements for at most `grace`.
  void Stop(absl::Duration grace = absl::ZeroDuration());

  Reservation Reserve(absl::string_view workspace, absl::string_view request_id,
                      TokenCount tokens) override;
  void Settle(const Reservation& reservation, TokenCount unused) override;

  /// One round of renewals; called by the thread and by unit tests.
  void RenewAllowances();
  /// Sends the settlements that are due; called by the thread and by unit tests.
  void SendSettlements();
  /// Passes changed workspaces to the homes and refreshes them.
  void FollowConfiguration(const ConfigView& config);

  TokenCount allowance(absl::string_view workspace) const;
  std::size_t queued_settlements() const;

 private:
  // A settlement, or a reservation whose answer did not come and that must be given back.
  struct PendingSettlement {
    WorkspaceId workspace;
    Instance home;
    std::uint64_t reservation_id = 0;
    TokenCount unused = 0;
    // Set when `number` is unknown: the id under which the reservation was asked for.
    std::string unanswered_call_id;
    int attempts = 0;
    absl::Time not_before;
  };
  enum class SendOutcome { kDone, kRetry };

  // The home's answer; nullopt when there was none in time.
  std::optional<ReserveResult> RequestReservation(const Member& home, absl::string_view workspace,
                                                  const std::string& call_id, TokenCount tokens);
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

  // Used by FollowConfiguration only, which runs on one thread.
  std::optional<Offset> applied_revision_;
  std::thread periodic_thread_;
  std::thread settlement_thread_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_QUOTA_QUOTA_SERVICE_H_
