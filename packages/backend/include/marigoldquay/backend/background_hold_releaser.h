// HoldReleaser that cancels requests at engines from background threads.
#ifndef MARIGOLDQUAY_BACKEND_BACKGROUND_HOLD_RELEASER_H_
#define MARIGOLDQUAY_BACKEND_BACKGROUND_HOLD_RELEASER_H_

#include <deque>
#include <map>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "marigoldquay/backend/engine_client.h"
#include "marigoldquay/config/config_view.h"
#include "marigoldquay/core/clock.h"
#include "marigoldquay/scheduling/periodic_pool.h"
#include "marigoldquay/transport/http_client.h"

namespace marigoldquay {

struct ReleaserOptions {
  int workers = 4;
  /// Cancels that wait; further ones are left to the server's steward, which finds holds that their
  /// holder no longer knows.
  std::size_t max_pending = 20000;
  absl::Duration call_timeout = absl::Seconds(1);
  absl::Duration first_backoff = absl::Milliseconds(50);
  absl::Duration max_backoff = absl::Seconds(1);
};

/// The references must outlive it.
class BackgroundHoldReleaser final : public HoldReleaser {
 public:
  BackgroundHoldReleaser(HttpClient& http, const ConfigView& config, const Clock& clock,
                         ReleaserOptions options = {});
  ~BackgroundHoldReleaser() override;

  void Release(const BackendServer& server, const RequestId& request_id) override;

  /// Cancels that no server has confirmed yet.
  std::size_t pending() const;
  /// Waits until nothing is pending; false when the timeout passed first.
  bool WaitIdle(absl::Duration timeout) const;

 private:
  struct ServerQueue {
    BackendServer server;
    std::deque<RequestId> waiting;
  };
  using Queues = std::map<std::string, ServerQueue>;

  TaskOutcome Drain(const std::string& key);
  bool StillConfigured(const BackendServer& server) const;
  bool Idle() const ABSL_SHARED_LOCKS_REQUIRED(mutex_) { return pending_ == 0; }
  void Drop(Queues::iterator it) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  HttpClient& http_;
  const ConfigView& config_;
  const ReleaserOptions options_;
  mutable absl::Mutex mutex_;
  // By id and address: a server that moved holds nothing at its old address.
  Queues queues_ ABSL_GUARDED_BY(mutex_);
  std::size_t pending_ ABSL_GUARDED_BY(mutex_) = 0;
  // Last, so that its threads end before the state that they use.
  PeriodicPool pool_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_BACKEND_BACKGROUND_HOLD_RELEASER_H_
