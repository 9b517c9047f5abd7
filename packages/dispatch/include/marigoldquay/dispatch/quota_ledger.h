// Token buckets of quota accounts, as one VM keeps them. Several ledgers together enforce the rate
// and burst of an account as long as their shares add up to 1.
#ifndef MARIGOLDQUAY_DISPATCH_QUOTA_LEDGER_H_
#define MARIGOLDQUAY_DISPATCH_QUOTA_LEDGER_H_

#include <algorithm>
#include <span>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "marigoldquay/core/types.h"
#include "marigoldquay/dispatch/quota_account.h"

namespace marigoldquay {

/// Result of QuotaLedger::Admit.
struct QuotaDecision {
  bool admitted = false;
  /// When not admitted: the time until enough tokens have accumulated.
  absl::Duration retry_after;
  /// When not admitted: whether the decision may change shortly, because the deciding ledger is
  /// still taking over from another one.
  bool provisional = false;

  bool operator==(const QuotaDecision&) const = default;
};

/// A new bucket holds only part of its burst, because a ledger that takes over from another one
/// does not know how much of the burst is already spent. Not thread-safe.
class QuotaLedger {
 public:
  /// Fraction of the burst that a new bucket holds.
  static constexpr double kInitialFillFraction = 0.5;

  /// `share`, 0 to 1, is the fraction of every rate and burst that this ledger grants.
  explicit QuotaLedger(double share = 1.0) : share_(share) {}

  /// Tokens by which a workspace may exceed its burst, summed over all ledgers. The quota of the
  /// deployment includes this tolerance, so a stricter limit would refuse requests within quota.
  void SetTolerance(TokenCount tokens) { tolerance_ = tokens; }

  /// Changes the share, clamped to 0 to 1. A decrease reduces positive levels in proportion. An
  /// increase above the highest share so far adds tokens as in a new bucket; an increase up to it
  /// adds nothing, because another ledger may have spent those tokens in the meantime.
  void SetShare(double share) { share_ = std::clamp(share, 0.0, 1.0); }
  double share() const { return share_; }

  /// Takes the tokens if the level covers them. A cost above the whole burst is admitted when the
  /// level reaches the burst, and leaves a negative level. A bucket whose share of the burst is
  /// smaller than a cost accumulates up to that cost: otherwise each of many ledgers would admit a
  /// request that only all of them together can cover.
  QuotaDecision Admit(const AccountQuota& quota, TokenCount tokens, absl::Time now);
  /// Whether Admit would take the tokens.
  bool CanAdmit(const AccountQuota& quota, TokenCount tokens, absl::Time now);
  /// Takes the tokens of requests that another ledger admitted; the level may become negative.
  void Charge(const AccountQuota& quota, TokenCount tokens, absl::Time now);
  /// Gives back the tokens of a request that was charged and did not run. Afterwards the level is
  /// the same as if it had never been charged.
  void Refund(const AccountQuota& quota, TokenCount tokens, absl::Time now);
  /// Caps the initial level of later share increases at `fleet_level`, an upper bound of the level
  /// summed over all ledgers.
  void CapInitialLevel(const AccountQuota& quota, TokenCount fleet_level, absl::Time now);
  /// Discards all levels; for use when other ledgers have granted tokens in the meantime.
  void Reset() { buckets_.clear(); }
  /// Discards the levels of backend servers that are not in `ids`.
  void RetainServers(std::span<const BackendServerId> ids);
  /// Tokens available; negative after a charge or cost above the level. 0 for unlimited accounts.
  TokenCount Level(const AccountQuota& quota, absl::Time now);

 private:
  struct Bucket {
    double level = 0;
    absl::Time updated;
    // Share to which the level applies, and the highest share so far.
    double share = 0;
    double highest_share = 0;
    // Level with which a whole bucket would start.
    double initial_level = 0;
    // Largest level that a cost needed so far.
    double largest_need = 0;
  };

  // Burst of all ledgers together.
  double WholeBurst(const AccountQuota& quota) const;
  // Upper bound of the level.
  double MaxLevel(const AccountQuota& quota, const Bucket& bucket) const;
  // Level that the bucket needs to admit the cost.
  double Need(const AccountQuota& quota, TokenCount tokens) const;
  Bucket& Refill(const AccountQuota& quota, absl::Time now);
  void ApplyShare(Bucket& bucket) const;

  double share_;
  TokenCount tolerance_ = 0;
  // Bounded by the workspaces of the catalogs that were in force and by RetainServers.
  absl::flat_hash_map<QuotaAccount, Bucket> buckets_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_DISPATCH_QUOTA_LEDGER_H_
