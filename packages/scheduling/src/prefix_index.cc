// Prefix cache index.
#include "marigoldquay/scheduling/prefix_index.h"

namespace marigoldquay {

bool PrefixIndex::Apply(const std::vector<CacheEvent>& events) {
  bool contiguous = true;
  for (const auto& event : events) {
    if (next_sequence_ && event.sequence < *next_sequence_) continue;
    if (next_sequence_ && event.sequence > *next_sequence_) {
      Clear();
      contiguous = false;
    }
    next_sequence_ = event.sequence + 1;
    if (event.added) {
      Add(event.prefix, event.tokens);
    } else {
      Remove(event.prefix);
    }
  }
  return contiguous;
}

void PrefixIndex::Add(std::uint64_t prefix, TokenCount tokens) {
  if (prefix == 0 || tokens <= 0) return;
  Remove(prefix);
  if (entries_.size() >= max_entries_) Remove(order_.front());
  order_.push_back(prefix);
  entries_[prefix] = {tokens, std::prev(order_.end())};
}

void PrefixIndex::Remove(std::uint64_t prefix) {
  const auto it = entries_.find(prefix);
  if (it == entries_.end()) return;
  order_.erase(it->second.position);
  entries_.erase(it);
}

void PrefixIndex::Clear() {
  entries_.clear();
  order_.clear();
}

TokenCount PrefixIndex::Find(std::uint64_t prefix) const {
  const auto it = entries_.find(prefix);
  return it == entries_.end() ? 0 : it->second.tokens;
}

}  // namespace marigoldquay
