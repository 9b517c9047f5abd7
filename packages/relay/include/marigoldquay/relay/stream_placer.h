// Interfaces through which the relay reserves engines for model requests, charges
// the quota of workspaces and reports crashes of backend servers.
#ifndef MARIGOLDQUAY_RELAY_STREAM_PLACER_H_
#define MARIGOLDQUAY_RELAY_STREAM_PLACER_H_

#include <optional>
#include <span>
#include <string>
#include <variant>

#include "absl/time/time.h"
#include "marigoldquay/core/types.h"
#include "marigoldquay/dispatch/quota_ledger.h"
#include "marigoldquay/dispatch/request_quarantine.h"
#include "marigoldquay/dispatch/stream_scheduler.h"
#include "marigoldquay/net/async.h"
#include "marigoldquay/net/cancellation.h"

namespace marigoldquay {

/// Request to reserve engines for a model request.
struct StreamPlacementRequest {
  std::string service;
  /// Empty when no workspace is charged.
  WorkspaceId workspace;
  /// Tokens to charge to the quota of the workspace; 0 when they have already been charged.
  TokenCount charge = 0;
  /// Set when the caller takes up a stream that was broken off: the request that brought its first
  /// event, empty when the caller does not name it.
  std::optional<RequestId> resumes;
  /// When the request that takes it up arrived.
  absl::Time taken_up_at = absl::InfiniteFuture();
  StreamDemand demand;
};

/// Engines reserved for a request.
struct StreamPlacement {
  std::uint64_t ticket = 0;
  std::string service;
  /// Whether this VM placed the request itself because the coordinator did not respond.
  bool local = false;
  std::optional<BackendServerId> prefill;
  BackendServerId decode;
  absl::Duration expected;
  /// Software version of the decode engine for which it was placed; unset when unknown.
  std::optional<std::string> software_version;
};

/// Reason why no engines were reserved.
struct PlacementRefusal {
  /// Whether the request exceeds the rate and burst of its workspace.
  bool over_quota = false;
  absl::Duration retry_after;
  std::string reason;
  /// Whether the decision may change shortly; see QuotaDecision.
  bool provisional = false;
};

using PlacementOutcome = std::variant<StreamPlacement, PlacementRefusal>;

/// Reserves engines for model requests and tracks the progress of each placement.
class StreamPlacer {
 public:
  virtual ~StreamPlacer() = default;

  /// Blocks the fiber until engines are reserved, the request is refused or it is cancelled.
  virtual PlacementOutcome Place(const StreamPlacementRequest& request, Cancellation& cancellation,
                                 Yield yield) = 0;
  virtual void OnPrefillEnd(const StreamPlacement& placement, bool ok) = 0;
  virtual void OnFirstEvent(const StreamPlacement& placement) = 0;
  /// Must be called exactly once for each placement.
  virtual void OnEnd(const StreamPlacement& placement, StreamEnd end) = 0;
};

/// Collects evidence about requests that crash backend servers, and decides which to refuse.
class CrashGuard {
 public:
  virtual ~CrashGuard() = default;

  /// A backend server crashed under a request that it had not answered.
  virtual void OnCrash(const ServerCrash& crash) = 0;
  /// A backend server answered the request.
  virtual void OnRequestServed(RequestFingerprint request) = 0;
  /// Time for which requests with these traits are refused; zero when they are not.
  virtual absl::Duration QuarantineTimeLeft(std::span<const RequestTrait> traits) const = 0;
};

/// Reason of the refusal of a quarantined request, for callers and the log.
inline constexpr char kQuarantinedReason[] = "requests like this one have crashed backend servers";

/// Charges requests that need no placement to the quota of their workspace and to the request limit
/// of their backend server.
class QuotaGate {
 public:
  virtual ~QuotaGate() = default;

  /// Charges `tokens` to the workspace. May block the fiber until the coordinator decides.
  virtual QuotaDecision Admit(const CatalogWorkspace& workspace, TokenCount tokens,
                              Cancellation& cancellation, Yield yield) = 0;
  /// Gives back tokens that the workspace was charged, here or by a granted placement, for a
  /// request that did not run.
  virtual void Refund(const CatalogWorkspace& workspace, TokenCount tokens) = 0;
  /// Charges a request that is about to be sent to a server with a request limit. Does not wait for
  /// another coordinator when the present one does not respond.
  virtual QuotaDecision AdmitRequest(const Replica& server, Cancellation& cancellation,
                                     Yield yield) = 0;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_RELAY_STREAM_PLACER_H_
