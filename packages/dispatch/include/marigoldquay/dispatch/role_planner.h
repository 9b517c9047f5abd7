// Decides which engines of a model service change between prefill and decode.
//
// Handles bursts in which streams fill the memory of the decode engines while most
// prefill engines are idle, and outages that take down most engines of one role. An
// engine that changes its role is unavailable for some seconds, so only a few engines
// change at a time, and only when the load of the last seconds requires it.
#ifndef MARIGOLDQUAY_DISPATCH_ROLE_PLANNER_H_
#define MARIGOLDQUAY_DISPATCH_ROLE_PLANNER_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "marigoldquay/core/types.h"
#include "marigoldquay/routing/replica_table.h"

namespace marigoldquay {

/// Load of one available engine.
struct EngineLoad {
  BackendServerId id;
  EngineRole role = EngineRole::kDecode;
  std::string availability_zone;
  int running = 0;
  /// Fraction of the KV memory that is reserved for the streams of the engine; 0 for prefill
  /// engines.
  double kv_utilization = 0;

  bool operator==(const EngineLoad&) const = default;
};

/// Load of a service since the previous sample.
struct ServiceLoad {
  std::vector<EngineLoad> engines;
  /// Work placed on prefill engines, as the number of engines that it keeps busy.
  double prefill_load = 0;
  /// Requests that wait for engines.
  std::size_t waiting = 0;

  bool operator==(const ServiceLoad&) const = default;
};

/// Planned change of an engine to another role.
struct RoleChange {
  BackendServerId engine;
  EngineRole role = EngineRole::kDecode;
  /// Reason for the change, for the log.
  std::string reason;

  bool operator==(const RoleChange&) const = default;
};

/// Plans role changes of one service. Deterministic: all inputs are arguments. Not thread-safe.
class RolePlanner {
 public:
  /// Role changes that the load requires. Must be called about once a second.
  std::vector<RoleChange> Plan(const ServiceLoad& load, absl::Time now);
  /// The engine accepted the change. It counts for neither role until it reports the new role or
  /// the change times out.
  void OnAccepted(const RoleChange& change, absl::Time now);

 private:
  struct PendingChange {
    EngineRole role = EngineRole::kDecode;
    // Time at which the change counts as lost if the engine has not changed.
    absl::Time expires_at;
  };

  void UpdateLoad(const ServiceLoad& load);
  void RemoveSettledChanges(const ServiceLoad& load, absl::Time now);
  std::size_t RequiredPrefillEngines(std::size_t engines) const;

  // Recent peaks: they rise immediately and decay within some ten seconds.
  double peak_prefill_load_ = 0;
  double peak_kv_utilization_ = 0;
  // Number of consecutive rounds in which requests have waited.
  int rounds_waiting_ = 0;
  std::map<BackendServerId, PendingChange> pending_changes_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_DISPATCH_ROLE_PLANNER_H_
