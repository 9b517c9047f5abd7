// Nested types of CellScheduler, shared by its two source files.
#ifndef MARIGOLDQUAY_SCHEDULING_SRC_CELL_STATE_H_
#define MARIGOLDQUAY_SCHEDULING_SRC_CELL_STATE_H_

#include <map>
#include <string>

#include "cell_server.h"
#include "marigoldquay/scheduling/cell_scheduler.h"

namespace marigoldquay {

/// Fixed part of a prefill's duration.
inline constexpr absl::Duration kPrefillOverhead = absl::Milliseconds(5);

/// A granted request.
struct CellScheduler::Ticket {
  enum class Phase { kPrefill, kTransfer, kDecode };

  QueuedRequest queued;
  BackendServerId prefill_server;
  BackendServerId decode_server;
  Phase phase = Phase::kPrefill;
  absl::Time granted_at;
  absl::Time prefill_done_at;
  absl::Time first_token_at;
  absl::Duration predicted_prefill;
  absl::Duration transfer;
  // Planned wait for the link after the prefill.
  absl::Duration link_wait;
  TokenCount uncached_tokens = 0;
  absl::Time expires;
  // Already counted as an outlier of its prefill server.
  bool slow = false;
};

struct CellScheduler::Servers {
  std::map<BackendServerId, CellServer, std::less<>> by_id;

  CellServer* Find(absl::string_view id) {
    const auto it = by_id.find(id);
    return it == by_id.end() ? nullptr : &it->second;
  }
};

/// A possible placement.
struct CellScheduler::Plan {
  CellServer* prefill = nullptr;
  CellServer* decode = nullptr;
  TokenCount uncached_tokens = 0;
  absl::Duration prefill_time;
  absl::Time prefill_end;
  absl::Time link_start;
  absl::Duration transfer;
  absl::Time first_token;
  bool predicted_slot = false;
  // Smaller is better, in seconds.
  double score = 0;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_SCHEDULING_SRC_CELL_STATE_H_
