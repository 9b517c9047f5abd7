// Token bucket that replays its recent history, so that unused tokens of a
// reservation come back as if they had never been taken.
//
// An ordinary bucket that adds returned tokens to its present level lets a later
// window exceed rate x time + burst: the tokens were taken out of one window
// and are spent in another. Here a settlement lowers the spend in the slot in
// which it was made, and the levels of all later slots are computed again.
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

/// Net spends in every time window stay within rate x time + capacity. Not thread-safe. A time that
/// lies before one of an earlier call counts as that earlier time.
class TokenBucket {
 public:
  static constexpr std::int64_t kSlotMicros = 250'000;
  static constexpr std::int64_t kHistoryMicros = 120'000'000;
  /// Spends are kept per slot of this length.
  static constexpr absl::Duration kSlotLength = absl::Microseconds(kSlotMicros);
  /// How long a spend can still be settled.
  static constexpr absl::Duration kHistory = absl::Microseconds(kHistoryMicros);
  /// Bound on slots: 480 cover the history, the rest is for changes of limits within it.
  static constexpr std::size_t kMaxSlots = 1024;

  /// Identifies the slot of a spend.
  using SlotNumber = std::uint64_t;

  TokenBucket(BucketLimits limits, TokenCount level, absl::Time now);

  /// Takes the tokens and returns their slot; nullopt when the level is too low.
  std::optional<SlotNumber> Reserve(TokenCount tokens, absl::Time now);

  /// Lowers the spend in the slot and returns by how much; 0 when it is older than kHistory.
  TokenCount Settle(SlotNumber slot, TokenCount unused, absl::Time now);

  /// Adds tokens up to the capacity, e.g. a balance that a previous home handed over.
  void Add(TokenCount tokens, absl::Time now);

  /// Applies new limits from now on; earlier slots are replayed with the limits of their time.
  void SetLimits(BucketLimits limits, absl::Time now);

  /// Whole tokens available.
  TokenCount Level(absl::Time now) const;

  /// Time until so many tokens are available; infinite when they exceed the capacity.
  absl::Duration TimeUntil(TokenCount tokens, absl::Time now) const;

  const BucketLimits& limits() const { return slots_.back().limits; }

 private:
  // Levels and spends are in millionths of a token, times in microseconds: a rate in tokens per
  // second times microseconds is then exact.
  struct Slot {
    std::int64_t start = 0;
    std::int64_t end = 0;
    BucketLimits limits;
    std::int64_t level_at_start = 0;
    std::int64_t spent = 0;
    // Part of level_at_start that came from Add; kept apart so that a replay does not lose it.
    std::int64_t added = 0;
  };

  static std::int64_t Refill(std::int64_t level, const BucketLimits& limits, std::int64_t elapsed);
  // Counts a slot's spends as taken at the slot's end (or at `time` when that comes first), after
  // refill and cap. That never exceeds the level of a bucket that takes them at their true times.
  static std::int64_t LevelAt(const Slot& slot, std::int64_t time);

  // The given time, or the latest one of earlier changes when that is later.
  std::int64_t ClampTime(absl::Time now) const;
  std::int64_t AdvanceTime(absl::Time now) { return last_time_ = ClampTime(now); }
  Slot& CurrentSlot(std::int64_t now);
  void PushSlot(std::int64_t start, const BucketLimits& limits, std::int64_t added = 0);
  static std::int64_t StartLevel(const Slot& previous, const Slot& slot);
  void TrimHistory(std::int64_t now);
  void ReplayAfter(std::size_t from);

  // Never empty; ascending, contiguous numbers from first_number_ on.
  std::deque<Slot> slots_;
  SlotNumber first_number_ = 0;
  std::int64_t last_time_ = 0;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_QUOTA_TOKEN_BUCKET_H_
