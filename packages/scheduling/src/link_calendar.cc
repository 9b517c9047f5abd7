// Reserved transfer times.
#include "link_calendar.h"

#include <algorithm>

namespace marigoldquay {

absl::Time LinkCalendar::EarliestStart(absl::Time from, absl::Duration length) const {
  for (const auto& interval : intervals_) {
    if (interval.end <= from) continue;
    if (interval.start >= from + length) break;
    from = interval.end;
  }
  return from;
}

void LinkCalendar::Reserve(std::uint64_t ticket, absl::Time start, absl::Duration length) {
  Release(ticket);
  const Interval interval{start, start + length, ticket};
  const auto place =
      std::upper_bound(intervals_.begin(), intervals_.end(), interval,
                       [](const auto& a, const auto& b) { return a.start < b.start; });
  intervals_.insert(place, interval);
}

void LinkCalendar::Release(std::uint64_t ticket) {
  std::erase_if(intervals_, [&](const auto& interval) { return interval.ticket == ticket; });
}

absl::Time EarliestCommonStart(const LinkCalendar& a, const LinkCalendar& b, absl::Time from,
                               absl::Duration length) {
  while (true) {
    const auto start = b.EarliestStart(a.EarliestStart(from, length), length);
    if (a.EarliestStart(start, length) == start) return start;
    from = start;
  }
}

}  // namespace marigoldquay
