// Requests that this process runs now, so that stewards can tell holds of live
// requests from those of ended ones.
#ifndef MARIGOLDQUAY_BACKEND_ACTIVE_REQUESTS_H_
#define MARIGOLDQUAY_BACKEND_ACTIVE_REQUESTS_H_

#include <cstddef>
#include <mutex>
#include <string>

#include "absl/container/flat_hash_set.h"
#include "marigoldquay/core/types.h"

namespace marigoldquay {

/// Thread-safe set with a bound.
class ActiveRequests {
 public:
  explicit ActiveRequests(std::size_t max_size = 20000) : max_size_(max_size) {}

  /// False when the bound is reached; the request must not run then.
  bool Add(const RequestId& id) {
    const std::scoped_lock lock(mutex_);
    if (ids_.size() >= max_size_) return false;
    ids_.insert(id);
    return true;
  }
  void Remove(const RequestId& id) {
    const std::scoped_lock lock(mutex_);
    ids_.erase(id);
  }
  bool Contains(const RequestId& id) const {
    const std::scoped_lock lock(mutex_);
    return ids_.contains(id);
  }
  std::size_t size() const {
    const std::scoped_lock lock(mutex_);
    return ids_.size();
  }

 private:
  const std::size_t max_size_;
  mutable std::mutex mutex_;
  absl::flat_hash_set<RequestId> ids_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_BACKEND_ACTIVE_REQUESTS_H_
