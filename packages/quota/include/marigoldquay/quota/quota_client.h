// Interface through which the request path reserves and settles tokens of a workspace.
#ifndef MARIGOLDQUAY_QUOTA_QUOTA_CLIENT_H_
#define MARIGOLDQUAY_QUOTA_QUOTA_CLIENT_H_

#include <functional>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "marigoldquay/core/error.h"
#include "marigoldquay/core/types.h"

namespace marigoldquay {

enum class ReserveOutcome {
  kGranted,
  /// The workspace exceeds its rate; `retry_after` is the time until the tokens are available.
  kOverRate,
  /// The request needs more tokens than the burst and can never be granted.
  kOverBurst,
  /// The home did not answer and the standby allowance does not cover the request.
  kHomeUnavailable,
};

/// Result of QuotaClient::Reserve. A granted reservation is settled at most once.
struct Reservation {
  ReserveOutcome outcome = ReserveOutcome::kHomeUnavailable;
  WorkspaceId workspace;
  TokenCount tokens = 0;
  /// Identifies the reservation at its home; 0 when the standby allowance granted it.
  std::uint64_t reservation_id = 0;
  /// Instance that granted the reservation.
  Instance home;
  absl::Duration retry_after;

  bool granted() const { return outcome == ReserveOutcome::kGranted; }
};

/// Reserves tokens before a request runs and returns the unused ones after it. Thread-safe.
class QuotaClient {
 public:
  virtual ~QuotaClient() = default;

  /// Reserves the prompt tokens plus the maximum number of output tokens. Blocks for one round
  /// trip between VMs, at most about 250 ms.
  virtual Reservation Reserve(absl::string_view workspace, absl::string_view request_id,
                              TokenCount tokens) = 0;

  /// Returns the unused tokens once the request has ended, without blocking. If the settlement is
  /// lost, the workspace loses these tokens; a settlement never creates tokens.
  virtual void Settle(const Reservation& reservation, TokenCount unused) = 0;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_QUOTA_QUOTA_CLIENT_H_
