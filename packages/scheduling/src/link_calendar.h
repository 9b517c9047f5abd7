// Reserved transfer times on the link of one backend server.
#ifndef MARIGOLDQUAY_SCHEDULING_SRC_LINK_CALENDAR_H_
#define MARIGOLDQUAY_SCHEDULING_SRC_LINK_CALENDAR_H_

#include <cstdint>
#include <vector>

#include "absl/time/time.h"

namespace marigoldquay {

/// At most one reservation per ticket; bounded by the tickets of the server. Not thread-safe.
class LinkCalendar {
 public:
  /// The first time from `from` on at which the link is free for `length`.
  absl::Time EarliestStart(absl::Time from, absl::Duration length) const;
  void Reserve(std::uint64_t ticket, absl::Time start, absl::Duration length);
  void Release(std::uint64_t ticket);

 private:
  struct Interval {
    absl::Time start;
    absl::Time end;
    std::uint64_t ticket = 0;
  };
  // Ordered by start.
  std::vector<Interval> intervals_;
};

/// The first time from `from` on at which both links are free for `length`.
absl::Time EarliestCommonStart(const LinkCalendar& a, const LinkCalendar& b, absl::Time from,
                               absl::Duration length);

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_SCHEDULING_SRC_LINK_CALENDAR_H_
