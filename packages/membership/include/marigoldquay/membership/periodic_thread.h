// A thread that runs a function again and again.
#ifndef MARIGOLDQUAY_MEMBERSHIP_PERIODIC_THREAD_H_
#define MARIGOLDQUAY_MEMBERSHIP_PERIODIC_THREAD_H_

#include <functional>
#include <thread>
#include <utility>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace marigoldquay {

/// Runs `step` at once and then every `interval` until Stop or destruction; a slow step delays the
/// next one.
class PeriodicThread {
 public:
  PeriodicThread() = default;
  ~PeriodicThread() { Stop(); }
  PeriodicThread(const PeriodicThread&) = delete;
  PeriodicThread& operator=(const PeriodicThread&) = delete;

  void Start(absl::Duration interval, std::function<void()> step);
  /// Waits for a running step.
  void Stop();
  /// Starts the next step at once.
  void Wake();

 private:
  absl::Mutex mutex_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  bool woken_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

/// Runs all tasks, at most 16 at a time, and returns when they are done.
void RunInParallel(const std::vector<std::function<void()>>& tasks);

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_MEMBERSHIP_PERIODIC_THREAD_H_
