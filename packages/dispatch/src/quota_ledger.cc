// Refill and accounting of the token buckets of workspaces.
#include "marigoldquay/dispatch/quota_ledger.h"

#include <algorithm>

namespace marigoldquay {
namespace {

// Longest retry delay that a caller gets; it is told to wait again when it returns too early.
constexpr absl::Duration kMaxRetryAfter = absl::Seconds(30);

}  // namespace

double QuotaLedger::WholeBurst(const CatalogWorkspace& workspace) const {
  return static_cast<double>(workspace.quota.burst + tolerance_);
}

QuotaLedger::Bucket& QuotaLedger::Refill(const CatalogWorkspace& workspace, absl::Time now) {
  const auto [found, added] = buckets_.try_emplace(workspace.name);
  Bucket& bucket = found->second;
  if (added) {
    bucket.updated = now;
    bucket.initial_level = kInitialFillFraction * static_cast<double>(workspace.quota.burst);
  }
  const absl::Duration elapsed = std::max(now - bucket.updated, absl::ZeroDuration());
  const double rate = bucket.share * static_cast<double>(workspace.quota.rate);
  bucket.level += rate * absl::ToDoubleSeconds(elapsed);
  bucket.updated = std::max(bucket.updated, now);
  ApplyShare(bucket);
  bucket.level =
      std::min(bucket.level, std::max(share_ * WholeBurst(workspace), bucket.largest_need));
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

QuotaDecision QuotaLedger::Admit(const CatalogWorkspace& workspace, TokenCount tokens,
                                 absl::Time now) {
  if (!workspace.quota.limited()) return {true, absl::ZeroDuration()};
  Bucket& bucket = Refill(workspace, now);
  const double cost = static_cast<double>(tokens);
  const double need = std::min(cost, WholeBurst(workspace));
  bucket.largest_need = std::max(bucket.largest_need, need);
  if (need > 0 && bucket.level >= need) {
    bucket.level -= cost;
    return {true, absl::ZeroDuration()};
  }
  const double rate = share_ * static_cast<double>(workspace.quota.rate);
  if (rate <= 0) return {false, kMaxRetryAfter};
  const absl::Duration wait = absl::Seconds((need - bucket.level) / rate);
  return {false, std::min(wait, kMaxRetryAfter)};
}

void QuotaLedger::Charge(const CatalogWorkspace& workspace, TokenCount tokens, absl::Time now) {
  if (!workspace.quota.limited()) return;
  Refill(workspace, now).level -= static_cast<double>(tokens);
}

void QuotaLedger::CapInitialLevel(const CatalogWorkspace& workspace, TokenCount fleet_level,
                                  absl::Time now) {
  if (!workspace.quota.limited()) return;
  Bucket& bucket = Refill(workspace, now);
  bucket.initial_level = std::min(bucket.initial_level, static_cast<double>(fleet_level));
}

TokenCount QuotaLedger::Level(const CatalogWorkspace& workspace, absl::Time now) {
  if (!workspace.quota.limited()) return 0;
  return static_cast<TokenCount>(Refill(workspace, now).level);
}

}  // namespace marigoldquay
