// Token bucket: guards against windows that exceed rate x time + burst, and against refusals of a
// caller that stays below the rate.
#include "marigoldquay/quota/token_bucket.h"

#include <algorithm>
#include <random>
#include <vector>

#include "property.h"

namespace marigoldquay {
namespace {

using testing::CheckProperty;

absl::Time At(std::int64_t ms) {
  return absl::UnixEpoch() + absl::Hours(1) + absl::Milliseconds(ms);
}

struct Spend {
  absl::Time at;
  TokenCount net = 0;
};

// Largest excess of any window over rate x time + burst; at most 0 when all windows conform.
double LargestExcess(const std::vector<Spend>& spends, double rate, double burst) {
  double excess = -burst;
  for (std::size_t i = 0; i < spends.size(); ++i) {
    double sum = 0;
    for (std::size_t j = i; j < spends.size(); ++j) {
      sum += static_cast<double>(spends[j].net);
      const double allowed = rate * absl::ToDoubleSeconds(spends[j].at - spends[i].at) + burst;
      excess = std::max(excess, sum - allowed);
    }
  }
  return excess;
}

// Ordinary token bucket that adds returned tokens to its current level; used by the fixed example
// below.
class RefundingBucket {
 public:
  RefundingBucket(double rate, double burst, absl::Time now)
      : rate_(rate), burst_(burst), level_(burst), at_(now) {}
  bool Reserve(double tokens, absl::Time now) {
    Refill(now);
    if (level_ < tokens) return false;
    level_ -= tokens;
    return true;
  }
  void Refund(double tokens, absl::Time now) {
    Refill(now);
    level_ = std::min(burst_, level_ + tokens);
  }

 private:
  void Refill(absl::Time now) {
    level_ = std::min(burst_, level_ + rate_ * absl::ToDoubleSeconds(now - at_));
    at_ = now;
  }
  double rate_, burst_, level_;
  absl::Time at_;
};

BOOST_AUTO_TEST_SUITE(token_bucket)

// Fails if any order of reservations and settlements lets a window exceed the limit.
BOOST_AUTO_TEST_CASE(net_spends_conform_in_every_window) {
  CheckProperty("windows conform", [](std::uint32_t seed) {
    std::mt19937 random(seed);
    const auto pick = [&](int low, int high) {
      return std::uniform_int_distribution<int>(low, high)(random);
    };
    const TokenCount rate = pick(1, 500);
    const TokenCount burst = pick(100, 5000);
    TokenBucket bucket({rate, burst}, burst, At(0));
    struct OpenReservation {
      std::size_t spend;
      TokenBucket::SlotNumber slot;
      TokenCount tokens;
    };
    std::vector<Spend> spends;
    std::vector<OpenReservation> open;
    std::int64_t now = 0;
    for (int step = 0; step < 400; ++step) {
      now += pick(0, 9) == 0 ? pick(0, 20'000) : pick(0, 300);
      if (pick(0, 2) > 0 || open.empty()) {
        const TokenCount tokens = pick(0, static_cast<int>(burst));
        const auto slot = bucket.Reserve(tokens, At(now));
        if (!slot) continue;
        open.push_back({spends.size(), *slot, tokens});
        spends.push_back({At(now), tokens});
      } else {
        const std::size_t index = pick(0, static_cast<int>(open.size()) - 1);
        const TokenCount unused = pick(0, static_cast<int>(open[index].tokens));
        // Returned tokens no longer count as spent in any window.
        spends[open[index].spend].net -= bucket.Settle(open[index].slot, unused, At(now));
        open.erase(open.begin() + static_cast<std::ptrdiff_t>(index));
      }
    }
    RC_ASSERT(LargestExcess(spends, static_cast<double>(rate), static_cast<double>(burst)) <= 1e-6);
  });
}

// Fails if rounding to slots refuses a caller with steady requests below the rate.
BOOST_AUTO_TEST_CASE(steady_caller_below_rate_is_never_refused) {
  CheckProperty("steady caller", [](std::uint32_t seed) {
    std::mt19937 random(seed);
    const TokenCount size = std::uniform_int_distribution<int>(1, 2000)(random);
    const auto interval_ms = std::uniform_int_distribution<int>(1, 3000)(random);
    const auto used = std::uniform_int_distribution<TokenCount>(0, size)(random);
    // The rate is 5% above the demand of the caller; the burst is two requests and the refill of
    // one slot.
    const TokenCount rate = size * 1050 / interval_ms + 1;
    TokenBucket bucket({rate, 2 * size + rate / 4 + 1}, 2 * size, At(0));
    std::vector<TokenBucket::SlotNumber> slots;
    for (int i = 0; i < 500; ++i) {
      const auto now = At(static_cast<std::int64_t>(i) * interval_ms);
      const auto slot = bucket.Reserve(size, now);
      RC_ASSERT(slot.has_value());
      slots.push_back(*slot);
      if (i >= 5) bucket.Settle(slots[i - 5], size - used, now);
    }
  });
}

// Documents why tokens are not returned to the current level. With a rate of 10 and a burst of 100,
// 100 tokens reserved at 0 s and returned at 10 s are spent in addition to the refill of these 10
// s: 200 tokens at one time.
BOOST_AUTO_TEST_CASE(ordinary_bucket_with_refunds_exceeds_the_limit) {
  RefundingBucket ordinary(10, 100, At(0));
  TokenBucket replaying({10, 100}, 100, At(0));
  std::vector<Spend> spends_of_ordinary;
  std::vector<Spend> spends_of_replaying;

  BOOST_REQUIRE(ordinary.Reserve(100, At(0)));
  const auto slot = replaying.Reserve(100, At(0));
  BOOST_REQUIRE(slot.has_value());
  if (ordinary.Reserve(100, At(10'000))) spends_of_ordinary.push_back({At(10'000), 100});
  if (replaying.Reserve(100, At(10'000))) spends_of_replaying.push_back({At(10'000), 100});
  ordinary.Refund(100, At(10'000));
  replaying.Settle(*slot, 100, At(10'000));
  if (ordinary.Reserve(100, At(10'000))) spends_of_ordinary.push_back({At(10'000), 100});
  if (replaying.Reserve(100, At(10'000))) spends_of_replaying.push_back({At(10'000), 100});

  BOOST_TEST(LargestExcess(spends_of_ordinary, 10, 100) == 100);
  BOOST_TEST(LargestExcess(spends_of_replaying, 10, 100) <= 0);
}

// Fails if a very late settlement creates tokens.
BOOST_AUTO_TEST_CASE(settlement_older_than_the_history_returns_nothing) {
  TokenBucket bucket({1, 1000}, 1000, At(0));
  const auto early = bucket.Reserve(500, At(0));
  BOOST_TEST(bucket.Settle(*early, 100, At(119'000)) == 100);
  BOOST_TEST(bucket.Settle(*early, 100, At(121'000)) == 0);
}

// Fails if new limits are applied to the time before the change, or a replay loses the change.
BOOST_AUTO_TEST_CASE(new_limits_apply_from_now_on) {
  TokenBucket bucket({10, 1000}, 0, At(0));
  const auto slot = bucket.Reserve(50, At(5'000));
  BOOST_REQUIRE(slot.has_value());
  bucket.SetLimits({100, 80}, At(10'000));
  BOOST_TEST(bucket.Level(At(10'000)) == 50);
  BOOST_TEST(bucket.Settle(*slot, 50, At(10'100)) == 50);
  BOOST_TEST(bucket.Level(At(10'100)) == 80);
  bucket.SetLimits({100, 2000}, At(11'000));
  BOOST_TEST(bucket.Level(At(12'000)) == 180);
}

// Fails if TimeUntil, which Retry-After is derived from, ends before the tokens are available, or
// later than necessary.
BOOST_AUTO_TEST_CASE(time_until_ends_when_the_tokens_are_available) {
  CheckProperty("time until", [](std::uint32_t seed) {
    std::mt19937 random(seed);
    const auto pick = [&](int low, int high) {
      return std::uniform_int_distribution<int>(low, high)(random);
    };
    TokenBucket bucket({pick(1, 1000), 1000}, pick(0, 1000), At(0));
    const auto now = At(pick(0, 700));
    bucket.Reserve(pick(0, 1000), now);
    const TokenCount wanted = pick(0, 1000);
    const auto wait = bucket.TimeUntil(wanted, now);
    RC_ASSERT(bucket.Level(now + wait) >= wanted);
    if (wait > absl::ZeroDuration()) {
      RC_ASSERT(bucket.Level(now + wait - absl::Microseconds(1)) < wanted);
    }
  });
  const TokenBucket bucket({1, 10}, 10, At(0));
  BOOST_TEST((bucket.TimeUntil(11, At(0)) == absl::InfiniteDuration()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
