// Counts the tokens of a streamed completion as its bytes arrive, without parsing JSON, so that one
// client thread can follow hundreds of streams.
#ifndef MARIGOLDQUAY_BENCH_LOAD_SSE_SCANNER_H_
#define MARIGOLDQUAY_BENCH_LOAD_SSE_SCANNER_H_

#include <string>

#include "absl/strings/match.h"
#include "absl/strings/string_view.h"

namespace marigoldquay::bench {

class SseScanner {
 public:
  /// Adds received bytes; returns the number of tokens that they complete.
  int Add(absl::string_view data) {
    buffer_.append(data.data(), data.size());
    int tokens = 0;
    std::size_t begin = 0;
    for (std::size_t end = buffer_.find("\n\n"); end != std::string::npos;
         end = buffer_.find("\n\n", begin)) {
      tokens += Take(absl::string_view(buffer_).substr(begin, end - begin)) ? 1 : 0;
      begin = end + 2;
    }
    buffer_.erase(0, begin);
    return tokens;
  }

  /// Whether the stream's final event has arrived.
  bool done() const { return done_; }
  /// Data of the event that reported an error in the stream; empty when there was none.
  const std::string& error() const { return error_; }
  /// Bytes after the last complete event, which is the whole body of an answer without events.
  const std::string& rest() const { return buffer_; }

 private:
  static bool HasText(absl::string_view event, absl::string_view field) {
    const std::size_t at = event.find(field);
    return at != absl::string_view::npos && at + field.size() < event.size() &&
           event[at + field.size()] != '"';
  }

  // Whether the event carries a token: of the caller interface ("text", "content") or of an engine.
  bool Take(absl::string_view event) {
    if (event == "data: [DONE]") {
      done_ = true;
      return false;
    }
    if (absl::StrContains(event, R"("error":)")) {
      error_ = std::string(event.substr(event.find('{')));
      return false;
    }
    return HasText(event, R"("text":")") || HasText(event, R"("content":")") ||
           HasText(event, R"("token":")");
  }

  std::string buffer_;
  std::string error_;
  bool done_ = false;
};

}  // namespace marigoldquay::bench

#endif  // MARIGOLDQUAY_BENCH_LOAD_SSE_SCANNER_H_
