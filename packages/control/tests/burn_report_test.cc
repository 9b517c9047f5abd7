// Tests of burn rates and of who needs attention.
#include "marigoldquay/control/burn_report.h"

#include <boost/test/unit_test.hpp>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace marigoldquay {
namespace {

struct Counts {
  std::uint64_t good;
  std::uint64_t total;
};

BurnCounts Series(const std::string& workspace, Counts five, Counts hour, Counts six) {
  return {workspace,
          "first_token",
          {{absl::Minutes(5), five.good, five.total},
           {absl::Hours(1), hour.good, hour.total},
           {absl::Hours(6), six.good, six.total}}};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(burn_report)

BOOST_AUTO_TEST_CASE(burn_rate_is_missed_fraction_over_budget) {
  BOOST_TEST(BurnRate(95, 100) == 1.0, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(BurnRate(0, 10) == 20.0, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(BurnRate(0, 0) == 0.0);
}

// Guards against an alarm for a quiet workspace or a past failure, and against none for a lasting
// one.
BOOST_AUTO_TEST_CASE(attention_needs_short_and_long_window) {
  const auto level = [](Counts five, Counts hour, Counts six) {
    return MakeBurnReport({ToWire({Series("mugs", five, hour, six)}), 1, 1}).lines[0].level;
  };
  BOOST_TEST((level({10, 100}, {100, 1000}, {5000, 6000}) == AttentionLevel::kNow));
  BOOST_TEST((level({100, 100}, {100, 1000}, {5900, 6000}) == AttentionLevel::kNone));
  BOOST_TEST((level({95, 100}, {600, 1000}, {4000, 6000}) == AttentionLevel::kSoon));
  BOOST_TEST((level({100, 100}, {1000, 1000}, {4000, 6000}) == AttentionLevel::kNone));
  BOOST_TEST((level({0, 4}, {0, 4}, {0, 4}) == AttentionLevel::kNone));
}

// Guards against a report over one VM's counts only, and against one that hides missing VMs.
BOOST_AUTO_TEST_CASE(counts_of_all_vms_are_added) {
  BurnAnswer answer{
      ToWire({Series("mugs", {1, 2}, {3, 4}, {5, 6}), Series("heaters", {0, 50}, {0, 50}, {0, 50}),
              Series("mugs", {10, 20}, {30, 40}, {50, 60})}),
      3, 2};
  const BurnReport report = MakeBurnReport(answer);
  BOOST_REQUIRE(report.lines.size() == 2U);
  BOOST_TEST(report.lines[0].workspace == "heaters");
  BOOST_TEST(report.lines[1].windows[2].good == 55U);
  BOOST_TEST(report.lines[1].windows[2].total == 66U);
  const std::string attention = report.Attention();
  BOOST_TEST(attention ==
             "needs attention: heaters first_token now (burn 20.0 over 5 min, 20.0 over 1 h, 20.0 "
             "over 6 h); counts of 1 of 3 VMs are missing");
  BOOST_TEST(absl::EndsWith(report.ToText(), attention + "\n"));
  const auto json = report.ToJson();
  BOOST_TEST(json.at("series").as_array()[0].at("level").as_string() == "now");
  BOOST_TEST(MakeBurnReport({}).Attention() == "needs attention: nobody");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace marigoldquay
