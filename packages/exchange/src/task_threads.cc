// Bounded task threads.
#include "marigoldquay/exchange/task_threads.h"

#include <thread>
#include <utility>

namespace marigoldquay {

TaskThreads::~TaskThreads() {
  std::unique_lock lock(mutex_);
  idle_.wait(lock, [&] { return running_ == 0; });
}

bool TaskThreads::Start(std::function<void()> task) {
  {
    const std::scoped_lock lock(mutex_);
    if (running_ >= max_tasks_) return false;
    ++running_;
  }
  std::thread([this, task = std::move(task)] {
    task();
    const std::scoped_lock lock(mutex_);
    --running_;
    idle_.notify_all();
  }).detach();
  return true;
}

int TaskThreads::running() const {
  const std::scoped_lock lock(mutex_);
  return running_;
}

}  // namespace marigoldquay
