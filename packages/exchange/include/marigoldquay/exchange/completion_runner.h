// Runs one completion on prefill and decode servers: reserves tokens, waits for
// a placement, drives the engines, and releases everything however it ends.
#ifndef MARIGOLDQUAY_EXCHANGE_COMPLETION_RUNNER_H_
#define MARIGOLDQUAY_EXCHANGE_COMPLETION_RUNNER_H_

#include <functional>
#include <set>
#include <string>

#include "marigoldquay/backend/active_requests.h"
#include "marigoldquay/backend/engine_client.h"
#include "marigoldquay/config/config_view.h"
#include "marigoldquay/core/clock.h"
#include "marigoldquay/exchange/completion.h"
#include "marigoldquay/exchange/shared_outcome.h"
#include "marigoldquay/quota/quota_client.h"
#include "marigoldquay/scheduling/scheduler_client.h"

namespace marigoldquay {

/// Takes whether a request of the workspace met the target ("first_token", "between_tokens").
using TargetRecorder =
    std::function<void(absl::string_view workspace, absl::string_view target, bool met)>;

struct CompletionServices {
  const ConfigView& config;
  QuotaClient& quota;
  SchedulerClient& scheduler;
  EngineClient& engines;
  HoldReleaser& releaser;
  ActiveRequestSet& active;
  const Clock& clock;
  TargetRecorder record_target;
};

/// Thread-safe; each call runs one completion.
class CompletionRunner {
 public:
  explicit CompletionRunner(CompletionServices services) : services_(std::move(services)) {}

  /// Blocks until the completion has ended and `outcome` has its end. Stops early when `cancelled`
  /// returns true or the outcome is abandoned.
  void Run(const CompletionRequest& request, SharedOutcome& outcome,
           const std::function<bool()>& cancelled);

 private:
  class Attempt;

  CompletionServices services_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_EXCHANGE_COMPLETION_RUNNER_H_
