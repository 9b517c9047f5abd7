// Threads that run calls.
#include "worker_pool.h"

#include <chrono>
#include <iterator>
#include <utility>

namespace marigoldquay {
namespace {

// Keeps threads between the peaks of one minute; a retired thread gives its stack back.
constexpr std::chrono::seconds kIdleTime(30);

}  // namespace

bool WorkerPool::TryRun(std::function<void()> task, std::size_t reserved) {
  JoinRetired();
  const std::scoped_lock lock(mutex_);
  if (stopped_ || running_ + reserved >= max_threads_) return false;
  ++running_;
  tasks_.push_back(std::move(task));
  if (idle_ >= tasks_.size()) {
    changed_.notify_one();
    return true;
  }
  threads_.emplace_back();
  const auto self = std::prev(threads_.end());
  *self = std::thread([this, self] { Work(self); });
  return true;
}

void WorkerPool::Work(std::list<std::thread>::iterator self) {
  std::unique_lock lock(mutex_);
  while (true) {
    if (tasks_.empty()) {
      ++idle_;
      const bool woken =
          changed_.wait_for(lock, kIdleTime, [this] { return stopped_ || !tasks_.empty(); });
      --idle_;
      if (tasks_.empty()) {
        if (!woken) retired_.splice(retired_.end(), threads_, self);
        return;
      }
    }
    std::function<void()> task = std::move(tasks_.front());
    tasks_.pop_front();
    lock.unlock();
    task();
    // What the task holds is released without the lock.
    task = nullptr;
    lock.lock();
    --running_;
  }
}

void WorkerPool::JoinRetired() {
  std::list<std::thread> retired;
  {
    const std::scoped_lock lock(mutex_);
    retired.swap(retired_);
  }
  for (std::thread& thread : retired) thread.join();
}

void WorkerPool::Stop() {
  std::list<std::thread> threads;
  {
    const std::scoped_lock lock(mutex_);
    stopped_ = true;
    threads.splice(threads.end(), threads_);
    threads.splice(threads.end(), retired_);
  }
  changed_.notify_all();
  for (std::thread& thread : threads) thread.join();
}

}  // namespace marigoldquay
