// Client of the platform's append-only log.
#ifndef MARIGOLDQUAY_LOGSTORE_LOG_CLIENT_H_
#define MARIGOLDQUAY_LOGSTORE_LOG_CLIENT_H_

#include <memory>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "marigoldquay/core/error.h"
#include "marigoldquay/core/types.h"
#include "marigoldquay/transport/http_client.h"

namespace marigoldquay {

struct LogRecord {
  Offset offset = 0;
  std::string data;

  bool operator==(const LogRecord&) const = default;
};

/// Records of one read, contiguous and ascending.
struct LogPage {
  /// First offset that is still retained.
  Offset first_offset = 0;
  /// Offset that the next append gets; the reader is at the tail when its next offset equals it.
  Offset next_offset = 0;
  std::vector<LogRecord> records;
};

class LogClient {
 public:
  virtual ~LogClient() = default;

  /// Appends a record and returns its offset. After kNotSent or kRefused the record has no effect;
  /// after any other error it may be in the log already or may still land.
  virtual Result<Offset> Append(absl::string_view stream, absl::string_view data,
                                absl::Duration timeout) = 0;

  /// Reads from `from` on; waits up to `wait` when there is nothing yet. When `from` is below
  /// first_offset, the records start at first_offset.
  virtual Result<LogPage> Read(absl::string_view stream, Offset from, int max_records,
                               absl::Duration wait, absl::Duration timeout) = 0;
};

/// Client of the log's HTTP interface; `base_url` is "http://host:port". `http` must outlive it.
std::unique_ptr<LogClient> MakeHttpLogClient(std::string base_url, HttpClient& http);

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_LOGSTORE_LOG_CLIENT_H_
