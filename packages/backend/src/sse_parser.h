// Incremental parser of server-sent events (WHATWG HTML, section 9.2); only the
// data field matters here.
#ifndef MARIGOLDQUAY_BACKEND_SRC_SSE_PARSER_H_
#define MARIGOLDQUAY_BACKEND_SRC_SSE_PARSER_H_

#include <cstddef>
#include <functional>
#include <string>

#include "absl/strings/string_view.h"

namespace marigoldquay {

/// Accepts the byte stream in pieces of any size. Memory is bounded by max_event_size.
class SseParser {
 public:
  explicit SseParser(std::size_t max_event_size = std::size_t{1} << 20)
      : max_event_size_(max_event_size) {}

  /// Passes the data of each event that is complete now to `on_event`, which returns false to stop.
  /// Returns false when stopped, or when an event exceeds the limit (overflowed() is then true).
  bool Append(absl::string_view bytes, const std::function<bool(absl::string_view)>& on_event);
  bool overflowed() const { return overflowed_; }

 private:
  bool EndLine(const std::function<bool(absl::string_view)>& on_event);

  std::size_t max_event_size_;
  std::string line_;
  std::string data_;
  bool has_data_ = false;
  // The last byte was a CR, so that a LF at the start of the next piece ends no second line.
  bool after_cr_ = false;
  bool overflowed_ = false;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_BACKEND_SRC_SSE_PARSER_H_
