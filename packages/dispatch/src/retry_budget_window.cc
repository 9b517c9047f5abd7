// Sliding window of first attempts and retries.
#include "marigoldquay/dispatch/retry_budget_window.h"

namespace marigoldquay {

std::int64_t WindowedRetryBudget::SlotNumber(absl::Time now) const {
  const absl::Duration slot = limits_.window / static_cast<std::int64_t>(kSlots);
  return (now - absl::UnixEpoch()) / slot;
}

WindowedRetryBudget::Slot& WindowedRetryBudget::CurrentSlot(absl::Time now) {
  const std::int64_t number = SlotNumber(now);
  Slot& slot = slots_[static_cast<std::size_t>(number) % slots_.size()];
  if (slot.number != number) slot = Slot{number, 0, 0};
  return slot;
}

void WindowedRetryBudget::OnFirstAttempt(absl::Time now) { ++CurrentSlot(now).first_attempts; }

void WindowedRetryBudget::OnRetry(absl::Time now) {
  ++CurrentSlot(now).retries;
  ++sent_;
}

bool WindowedRetryBudget::CanRetry(absl::Time now) const {
  // The current slot is not over yet, so the window begins inside the oldest one.
  const std::int64_t oldest = SlotNumber(now) - static_cast<std::int64_t>(kSlots);
  int first_attempts = 0;
  int retries = 0;
  for (const Slot& slot : slots_) {
    if (slot.number < oldest) continue;
    retries += slot.retries;
    if (slot.number > oldest) first_attempts += slot.first_attempts;
  }
  return retries + 1 <= limits_.ratio * first_attempts + limits_.burst;
}

bool WindowedRetryBudget::TryAcquire(absl::Time now) {
  if (!CanRetry(now)) return false;
  OnRetry(now);
  return true;
}

}  // namespace marigoldquay
