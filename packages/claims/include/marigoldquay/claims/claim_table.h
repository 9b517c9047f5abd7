// State of one claims stream as its records say, in log order. All readers of
// the same records have the same table, so that the first claim for a key wins
// everywhere.
#ifndef MARIGOLDQUAY_CLAIMS_CLAIM_TABLE_H_
#define MARIGOLDQUAY_CLAIMS_CLAIM_TABLE_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "marigoldquay/claims/claim_records.h"

namespace marigoldquay {

/// The winning claim of a key.
struct ClaimState {
  std::string request_digest;
  Instance holder;
  std::string nonce;
  std::optional<ClaimOutcome> outcome;

  bool operator==(const ClaimState&) const = default;
};

/// Not thread-safe.
class ClaimTable {
 public:
  /// Keys are forgotten `window` after their claim was read. `window` must not be longer than the
  /// log's retention, or a reader that starts later would forget earlier than the others.
  explicit ClaimTable(absl::Duration window) : window_(window) {}

  /// Applies the next record of the stream. A claim for a claimed key, a void or an outcome that
  /// does not belong to the winning claim, and a void after an outcome have no effect.
  void Apply(const ClaimRecord& record, absl::Time now);

  /// The winning claim; nullptr when the key is free.
  const ClaimState* Find(const std::string& key) const;
  std::size_t size() const { return claims_.size(); }

 private:
  void Forget(absl::Time now);

  const absl::Duration window_;
  absl::flat_hash_map<std::string, ClaimState> claims_;
  // Key and nonce of each claim with the time at which it was read, oldest first.
  std::deque<std::pair<absl::Time, std::pair<std::string, std::string>>> ages_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_CLAIMS_CLAIM_TABLE_H_
