// The requests that this process runs, so that stewards can tell engine memory
// that is in use from memory that is not.
#ifndef MARIGOLDQUAY_BACKEND_ACTIVE_REQUESTS_H_
#define MARIGOLDQUAY_BACKEND_ACTIVE_REQUESTS_H_

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "marigoldquay/core/types.h"
#include "marigoldquay/membership/member_view.h"
#include "marigoldquay/transport/rpc.h"

namespace marigoldquay {

/// Thread-safe.
class ActiveRequests {
 public:
  virtual ~ActiveRequests() = default;
  virtual bool Contains(absl::string_view request_id) const = 0;
};

/// The request path adds a request before it sends it to an engine and removes it once it has
/// handed it to the HoldReleaser.
class ActiveRequestSet final : public ActiveRequests {
 public:
  explicit ActiveRequestSet(std::size_t max_size = 20000) : max_size_(max_size) {}

  /// False when the request is already there or the set is full; it must not be sent then.
  bool Add(const RequestId& request_id);
  void Remove(const RequestId& request_id);
  bool Contains(absl::string_view request_id) const override;
  std::size_t size() const;

 private:
  const std::size_t max_size_;
  mutable absl::Mutex mutex_;
  absl::flat_hash_set<RequestId> requests_ ABSL_GUARDED_BY(mutex_);
};

/// Answers the RPC Holds: which of the given requests this process still runs.
void RegisterHoldsHandler(RpcRegistry& registry, const ActiveRequests& requests,
                          const MemberView& members);

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_BACKEND_ACTIVE_REQUESTS_H_
