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

// Guards against a workspace below its rate that gets 429 while engines are full, because it pays
// for every attempt that the router rejects.
BOOST_AUTO_TEST_CASE(rejected_attempts_are_not_charged_while_engines_are_full) {
  WorldOptions options;
  options.name = "quota-refund";
  options.vms = 3;
  options.rate = 20'000;
  options.prefill_engines = 2;
  options.decode_engines = 2;
  options.event_gap = absl::Milliseconds(150);
  // Two streams fill an engine.
  options.configuration = [](boost::json::object& config) {
    config["services"].as_array()[1].as_object()["engine"].as_object()["kvCapacity"] = 10'000;
  };
  World world(options);
  for (int i = 0; i < 3; ++i) BOOST_TEST_REQUIRE(world.AwaitReady(i));
  absl::SleepFor(absl::Seconds(2));
  // The buckets begin half full.
  for (const char* key : {"key-1", "key-2"}) {
    CallerCall call;
    call.id = NewRequestId();
    call.key = key;
    BOOST_TEST(world.Call(0, call).status == 200);
  }
  absl::SleepFor(absl::Seconds(1));
  const absl::Time until = absl::Now() + absl::Seconds(6);
  std::vector<std::thread> callers;
  std::atomic<int> over_quota{0};
  std::atomic<int> rejected{0};
  std::atomic<int> served{0};
  // Each request of 4,600 tokens comes again until it is served: 12 callers of one request every
  // 4 s are 13,800 tokens a second, and some 4 requests a second find a place.
  for (int i = 0; i < 12; ++i) {
    callers.emplace_back([&, i] {
      absl::SleepFor(absl::Milliseconds(330) * i);
      while (absl::Now() < until) {
        const absl::Time next = absl::Now() + absl::Seconds(4);
        for (int status = 0; status != 200 && absl::Now() < until;) {
          CallerCall call;
          call.id = NewRequestId();
          call.path = "/once/x";
          call.headers = {"Token-Count: 4500,100"};
          call.time_left = absl::Milliseconds(900);
          status = world.Call(i % 3, call).status;
          if (status == 200) ++served;
          if (status == 429) ++over_quota;
          if (status != 200 && status != 429) ++rejected;
          absl::SleepFor(absl::Milliseconds(50));
        }
        absl::SleepFor(std::max(next - absl::Now(), absl::ZeroDuration()));
      }
    });
  }
  // The other workspace keeps the engines full.
  for (int i = 0; i < 10; ++i) {
    callers.emplace_back([&world, i, until] {
      while (absl::Now() < until) {
        CallerCall call;
        call.id = NewRequestId();
        call.key = "key-2";
        call.path = "/once/x";
        call.headers = {"Token-Count: 4500,100"};
        if (world.Call(i % 3, call).status != 200) absl::SleepFor(absl::Milliseconds(20));
      }
    });
  }
  for (auto& caller : callers) caller.join();
  BOOST_TEST_MESSAGE("served " << served << ", rejected " << rejected << ", 429 " << over_quota);
  BOOST_TEST(served > 0);
  // Without rejected attempts the test shows nothing.
  BOOST_TEST(rejected > 10);
  BOOST_TEST(over_quota == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay::testing
