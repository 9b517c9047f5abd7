// Threads for tasks that outlive the call that starts them, with a bound.
#ifndef MARIGOLDQUAY_EXCHANGE_TASK_THREADS_H_
#define MARIGOLDQUAY_EXCHANGE_TASK_THREADS_H_

#include <condition_variable>
#include <functional>
#include <mutex>

namespace marigoldquay {

/// Runs each task on a thread of its own. Thread-safe.
class TaskThreads {
 public:
  explicit TaskThreads(int max_tasks) : max_tasks_(max_tasks) {}
  /// Waits for all tasks.
  ~TaskThreads();

  /// False when `max_tasks` are running; the task is then not run.
  bool Start(std::function<void()> task);
  int running() const;

 private:
  const int max_tasks_;
  mutable std::mutex mutex_;
  std::condition_variable idle_;
  int running_ = 0;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_EXCHANGE_TASK_THREADS_H_
