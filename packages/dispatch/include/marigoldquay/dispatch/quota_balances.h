// Levels of quota accounts as one VM last heard of them from its coordinator, and what it has
// admitted since. Saves a request to the coordinator while a level is high or a refusal is recent.
#ifndef MARIGOLDQUAY_DISPATCH_QUOTA_BALANCES_H_
#define MARIGOLDQUAY_DISPATCH_QUOTA_BALANCES_H_

#include <cstddef>
#include <map>

#include "absl/time/time.h"
#include "marigoldquay/core/types.h"
#include "marigoldquay/dispatch/quota_account.h"

namespace marigoldquay {

using AccountLevels = std::map<QuotaAccount, TokenCount>;

/// Deterministic: all inputs are arguments. Not thread-safe.
class QuotaBalances {
 public:
  /// Whether a coordinator omits the level, because VMs assume at least half of the burst.
  static bool IsOmitted(const AccountQuota& quota, TokenCount level) {
    return level * 2 >= quota.burst;
  }

  /// Replaces the levels by those that a coordinator has sent.
  void Update(AccountLevels levels, absl::Time now);
  /// The levels last sent, without the omitted ones.
  const AccountLevels& levels() const { return levels_; }

  /// Admits the tokens when the part of this VM in the last known level covers them, so that all
  /// `members` together admit no more than the level. Never before the first update, when neither
  /// the levels nor the number of members are known.
  bool TryAdmit(const AccountQuota& quota, TokenCount tokens, std::size_t members);
  /// Adds tokens that were admitted by other means and have to be reported.
  void AddUnreported(const QuotaAccount& account, TokenCount tokens);
  bool has_unreported() const { return !unreported_.empty(); }
  /// Tokens admitted since the last call, for the next report.
  AccountLevels TakeUnreported();

  /// The coordinator refused a request; subsequent ones are refused for a short time as well.
  void OnRefused(const QuotaAccount& account, absl::Duration retry_after, absl::Time now);
  /// Remaining time of a recent refusal; zero when there is none.
  absl::Duration RefusalTimeLeft(const QuotaAccount& account, absl::Time now) const;

 private:
  bool updated_ = false;
  AccountLevels levels_;
  // Tokens admitted that are not in levels_ yet.
  AccountLevels admitted_since_update_;
  AccountLevels unreported_;
  std::map<QuotaAccount, absl::Time> refused_until_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_DISPATCH_QUOTA_BALANCES_H_
