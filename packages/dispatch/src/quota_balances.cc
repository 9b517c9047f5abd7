// Bookkeeping of levels, admitted tokens and refusals.
#include "marigoldquay/dispatch/quota_balances.h"

#include <algorithm>
#include <utility>

namespace marigoldquay {
namespace {

// Longest time for which a refusal also applies to subsequent requests of the account.
constexpr absl::Duration kRefusalCacheTime = absl::Milliseconds(100);

}  // namespace

void QuotaBalances::Update(AccountLevels levels, absl::Time now) {
  updated_ = true;
  levels_ = std::move(levels);
  // The coordinator does not know of these tokens yet.
  admitted_since_update_ = unreported_;
  std::erase_if(refused_until_, [now](const auto& entry) { return entry.second <= now; });
}

bool QuotaBalances::TryAdmit(const AccountQuota& quota, TokenCount tokens, std::size_t members) {
  if (!updated_) return false;
  const auto found = levels_.find(quota.account);
  const TokenCount level = found != levels_.end() ? found->second : quota.burst / 2;
  const TokenCount part =
      std::max<TokenCount>(level, 0) / static_cast<TokenCount>(std::max<std::size_t>(members, 1));
  TokenCount& admitted = admitted_since_update_[quota.account];
  if (admitted + tokens > part) return false;
  admitted += tokens;
  AddUnreported(quota.account, tokens);
  return true;
}

void QuotaBalances::AddUnreported(const QuotaAccount& account, TokenCount tokens) {
  unreported_[account] += tokens;
}

AccountLevels QuotaBalances::TakeUnreported() { return std::exchange(unreported_, {}); }

void QuotaBalances::OnRefused(const QuotaAccount& account, absl::Duration retry_after,
                              absl::Time now) {
  refused_until_[account] = now + std::min(retry_after, kRefusalCacheTime);
}

absl::Duration QuotaBalances::RefusalTimeLeft(const QuotaAccount& account, absl::Time now) const {
  const auto found = refused_until_.find(account);
  if (found == refused_until_.end()) return absl::ZeroDuration();
  return std::max(found->second - now, absl::ZeroDuration());
}

}  // namespace marigoldquay
