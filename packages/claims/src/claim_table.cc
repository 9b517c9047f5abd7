// Claim table: first claim in log order wins.
#include "marigoldquay/claims/claim_table.h"

namespace marigoldquay {

void ClaimTable::Apply(const ClaimRecord& record, absl::Time now) {
  Forget(now);
  const auto found = claims_.find(record.key);
  if (record.kind == ClaimRecordKind::kClaim) {
    if (found != claims_.end()) return;
    claims_[record.key] = {record.request_digest, record.holder, record.nonce, std::nullopt};
    ages_.push_back({now, {record.key, record.nonce}});
    return;
  }
  if (found == claims_.end()) return;
  auto& state = found->second;
  if (state.nonce != record.nonce || state.holder != record.holder || state.outcome) return;
  if (record.kind == ClaimRecordKind::kVoid) {
    claims_.erase(found);
  } else {
    state.outcome = record.outcome;
  }
}

const ClaimState* ClaimTable::Find(const std::string& key) const {
  const auto found = claims_.find(key);
  return found == claims_.end() ? nullptr : &found->second;
}

void ClaimTable::Forget(absl::Time now) {
  while (!ages_.empty() && ages_.front().first + window_ < now) {
    const auto& [key, nonce] = ages_.front().second;
    const auto found = claims_.find(key);
    if (found != claims_.end() && found->second.nonce == nonce) claims_.erase(found);
    ages_.pop_front();
  }
}

}  // namespace marigoldquay
