// Records of the claims streams. One log record holds a batch of them, because
// an append is what the log limits.
#ifndef MARIGOLDQUAY_CLAIMS_CLAIM_RECORDS_H_
#define MARIGOLDQUAY_CLAIMS_CLAIM_RECORDS_H_

#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "marigoldquay/core/types.h"
#include "marigoldquay/transport/http_client.h"

namespace marigoldquay {

enum class ClaimRecordKind {
  /// Reserves the key for one run by its holder.
  kClaim,
  /// The holder has not dispatched the claim and never will.
  kVoid,
  /// The run has ended.
  kOutcome,
};

/// Result of a run. A body over kMaxRecordedBody is not kept; the digest still is.
struct ClaimOutcome {
  /// False when the service's answer is not known.
  bool answered = false;
  int status = 0;
  HttpHeaders headers;
  std::string body;
  bool body_kept = true;

  bool operator==(const ClaimOutcome&) const = default;
};

/// Bodies up to this many bytes are recorded with the outcome.
inline constexpr std::size_t kMaxRecordedBody = std::size_t{64} << 10;

struct ClaimRecord {
  ClaimRecordKind kind = ClaimRecordKind::kClaim;
  /// Digest of workspace and idempotency key.
  std::string key;
  /// Digest of method, target and body; of a claim.
  std::string request_digest;
  Instance holder;
  /// Identifies the claim; void and outcome name the claim they belong to.
  std::string nonce;
  /// Of an outcome.
  ClaimOutcome outcome;

  bool operator==(const ClaimRecord&) const = default;
};

/// JSON text of a batch.
std::string SerializeClaimBatch(const std::vector<ClaimRecord>& batch);

/// Records of a batch; malformed ones are left out and counted in `malformed`.
std::vector<ClaimRecord> ParseClaimBatch(absl::string_view text, int& malformed);

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_CLAIMS_CLAIM_RECORDS_H_
