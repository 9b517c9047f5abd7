// What a planned stop of the VM means for the requests that it handles.
#ifndef MARIGOLDQUAY_RELAY_SRC_PLANNED_STOP_H_
#define MARIGOLDQUAY_RELAY_SRC_PLANNED_STOP_H_

#include <set>

#include "absl/time/time.h"

namespace marigoldquay::internal {

struct RequestState;

/// Decides which requests a stopping VM rejects, and ends the waits for engines, so that no request
/// still waits when the process exits. Not thread-safe.
class PlannedStop {
 public:
  PlannedStop() = default;
  PlannedStop(const PlannedStop&) = delete;
  PlannedStop& operator=(const PlannedStop&) = delete;

  /// Rejects requests that may take longer than until `exit_time`, when the process exits: those
  /// that arrive from now on, and those that wait for their first engine now or later.
  void RejectBeyond(absl::Time exit_time);
  /// Ends all waits for engines, also those that begin later and those of requests that an engine
  /// may have run.
  void EndWaits();
  /// Whether a request that arrives now is rejected.
  bool Rejects(const RequestState& state) const;

  /// Lists a request as one that waits for an engine, during the lifetime of this object. Its
  /// cancellation is the end of the wait, which may come at once.
  class Wait {
   public:
    Wait(PlannedStop& stop, RequestState& state);
    ~Wait() { stop_.waiting_.erase(&state_); }
    Wait(const Wait&) = delete;
    Wait& operator=(const Wait&) = delete;

   private:
    PlannedStop& stop_;
    RequestState& state_;
  };

 private:
  bool MayWait(const RequestState& state) const;
  void CancelOverdueWaits();

  absl::Time exit_time_ = absl::InfiniteFuture();
  bool waits_ended_ = false;
  // Owned by the fibers that handle the requests.
  std::set<RequestState*> waiting_;
};

}  // namespace marigoldquay::internal

#endif  // MARIGOLDQUAY_RELAY_SRC_PLANNED_STOP_H_
