// Claim table: first claim in log order wins.
#include "marigoldquay/claims/claim_table.h"

namespace marigoldquay {

void ClaimTable::Apply(const ClaimRecord& record, Offset offset, absl::Time now) {
  Forget(now);
  const auto found = claims_.find(record.key);
  if (record.kind == ClaimRecordKind::kClaim) {
    if (found != claims_.end()) return;
    claims_[record.key] = {
        record.request_digest, record.holder, record.nonce, std::nullopt, 0, false};
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
    state.outcome_offset = offset;
    KeepBody(record.key, state);
  }
}

void ClaimTable::KeepBody(const std::string& key, ClaimState& state) {
  body_bytes_ += state.outcome->body.size();
  bodies_.emplace_back(key, state.nonce);
  while (body_bytes_ > max_body_bytes_ && !bodies_.empty()) {
    const auto found = claims_.find(bodies_.front().first);
    if (found != claims_.end() && found->second.nonce == bodies_.front().second) {
      auto& oldest = found->second;
      body_bytes_ -= oldest.outcome->body.size();
      oldest.body_in_log = !oldest.outcome->body.empty();
      oldest.outcome->body = std::string();
    }
    bodies_.pop_front();
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
    if (found != claims_.end() && found->second.nonce == nonce) {
      if (found->second.outcome) body_bytes_ -= found->second.outcome->body.size();
      claims_.erase(found);
    }
    ages_.pop_front();
  }
}

}  // namespace marigoldquay
