// Token bucket that replays its recent history, so that returning the unused tokens of a
// reservation has the same effect as never having reserved them.
//
// A bucket that adds returned tokens to its current level lets a later window exceed
// rate x time + burst, because the tokens were taken in one window and are spent in another. This
// bucket keeps the spend per time slot: a settlement lowers the spend of the slot in which the
// reservation was made, and the levels of all later slots are recomputed.
#ifndef MARIGOLDQUAY_QUOTA_TOKEN_BUCKET_H_
#define MARIGOLDQUAY_QUOTA_TOKEN_BUCKET_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "absl/time/time.h"
#include "marigoldquay/core/types.h"

namespace marigoldquay {

struct BucketLimits {
  /// Tokens per second, 1 to 10^9.
  TokenCount rate = 1;
  /// Tokens, 0 to 10^10.
  TokenCount capacity = 0;

  bool operator==(const BucketLimits&) const = default;
};

/// Net spends in every time window stay within rate x time + capacity. A time before the latest one
/// passed to an earlier change is treated as that latest time. Not thread-safe.
class TokenBucket {
 public:
  static constexpr std::int64_t kSlotMicros = 250'000;
  static constexpr std::int64_t kHistoryMicros = 120'000'000;
  /// Length of the time slots by which spends are recorded.
  static constexpr absl::Duration kSlotLength = absl::Microseconds(kSlotMicros);
  /// Age up to which a spend can be settled.
  static constexpr absl::Duration kHistory = absl::Microseconds(kHistoryMicros);
  /// Bound on the number of slots: 480 cover kHistory, the rest allows for the additional slots
  /// that SetLimits and Add create.
  static constexpr std::size_t kMaxSlots = 1024;

  /// Identifies the slot of a spend.
  using SlotNumber = std::uint64_t;

  TokenBucket(BucketLimits limits, TokenCount level, absl::Time now);

  /// Takes the tokens and returns the slot of the spend; nullopt when the level is too low.
  std::optional<SlotNumber> Reserve(TokenCount tokens, absl::Time now);

  /// Lowers the spend of the slot by up to `unused` tokens and returns the tokens that came back;
  /// 0 when the slot is older than kHistory.
  TokenCount Settle(SlotNumber slot, TokenCount unused, absl::Time now);

  /// Adds tokens up to the capacity, e.g. a balance handed over by the previous home.
  void Add(TokenCount tokens, absl::Time now);

  /// Applies the limits from `now` on; earlier slots are replayed with the limits of their time.
  void SetLimits(BucketLimits limits, absl::Time now);

  /// Whole tokens available.
  TokenCount Level(absl::Time now) const;

  /// Time until `tokens` are available; infinite when they exceed the capacity.
  absl::Duration TimeUntil(TokenCount tokens, absl::Time now) const;

  const BucketLimits& limits() const { return slots_.back().limits; }

 private:
  // Levels and spends are in millionths of a token and times in microseconds, so that the product
  // of a rate in tokens per second and a time is exact.
  struct Slot {
    std::int64_t start = 0;
    std::int64_t end = 0;
    BucketLimits limits;
    std::int64_t level_at_start = 0;
    std::int64_t spent = 0;
    // Part of level_at_start that came from Add; stored separately so that a replay keeps it.
    std::int64_t added = 0;
  };

  static std::int64_t Refill(std::int64_t level, const BucketLimits& limits, std::int64_t elapsed);
  // Treats the spends of a slot as taken at its end (or at `time`, if earlier), after the refill
  // and the limit to the capacity. The result never exceeds the level of a bucket that takes the
  // spends at their actual times.
  static std::int64_t LevelAt(const Slot& slot, std::int64_t time);

  // The later of `now` and the time of the latest change.
  std::int64_t ClampTime(absl::Time now) const;
  std::int64_t AdvanceTime(absl::Time now) { return last_time_ = ClampTime(now); }
  // The slot that contains `now`; created when the last one has ended.
  Slot& CurrentSlot(std::int64_t now);
  void PushSlot(std::int64_t start, const BucketLimits& limits, std::int64_t added = 0);
  static std::int64_t StartLevel(const Slot& previous, const Slot& slot);
  // Drops slots older than kHistory and those beyond kMaxSlots.
  void TrimHistory(std::int64_t now);
  // Recomputes the starting levels of all slots after index `from`.
  void ReplayAfter(std::size_t from);

  // Never empty. Numbered consecutively from first_number_ on, in order of time.
  std::deque<Slot> slots_;
  SlotNumber first_number_ = 0;
  std::int64_t last_time_ = 0;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_QUOTA_TOKEN_BUCKET_H_
