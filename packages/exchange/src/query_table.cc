// Table of shared completions.
#include "marigoldquay/exchange/query_table.h"

#include "absl/strings/str_cat.h"
#include "marigoldquay/core/secret.h"

namespace marigoldquay {
namespace {

std::string TableKey(const CompletionRequest& request) {
  return absl::StrCat(request.workspace.size(), ":", request.workspace, request.idempotency_key);
}

std::string Fingerprint(const CompletionRequest& request) {
  return Sha256Hex(absl::StrCat(request.model.size(), ":", request.model, request.max_tokens, ":",
                                request.prompt));
}

}  // namespace

QueryTable::Joined QueryTable::Join(const CompletionRequest& request) {
  const auto key = TableKey(request);
  const auto fingerprint = Fingerprint(request);
  const std::scoped_lock lock(mutex_);
  Expire();
  if (const auto found = index_.find(key); found != index_.end()) {
    const auto& entry = *found->second;
    const auto end = entry.outcome->end();
    const bool usable = !end || end->complete;
    if (usable && entry.fingerprint != fingerprint) return {JoinStatus::kMismatch, nullptr, {}};
    if (usable) {
      if (auto reader = entry.outcome->Join()) {
        return {JoinStatus::kJoined, entry.outcome, std::move(reader)};
      }
    }
    Erase(found->second);
  }
  if (entries_.size() >= limits_.max_entries) return {JoinStatus::kFull, nullptr, {}};
  auto outcome = SharedOutcome::Make();
  auto reader = outcome->Join();
  entries_.push_back({key, fingerprint, outcome, clock_.Now()});
  index_[key] = std::prev(entries_.end());
  return {JoinStatus::kStarted, std::move(outcome), std::move(reader)};
}

std::size_t QueryTable::size() const {
  const std::scoped_lock lock(mutex_);
  return entries_.size();
}

void QueryTable::Expire() {
  // Walking all entries on each call would cost more than the rest of Join.
  constexpr auto kInterval = absl::Seconds(1);
  const auto now = clock_.Now();
  if (now < last_expiry_ + kInterval && entries_.size() < limits_.max_entries) return;
  last_expiry_ = now;
  const auto oldest = now - limits_.keep;
  std::size_t bytes = 0;
  for (const auto& entry : entries_) bytes += entry.outcome->size();
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    const auto current = entry++;
    if (!current->outcome->finished()) continue;
    const bool over_limit = bytes > limits_.max_bytes || entries_.size() >= limits_.max_entries;
    if (current->started > oldest && !over_limit) break;
    bytes -= current->outcome->size();
    Erase(current);
  }
}

void QueryTable::Erase(Entries::iterator entry) {
  index_.erase(entry->key);
  entries_.erase(entry);
}

}  // namespace marigoldquay
