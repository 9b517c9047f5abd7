// Reservation of a workspace's tokens, as the request path sees it.
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
  /// Over the rate; `retry_after` says when the tokens will be there.
  kOverRate,
  /// More tokens than the burst; it can never be granted.
  kOverBurst,
  /// Neither the home nor a standby allowance could grant it.
  kHomeUnavailable,
};

/// A reservation; Settle takes it back once.
struct Reservation {
  ReserveOutcome outcome = ReserveOutcome::kHomeUnavailable;
  WorkspaceId workspace;
  TokenCount tokens = 0;
  /// Number that the home gave it; 0 when it came from the standby allowance.
  std::uint64_t reservation_id = 0;
  /// Instance that granted it.
  Instance home;
  absl::Duration retry_after;

  bool granted() const { return outcome == ReserveOutcome::kGranted; }
};

/// Thread-safe.
class QuotaClient {
 public:
  virtual ~QuotaClient() = default;

  /// Reserves prompt plus maximum output tokens. Blocks for one inner round trip, at most about
  /// 250 ms.
  virtual Reservation Reserve(absl::string_view workspace, absl::string_view request_id,
                              TokenCount tokens) = 0;

  /// Returns the unused part once the request has ended; does not block. A lost settlement loses
  /// tokens and never creates any.
  virtual void Settle(const Reservation& reservation, TokenCount unused) = 0;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_QUOTA_QUOTA_CLIENT_H_
