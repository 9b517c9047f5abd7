// Orders that change the roles of engines: when they are given, and by whom.
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <set>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "world.h"

namespace marigoldquay::testing {
namespace {

// `leaseMs` of the settings, by default.
constexpr absl::Duration kLease = absl::Seconds(3);

/// A world whose only decode engine is full while its prefill engines idle.
struct Fixture {
  World world{Options()};
  std::atomic<bool> stop{false};
  std::atomic<int> served{0};
  std::vector<std::thread> callers;

  static WorldOptions Options() {
    WorldOptions options;
    options.name = "roles";
    options.vms = 3;
    options.prefill_engines = 5;
    options.decode_engines = 1;
    options.event_gap = absl::Milliseconds(100);
    return options;
  }

  Fixture() {
    // Two streams fill an engine.
    world.Configure([](boost::json::object& config) {
      config["services"].as_array()[1].as_object()["engine"].as_object()["kvCapacity"] = 10'000;
    });
    for (int i = 0; i < 3; ++i) BOOST_TEST_REQUIRE(world.AwaitReady(i));
    for (int i = 0; i < 6; ++i) {
      callers.emplace_back([this, i] {
        while (!stop) {
          CallerCall call;
          call.id = NewRequestId();
          call.path = "/once/x";
          call.headers = {"Token-Count: 4500,100"};
          if (world.Call(i % 3, call).status == 200) ++served;
          absl::SleepFor(absl::Milliseconds(10));
        }
      });
    }
  }
  ~Fixture() {
    stop = true;
    for (auto& caller : callers) caller.join();
  }

  std::vector<ReplicaOrder> Orders() { return world.Seen().orders; }

  // Index of the VM that a holder's name begins with.
  static int VmOf(const std::string& holder) {
    for (int vm = 0; vm < 3; ++vm) {
      const std::string name = absl::StrCat("vm-", vm);
      if (holder.compare(0, name.size(), name) == 0) return vm;
    }
    return -1;
  }

  // The servers write their entries again; the claims are lost.
  void RestoreStore(absl::Time copied_at) {
    world.RestoreStore(copied_at, absl::Milliseconds(500), [this](FakeStore& store) {
      for (const std::string engine : {"p1", "p2", "p3", "p4", "p5", "d1"}) {
        store.Put("keyed.servers", engine, world.Entry(engine, "ready"));
      }
    });
  }

  // Claims only grow, two holders are a lease apart, and no engine is ordered twice.
  void CheckHolders() {
    const auto orders = Orders();
    std::set<std::string> changed;
    for (std::size_t i = 0; i < orders.size(); ++i) {
      changed.insert(orders[i].replica);
      if (i == 0) continue;
      BOOST_TEST(orders[i].claim >= orders[i - 1].claim);
      if (orders[i].holder == orders[i - 1].holder) continue;
      BOOST_TEST(orders[i].claim > orders[i - 1].claim);
      BOOST_TEST((orders[i].at - orders[i - 1].at > kLease));
    }
    BOOST_TEST(changed.size() == orders.size());
  }
};

BOOST_FIXTURE_TEST_SUITE(platform_roles, Fixture)

// Guards against streams that wait while prefill engines idle, and against two VMs that order at
// the same time after the coordinating one was killed.
BOOST_AUTO_TEST_CASE(idle_prefill_engines_help_and_holders_do_not_overlap) {
  BOOST_TEST_REQUIRE(Eventually(absl::Seconds(15), [&] { return !Orders().empty(); }));
  const auto first = Orders().front();
  BOOST_TEST(first.phase == "decode");
  BOOST_TEST(first.claim >= 1);
  const int before = served;
  BOOST_TEST(Eventually(absl::Seconds(5), [&] { return served > before; }));
  const int vm = VmOf(first.holder);
  BOOST_TEST_REQUIRE(vm >= 0);
  world.vm(vm).Kill();
  world.StartVm(vm);
  BOOST_TEST(Eventually(absl::Seconds(30), [&] { return Orders().back().holder != first.holder; }));
  CheckHolders();
}

// Guards against a holder that was paused for seconds and then acts on a claim that another VM has
// taken over meanwhile.
BOOST_AUTO_TEST_CASE(paused_holder_gives_no_orders_on_its_old_claim) {
  BOOST_TEST_REQUIRE(Eventually(absl::Seconds(15), [&] { return !Orders().empty(); }));
  const auto first = Orders().front();
  const int vm = VmOf(first.holder);
  BOOST_TEST_REQUIRE(vm >= 0);
  world.vm(vm).Pause();
  const bool taken_over =
      Eventually(absl::Seconds(30), [&] { return Orders().back().holder != first.holder; });
  world.vm(vm).Resume();
  BOOST_TEST(taken_over);
  absl::SleepFor(absl::Seconds(4));
  CheckHolders();
}

// Guards against a claim with the number of an earlier one, after the store has come back from a
// copy without that one, and against a holder that orders on a claim that the store has lost.
BOOST_AUTO_TEST_CASE(claims_rise_after_the_store_comes_back_from_a_copy) {
  const absl::Time before_claim = absl::Now();
  BOOST_TEST_REQUIRE(Eventually(absl::Seconds(15), [&] { return !Orders().empty(); }));
  const auto first = Orders().front();
  const int vm = VmOf(first.holder);
  BOOST_TEST_REQUIRE(vm >= 0);
  world.vm(vm).Kill();
  RestoreStore(before_claim);
  world.StartVm(vm);
  BOOST_TEST(Eventually(absl::Seconds(30), [&] { return Orders().back().holder != first.holder; }));
  CheckHolders();
}

// Guards against a holder that gives no orders any more because the store has lost its claim.
BOOST_AUTO_TEST_CASE(holder_orders_again_after_the_store_has_lost_its_claim) {
  const absl::Time before_claim = absl::Now();
  BOOST_TEST_REQUIRE(Eventually(absl::Seconds(15), [&] { return !Orders().empty(); }));
  const auto before = Orders();
  RestoreStore(before_claim);
  BOOST_TEST(
      Eventually(absl::Seconds(30), [&] { return Orders().back().claim > before.back().claim; }));
  CheckHolders();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay::testing
