// How the VMs of a deployment share what one of them reads, and what becomes of it
// when that one is lost: calls to the store, hand-over, news of backend servers.
#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "world.h"

namespace marigoldquay::testing {
namespace {

constexpr int kVms = 6;

WorldOptions Named(const std::string& name) {
  WorldOptions options;
  options.name = name;
  options.vms = kVms;
  return options;
}

void AwaitAll(const World& world) {
  for (int i = 0; i < kVms; ++i) BOOST_TEST_REQUIRE(world.AwaitReady(i));
}

std::size_t CallsOf(World& world) {
  std::size_t calls = 0;
  world.Run([&] { calls = world.store().calls(); });
  return calls;
}

CallerCall Order() {
  CallerCall call;
  call.id = NewRequestId();
  return call;
}

CallerCall Stream() {
  CallerCall call = Order();
  call.path = "/once/x";
  call.headers = {"Token-Count: 100,10"};
  return call;
}

void WithdrawKey(World& world) {
  world.Configure([](boost::json::object& config) {
    config["tenants"].as_array()[0].as_object()["apiKeys"] = boost::json::array{"key-1b"};
  });
}

bool AllRefuseTheKey(World& world, absl::Duration timeout) {
  return Eventually(timeout, [&] {
    for (int i = 0; i < kVms; ++i) {
      if (world.Call(i, Order()).status != 401) return false;
    }
    return true;
  });
}

// Index of the VM that coordinates, from the log of one that follows it.
int CoordinatorOf(World& world) {
  for (int i = 0; i < kVms; ++i) {
    const std::string log = world.vm(i).Log();
    const auto at = log.rfind("coordinator_session\"");
    if (at == std::string::npos) continue;
    for (int vm = 0; vm < kVms; ++vm) {
      const auto named = log.find(absl::StrCat("\"vm-", vm, "/"), at);
      if (named != std::string::npos && named < log.find('\n', at)) return vm;
    }
  }
  return -1;
}

BOOST_AUTO_TEST_SUITE(platform_scale)

// Guards against calls to the store that grow with the number of VMs while nothing happens.
BOOST_AUTO_TEST_CASE(vms_with_a_coordinator_leave_the_store_alone) {
  World world(Named("scale_calm"));
  AwaitAll(world);
  absl::SleepFor(absl::Seconds(4));
  const auto before = CallsOf(world);
  absl::SleepFor(absl::Seconds(5));
  const auto calls = CallsOf(world) - before;
  // One VM reads two lists and the log of configurations, all six announce themselves.
  BOOST_TEST(calls <= 65U);
}

// Guards against a configuration that every VM reads, and against one that comes late.
BOOST_AUTO_TEST_CASE(configuration_is_passed_on) {
  World world(Named("scale_configuration"));
  AwaitAll(world);
  absl::SleepFor(absl::Seconds(4));
  const auto before = CallsOf(world);
  WithdrawKey(world);
  BOOST_TEST(AllRefuseTheKey(world, absl::Seconds(1)));
  BOOST_TEST(CallsOf(world) - before <= 25U);
}

// Guards against VMs that act alone, or refuse requests, when the coordinator is killed or frozen:
// streams are placed by the next one.
BOOST_AUTO_TEST_CASE(lost_coordinator_refuses_nothing) {
  World world(Named("scale_lost_coordinator"));
  AwaitAll(world);
  absl::SleepFor(absl::Seconds(3));
  for (const bool frozen : {false, true}) {
    const int coordinator = CoordinatorOf(world);
    BOOST_TEST_REQUIRE(coordinator >= 0);
    if (frozen) {
      world.vm(coordinator).Pause();
    } else {
      world.vm(coordinator).Kill();
    }
    int refused = 0;
    const absl::Time until = absl::Now() + absl::Seconds(4);
    while (absl::Now() < until) {
      for (int i = 0; i < kVms; ++i) {
        if (i == coordinator) continue;
        if (world.Call(i, Stream()).status != 200) ++refused;
        if (world.Call(i, Order()).status != 200) ++refused;
      }
    }
    BOOST_TEST(refused == 0);
    if (frozen) {
      world.vm(coordinator).Resume();
    } else {
      world.StartVm(coordinator);
    }
    BOOST_TEST(world.AwaitReady(coordinator));
    absl::SleepFor(absl::Seconds(3));
  }
}

// Guards against a withdrawn key or a draining server that stays in use while only the coordinator
// is cut off from the store.
BOOST_AUTO_TEST_CASE(coordinator_without_the_store_hands_over) {
  auto options = Named("scale_cut_coordinator");
  options.proxied = true;
  World world(options);
  AwaitAll(world);
  absl::SleepFor(absl::Seconds(3));
  const int coordinator = CoordinatorOf(world);
  BOOST_TEST_REQUIRE(coordinator >= 0);
  world.Run([&] {
    LinkFault cut;
    cut.hold_to_server = true;
    cut.hold_to_client = true;
    cut.refuse = true;
    world.store_link(coordinator).set_fault(cut);
  });
  WithdrawKey(world);
  // The bound of the deployment is 2 s for the VMs that reach the store.
  BOOST_TEST(Eventually(absl::Seconds(2), [&] {
    for (int i = 0; i < kVms; ++i) {
      if (i != coordinator && world.Call(i, Order()).status != 401) return false;
    }
    return true;
  }));
  // The one that is cut off learns it from the others.
  BOOST_TEST(AllRefuseTheKey(world, absl::Seconds(4)));
  absl::SleepFor(absl::Seconds(3));
  const auto before = CallsOf(world);
  absl::SleepFor(absl::Seconds(3));
  BOOST_TEST(CallsOf(world) - before <= 60U);
}

// Guards against servers that are lost to some VMs for good: entries that lapsed while the store
// was away were missing in a VM's own read, and came back when it followed the coordinator again.
BOOST_AUTO_TEST_CASE(servers_that_lapsed_during_an_outage_are_back_everywhere) {
  World world(Named("scale_lapsed"));
  AwaitAll(world);
  absl::SleepFor(absl::Seconds(3));
  const std::vector<std::string> servers = {"s1", "s2", "s3"};
  world.Run([&] { world.store().set_mode(StoreMode::kSilent); });
  for (const auto& server : servers) world.Unlist(server);
  absl::SleepFor(absl::Seconds(5));
  world.Run([&] { world.store().set_mode(StoreMode::kUp); });
  absl::SleepFor(absl::Milliseconds(1500));
  for (const auto& server : servers) world.Announce(server, "ready");
  const absl::Time until = absl::Now() + absl::Seconds(6);
  while (absl::Now() < until) {
    for (int i = 0; i < kVms; ++i) BOOST_TEST(world.Call(i, Order()).status == 200);
  }
}

// Guards against work for a server that says in its answers that it is leaving, at the VM that was
// told so and at the others.
BOOST_AUTO_TEST_CASE(leaving_server_is_left_alone_by_all) {
  auto options = Named("scale_leaving");
  std::atomic<bool> leaving{false};
  options.behavior = [&](const std::string& id) {
    return leaving && id == "s1" ? ReplicaBehavior::kLeaving : ReplicaBehavior::kNormal;
  };
  World world(options);
  AwaitAll(world);
  absl::SleepFor(absl::Seconds(2));
  leaving = true;
  BOOST_TEST_REQUIRE(Eventually(absl::Seconds(10), [&] {
    const std::string id = NewRequestId();
    CallerCall call = Order();
    call.id = id;
    (void)world.Call(0, call);
    const auto runs = world.RunsOf(id);
    return !runs.empty() && runs.back().replica == "s1";
  }));
  absl::SleepFor(absl::Seconds(1));
  const absl::Time bound = absl::Now();
  for (int i = 0; i < 60; ++i) BOOST_TEST(world.Call(i % kVms, Order()).status == 200);
  for (const auto& run : world.Seen().runs) {
    BOOST_TEST((run.started < bound || run.replica != "s1"));
  }
}

// Guards against requests to a server that has asked for a pause.
BOOST_AUTO_TEST_CASE(server_that_asks_for_a_pause_gets_it) {
  auto options = Named("scale_pause");
  options.vms = 1;
  options.behavior = [](const std::string& id) {
    return id == "s1" ? ReplicaBehavior::kWantsPause : ReplicaBehavior::kNormal;
  };
  World world(options);
  BOOST_TEST_REQUIRE(world.AwaitReady(0));
  const absl::Time until = absl::Now() + absl::Seconds(6);
  while (absl::Now() < until) BOOST_TEST(world.Call(0, Order()).status == 200);
  const auto rejections = world.Seen().rejections;
  BOOST_TEST(rejections.size() >= 1U);
  BOOST_TEST(rejections.size() <= 4U);
  for (std::size_t i = 1; i < rejections.size(); ++i) {
    BOOST_TEST((rejections[i] - rejections[i - 1] >= absl::Seconds(2)));
  }
}

// Guards against a body without end that holds a request, or grows a process, for ever.
BOOST_AUTO_TEST_CASE(endless_body_is_cut) {
  auto options = Named("scale_endless");
  options.vms = 1;
  options.behavior = [](const std::string&) { return ReplicaBehavior::kEndlessBody; };
  World world(options);
  BOOST_TEST_REQUIRE(world.AwaitReady(0));
  CallerCall call = Order();
  call.time_left = absl::Seconds(2);
  call.patience = absl::Seconds(8);
  const absl::Time started = absl::Now();
  const auto reply = world.Call(0, call);
  BOOST_TEST((absl::Now() - started < absl::Seconds(4)));
  BOOST_TEST(!reply.complete());
  BOOST_TEST(Eventually(absl::Seconds(2), [&] {
    const auto runs = world.RunsOf(call.id);
    return !runs.empty() && runs.back().cancelled.has_value();
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay::testing
