// The quota of a workspace over several real daemons whose coordinator is killed.
#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>
#include <vector>

#include "absl/time/clock.h"
#include "world.h"

namespace marigoldquay::testing {
namespace {

BOOST_AUTO_TEST_SUITE(platform_quota)

// The VMs together stay within a workspace's rate, also while their coordinator is killed.
BOOST_AUTO_TEST_CASE(quota_holds_over_all_vms) {
  WorldOptions options;
  options.name = "quota";
  options.vms = 3;
  options.rate = 2000;
  World world(options);
  for (int i = 0; i < 3; ++i) BOOST_TEST_REQUIRE(world.AwaitReady(i));
  absl::SleepFor(absl::Seconds(2));
  const absl::Time started = absl::Now();
  std::vector<std::thread> callers;
  std::atomic<int> refused{0};
  for (int i = 0; i < 6; ++i) {
    callers.emplace_back([&world, &refused, i, started] {
      while (absl::Now() < started + absl::Seconds(8)) {
        CallerCall call;
        call.id = NewRequestId();
        call.headers = {"Token-Count: 90,10"};
        const auto reply = world.Call(i % 3, call);
        if (reply.status == 429) ++refused;
        if (reply.status != 200) absl::SleepFor(absl::Milliseconds(20));
      }
    });
  }
  absl::SleepFor(absl::Seconds(3));
  world.vm(0).Kill();
  world.StartVm(0);
  for (auto& caller : callers) caller.join();
  std::size_t runs = 0;
  for (const auto& run : world.Seen().runs) runs += run.started >= started ? 1 : 0;
  const double tokens = 100.0 * static_cast<double>(runs);
  const double seconds = absl::ToDoubleSeconds(absl::Now() - started);
  BOOST_TEST_MESSAGE("tokens " << tokens << " in " << seconds << " s, refused " << refused);
  // Rate and burst, and what VMs admit between two reports.
  BOOST_TEST(tokens <= 2000 * seconds + 2000 + 3 * 1000);
  BOOST_TEST(tokens >= 2000 * seconds * 0.5);
  BOOST_TEST(refused > 0);
}

// VMs that have just started do not know each other yet; each taking itself for the only one would
// hand out three bursts.
BOOST_AUTO_TEST_CASE(quota_holds_from_the_start_of_all_vms) {
  WorldOptions options;
  options.name = "quota-start";
  options.vms = 3;
  options.rate = 2000;
  World world(options);
  const absl::Time started = absl::Now();
  std::vector<std::thread> callers;
  for (int i = 0; i < 6; ++i) {
    callers.emplace_back([&world, i, started] {
      while (absl::Now() < started + absl::Seconds(4)) {
        CallerCall call;
        call.id = NewRequestId();
        call.headers = {"Token-Count: 90,10"};
        if (world.Call(i % 3, call).status != 200) absl::SleepFor(absl::Milliseconds(20));
      }
    });
  }
  for (auto& caller : callers) caller.join();
  std::size_t runs = 0;
  absl::Time first = absl::InfiniteFuture();
  for (const auto& run : world.Seen().runs) {
    ++runs;
    first = std::min(first, run.started);
  }
  const double tokens = 100.0 * static_cast<double>(runs);
  const double seconds = absl::ToDoubleSeconds(absl::Now() - first);
  BOOST_TEST_MESSAGE("tokens " << tokens << " in " << seconds << " s after the first run");
  BOOST_TEST(runs > 0U);
  BOOST_TEST(tokens <= 2000 * seconds + 2000);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay::testing
