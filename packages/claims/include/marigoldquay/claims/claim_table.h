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
  /// Where the outcome's record is, and whether its body must be read from there.
  Offset outcome_offset = 0;
  bool body_in_log = false;

  bool operator==(const ClaimState&) const = default;
};

/// Not thread-safe.
class ClaimTable {
 public:
  /// Keys are forgotten `window` after their claim was read. `window` must not be longer than the
  /// log's retention, or a reader that starts later would forget earlier than the others.
  /// Bodies of outcomes take at most `max_body_bytes`; older ones are dropped.
  ClaimTable(absl::Duration window, std::size_t max_body_bytes)
      : window_(window), max_body_bytes_(max_body_bytes) {}

  /// Applies the next record of the stream. A claim for a claimed key, a void or an outcome that
  /// does not belong to the winning claim, and a void after an outcome have no effect.
  void Apply(const ClaimRecord& record, Offset offset, absl::Time now);

  /// The winning claim; nullptr when the key is free.
  const ClaimState* Find(const std::string& key) const;
  std::size_t size() const { return claims_.size(); }

 private:
  void Forget(absl::Time now);
  void KeepBody(const std::string& key, ClaimState& state);

  const absl::Duration window_;
  const std::size_t max_body_bytes_;
  std::size_t body_bytes_ = 0;
  // Key and nonce of each outcome whose body was kept, oldest first; some may be forgotten by now.
  std::deque<std::pair<std::string, std::string>> bodies_;
  absl::flat_hash_map<std::string, ClaimState> claims_;
  // Key and nonce of each claim with the time at which it was read, oldest first.
  std::deque<std::pair<absl::Time, std::pair<std::string, std::string>>> ages_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_CLAIMS_CLAIM_TABLE_H_
