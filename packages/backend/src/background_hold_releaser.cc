// Background cancels.
#include "marigoldquay/backend/background_hold_releaser.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "engine_http.h"
#include "marigoldquay/core/logger.h"
#include "marigoldquay/core/metrics.h"

namespace marigoldquay {
namespace {

const Logger& Log() {
  static const Logger logger("backend");
  return logger;
}

Gauge& PendingGauge() {
  static Gauge& gauge = MetricsRegistry::Global().gauge(
      "marigoldquay_backend_releases_pending", "Cancels that no engine has confirmed yet.");
  return gauge;
}

Counter& DroppedCounter() {
  static Counter& counter = MetricsRegistry::Global().counter(
      "marigoldquay_backend_releases_dropped_total", "Cancels dropped because the queue was full.");
  return counter;
}

}  // namespace

BackgroundHoldReleaser::BackgroundHoldReleaser(HttpClient& http, const ConfigView& config,
                                               const Clock& clock, ReleaserOptions options)
    : http_(http),
      config_(config),
      options_(options),
      pool_({.interval = absl::ZeroDuration(),
             .first_backoff = options.first_backoff,
             .max_backoff = options.max_backoff,
             .workers = options.workers,
             .max_keys = options.max_pending},
            clock, [this](const std::string& key) { return Drain(key); }) {}

BackgroundHoldReleaser::~BackgroundHoldReleaser() { pool_.Stop(); }

void BackgroundHoldReleaser::Release(const BackendServer& server, const RequestId& request_id) {
  const auto key = absl::StrCat(server.id, " ", server.address);
  {
    absl::MutexLock lock(&mutex_);
    if (pending_ >= options_.max_pending) {
      DroppedCounter().Increment();
      Log().Warn("cancel of ", request_id, " at ", server.id, " left to its steward: ", pending_,
                 " cancels wait");
      return;
    }
    auto& queue = queues_[key];
    queue.server = server;
    queue.waiting.push_back(request_id);
    ++pending_;
    PendingGauge().Add(1);
  }
  pool_.Add(key);
}

std::size_t BackgroundHoldReleaser::pending() const {
  absl::MutexLock lock(&mutex_);
  return pending_;
}

bool BackgroundHoldReleaser::WaitIdle(absl::Duration timeout) const {
  absl::MutexLock lock(&mutex_);
  return mutex_.AwaitWithTimeout(absl::Condition(this, &BackgroundHoldReleaser::Idle), timeout);
}

bool BackgroundHoldReleaser::StillConfigured(const BackendServer& server) const {
  const auto configuration = config_.Read();
  const auto current = configuration->backend_servers().find(server.id);
  return current != configuration->backend_servers().end() &&
         current->second.address == server.address;
}

void BackgroundHoldReleaser::Drop(Queues::iterator it) {
  pending_ -= it->second.waiting.size();
  PendingGauge().Add(-static_cast<std::int64_t>(it->second.waiting.size()));
  queues_.erase(it);
}

TaskOutcome BackgroundHoldReleaser::Drain(const std::string& key) {
  // One round over what waits now: a cancel that the engine answers with an error goes to the back
  // and does not stop the others.
  BackendServer server;
  std::size_t round = 0;
  {
    absl::MutexLock lock(&mutex_);
    const auto it = queues_.find(key);
    if (it == queues_.end()) return TaskOutcome::kFinished;
    server = it->second.server;
    round = it->second.waiting.size();
  }
  if (!StillConfigured(server)) {
    absl::MutexLock lock(&mutex_);
    const auto it = queues_.find(key);
    if (it != queues_.end()) Drop(it);
    return TaskOutcome::kFinished;
  }
  bool failed = false;
  for (std::size_t i = 0; i < round; ++i) {
    RequestId request_id;
    {
      absl::MutexLock lock(&mutex_);
      request_id = queues_.at(key).waiting.front();
    }
    bool answered = true;
    const bool confirmed = HandleError(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(CancelAtEngine(http_, server, request_id, options_.call_timeout));
          return true;
        },
        [&](const Error& error) {
          answered = error.code == ErrorCode::kRefused || error.code == ErrorCode::kConflict ||
                     error.code == ErrorCode::kResourceExhausted;
          Log().Debug("cancel of ", request_id, " not confirmed: ", error.ToString());
          return false;
        });
    absl::MutexLock lock(&mutex_);
    auto& waiting = queues_.at(key).waiting;
    if (confirmed) {
      waiting.pop_front();
      --pending_;
      PendingGauge().Add(-1);
      continue;
    }
    failed = true;
    std::rotate(waiting.begin(), waiting.begin() + 1, waiting.end());
    if (!answered) break;
  }
  absl::MutexLock lock(&mutex_);
  const auto it = queues_.find(key);
  if (!it->second.waiting.empty()) return failed ? TaskOutcome::kFailed : TaskOutcome::kSucceeded;
  queues_.erase(it);
  return TaskOutcome::kFinished;
}

}  // namespace marigoldquay
