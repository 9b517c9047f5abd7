// Which prefill servers have which prompt prefixes in their cache.
#ifndef MARIGOLDQUAY_SCHEDULING_PREFIX_INDEX_H_
#define MARIGOLDQUAY_SCHEDULING_PREFIX_INDEX_H_

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "marigoldquay/core/types.h"
#include "marigoldquay/scheduling/engine_reports.h"

namespace marigoldquay {

/// Cached prefixes of one engine, built from its cache events and from completions. Not
/// thread-safe.
class PrefixIndex {
 public:
  explicit PrefixIndex(std::size_t max_entries = 20000) : max_entries_(max_entries) {}

  /// Applies events in ascending sequence; repeated ones are skipped. A gap may hide evictions, so
  /// it drops the index first. Returns false when there was a gap.
  bool Apply(const std::vector<CacheEvent>& events);
  /// A prefill with this prefix has run; does not depend on events.
  void Add(std::uint64_t prefix, TokenCount tokens);
  void Remove(std::uint64_t prefix);
  void Clear();
  /// Cached tokens of the prefix; 0 when it is not cached.
  TokenCount Find(std::uint64_t prefix) const;
  /// Sequence number from which further events are wanted.
  std::uint64_t next_sequence() const { return next_sequence_.value_or(0); }
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    TokenCount tokens = 0;
    std::list<std::uint64_t>::iterator position;
  };

  std::size_t max_entries_;
  absl::flat_hash_map<std::uint64_t, Entry> entries_;
  // Oldest first; the oldest entry makes room for a new one.
  std::list<std::uint64_t> order_;
  // Unset until the first event is seen: an index may start in the middle of the sequence.
  std::optional<std::uint64_t> next_sequence_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_SCHEDULING_PREFIX_INDEX_H_
