// Several real daemons on the platform: configuration, membership, outages of the
// store and planned stops.
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <thread>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "world.h"

namespace marigoldquay::testing {
namespace {

CallerCall Order() {
  CallerCall call;
  call.id = NewRequestId();
  return call;
}

WorldOptions Named(const std::string& name, int vms) {
  WorldOptions options;
  options.name = name;
  options.vms = vms;
  return options;
}

std::size_t AddressCount(const World& world, int vm) {
  const auto reply =
      Get("http://" + world.directory_address(vm) + "/resolve?name=shop.example&zone=z1");
  if (reply.status != 200) return 0;
  return reply.Json().at("addresses").as_array().size();
}

BOOST_AUTO_TEST_SUITE(platform_fleet)

BOOST_AUTO_TEST_CASE(without_configuration_it_is_not_ready) {
  auto options = Named("no_configuration", 1);
  options.with_configuration = false;
  World world(options);
  BOOST_TEST(Eventually(absl::Seconds(5), [&] {
    return Get("http://" + world.readiness_address(0) + "/readiness").status == 503;
  }));
  const auto reply = world.Call(0, Order());
  BOOST_TEST(reply.status == 503);
  BOOST_TEST(reply.headers.count("retry-after") == 1);
  world.Configure();
  BOOST_TEST(world.AwaitReady(0));
  BOOST_TEST(world.Call(0, Order()).status == 200);
}

// Unreadable entries of another writer must not take the good ones along.
BOOST_AUTO_TEST_CASE(foreign_entries_are_skipped) {
  World world(Named("foreign_entries", 1));
  BOOST_TEST_REQUIRE(world.AwaitReady(0));
  world.Run([&] {
    world.store().Put("keyed.servers", "x1", "no json");
    world.store().Put("keyed.servers", "x2", R"({"service":5})");
    world.store().Put("keyed.servers", "x3",
                      R"({"service":"desk","address":"127.0.0.1:1","zone":"z1","slots":"8",)"
                      R"("state":"ready"})");
  });
  absl::SleepFor(absl::Milliseconds(1500));
  for (int i = 0; i < 10; ++i) BOOST_TEST(world.Call(0, Order()).status == 200);
}

BOOST_AUTO_TEST_CASE(directory_names_ready_vms_only) {
  World world(Named("directory", 3));
  for (int i = 0; i < 3; ++i) BOOST_TEST_REQUIRE(world.AwaitReady(i));
  BOOST_TEST(Eventually(absl::Seconds(10), [&] { return AddressCount(world, 0) == 3; }));
  world.vm(2).Kill();
  BOOST_TEST(Eventually(absl::Seconds(10), [&] { return AddressCount(world, 0) == 2; }));
  world.StartVm(2);
  BOOST_TEST(Eventually(absl::Seconds(10), [&] { return AddressCount(world, 0) == 3; }));
}

// A change holds within its bound, also when the history is forgotten, and does not go back.
BOOST_AUTO_TEST_CASE(withdrawn_key_is_refused_everywhere) {
  World world(Named("withdrawn_key", 2));
  for (int i = 0; i < 2; ++i) BOOST_TEST_REQUIRE(world.AwaitReady(i));
  world.Configure([](boost::json::object& config) {
    config["tenants"].as_array()[0].as_object()["apiKeys"] = boost::json::array{"key-1b"};
  });
  world.Run([&] { world.store().Compact(); });
  for (int i = 0; i < 2; ++i) {
    BOOST_TEST(Eventually(absl::Seconds(2), [&] { return world.Call(i, Order()).status == 401; }));
    for (int n = 0; n < 5; ++n) BOOST_TEST(world.Call(i, Order()).status == 401);
  }
}

// Every kind of outage of the store leaves the request path as it was.
BOOST_AUTO_TEST_CASE(store_outage_does_not_stop_service) {
  World world(Named("store_outage", 2));
  for (int i = 0; i < 2; ++i) BOOST_TEST_REQUIRE(world.AwaitReady(i));
  for (const auto mode :
       {StoreMode::kBusy, StoreMode::kSilent, StoreMode::kReset, StoreMode::kSlow}) {
    world.Run([&] { world.store().set_mode(mode); });
    const auto until = absl::Now() + absl::Seconds(3);
    while (absl::Now() < until) {
      BOOST_TEST(world.Call(0, Order()).status == 200);
      BOOST_TEST(world.Call(1, Order()).status == 200);
    }
    BOOST_TEST(world.AwaitReady(0, absl::ZeroDuration()));
  }
  world.Run([&] { world.store().set_mode(StoreMode::kUp); });
  world.Configure([](boost::json::object& config) {
    config["tenants"].as_array()[0].as_object()["apiKeys"] = boost::json::array{"key-1b"};
  });
  BOOST_TEST(Eventually(absl::Seconds(4), [&] { return world.Call(0, Order()).status == 401; }));
}

// A server that has announced its leaving gets no new work after 2 s.
BOOST_AUTO_TEST_CASE(draining_server_gets_no_new_work) {
  World world(Named("draining_server", 2));
  for (int i = 0; i < 2; ++i) BOOST_TEST_REQUIRE(world.AwaitReady(i));
  world.Announce("s1", "draining");
  world.Unlist("d1");
  absl::SleepFor(absl::Seconds(2));
  const absl::Time bound = absl::Now();
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(world.Call(i % 2, Order()).status == 200);
    CallerCall stream = Order();
    stream.path = "/once/x";
    stream.headers = {"Token-Count: 100,10"};
    BOOST_TEST(world.Call(i % 2, stream).status == 200);
  }
  for (const auto& run : world.Seen().runs) {
    if (run.started < bound) continue;
    BOOST_TEST(run.replica != "s1");
    BOOST_TEST(run.replica != "d1");
  }
}

// A planned stop cuts no request and leaves the list of addresses first.
BOOST_AUTO_TEST_CASE(planned_stop_cuts_nothing) {
  World world(Named("planned_stop", 2));
  for (int i = 0; i < 2; ++i) BOOST_TEST_REQUIRE(world.AwaitReady(i));
  std::atomic<bool> stop{false};
  std::atomic<int> cut{0};
  std::atomic<int> served{0};
  std::thread caller([&] {
    while (!stop) {
      CallerCall call = Order();
      call.path = "/once/x";
      call.headers = {"Token-Count: 100,10"};
      const auto reply = world.Call(0, call);
      if (reply.status == 200 && reply.complete()) ++served;
      if (reply.status == 200 && !reply.complete()) ++cut;
    }
  });
  absl::SleepFor(absl::Milliseconds(500));
  world.vm(0).Terminate();
  BOOST_TEST(Eventually(absl::Seconds(1), [&] {
    return Get("http://" + world.readiness_address(0) + "/readiness").status == 503;
  }));
  BOOST_TEST(Eventually(absl::Seconds(3), [&] { return AddressCount(world, 1) == 1; }));
  const auto status = world.vm(0).Wait(absl::Seconds(8));
  stop = true;
  caller.join();
  BOOST_TEST(status.value_or(-1) == 0);
  BOOST_TEST(cut == 0);
  BOOST_TEST(served > 0);
}

// Guards against requests that come late in a planned stop, are sent to a backend server, and are
// cut without an answer when the process exits.
BOOST_AUTO_TEST_CASE(request_in_any_second_of_a_planned_stop_is_answered) {
  WorldOptions options = Named("late_in_stop", 1);
  options.work = absl::Milliseconds(900);
  World world(options);
  BOOST_TEST_REQUIRE(world.AwaitReady(0));
  struct Sent {
    CallerCall call;
    ClientResponse response;
  };
  std::vector<std::unique_ptr<Sent>> all;
  std::vector<std::thread> callers;
  world.vm(0).Terminate();
  const absl::Time until = absl::Now() + absl::Seconds(9);
  while (absl::Now() < until) {
    auto sent = std::make_unique<Sent>();
    sent->call = Order();
    sent->call.path = all.size() % 2 == 0 ? "/order/x" : "/status/x";
    // Some callers wait for longer than the process lives.
    sent->call.time_left = all.size() % 4 < 2 ? absl::Milliseconds(1500) : absl::Seconds(5);
    callers.emplace_back(
        [&world, sent = sent.get()] { sent->response = world.Call(0, sent->call); });
    all.push_back(std::move(sent));
    absl::SleepFor(absl::Milliseconds(100));
  }
  for (auto& caller : callers) caller.join();
  int answered = 0;
  for (const auto& sent : all) {
    if (sent->response.complete()) ++answered;
    const bool passed_on = !world.RunsOf(sent->call.id).empty();
    BOOST_TEST((!passed_on || sent->response.complete()), sent->call.id << " was cut");
  }
  BOOST_TEST(answered > 40);
}

BOOST_AUTO_TEST_CASE(bad_settings_are_refused_with_the_field) {
  World world(Named("bad_settings", 1));
  const std::string path = world.SettingsPath(0) + ".bad";
  for (const auto& [text, field] : std::vector<std::pair<std::string, std::string>>{
           {"{", "JSON"}, {"{}", "node"}, {R"({"node":"n","zone":7})", "zone"}}) {
    std::ofstream(path) << text;
    Process daemon(MARIGOLDQUAY_DAEMON, {"--node_file=" + path}, path);
    BOOST_TEST(daemon.Wait(absl::Seconds(5)).value_or(-1) == 2);
    BOOST_TEST(absl::StrContains(daemon.Log(), field), daemon.Log());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay::testing
