// Finds the ends of events and parses their ids.
#include "event_splitter.h"

#include <algorithm>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_replace.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace marigoldquay::internal {
namespace {

constexpr std::size_t kTwoLineEndings = 4;
// Longest id that is sent back to a server, in bytes.
constexpr std::size_t kMaxIdBytes = 256;

// Whether a header field can hold the text unchanged.
bool IsHeaderText(absl::string_view text) {
  if (text.empty() || text.size() > kMaxIdBytes) return false;
  if (text != absl::StripAsciiWhitespace(text)) return false;
  return std::none_of(text.begin(), text.end(), absl::ascii_iscntrl);
}

}  // namespace

void EventSplitter::OnEvent(absl::string_view event) {
  bool has_data = false;
  std::optional<absl::string_view> id;
  for (const absl::string_view line : absl::StrSplit(event, absl::ByAnyChar("\r\n"))) {
    const absl::string_view name = line.substr(0, line.find(':'));
    if (name == "data") has_data = true;
    if (name != "id") continue;
    id = absl::StripPrefix(line.substr(std::min(line.size(), name.size() + 1)), " ");
  }
  if (id && IsHeaderText(*id)) {
    last_id_ = std::string(*id);
    position_known_ = true;
  } else if (has_data || id) {
    // Callers are told of an event only when it has data; an id alone still moves their position.
    position_known_ = false;
  }
}

std::string EventSplitter::Append(absl::string_view bytes) {
  const std::size_t scanned = partial_.size();
  partial_.append(bytes.data(), bytes.size());
  std::size_t complete_size = 0;
  for (std::size_t i = scanned; i < partial_.size(); ++i) {
    const char c = partial_[i];
    if (c == '\n' && std::exchange(after_cr_, false)) {
      if (cr_ended_event_) complete_size = i + 1;
      continue;
    }
    after_cr_ = c == '\r';
    if (c != '\r' && c != '\n') {
      ++line_bytes_;
      continue;
    }
    cr_ended_event_ = line_bytes_ == 0;
    if (cr_ended_event_) {
      OnEvent(absl::string_view(partial_).substr(complete_size, i + 1 - complete_size));
      complete_size = i + 1;
    }
    line_bytes_ = 0;
  }
  std::string events = partial_.substr(0, complete_size);
  partial_.erase(0, complete_size);
  return events;
}

void EventSplitter::DiscardPartial() {
  partial_.clear();
  line_bytes_ = 0;
  after_cr_ = false;
}

void EventBoundary::Append(absl::string_view bytes) {
  if (bytes.size() > kTwoLineEndings) bytes.remove_prefix(bytes.size() - kTwoLineEndings);
  tail_.append(bytes.data(), bytes.size());
  if (tail_.size() > kTwoLineEndings) tail_.erase(0, tail_.size() - kTwoLineEndings);
}

bool EventBoundary::at_end_of_event() const {
  const std::string lines = absl::StrReplaceAll(tail_, {{"\r\n", "\n"}, {"\r", "\n"}});
  return absl::EndsWith(lines, "\n\n");
}

}  // namespace marigoldquay::internal
