// Decides which engines of a model service change between prefill and decode.
//
// It answers the load of bursts in which the streams fill the memory of the decode
// engines while most prefill engines are idle, or of an outage that takes most
// engines of one role. A change costs an engine for some seconds, so a few change
// at a time, and only when the load of the last seconds asks for it.
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

/// One engine that can be used now.
struct EngineLoad {
  BackendServerId id;
  EngineRole role = EngineRole::kDecode;
  std::string availability_zone;
  int running = 0;
  /// Part of its KV memory that its streams will fill; 0 for prefill engines.
  double kv_utilization = 0;

  bool operator==(const EngineLoad&) const = default;
};

/// Load of a service since the last time that it was asked for.
struct ServiceLoad {
  std::vector<EngineLoad> engines;
  /// Prompts that were placed on prefill engines, in engines that they keep busy.
  double prefill_load = 0;
  /// Demands that wait for engines.
  std::size_t waiting = 0;

  bool operator==(const ServiceLoad&) const = default;
};

struct RoleChange {
  BackendServerId engine;
  EngineRole role = EngineRole::kDecode;
  /// Why, for the log.
  std::string reason;

  bool operator==(const RoleChange&) const = default;
};

/// Deterministic: all inputs are arguments. Not thread-safe.
class RolePlanner {
 public:
  /// Changes that the load asks for; to be called about once a second.
  std::vector<RoleChange> Plan(const ServiceLoad& load, absl::Time now);
  /// The engine accepted the change; it counts in its new role from now on.
  void OnAccepted(const RoleChange& change, absl::Time now);

 private:
  struct PendingChange {
    EngineRole role = EngineRole::kDecode;
    // When the order is taken as lost unless the engine has changed.
    absl::Time expires_at;
  };

  void UpdateLoad(const ServiceLoad& load);
  void RemoveSettledChanges(const ServiceLoad& load, absl::Time now);
  std::size_t RequiredPrefillEngines(std::size_t engines) const;

  // Recent peaks; they rise at once and fall within some ten seconds.
  double peak_prefill_load_ = 0;
  double peak_kv_utilization_ = 0;
  // How many rounds in a row demands have waited.
  int rounds_waiting_ = 0;
  std::map<BackendServerId, PendingChange> pending_changes_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_DISPATCH_ROLE_PLANNER_H_
