// Finds the ends of events and parses their ids.
#include "event_splitter.h"

#include <algorithm>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_replace.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace marigoldquay::internal {
namespace {

constexpr std::size_t kTwoLineEndings = 4;

}  // namespace

void EventSplitter::ParseId(absl::string_view event) {
  for (absl::string_view line : absl::StrSplit(event, '\n')) {
    line = absl::StripSuffix(line, "\r");
    if (!absl::ConsumePrefix(&line, "id:")) continue;
    line = absl::StripPrefix(line, " ");
    std::uint64_t id = 0;
    if (absl::SimpleAtoi(line, &id)) last_id_ = id;
  }
}

std::string EventSplitter::Append(absl::string_view bytes) {
  // What was searched before holds no end, but may hold the beginning of one.
  std::size_t search_from = partial_.size() - std::min(partial_.size(), kTwoLineEndings - 1);
  partial_.append(bytes.data(), bytes.size());
  std::size_t complete_size = 0;
  while (true) {
    const auto lf = partial_.find("\n\n", search_from);
    const auto crlf = partial_.find("\r\n\r\n", search_from);
    if (lf == std::string::npos && crlf == std::string::npos) break;
    const std::size_t end = lf < crlf ? lf + 2 : crlf + 4;
    ParseId(absl::string_view(partial_).substr(complete_size, end - complete_size));
    complete_size = end;
    search_from = end;
  }
  std::string events = partial_.substr(0, complete_size);
  partial_.erase(0, complete_size);
  return events;
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
