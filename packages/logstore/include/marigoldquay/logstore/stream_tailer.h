// Follows one stream of the platform's log in a thread and hands each record to
// a consumer once, in order.
#ifndef MARIGOLDQUAY_LOGSTORE_STREAM_TAILER_H_
#define MARIGOLDQUAY_LOGSTORE_STREAM_TAILER_H_

#include <memory>
#include <optional>
#include <string>

#include "absl/time/time.h"
#include "marigoldquay/core/clock.h"
#include "marigoldquay/core/types.h"
#include "marigoldquay/logstore/log_client.h"

namespace marigoldquay {

/// Takes the pages that a StreamTailer reads.
class StreamConsumer {
 public:
  virtual ~StreamConsumer() = default;

  /// Next offset that the consumer wants; it may move forward by other ways, such as peers.
  virtual Offset next_offset() const = 0;

  /// A page that starts at next_offset(), or later when older records are no longer retained.
  /// `read_sent_at` is the time at which the read was sent: everything that was in the log by then
  /// and is below page.next_offset is in this page or in earlier ones.
  virtual void OnPage(const LogPage& page, absl::Time read_sent_at) = 0;

  /// A read failed; the tailer retries with backoff from 50 ms to 1 s.
  virtual void OnReadError(const Error& error) = 0;
};

struct TailerOptions {
  std::string stream;
  int max_records = 512;
  /// How long one read waits at the tail; also how stale the evidence of currency can get.
  absl::Duration wait = absl::Milliseconds(500);
  absl::Duration timeout = absl::Milliseconds(1500);
};

/// Reads until destroyed. The consumer, the client and the clock must outlive it.
class StreamTailer {
 public:
  StreamTailer(TailerOptions options, LogClient& log, const Clock& clock, StreamConsumer& consumer);
  ~StreamTailer();
  StreamTailer(const StreamTailer&) = delete;
  StreamTailer& operator=(const StreamTailer&) = delete;

  /// Stops and joins the thread; waits for a running read at most its timeout.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_LOGSTORE_STREAM_TAILER_H_
