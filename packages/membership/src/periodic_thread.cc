// Periodic and parallel work.
#include "marigoldquay/membership/periodic_thread.h"

#include <algorithm>
#include <atomic>

namespace marigoldquay {
namespace {

constexpr std::size_t kMaxParallel = 16;

}  // namespace

void PeriodicThread::Start(absl::Duration interval, std::function<void()> step) {
  Wake();
  thread_ = std::thread([this, interval, step = std::move(step)] {
    while (true) {
      {
        absl::MutexLock lock(&mutex_);
        mutex_.AwaitWithTimeout(
            absl::Condition(
                +[](PeriodicThread* self) { return self->stopping_ || self->woken_; }, this),
            interval);
        if (stopping_) return;
        woken_ = false;
      }
      step();
    }
  });
}

void PeriodicThread::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  if (thread_.joinable()) thread_.join();
}

void PeriodicThread::Wake() {
  absl::MutexLock lock(&mutex_);
  woken_ = true;
}

void RunInParallel(const std::vector<std::function<void()>>& tasks) {
  if (tasks.size() == 1) return tasks.front()();
  std::atomic<std::size_t> next{0};
  const auto work = [&] {
    for (auto i = next.fetch_add(1); i < tasks.size(); i = next.fetch_add(1)) tasks[i]();
  };
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < std::min(tasks.size(), kMaxParallel); ++i) threads.emplace_back(work);
  for (auto& thread : threads) thread.join();
}

}  // namespace marigoldquay
