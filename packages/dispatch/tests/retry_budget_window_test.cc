// Retries stay within their fraction of the requests in the window.
#include "marigoldquay/dispatch/retry_budget_window.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <vector>

namespace marigoldquay {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

BOOST_AUTO_TEST_SUITE(retry_budget_window)

BOOST_AUTO_TEST_CASE(burst_allows_retries_without_traffic) {
  WindowedRetryBudget budget({0.2, 2, absl::Seconds(10)});
  BOOST_TEST(budget.TryAcquire(kStart));
  BOOST_TEST(budget.TryAcquire(kStart));
  BOOST_TEST(!budget.TryAcquire(kStart));
  BOOST_TEST(!budget.CanRetry(kStart));
  BOOST_TEST(budget.TryAcquire(kStart + absl::Seconds(11)));
}

// Guards against a burst that is spent twice in a window, at its begin and at its end.
BOOST_AUTO_TEST_CASE(burst_returns_after_a_whole_window) {
  for (const int offset_ms : {0, 490}) {
    WindowedRetryBudget budget({0.2, 1, absl::Seconds(10)});
    const absl::Time spent_at = kStart + absl::Milliseconds(offset_ms);
    BOOST_TEST(budget.TryAcquire(spent_at));
    BOOST_TEST(!budget.CanRetry(spent_at + absl::Milliseconds(9990)));
    BOOST_TEST(budget.CanRetry(spent_at + absl::Milliseconds(10'500)));
  }
}

BOOST_AUTO_TEST_CASE(first_attempts_allow_retries) {
  WindowedRetryBudget budget({0.2, 0, absl::Seconds(10)});
  for (int i = 0; i < 10; ++i) budget.OnFirstAttempt(kStart);
  BOOST_TEST(budget.TryAcquire(kStart));
  BOOST_TEST(budget.TryAcquire(kStart));
  BOOST_TEST(!budget.TryAcquire(kStart));
}

// Guards against a retry storm across the boundary between two windows.
BOOST_AUTO_TEST_CASE(every_window_stays_within_the_limits) {
  BOOST_TEST(
      rc::check("retries in a window <= ratio x requests in it and the one before + burst", [] {
        WindowedRetryBudget budget({0.2, 3, absl::Seconds(10)});
        std::vector<absl::Time> first_attempts;
        std::vector<absl::Time> retries;
        absl::Time now = kStart;
        for (int i = 0; i < 400; ++i) {
          now += absl::Milliseconds(*rc::gen::inRange(0, 200));
          if (*rc::gen::arbitrary<bool>()) {
            budget.OnFirstAttempt(now);
            first_attempts.push_back(now);
          } else if (budget.TryAcquire(now)) {
            retries.push_back(now);
          }
        }
        const auto count = [](const std::vector<absl::Time>& times, absl::Time from,
                              absl::Time to) {
          int n = 0;
          for (const auto& time : times) n += time > from && time <= to ? 1 : 0;
          return n;
        };
        for (const auto& end : retries) {
          const int in_window = count(retries, end - absl::Seconds(10), end);
          const int requests = count(first_attempts, end - absl::Seconds(10), end);
          RC_ASSERT(in_window <= 0.2 * requests + 3);
        }
      }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
