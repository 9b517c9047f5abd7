// Runs the cells that this VM schedules: answers the scheduling calls of other
// VMs, polls the engines, and follows configuration and members.
#ifndef MARIGOLDQUAY_SCHEDULING_SCHEDULER_SERVICE_H_
#define MARIGOLDQUAY_SCHEDULING_SCHEDULER_SERVICE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "marigoldquay/config/config_view.h"
#include "marigoldquay/core/clock.h"
#include "marigoldquay/membership/member_view.h"
#include "marigoldquay/scheduling/cell_scheduler.h"
#include "marigoldquay/scheduling/engine_reports.h"
#include "marigoldquay/scheduling/leaving_servers.h"
#include "marigoldquay/scheduling/periodic_pool.h"
#include "marigoldquay/scheduling/scheduler_client.h"
#include "marigoldquay/transport/rpc.h"

namespace marigoldquay {

/// Key for MemberView::RankFor of the cell of a model pool.
std::string CellKey(absl::string_view pool);

struct SchedulerOptions {
  CellOptions cell;
  absl::Duration poll_interval = absl::Milliseconds(250);
  absl::Duration poll_timeout = absl::Milliseconds(500);
  int poll_workers = 4;
  /// A VM that does not rank first schedules a cell for this long after the last request that
  /// reached it.
  absl::Duration standby_time = absl::Seconds(10);
};

/// Thread-safe. All references must outlive it.
class SchedulerService {
 public:
  SchedulerService(SchedulerOptions options, const ConfigView& config, const MemberView& members,
                   const LeavingServers& leaving, EngineReports& reports, const Clock& clock);
  ~SchedulerService();
  SchedulerService(const SchedulerService&) = delete;
  SchedulerService& operator=(const SchedulerService&) = delete;

  /// Registers Acquire, Progress and Release; call before the server starts.
  void RegisterHandlers(RpcRegistry& registry);

  /// Blocks until the request is decided, the caller has gone or the timeout has passed.
  Placement Acquire(const PlacementRequest& request, const Instance& holder,
                    const std::function<bool()>& cancelled, absl::Duration timeout);
  /// Repeated calls and calls for unknown tickets have no effect.
  void PrefillDone(const PoolId& pool, std::uint64_t ticket, TokenCount cached_tokens,
                   absl::Duration duration);
  void FirstToken(const PoolId& pool, std::uint64_t ticket, absl::Duration since_prefill_done);
  void Release(const PoolId& pool, std::uint64_t ticket, PlacementEnd end, TokenCount output_tokens,
               absl::Duration decode_duration);

  /// Follows configuration, members and leaving servers now; also runs every 250 ms.
  void Refresh();
  /// Reads the reports of one engine now; false when it did not answer.
  bool PollEngine(const BackendServerId& id);
  /// State of all cells as JSON text, for status.
  std::string DescribeJson() const;

 private:
  struct Cell;

  Cell* FindCell(absl::string_view pool) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  Cell* OpenCell(const PoolId& pool) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void RefreshCell(Cell& cell) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void AssignPolls() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Deliver(Cell& cell) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  bool RanksFirst(absl::string_view pool) const;
  void Run();
  void HandleAcquire(const RpcCall& call, ReplyWriter& reply);

  const SchedulerOptions options_;
  const ConfigView& config_;
  const MemberView& members_;
  const LeavingServers& leaving_;
  EngineReports& reports_;
  const Clock& clock_;
  mutable absl::Mutex mutex_;
  // Signalled when decisions are delivered and when the ticking thread must look again.
  absl::CondVar decided_;
  absl::CondVar changed_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::map<PoolId, std::unique_ptr<Cell>, std::less<>> cells_ ABSL_GUARDED_BY(mutex_);
  // Instances seen at the last refresh, to notice those that are gone.
  std::set<Instance> known_members_ ABSL_GUARDED_BY(mutex_);
  absl::Time next_refresh_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  std::unique_ptr<PeriodicPool> polls_;
  std::thread ticker_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_SCHEDULING_SCHEDULER_SERVICE_H_
