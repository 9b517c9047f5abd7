// Placement of completions on prefill and decode servers, as the request path
// sees it.
#ifndef MARIGOLDQUAY_SCHEDULING_SCHEDULER_CLIENT_H_
#define MARIGOLDQUAY_SCHEDULING_SCHEDULER_CLIENT_H_

#include <functional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "marigoldquay/core/types.h"

namespace marigoldquay {

struct PlacementRequest {
  RequestId request_id;
  WorkspaceId workspace;
  std::int32_t weight = 1;
  PoolId pool;
  TokenCount prompt_tokens = 0;
  TokenCount max_output_tokens = 0;
  /// Hash of the first 2,000 tokens' worth of prompt text; 0 when shorter.
  std::uint64_t prefix_hash = 0;
  absl::Duration first_token_budget;
  bool serve_late = false;
  std::int32_t priority = 0;
  /// Backend servers that already failed for this request.
  std::vector<BackendServerId> excluded;
};

enum class PlacementOutcome {
  kGranted,
  /// It cannot meet its target, or the queue is full.
  kRefused,
  /// The pool has no usable backend server, or no scheduler answered.
  kUnavailable,
  kCancelled,
};

/// A granted placement must be released exactly once.
struct Placement {
  PlacementOutcome outcome = PlacementOutcome::kUnavailable;
  std::uint64_t ticket = 0;
  PoolId pool;
  BackendServerId prefill_server;
  BackendServerId decode_server;
  /// VM whose scheduler granted it.
  VmId scheduler;
  absl::Duration retry_after;
  std::string message;

  bool granted() const { return outcome == PlacementOutcome::kGranted; }
};

enum class PlacementEnd {
  kDone,
  kCancelled,
  /// The engine had no room; not a failure of the backend server.
  kEngineRefused,
  kPrefillFailed,
  kDecodeFailed,
  /// The prefill's result was evicted before the decode server had imported it.
  kKvEvicted,
};

/// Thread-safe. Only Acquire blocks.
class SchedulerClient {
 public:
  virtual ~SchedulerClient() = default;

  /// Waits in the workspace's queue until placed or refused. `cancelled` is polled every 20 ms.
  virtual Placement Acquire(const PlacementRequest& request,
                            const std::function<bool()>& cancelled) = 0;
  virtual void PrefillDone(const Placement& placement, TokenCount cached_tokens,
                           absl::Duration duration) = 0;
  virtual void FirstToken(const Placement& placement, absl::Duration since_prefill_done) = 0;
  virtual void Release(const Placement& placement, PlacementEnd end, TokenCount output_tokens,
                       absl::Duration decode_duration) = 0;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_SCHEDULING_SCHEDULER_CLIENT_H_
