// What a planned stop of the VM means for the requests that it handles.
#include "planned_stop.h"

#include "request_state.h"

namespace marigoldquay::internal {

PlannedStop::Wait::Wait(PlannedStop& stop, RequestState& state) : stop_(stop), state_(state) {
  stop_.waiting_.insert(&state_);
  if (!stop_.MayWait(state_)) state_.cancellation.Cancel(CancelCause::kStopping);
}

void PlannedStop::RejectBeyond(absl::Time exit_time) {
  exit_time_ = exit_time;
  CancelOverdueWaits();
}

void PlannedStop::EndWaits() {
  waits_ended_ = true;
  CancelOverdueWaits();
}

bool PlannedStop::Rejects(const RequestState& state) const { return state.deadline > exit_time_; }

bool PlannedStop::MayWait(const RequestState& state) const {
  if (waits_ended_) return false;
  // One that an engine may have run has no true refusal, and another engine may take it in time.
  const bool may_have_run = state.execution_count > 0 || state.reply.started();
  return may_have_run || !Rejects(state);
}

void PlannedStop::CancelOverdueWaits() {
  for (RequestState* state : waiting_) {
    if (!MayWait(*state)) state->cancellation.Cancel(CancelCause::kStopping);
  }
}

}  // namespace marigoldquay::internal
