// Thread that follows one stream of the log.
#include "marigoldquay/logstore/stream_tailer.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

#include "marigoldquay/core/logger.h"
#include "marigoldquay/core/metrics.h"

namespace marigoldquay {
namespace {

constexpr absl::Duration kFirstBackoff = absl::Milliseconds(50);
constexpr absl::Duration kLongestBackoff = absl::Seconds(1);
// A log that answers at once although there is nothing is not asked in a busy loop.
constexpr absl::Duration kPauseAfterEmptyPage = absl::Milliseconds(5);

}  // namespace

class StreamTailer::Impl {
 public:
  Impl(TailerOptions options, LogClient& log, const Clock& clock, StreamConsumer& consumer)
      : options_(std::move(options)),
        log_(log),
        clock_(clock),
        consumer_(consumer),
        read_errors_(MetricsRegistry::Global().counter("marigoldquay_log_read_errors_total",
                                                       "Failed reads of a log stream.",
                                                       {{"stream", options_.stream}})),
        max_records_(options_.max_records),
        thread_([this] { Run(); }) {}

  void Stop() {
    {
      const std::scoped_lock lock(mutex_);
      stopped_ = true;
    }
    changed_.notify_all();
    if (thread_.joinable()) thread_.join();
  }

 private:
  void Run() {
    absl::Duration backoff = kFirstBackoff;
    while (!stopped()) {
      const auto pause = ReadOnce();
      if (!pause) {
        Pause(backoff);
        backoff = std::min(2 * backoff, kLongestBackoff);
        continue;
      }
      backoff = kFirstBackoff;
      Pause(*pause);
    }
  }

  // Reads one page; returns how long to wait before the next read, nullopt after an error.
  std::optional<absl::Duration> ReadOnce() {
    const Offset from = consumer_.next_offset();
    const absl::Time sent = clock_.Now();
    return HandleError(
        [&]() -> Result<std::optional<absl::Duration>> {
          BOOST_LEAF_AUTO(page, log_.Read(options_.stream, from, max_records_, options_.wait,
                                          options_.timeout));
          max_records_ = std::min(2 * max_records_, options_.max_records);
          const bool empty = page.records.empty();
          if (!stopped()) Deliver(std::move(page), sent);
          return std::optional(empty ? kPauseAfterEmptyPage : absl::ZeroDuration());
        },
        [&](const Error& error) {
          OnError(error);
          return std::optional<absl::Duration>();
        });
  }

  void Deliver(LogPage page, absl::Time sent) {
    // The consumer may have got the first records from a peer while the read was under way.
    const Offset wanted = consumer_.next_offset();
    const auto first_new =
        std::find_if(page.records.begin(), page.records.end(),
                     [&](const LogRecord& record) { return record.offset >= wanted; });
    page.records.erase(page.records.begin(), first_new);
    consumer_.OnPage(page, sent);
  }

  void OnError(const Error& error) {
    read_errors_.Increment();
    logger_.Debug(error.ToString());
    // A page that is too large, or too slow to arrive in time, would fail again and again.
    if (error.code == ErrorCode::kResourceExhausted || error.code == ErrorCode::kTimeout) {
      max_records_ = std::max(1, max_records_ / 2);
    }
    consumer_.OnReadError(error);
  }

  void Pause(absl::Duration duration) {
    if (duration <= absl::ZeroDuration()) return;
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, absl::ToChronoMilliseconds(duration), [this] { return stopped_; });
  }

  bool stopped() const {
    const std::scoped_lock lock(mutex_);
    return stopped_;
  }

  const TailerOptions options_;
  LogClient& log_;
  const Clock& clock_;
  StreamConsumer& consumer_;
  Logger logger_{"log"};
  Counter& read_errors_;
  // Used by the thread only; from 1 to options_.max_records.
  int max_records_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  bool stopped_ = false;  // Guarded by mutex_.
  std::thread thread_;
};

StreamTailer::StreamTailer(TailerOptions options, LogClient& log, const Clock& clock,
                           StreamConsumer& consumer)
    : impl_(std::make_unique<Impl>(std::move(options), log, clock, consumer)) {}

StreamTailer::~StreamTailer() { impl_->Stop(); }

void StreamTailer::Stop() { impl_->Stop(); }

}  // namespace marigoldquay
