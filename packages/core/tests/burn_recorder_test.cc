// Tests of the burn counters with a manual clock.
#include "marigoldquay/core/burn_recorder.h"

#include <boost/test/unit_test.hpp>

namespace marigoldquay {
namespace {

std::vector<std::uint64_t> Totals(const BurnRecorder& recorder, absl::string_view workspace) {
  std::vector<std::uint64_t> totals;
  for (const BurnCounts& counts : recorder.Counts(workspace)) {
    for (const BurnWindowCounts& window : counts.windows) totals.push_back(window.total);
  }
  return totals;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(burn_recorder)

using Numbers = std::vector<std::uint64_t>;

// Guards against requests that stay in a window for too long or leave it too early.
BOOST_AUTO_TEST_CASE(requests_leave_each_window_in_time) {
  ManualClock clock;
  BurnRecorder recorder(clock);
  recorder.Record("mugs", "first_token", true);
  BOOST_TEST((Totals(recorder, "mugs") == Numbers{1, 1, 1}));
  clock.Advance(absl::Minutes(5) - absl::Seconds(1));
  BOOST_TEST((Totals(recorder, "mugs") == Numbers{1, 1, 1}));
  clock.Advance(absl::Seconds(32));
  BOOST_TEST((Totals(recorder, "mugs") == Numbers{0, 1, 1}));
  clock.Advance(absl::Hours(1));
  BOOST_TEST((Totals(recorder, "mugs") == Numbers{0, 0, 1}));
  clock.Advance(absl::Hours(6));
  BOOST_TEST(Totals(recorder, "mugs").empty());
}

BOOST_AUTO_TEST_CASE(counts_are_kept_per_workspace_and_target) {
  ManualClock clock;
  BurnRecorder recorder(clock);
  recorder.Record("mugs", "first_token", false);
  recorder.Record("mugs", "first_token", true);
  recorder.Record("mugs", "between_tokens", true);
  recorder.Record("heaters", "first_token", true);
  const auto counts = recorder.Counts("mugs");
  BOOST_REQUIRE(counts.size() == 2U);
  BOOST_TEST(counts[1].target == "first_token");
  BOOST_TEST(counts[1].windows[0].good == 1U);
  BOOST_TEST(counts[1].windows[0].total == 2U);
  BOOST_TEST(recorder.Counts("").size() == 3U);
}

// Guards against unbounded memory with many workspaces, and against requests that are lost or a
// bound that is never freed.
BOOST_AUTO_TEST_CASE(series_are_bounded) {
  ManualClock clock;
  BurnRecorder recorder(clock, 2);
  for (const char* name : {"a", "b", "c", "d"}) recorder.Record(name, "first_token", true);
  BOOST_TEST(recorder.Counts("").size() == 3U);
  BOOST_TEST((Totals(recorder, "(other)") == Numbers{2, 2, 2}));
  clock.Advance(absl::Hours(7));
  recorder.Record("c", "first_token", true);
  BOOST_TEST((Totals(recorder, "c") == Numbers{1, 1, 1}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace marigoldquay
