// What the relay asks of the rest of the fleet: places for model requests and
// the quota of workspaces.
#ifndef MARIGOLDQUAY_RELAY_STREAM_PLACER_H_
#define MARIGOLDQUAY_RELAY_STREAM_PLACER_H_

#include <optional>
#include <string>
#include <variant>

#include "absl/time/time.h"
#include "marigoldquay/core/types.h"
#include "marigoldquay/dispatch/quota_ledger.h"
#include "marigoldquay/dispatch/stream_scheduler.h"
#include "marigoldquay/net/async.h"
#include "marigoldquay/net/cancellation.h"

namespace marigoldquay {

/// A model request that needs engines.
struct StreamPlacementRequest {
  std::string service;
  /// Empty when the request is not charged to a workspace.
  WorkspaceId workspace;
  /// Tokens to be taken from the workspace's quota; 0 when they were taken before.
  TokenCount charge = 0;
  StreamDemand demand;
};

/// Engines that are reserved for a request.
struct StreamPlacement {
  std::uint64_t ticket = 0;
  std::string service;
  /// Whether this VM decided on its own, since the coordinator did not answer.
  bool local = false;
  std::optional<BackendServerId> prefill;
  BackendServerId decode;
  absl::Duration expected;
};

/// Why a request gets no engines.
struct PlacementRefusal {
  /// Beyond the rate and burst of its workspace.
  bool over_quota = false;
  absl::Duration retry_after;
  std::string reason;
  /// Whether that may change within a moment; see QuotaDecision.
  bool provisional = false;
};

using PlacementOutcome = std::variant<StreamPlacement, PlacementRefusal>;

/// Places model requests.
class StreamPlacer {
 public:
  virtual ~StreamPlacer() = default;

  /// Waits until the request has engines, is refused or is cancelled.
  virtual PlacementOutcome Place(const StreamPlacementRequest& request, Cancellation& cancellation,
                                 Yield yield) = 0;
  virtual void OnPrefillEnd(const StreamPlacement& placement, bool ok) = 0;
  virtual void OnFirstEvent(const StreamPlacement& placement) = 0;
  /// Must be called once for every placement.
  virtual void OnEnd(const StreamPlacement& placement, StreamEnd end) = 0;
};

/// Quota of requests that need no placement.
class QuotaGate {
 public:
  virtual ~QuotaGate() = default;

  /// May wait for the coordinator's decision.
  virtual QuotaDecision Admit(const CatalogWorkspace& workspace, TokenCount tokens,
                              Cancellation& cancellation, Yield yield) = 0;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_RELAY_STREAM_PLACER_H_
