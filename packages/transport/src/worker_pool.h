// Threads that run calls: one per running call up to a bound, kept for a while
// for the next call.
#ifndef MARIGOLDQUAY_TRANSPORT_SRC_WORKER_POOL_H_
#define MARIGOLDQUAY_TRANSPORT_SRC_WORKER_POOL_H_

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <list>
#include <mutex>
#include <thread>

namespace marigoldquay {

class WorkerPool {
 public:
  explicit WorkerPool(std::size_t max_threads) : max_threads_(max_threads) {}
  ~WorkerPool() { Stop(); }
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  /// Runs the task at once on a thread of its own; false when fewer than 1 + `reserved` threads are
  /// free or the pool is stopped.
  bool TryRun(std::function<void()> task, std::size_t reserved);

  /// Waits for running tasks.
  void Stop();

 private:
  void Work(std::list<std::thread>::iterator self);
  void JoinRetired();

  const std::size_t max_threads_;
  std::mutex mutex_;
  std::condition_variable changed_;
  // Guarded by mutex_. tasks_ never holds more than there are idle threads.
  std::deque<std::function<void()>> tasks_;
  std::list<std::thread> threads_;
  // Threads that ended after a long idle time and only need to be joined.
  std::list<std::thread> retired_;
  std::size_t idle_ = 0;
  std::size_t running_ = 0;
  bool stopped_ = false;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_TRANSPORT_SRC_WORKER_POOL_H_
