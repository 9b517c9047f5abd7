// Troubles that operators of similar systems have met; docs/proofs.md lists them.
#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "absl/time/clock.h"
#include "world.h"

namespace marigoldquay::testing {
namespace {

constexpr int kVms = 3;

WorldOptions Named(const std::string& name, int vms) {
  WorldOptions options;
  options.name = name;
  options.vms = vms;
  return options;
}

CallerCall To(const std::string& path) {
  CallerCall call;
  call.id = NewRequestId();
  call.path = path;
  if (path != "/order/x" && path != "/status/x") call.headers = {"Token-Count: 100,10"};
  return call;
}

BOOST_AUTO_TEST_SUITE(platform_hazards)

// Guards against a caller that gets the second, late copy of the answer to another caller, on a
// connection to the server that is in use again.
BOOST_AUTO_TEST_CASE(late_second_answer_reaches_nobody) {
  auto options = Named("hazard_late_answer", 1);
  options.desk_replicas = 1;
  options.behavior = [](const std::string&) { return ReplicaBehavior::kLateExtraAnswer; };
  World world(options);
  BOOST_TEST_REQUIRE(world.AwaitReady(0));
  int answered = 0;
  for (int i = 0; i < 30; ++i) {
    const auto call = To(i % 3 == 0 ? "/order/x" : "/status/x");
    const auto reply = world.Call(0, call);
    if (reply.status == 200) BOOST_TEST(reply.body == PlainBody(call.id));
    if (reply.status == 200) ++answered;
    absl::SleepFor(absl::Milliseconds(10 * (i % 15)));
  }
  BOOST_TEST(answered > 0);
}

// Guards against a sound stream that is cut since it is slow.
BOOST_AUTO_TEST_CASE(slow_stream_is_not_cut) {
  auto options = Named("hazard_slow_stream", 1);
  options.event_gap = absl::Milliseconds(700);
  World world(options);
  BOOST_TEST_REQUIRE(world.AwaitReady(0));
  auto call = To("/once/x");
  call.time_left = absl::Seconds(10);
  const auto reply = world.Call(0, call);
  BOOST_TEST(reply.status == 200);
  BOOST_TEST(reply.complete());
}

// Guards against a stalled stream that sends a little now and then and never ends: the time-out of
// the route, 5 s, ends it at both sides.
BOOST_AUTO_TEST_CASE(stalled_stream_ends) {
  auto options = Named("hazard_stalled_stream", 1);
  options.event_gap = absl::Milliseconds(1500);
  World world(options);
  BOOST_TEST_REQUIRE(world.AwaitReady(0));
  auto call = To("/once/x");
  call.time_left = absl::Seconds(14);
  const absl::Time started = absl::Now();
  const auto reply = world.Call(0, call);
  BOOST_TEST((absl::Now() - started < absl::Milliseconds(5500)));
  BOOST_TEST(!reply.complete());
  BOOST_TEST(Eventually(absl::Seconds(1), [&] {
    const auto runs = world.RunsOf(call.id);
    return !runs.empty() && runs.back().cancelled.has_value();
  }));
}

// Guards against a withdrawn key, or a server that has left, that is in use again after any VM, the
// coordinating one among them, was started again.
BOOST_AUTO_TEST_CASE(restart_brings_nothing_back) {
  World world(Named("hazard_restart", kVms));
  for (int i = 0; i < kVms; ++i) BOOST_TEST_REQUIRE(world.AwaitReady(i));
  world.Configure([](boost::json::object& config) {
    config["tenants"].as_array()[0].as_object()["apiKeys"] = boost::json::array{"key-1b"};
  });
  world.Announce("s1", "draining");
  world.Unlist("s2");
  absl::SleepFor(absl::Seconds(2));
  const absl::Time bound = absl::Now();
  for (int killed = 0; killed < kVms; ++killed) {
    world.vm(killed).Kill();
    world.StartVm(killed);
    BOOST_TEST_REQUIRE(world.AwaitReady(killed));
    for (int i = 0; i < 30; ++i) {
      auto withdrawn = To("/order/x");
      BOOST_TEST(world.Call(i % kVms, withdrawn).status == 401);
      auto call = To("/order/x");
      call.key = "key-2";
      BOOST_TEST(world.Call(i % kVms, call).status == 200);
    }
  }
  for (const auto& run : world.Seen().runs) {
    BOOST_TEST((run.started < bound || run.replica == "s3"));
  }
}

// Guards against an entry of another writer that ends the process that reads it, stops it from
// following the list, or takes the address of a sound server.
BOOST_AUTO_TEST_CASE(odd_entries_harm_no_other_server) {
  World world(Named("hazard_odd_entries", kVms));
  for (int i = 0; i < kVms; ++i) BOOST_TEST_REQUIRE(world.AwaitReady(i));
  const auto entry = [](const std::string& address, const std::string& rest) {
    return R"({"service":"desk","zone":"z1","state":"ready","address":")" + address + "\"," + rest +
           "}";
  };
  world.Run([&] {
    const Address sound = world.replica_address("s1");
    auto& store = world.store();
    store.Put("keyed.servers", "odd-1", std::string(100'000, '['));
    store.Put("keyed.servers", "odd-2", entry(sound, R"("slots":8,"born":1e300)"));
    store.Put("keyed.servers", "odd-3", entry("127.0.0.1:99999", R"("slots":8)"));
    store.Put("keyed.servers", "odd-4", entry("127.0.0.1:1", R"("slots":1e400)"));
    store.Put("keyed.servers", "odd\r\n5: x", entry(sound, R"("slots":8,"born":9)"));
    store.Put("keyed.servers", "odd 6&part=1", entry(sound, R"("slots":8,"born":9)"));
    store.Put("keyed.servers", std::string{'\xff', '\0', '\xfe'}, "\x80\xff");
  });
  absl::SleepFor(absl::Seconds(2));
  // All servers but one leave, so that the list must still be followed and the one still be used.
  for (const char* id : {"s2", "s3"}) world.Announce(id, "draining");
  absl::SleepFor(absl::Seconds(2));
  for (int i = 0; i < 30; ++i) {
    const auto call = To(i % 2 == 0 ? "/order/x" : "/status/x");
    BOOST_TEST(world.Call(i % kVms, call).status == 200);
    const auto runs = world.RunsOf(call.id);
    BOOST_TEST((runs.size() == 1 && runs[0].replica == "s1"));
  }
  for (int i = 0; i < kVms; ++i) BOOST_TEST(world.vm(i).running());
}

// Guards against streams that go on at another engine and have their prompt read again, beyond the
// retry budget: the repeated prefill is a request to a server as well.
BOOST_AUTO_TEST_CASE(repeated_prefills_count_against_the_retry_budget) {
  constexpr int kRequests = 120;
  constexpr int kCallers = 8;
  // Ratio and burst of the world's settings; all requests come within one window.
  constexpr double kAllowed = 0.2 * kRequests + 52;
  std::atomic<int> streams{0};
  auto options = Named("hazard_repeated_prefills", 1);
  options.decode_engines = 10;
  options.behavior = [&streams](const std::string& id) {
    const bool breaks = id.front() == 'd' && ++streams % 2 == 0;
    return breaks ? ReplicaBehavior::kTruncate : ReplicaBehavior::kNormal;
  };
  World world(options);
  BOOST_TEST_REQUIRE(world.AwaitReady(0));
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&world] {
      for (int n = 0; n < kRequests / kCallers; ++n) (void)world.Call(0, To("/stream/x"));
    });
  }
  for (auto& caller : callers) caller.join();
  std::map<std::string, int> arrivals;
  for (const auto& arrival : world.Seen().arrivals) ++arrivals[arrival.request_id];
  int repeated = 0;
  for (const auto& [id, count] : arrivals) repeated += std::max(count - 2, 0);
  BOOST_TEST(repeated > 20);
  BOOST_TEST(repeated <= kAllowed);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay::testing
