// Engine reports and what is built from them: prefix index, estimates, link
// times, baselines.
#include "marigoldquay/scheduling/engine_reports.h"

#include <boost/test/unit_test.hpp>

#include "cell_server.h"
#include "fakes.h"
#include "marigoldquay/scheduling/placement_policy.h"
#include "marigoldquay/scheduling/prefix_index.h"
#include "marigoldquay/scheduling/speed_estimate.h"

namespace marigoldquay {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

BOOST_AUTO_TEST_SUITE(engine_reports)

// Fails if reports of an engine are misread, or if malformed ones are taken.
BOOST_AUTO_TEST_CASE(reads_load_and_cache_events) {
  std::string body;
  testing::FakeHttpClient http([&](const HttpRequest&) -> Result<HttpResponse> {
    return HttpResponse{200, {}, body};
  });
  const auto reports = MakeHttpEngineReports(http);
  const BackendServer server{.id = "p", .address = "p:1"};
  const auto load = [&] {
    return Capture<LoadReport>([&] { return reports->Load(server, absl::Seconds(1)); });
  };
  const auto events = [&] {
    return Capture<std::vector<CacheEvent>>(
        [&] { return reports->CacheEvents(server, 7, absl::Seconds(1)); });
  };
  body = R"({"slots":20,"slots_used":3,"pieces":9,"pieces_used":1,"queue":2,"role":"decode",)"
         R"("model":"m","fencing":5,"seq":1})";
  BOOST_TEST((std::get<0>(load()) == LoadReport{20, 3, 9, 1, 2, "decode", "m", 5}));
  body = R"({"slots":-1})";
  BOOST_TEST(load().index() == 1);
  body = R"({"events":[{"seq":7,"kind":"add","prefix":"00000000000000ff","tokens":2000},)"
         R"({"seq":8,"kind":"evict","prefix":18446744073709551615}]})";
  BOOST_TEST((std::get<0>(events()) ==
              std::vector<CacheEvent>{{7, true, 255, 2000}, {8, false, UINT64_MAX, 0}}));
  BOOST_TEST(http.requests().back().url == "http://p:1/v1/cache_events?from=7");
  body = R"({"events":[{"seq":7,"kind":"other","prefix":1}]})";
  BOOST_TEST(events().index() == 1);
}

// Fails if evictions that were lost in a gap leave stale prefixes.
BOOST_AUTO_TEST_CASE(gap_drops_the_prefix_index) {
  PrefixIndex index(2);
  BOOST_TEST(index.Apply({{5, true, 1, 2000}, {6, true, 2, 2000}}));
  BOOST_TEST(index.Apply({{6, false, 2, 0}}));
  BOOST_TEST(index.Find(2) == 2000);
  BOOST_TEST(!index.Apply({{8, true, 3, 2000}}));
  BOOST_TEST(index.Find(1) == 0);
  BOOST_TEST(index.Find(3) == 2000);
  BOOST_TEST(index.next_sequence() == 9U);
  index.Add(4, 2000);
  index.Add(5, 2000);
  BOOST_TEST(index.size() == 2U);
}

// Fails if one stalled request spoils an estimate, or if a lasting change is not followed.
BOOST_AUTO_TEST_CASE(estimate_resists_outliers_and_follows_changes) {
  SpeedEstimate estimate(5);
  for (int i = 0; i < 20; ++i) estimate.Observe(10);
  estimate.Observe(10000);
  BOOST_TEST(estimate.value() < 13);
  for (int i = 0; i < 60; ++i) estimate.Observe(30);
  BOOST_TEST(estimate.value() > 28);
}

// Fails if two transfers are planned on one link at the same time.
BOOST_AUTO_TEST_CASE(link_times_do_not_overlap) {
  LinkCalendar a;
  LinkCalendar b;
  const auto ms = [](int n) { return absl::Milliseconds(n); };
  a.Reserve(1, kStart + ms(10), ms(10));
  b.Reserve(2, kStart + ms(25), ms(10));
  BOOST_TEST((EarliestCommonStart(a, b, kStart, ms(10)) == kStart));
  BOOST_TEST((EarliestCommonStart(a, b, kStart + ms(5), ms(5)) == kStart + ms(5)));
  BOOST_TEST((EarliestCommonStart(a, b, kStart + ms(5), ms(6)) == kStart + ms(35)));
  b.Release(2);
  BOOST_TEST((EarliestCommonStart(a, b, kStart + ms(5), ms(6)) == kStart + ms(20)));
}

// Fails if a lagging report that still counts ended requests makes a server look full for longer
// than reports lag, or if slots of unknown holders are not counted.
BOOST_AUTO_TEST_CASE(unknown_slots_are_what_exceeds_recent_ones) {
  CellServer server({.role = BackendRole::kDecode}, {});
  server.OnReport({.slots = 4}, kStart);
  server.AddDecode(1, 1);
  server.SetDecodeRunning(1, kStart);
  server.EndDecode(1, kStart + absl::Milliseconds(100));
  auto now = kStart + absl::Milliseconds(200);
  server.OnReport({.slots = 4, .slots_used = 3}, now);
  BOOST_TEST(server.UnknownSlots(now) == 2);
  BOOST_TEST(server.FreeSlots(now) == 2);
  now += absl::Seconds(2);
  BOOST_TEST(server.UnknownSlots(now) == 3);
}

BOOST_AUTO_TEST_CASE(baselines_choose_as_their_names_say) {
  std::vector<ServerStatus> servers = {
      {.id = "p1", .can_prefill = true, .outstanding_prefills = 2, .reported_queue = 1},
      {.id = "p2", .can_prefill = true, .outstanding_prefills = 1, .reported_queue = 2},
      {.id = "d1", .can_decode = true, .reported_slots_used = 5}};
  for (const auto& name : BaselinePolicyNames()) {
    const auto policy = MakeBaselinePolicy(name, 1);
    BOOST_REQUIRE(policy != nullptr);
    std::map<std::string, int> chosen;
    for (int i = 0; i < 100; ++i) ++chosen[policy->Choose(servers)->prefill_server];
    if (name == "round_robin") BOOST_TEST(chosen["p1"] == 50);
    if (name == "least_reported_load") BOOST_TEST(chosen["p1"] == 100);
    if (name == "least_outstanding_of_two") BOOST_TEST(chosen["p2"] > 60);
    BOOST_TEST(!policy->Choose({servers.begin(), servers.begin() + 2}).has_value());
  }
  BOOST_TEST((MakeBaselinePolicy(kReservationPolicy, 1) == nullptr));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
