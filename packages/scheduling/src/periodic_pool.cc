// Keyed background work.
#include "marigoldquay/scheduling/periodic_pool.h"

#include <algorithm>
#include <utility>

namespace marigoldquay {
namespace {

// Bounds how long a thread sleeps, so that it follows a clock that tests move by hand.
constexpr absl::Duration kLongestSleep = absl::Milliseconds(100);

}  // namespace

bool PeriodicTasks::Add(absl::string_view key, absl::Time now) {
  auto it = tasks_.find(key);
  if (it == tasks_.end()) {
    if (tasks_.size() >= options_.max_keys) return false;
    tasks_.emplace(std::string(key), Task{now});
    return true;
  }
  Task& task = it->second;
  task.removed = false;
  if (task.running) {
    task.again = true;
  } else if (task.failures == 0) {
    task.due = std::min(task.due, now);
  }
  return true;
}

void PeriodicTasks::Assign(const std::set<std::string>& keys, absl::Time now) {
  for (auto it = tasks_.begin(); it != tasks_.end();) {
    const bool keep = keys.count(it->first) > 0;
    it->second.removed = !keep;
    it = (keep || it->second.running) ? std::next(it) : tasks_.erase(it);
  }
  for (const auto& key : keys) {
    if (!Contains(key)) Add(key, now);
  }
}

bool PeriodicTasks::MayRun(const Task& task) const {
  if (task.running || task.removed) return false;
  return task.failures == 0 || failing_running_ < std::max(1, options_.workers / 2);
}

std::optional<std::string> PeriodicTasks::Begin(absl::Time now) {
  auto best = tasks_.end();
  for (auto it = tasks_.begin(); it != tasks_.end(); ++it) {
    if (!MayRun(it->second) || it->second.due > now) continue;
    if (best == tasks_.end() || it->second.due < best->second.due) best = it;
  }
  if (best == tasks_.end()) return std::nullopt;
  best->second.running = true;
  if (best->second.failures > 0) ++failing_running_;
  return best->first;
}

void PeriodicTasks::End(const std::string& key, TaskOutcome outcome, absl::Time now) {
  const auto it = tasks_.find(key);
  if (it == tasks_.end() || !it->second.running) return;
  Task& task = it->second;
  task.running = false;
  if (task.failures > 0) --failing_running_;
  const bool again = std::exchange(task.again, false);
  if (task.removed || (outcome == TaskOutcome::kFinished && !again)) {
    tasks_.erase(it);
    return;
  }
  if (outcome == TaskOutcome::kFailed) {
    ++task.failures;
    const int doublings = std::min(task.failures - 1, 10);
    task.due = now + std::min(options_.first_backoff * (1 << doublings), options_.max_backoff);
    return;
  }
  task.failures = 0;
  task.due = again ? now : std::max(task.due + options_.interval, now);
}

absl::Time PeriodicTasks::NextDue() const {
  absl::Time next = absl::InfiniteFuture();
  for (const auto& [key, task] : tasks_) {
    if (MayRun(task)) next = std::min(next, task.due);
  }
  return next;
}

PeriodicPool::PeriodicPool(PeriodicOptions options, const Clock& clock, Work work)
    : clock_(clock), work_(std::move(work)), tasks_(options) {
  for (int i = 0; i < std::max(1, options.workers); ++i) {
    threads_.emplace_back([this] { Run(); });
  }
}

PeriodicPool::~PeriodicPool() { Stop(); }

bool PeriodicPool::Add(absl::string_view key) {
  absl::MutexLock lock(&mutex_);
  const bool added = tasks_.Add(key, clock_.Now());
  changed_.Signal();
  return added;
}

void PeriodicPool::Assign(const std::set<std::string>& keys) {
  absl::MutexLock lock(&mutex_);
  tasks_.Assign(keys, clock_.Now());
  changed_.SignalAll();
}

void PeriodicPool::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    changed_.SignalAll();
  }
  for (auto& thread : threads_) thread.join();
  threads_.clear();
}

void PeriodicPool::Run() {
  absl::MutexLock lock(&mutex_);
  while (!stopping_) {
    const auto key = tasks_.Begin(clock_.Now());
    if (!key) {
      const auto wait = std::min(tasks_.NextDue() - clock_.Now(), kLongestSleep);
      changed_.WaitWithTimeout(&mutex_, std::max(wait, absl::ZeroDuration()));
      continue;
    }
    mutex_.Unlock();
    const TaskOutcome outcome = work_(*key);
    mutex_.Lock();
    tasks_.End(*key, outcome, clock_.Now());
    changed_.Signal();
  }
}

}  // namespace marigoldquay
