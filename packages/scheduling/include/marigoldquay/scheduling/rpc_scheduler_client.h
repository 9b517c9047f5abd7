// SchedulerClient that asks the VM that schedules the pool's cell.
#ifndef MARIGOLDQUAY_SCHEDULING_RPC_SCHEDULER_CLIENT_H_
#define MARIGOLDQUAY_SCHEDULING_RPC_SCHEDULER_CLIENT_H_

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <variant>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "marigoldquay/core/clock.h"
#include "marigoldquay/membership/member_view.h"
#include "marigoldquay/scheduling/periodic_pool.h"
#include "marigoldquay/scheduling/scheduler_client.h"
#include "marigoldquay/scheduling/scheduler_service.h"
#include "marigoldquay/transport/rpc.h"

namespace marigoldquay {

struct SchedulerClientOptions {
  /// VMs that are asked for one placement.
  int max_schedulers = 3;
  /// How much longer than its budget a call may take, for the way there and back.
  absl::Duration call_slack = absl::Milliseconds(50);
  /// How long a request that may be served late waits at most.
  absl::Duration max_late_wait = absl::Seconds(60);
  /// Reports that wait for delivery to all VMs together; further ones are dropped and the tickets
  /// expire at the scheduler.
  std::size_t max_reports = 8192;
  /// A report is dropped after this time.
  absl::Duration report_lifetime = absl::Seconds(30);
  absl::Duration report_timeout = absl::Milliseconds(500);
};

/// The references must outlive it.
class RpcSchedulerClient final : public SchedulerClient {
 public:
  RpcSchedulerClient(SchedulerService& local, RpcClient& rpc, const MemberView& members,
                     const Clock& clock, SchedulerClientOptions options = {});
  ~RpcSchedulerClient() override;

  Placement Acquire(const PlacementRequest& request,
                    const std::function<bool()>& cancelled) override;
  void PrefillDone(const Placement& placement, TokenCount cached_tokens,
                   absl::Duration duration) override;
  void FirstToken(const Placement& placement, absl::Duration since_prefill_done) override;
  void Release(const Placement& placement, PlacementEnd end, TokenCount output_tokens,
               absl::Duration decode_duration) override;

  /// Waits until all reports are delivered or dropped; false when the timeout passed first.
  bool WaitIdle(absl::Duration timeout) const;

 private:
  struct Report {
    absl::Time expires;
    protocol::MessageType type = protocol::MessageType::None;
    std::string payload;
  };

  Placement AskRemote(const Member& member, const PlacementRequest& request, absl::Duration timeout,
                      const std::function<bool()>& cancelled, bool& try_next);
  void Enqueue(const VmId& vm, protocol::MessageType type, std::string payload);
  TaskOutcome Drain(const VmId& vm);
  bool Idle() const ABSL_SHARED_LOCKS_REQUIRED(mutex_) { return pending_ == 0; }

  SchedulerService& local_;
  RpcClient& rpc_;
  const MemberView& members_;
  const Clock& clock_;
  const SchedulerClientOptions options_;
  mutable absl::Mutex mutex_;
  // By VM, in the order in which they happened.
  std::map<VmId, std::deque<Report>> reports_ ABSL_GUARDED_BY(mutex_);
  std::size_t pending_ ABSL_GUARDED_BY(mutex_) = 0;
  // Last, so that its threads end before the state that they use.
  PeriodicPool pool_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_SCHEDULING_RPC_SCHEDULER_CLIENT_H_
