// Runs keyed background work, such as polling each backend server, on a few
// threads. One key never runs twice at once, and keys that fail cannot occupy
// all threads.
#ifndef MARIGOLDQUAY_SCHEDULING_PERIODIC_POOL_H_
#define MARIGOLDQUAY_SCHEDULING_PERIODIC_POOL_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "marigoldquay/core/clock.h"

namespace marigoldquay {

struct PeriodicOptions {
  /// Time between two runs of a key that succeed.
  absl::Duration interval = absl::Seconds(1);
  /// Delay after a failure; doubles up to max_backoff with each further one.
  absl::Duration first_backoff = absl::Milliseconds(50);
  absl::Duration max_backoff = absl::Seconds(1);
  /// Threads; at most half of them (at least one) run keys that failed last time.
  int workers = 4;
  /// Further keys are not accepted.
  std::size_t max_keys = 4096;
};

enum class TaskOutcome {
  kSucceeded,
  kFailed,
  /// There is nothing left to do; the key is removed unless it was added again meanwhile.
  kFinished,
};

/// Decides which key runs next. Pure: takes the time and has no threads.
class PeriodicTasks {
 public:
  explicit PeriodicTasks(PeriodicOptions options) : options_(options) {}

  /// Makes the key due now; a key that backs off after failures keeps its delay. False when there
  /// are max_keys already.
  bool Add(absl::string_view key, absl::Time now);
  /// Keeps exactly these keys; new ones are due now.
  void Assign(const std::set<std::string>& keys, absl::Time now);
  /// The key that has been due for the longest, which is then running until End.
  std::optional<std::string> Begin(absl::Time now);
  void End(const std::string& key, TaskOutcome outcome, absl::Time now);
  /// When the next key that may run becomes due.
  absl::Time NextDue() const;
  std::size_t size() const { return tasks_.size(); }
  bool Contains(absl::string_view key) const { return tasks_.find(key) != tasks_.end(); }

 private:
  struct Task {
    absl::Time due;
    int failures = 0;
    bool running = false;
    // Added while running: runs again at once.
    bool again = false;
    // Dropped by Assign while running.
    bool removed = false;
  };
  bool MayRun(const Task& task) const;

  PeriodicOptions options_;
  std::map<std::string, Task, std::less<>> tasks_;
  // Running tasks that failed last time.
  int failing_running_ = 0;
};

/// Threads that run the keys of a PeriodicTasks. Thread-safe; the clock must outlive it.
class PeriodicPool {
 public:
  using Work = std::function<TaskOutcome(const std::string& key)>;

  PeriodicPool(PeriodicOptions options, const Clock& clock, Work work);
  ~PeriodicPool();
  PeriodicPool(const PeriodicPool&) = delete;
  PeriodicPool& operator=(const PeriodicPool&) = delete;

  bool Add(absl::string_view key);
  void Assign(const std::set<std::string>& keys);
  /// Waits for running work and joins the threads; later calls change nothing.
  void Stop();

 private:
  void Run();

  const Clock& clock_;
  const Work work_;
  absl::Mutex mutex_;
  absl::CondVar changed_;
  PeriodicTasks tasks_ ABSL_GUARDED_BY(mutex_);
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::vector<std::thread> threads_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_SCHEDULING_PERIODIC_POOL_H_
