// Server-sent events.
#include "sse_parser.h"

#include "absl/strings/match.h"
#include "absl/strings/strip.h"

namespace marigoldquay {

bool SseParser::Append(absl::string_view bytes,
                       const std::function<bool(absl::string_view)>& on_event) {
  while (!bytes.empty()) {
    if (after_cr_) {
      after_cr_ = false;
      absl::ConsumePrefix(&bytes, "\n");
      continue;
    }
    const auto end = bytes.find_first_of("\r\n");
    line_.append(bytes.data(), end == absl::string_view::npos ? bytes.size() : end);
    if (line_.size() + data_.size() > max_event_size_) {
      overflowed_ = true;
      return false;
    }
    if (end == absl::string_view::npos) return true;
    after_cr_ = bytes[end] == '\r';
    bytes.remove_prefix(end + 1);
    if (!EndLine(on_event)) return false;
  }
  return true;
}

bool SseParser::EndLine(const std::function<bool(absl::string_view)>& on_event) {
  std::string line;
  line.swap(line_);
  if (!line.empty()) {
    absl::string_view value = line;
    if (!absl::ConsumePrefix(&value, "data:")) {
      if (value != "data") return true;  // Comment or another field.
      value = {};
    }
    absl::ConsumePrefix(&value, " ");
    if (has_data_) data_ += '\n';
    data_.append(value.data(), value.size());
    has_data_ = true;
    return true;
  }
  if (!has_data_) return true;
  std::string data;
  data.swap(data_);
  has_data_ = false;
  return on_event(data);
}

}  // namespace marigoldquay
