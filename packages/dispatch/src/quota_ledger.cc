// Refill and accounting of the token buckets of quota accounts.
#include "marigoldquay/dispatch/quota_ledger.h"

#include <algorithm>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/string_view.h"

namespace marigoldquay {
namespace {

// Longest retry delay that a caller gets; it is told to wait again when it returns too early.
constexpr absl::Duration kMaxRetryAfter = absl::Seconds(30);

}  // namespace

double QuotaLedger::WholeBurst(const AccountQuota& quota) const {
  const bool workspace = quota.account.kind == QuotaAccount::Kind::kWorkspace;
  return static_cast<double>(quota.burst + (workspace ? tolerance_ : 0));
}

double QuotaLedger::MaxLevel(const AccountQuota& quota, const Bucket& bucket) const {
  return std::max(share_ * WholeBurst(quota), bucket.largest_need);
}

double QuotaLedger::Need(const AccountQuota& quota, TokenCount tokens) const {
  return std::min(static_cast<double>(tokens), WholeBurst(quota));
}

QuotaLedger::Bucket& QuotaLedger::Refill(const AccountQuota& quota, absl::Time now) {
  const auto [found, added] = buckets_.try_emplace(quota.account);
  Bucket& bucket = found->second;
  if (added) {
    bucket.updated = now;
    bucket.initial_level = kInitialFillFraction * static_cast<double>(quota.burst);
  }
  const absl::Duration elapsed = std::max(now - bucket.updated, absl::ZeroDuration());
  const double rate = bucket.share * static_cast<double>(quota.rate);
  bucket.level += rate * absl::ToDoubleSeconds(elapsed);
  bucket.updated = std::max(bucket.updated, now);
  ApplyShare(bucket);
  bucket.level = std::min(bucket.level, MaxLevel(quota, bucket));
  return bucket;
}

void QuotaLedger::ApplyShare(Bucket& bucket) const {
  // A negative level is not scaled: the debt stays in this ledger, whichever ledger caused it.
  if (share_ < bucket.share && bucket.level > 0) bucket.level *= share_ / bucket.share;
  if (share_ > bucket.highest_share) {
    bucket.level += (share_ - bucket.highest_share) * bucket.initial_level;
    bucket.highest_share = share_;
  }
  bucket.share = share_;
}

QuotaDecision QuotaLedger::Admit(const AccountQuota& quota, TokenCount tokens, absl::Time now) {
  if (!quota.limited()) return {true, absl::ZeroDuration()};
  Bucket& bucket = Refill(quota, now);
  const double need = Need(quota, tokens);
  bucket.largest_need = std::max(bucket.largest_need, need);
  if (need > 0 && bucket.level >= need) {
    bucket.level -= static_cast<double>(tokens);
    return {true, absl::ZeroDuration()};
  }
  const double rate = share_ * static_cast<double>(quota.rate);
  if (rate <= 0) return {false, kMaxRetryAfter};
  const absl::Duration wait = absl::Seconds((need - bucket.level) / rate);
  return {false, std::min(wait, kMaxRetryAfter)};
}

bool QuotaLedger::CanAdmit(const AccountQuota& quota, TokenCount tokens, absl::Time now) {
  if (!quota.limited()) return true;
  Bucket& bucket = Refill(quota, now);
  const double need = Need(quota, tokens);
  bucket.largest_need = std::max(bucket.largest_need, need);
  return need > 0 && bucket.level >= need;
}

void QuotaLedger::Charge(const AccountQuota& quota, TokenCount tokens, absl::Time now) {
  if (!quota.limited()) return;
  Refill(quota, now).level -= static_cast<double>(tokens);
}

void QuotaLedger::Refund(const AccountQuota& quota, TokenCount tokens, absl::Time now) {
  if (!quota.limited() || tokens <= 0) return;
  Bucket& bucket = Refill(quota, now);
  const double level = bucket.level + static_cast<double>(tokens);
  bucket.level = std::min(level, MaxLevel(quota, bucket));
}

void QuotaLedger::CapInitialLevel(const AccountQuota& quota, TokenCount fleet_level,
                                  absl::Time now) {
  if (!quota.limited()) return;
  Bucket& bucket = Refill(quota, now);
  bucket.initial_level = std::min(bucket.initial_level, static_cast<double>(fleet_level));
}

void QuotaLedger::RetainServers(std::span<const BackendServerId> ids) {
  const absl::flat_hash_set<absl::string_view> kept(ids.begin(), ids.end());
  absl::erase_if(buckets_, [&](const auto& entry) {
    const QuotaAccount& account = entry.first;
    return account.kind == QuotaAccount::Kind::kBackendServer && !kept.contains(account.name);
  });
}

TokenCount QuotaLedger::Level(const AccountQuota& quota, absl::Time now) {
  if (!quota.limited()) return 0;
  return static_cast<TokenCount>(Refill(quota, now).level);
}

}  // namespace marigoldquay
