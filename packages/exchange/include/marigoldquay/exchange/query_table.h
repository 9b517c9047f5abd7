// Completions with an idempotency key that this process owns: each runs once,
// and whoever asks again joins it or gets its kept outcome.
#ifndef MARIGOLDQUAY_EXCHANGE_QUERY_TABLE_H_
#define MARIGOLDQUAY_EXCHANGE_QUERY_TABLE_H_

#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "marigoldquay/core/clock.h"
#include "marigoldquay/exchange/completion.h"
#include "marigoldquay/exchange/shared_outcome.h"

namespace marigoldquay {

struct QueryTableLimits {
  /// How long the outcome of a completed query can be asked for again.
  absl::Duration keep = absl::Minutes(10);
  std::size_t max_entries = 8192;
  std::size_t max_bytes = std::size_t{32} << 20;
};

/// Thread-safe.
class QueryTable {
 public:
  QueryTable(QueryTableLimits limits, const Clock& clock) : limits_(limits), clock_(clock) {}

  enum class JoinStatus {
    kJoined,
    /// The caller of Join has to run the query and fill `outcome`.
    kStarted,
    /// The idempotency key was used for another request.
    kMismatch,
    /// `max_entries` queries are running.
    kFull,
  };
  struct Joined {
    JoinStatus status = JoinStatus::kFull;
    SharedOutcomePtr outcome;
    std::optional<OutcomeReader> reader;
  };
  /// Joins the running or completed query of this workspace and idempotency key, or starts it. An
  /// outcome that is not complete is not kept: the next to ask runs the query again.
  Joined Join(const CompletionRequest& request);

  std::size_t size() const;

 private:
  struct Entry {
    std::string key;
    std::string fingerprint;
    SharedOutcomePtr outcome;
    absl::Time started;
  };
  using Entries = std::list<Entry>;

  void Expire();
  void Erase(Entries::iterator entry);

  const QueryTableLimits limits_;
  const Clock& clock_;
  mutable std::mutex mutex_;
  // Oldest first; index_ points into it and holds exactly its keys.
  Entries entries_;
  absl::Time last_expiry_ = absl::InfinitePast();
  absl::flat_hash_map<std::string, Entries::iterator> index_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_EXCHANGE_QUERY_TABLE_H_
