// A store that comes back from an older copy: what it had acknowledged since is gone, and offsets
// are given out again.
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "world.h"

namespace marigoldquay::testing {
namespace {

constexpr int kVms = 3;
// Bounds of the platform.
constexpr absl::Duration kApply = absl::Seconds(2);
constexpr absl::Duration kDrain = absl::Seconds(2);
constexpr absl::Duration kContact = absl::Seconds(3);
constexpr absl::Duration kOutage = absl::Milliseconds(600);
// Time for all VMs to read what was written.
constexpr absl::Duration kRead = absl::Milliseconds(1500);

void WithdrawSecondKey(boost::json::object& config) {
  config["tenants"].as_array()[1].as_object()["apiKeys"] = boost::json::array{"another-key"};
}

unsigned LookUp(const World& world, int vm, const std::string& key) {
  CallerCall call;
  call.id = NewRequestId();
  call.path = "/status/x";
  call.method = "GET";
  call.body = "";
  call.key = key;
  return static_cast<unsigned>(world.Call(vm, call).status);
}

/// Sends lookups to all VMs until it goes out of scope.
class LookupLoad {
 public:
  explicit LookupLoad(World& world, int vms = kVms) {
    for (int vm = 0; vm < vms; ++vm) {
      threads_.emplace_back([this, &world, vm] {
        while (!stop_) {
          if (LookUp(world, vm, "key-1") != 200) ++failures_;
          absl::SleepFor(absl::Milliseconds(10));
        }
      });
    }
  }
  ~LookupLoad() {
    stop_ = true;
    for (auto& thread : threads_) thread.join();
  }
  LookupLoad(const LookupLoad&) = delete;
  LookupLoad& operator=(const LookupLoad&) = delete;

  int failures() const { return failures_; }

 private:
  std::atomic<bool> stop_{false};
  std::atomic<int> failures_{0};
  std::vector<std::thread> threads_;
};

struct Fixture {
  explicit Fixture(WorldOptions options = Options()) : world(std::move(options)) {
    for (int vm = 0; vm < kVms; ++vm) BOOST_TEST_REQUIRE(world.AwaitReady(vm));
    absl::SleepFor(kRead);
  }

  static WorldOptions Options() {
    WorldOptions options;
    options.name = "restore";
    options.vms = kVms;
    return options;
  }

  // Requests that a server got after `from`.
  std::size_t ArrivalsAt(const std::string& server, absl::Time from) {
    std::size_t count = 0;
    for (const auto& arrival : world.Seen().arrivals) {
      if (arrival.replica == server && arrival.at > from) ++count;
    }
    return count;
  }

  World world;
};

BOOST_FIXTURE_TEST_SUITE(platform_restore, Fixture)

// Guards against a configuration that is skipped because it was written at offsets that the VMs had
// read before the return.
BOOST_AUTO_TEST_CASE(configuration_at_an_offset_that_was_read_before_is_in_force) {
  const absl::Time copied_at = absl::Now();
  world.Configure();
  world.Configure();
  absl::SleepFor(kRead);
  const std::string newest = world.NextConfiguration();
  const std::string withdrawn = world.NextConfiguration(WithdrawSecondKey);
  // As many records as before.
  world.RestoreStore(copied_at, kOutage, [&](FakeStore& store) {
    store.Put("keyed.op", "config", newest);
    store.Put("keyed.op", "config", withdrawn);
  });
  absl::SleepFor(kApply);
  for (int vm = 0; vm < kVms; ++vm) {
    BOOST_TEST(LookUp(world, vm, "key-2") == 401U, "vm-" << vm << " serves a withdrawn key");
    BOOST_TEST(LookUp(world, vm, "key-1") == 200U);
  }
}

// Guards against a draining server that stays in use because its entry was written at offsets that
// the VMs had read before the return.
BOOST_AUTO_TEST_CASE(draining_server_at_an_offset_that_was_read_before_is_not_used) {
  const absl::Time copied_at = absl::Now();
  for (const std::string server : {"s2", "s3", "s2"}) world.Announce(server, "ready");
  absl::SleepFor(kRead);
  const LookupLoad load(world);
  world.RestoreStore(copied_at, kOutage, [&](FakeStore& store) {
    store.Put("keyed.servers", "s1", world.Entry("s1", "draining"));
    store.Put("keyed.servers", "s2", world.Entry("s2", "ready"));
    store.Put("keyed.servers", "s3", world.Entry("s3", "ready"));
  });
  absl::SleepFor(kDrain);
  const absl::Time from = absl::Now();
  absl::SleepFor(absl::Seconds(1));
  BOOST_TEST(ArrivalsAt("s1", from) == 0U);
  BOOST_TEST(ArrivalsAt("s2", from) > 0U);
}

// Guards against servers that had drained or gone and are used again because the copy lists them as
// ready; also by a VM that starts after the return.
BOOST_AUTO_TEST_CASE(servers_that_have_left_are_not_used_again) {
  const absl::Time copied_at = absl::Now();
  world.Announce("s1", "draining");
  world.Unlist("s2");
  absl::SleepFor(kRead);
  world.vm(2).Kill();
  world.RestoreStore(copied_at, kOutage);
  world.StartVm(2);
  BOOST_TEST_REQUIRE(world.AwaitReady(2));
  const LookupLoad others(world, 2);
  const absl::Time returned_at = absl::Now();
  absl::SleepFor(kContact);
  BOOST_TEST(ArrivalsAt("s1", returned_at) == 0U);
  BOOST_TEST(ArrivalsAt("s2", returned_at) == 0U);
  const absl::Time in_touch = absl::Now();
  for (int i = 0; i < 30; ++i) BOOST_TEST(LookUp(world, 2, "key-1") == 200U);
  BOOST_TEST(ArrivalsAt("s1", in_touch) == 0U);
  BOOST_TEST(ArrivalsAt("s2", in_touch) == 0U);
}

// Guards against a server that was away, is alive and stays unused after the return.
BOOST_AUTO_TEST_CASE(server_that_is_listed_again_is_used) {
  const absl::Time copied_at = absl::Now();
  world.Unlist("s2");
  absl::SleepFor(kRead);
  world.RestoreStore(copied_at, kOutage);
  world.Announce("s2", "ready");
  absl::SleepFor(kRead);
  const absl::Time from = absl::Now();
  const LookupLoad load(world);
  absl::SleepFor(absl::Seconds(1));
  BOOST_TEST(ArrivalsAt("s2", from) > 0U);
}

// Guards against sound servers that are dropped because the copy is older than their entries.
BOOST_AUTO_TEST_CASE(servers_that_the_copy_does_not_list_stay_in_use) {
  const LookupLoad load(world);
  absl::SleepFor(absl::Milliseconds(300));
  // The store was not even seen to be away.
  world.RestoreStore(absl::InfinitePast(), absl::ZeroDuration());
  absl::SleepFor(absl::Milliseconds(1200));
  world.Configure();
  for (const std::string server : {"s1", "s2", "s3"}) world.Announce(server, "ready");
  absl::SleepFor(kContact);
  BOOST_TEST(load.failures() == 0);
}

// Guards against a VM that starts after the return and takes an older configuration from the copy
// for the newest one; one VM more knows better.
BOOST_AUTO_TEST_CASE(vm_that_starts_after_the_return_does_not_use_an_older_configuration) {
  const absl::Time copied_at = absl::Now();
  world.Configure(WithdrawSecondKey);
  absl::SleepFor(kRead);
  for (const int vm : {1, 2}) world.vm(vm).Kill();
  world.RestoreStore(copied_at, kOutage);
  for (const int vm : {1, 2}) world.StartVm(vm);
  absl::SleepFor(kContact);
  for (int vm = 0; vm < kVms; ++vm) BOOST_TEST(LookUp(world, vm, "key-2") == 401U);
}

BOOST_AUTO_TEST_SUITE_END()

struct UnequalFixture : Fixture {
  UnequalFixture() : Fixture(UnequalOptions()) {}

  // Only the last VM is large enough to coordinate while it is up.
  static WorldOptions UnequalOptions() {
    WorldOptions options = Options();
    options.name = "restore_unequal";
    options.cpu_share = [](int vm) { return vm == kVms - 1 ? 0.25 : 0.1; };
    return options;
  }
};

BOOST_FIXTURE_TEST_SUITE(platform_restore_coordinator, UnequalFixture)

// Guards against a coordinator that starts after the return, knows less than the other VMs, and
// takes the copy for the newest data.
BOOST_AUTO_TEST_CASE(coordinator_that_starts_after_the_return_learns_from_the_others) {
  const absl::Time copied_at = absl::Now();
  world.Configure(WithdrawSecondKey);
  world.Announce("s1", "draining");
  world.Unlist("s2");
  absl::SleepFor(kRead);
  world.vm(kVms - 1).Kill();
  world.RestoreStore(copied_at, kOutage);
  world.StartVm(kVms - 1);
  BOOST_TEST_REQUIRE(world.AwaitReady(kVms - 1));
  absl::SleepFor(kContact);
  const absl::Time in_touch = absl::Now();
  for (int i = 0; i < 30; ++i) {
    for (int vm = 0; vm < kVms; ++vm) BOOST_TEST(LookUp(world, vm, "key-1") == 200U);
  }
  for (int vm = 0; vm < kVms; ++vm) BOOST_TEST(LookUp(world, vm, "key-2") == 401U);
  BOOST_TEST(ArrivalsAt("s1", in_touch) == 0U);
  BOOST_TEST(ArrivalsAt("s2", in_touch) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay::testing
