// Implements the slots of a token bucket, their levels and the replay after a settlement.
#include "marigoldquay/quota/token_bucket.h"

#include <algorithm>

namespace marigoldquay {
namespace {

constexpr std::int64_t kMicrotokensPerToken = 1'000'000;

std::int64_t SlotBoundaryAfter(std::int64_t time) {
  return (time / TokenBucket::kSlotMicros + 1) * TokenBucket::kSlotMicros;
}

std::int64_t CeilDivide(std::int64_t value, std::int64_t divisor) {
  return (value + divisor - 1) / divisor;
}

}  // namespace

TokenBucket::TokenBucket(BucketLimits limits, TokenCount level, absl::Time now)
    : last_time_(absl::ToUnixMicros(now)) {
  const auto initial_level = std::clamp<TokenCount>(level, 0, limits.capacity);
  slots_.push_back({last_time_, SlotBoundaryAfter(last_time_), limits,
                    initial_level * kMicrotokensPerToken,
                    /*spent=*/0, /*added=*/0});
}

std::int64_t TokenBucket::Refill(std::int64_t level, const BucketLimits& limits,
                                 std::int64_t elapsed) {
  const std::int64_t capacity = limits.capacity * kMicrotokensPerToken;
  const std::int64_t headroom = capacity - level;
  // Divides instead of multiplying, because rate x elapsed can overflow after a long idle period.
  if (headroom <= 0 || elapsed > headroom / limits.rate) return capacity;
  return level + limits.rate * elapsed;
}

std::int64_t TokenBucket::LevelAt(const Slot& slot, std::int64_t time) {
  const std::int64_t elapsed_in_slot = std::min(time, slot.end) - slot.start;
  const std::int64_t level = Refill(slot.level_at_start, slot.limits, elapsed_in_slot) - slot.spent;
  return time <= slot.end ? level : Refill(level, slot.limits, time - slot.end);
}

std::int64_t TokenBucket::ClampTime(absl::Time now) const {
  return std::max(last_time_, absl::ToUnixMicros(now));
}

std::int64_t TokenBucket::StartLevel(const Slot& previous, const Slot& slot) {
  return std::min(LevelAt(previous, slot.start) + slot.added,
                  slot.limits.capacity * kMicrotokensPerToken);
}

void TokenBucket::PushSlot(std::int64_t start, const BucketLimits& limits, std::int64_t added) {
  Slot slot{start, SlotBoundaryAfter(start), limits, 0, /*spent=*/0, added};
  slot.level_at_start = StartLevel(slots_.back(), slot);
  slots_.push_back(slot);
}

TokenBucket::Slot& TokenBucket::CurrentSlot(std::int64_t now) {
  if (now >= slots_.back().end) PushSlot(now / kSlotMicros * kSlotMicros, slots_.back().limits);
  return slots_.back();
}

void TokenBucket::TrimHistory(std::int64_t now) {
  // Dropping a slot needs no correction, because its successor stores its own starting level.
  while (slots_.size() > 1 &&
         (slots_.front().end + kHistoryMicros < now || slots_.size() > kMaxSlots)) {
    slots_.pop_front();
    ++first_number_;
  }
}

void TokenBucket::ReplayAfter(std::size_t from) {
  for (std::size_t i = from + 1; i < slots_.size(); ++i) {
    slots_[i].level_at_start = StartLevel(slots_[i - 1], slots_[i]);
  }
}

std::optional<TokenBucket::SlotNumber> TokenBucket::Reserve(TokenCount tokens, absl::Time now) {
  const std::int64_t time = AdvanceTime(now);
  TrimHistory(time);
  // The upper bound also keeps the product below from overflowing.
  if (tokens < 0 || tokens > limits().capacity) return std::nullopt;
  if (LevelAt(slots_.back(), time) < tokens * kMicrotokensPerToken) return std::nullopt;
  CurrentSlot(time).spent += tokens * kMicrotokensPerToken;
  return first_number_ + slots_.size() - 1;
}

TokenCount TokenBucket::Settle(SlotNumber slot, TokenCount unused, absl::Time now) {
  const std::int64_t time = AdvanceTime(now);
  TrimHistory(time);
  if (slot < first_number_ || slot - first_number_ >= slots_.size() || unused <= 0) return 0;
  const std::size_t index = slot - first_number_;
  Slot& changed = slots_[index];
  if (changed.end + kHistoryMicros < time) return 0;
  const TokenCount returned = std::min(unused, changed.spent / kMicrotokensPerToken);
  changed.spent -= returned * kMicrotokensPerToken;
  ReplayAfter(index);
  return returned;
}

void TokenBucket::Add(TokenCount tokens, absl::Time now) {
  const std::int64_t time = AdvanceTime(now);
  TrimHistory(time);
  const TokenCount added = std::clamp<TokenCount>(tokens, 0, limits().capacity);
  slots_.back().end = std::min(slots_.back().end, time);
  PushSlot(time, slots_.back().limits, added * kMicrotokensPerToken);
}

void TokenBucket::SetLimits(BucketLimits limits, absl::Time now) {
  if (limits == slots_.back().limits) return;
  const std::int64_t time = AdvanceTime(now);
  TrimHistory(time);
  slots_.back().end = std::min(slots_.back().end, time);
  PushSlot(time, limits);
}

TokenCount TokenBucket::Level(absl::Time now) const {
  return std::max<std::int64_t>(LevelAt(slots_.back(), ClampTime(now)), 0) / kMicrotokensPerToken;
}

absl::Duration TokenBucket::TimeUntil(TokenCount tokens, absl::Time now) const {
  const Slot& slot = slots_.back();
  if (tokens > slot.limits.capacity) return absl::InfiniteDuration();
  const std::int64_t time = ClampTime(now);
  const std::int64_t needed = tokens * kMicrotokensPerToken;
  if (LevelAt(slot, time) >= needed) return absl::ZeroDuration();
  const std::int64_t rate = slot.limits.rate;
  if (slot.limits.capacity * kMicrotokensPerToken - slot.spent >= needed) {
    const std::int64_t ready_at =
        slot.start + CeilDivide(needed + slot.spent - slot.level_at_start, rate);
    if (ready_at <= slot.end) return absl::Microseconds(ready_at - time);
  }
  const std::int64_t from = std::max(slot.end, time);
  return absl::Microseconds(from + CeilDivide(needed - LevelAt(slot, from), rate) - time);
}

}  // namespace marigoldquay
