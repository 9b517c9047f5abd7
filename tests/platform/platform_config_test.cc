// Time until a configuration is in force at every VM, while VMs and their links to the store fail.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"
#include "world.h"

namespace marigoldquay::testing {
namespace {

constexpr int kVms = 12;
// Bounds of the platform.
constexpr absl::Duration kApply = absl::Seconds(2);
constexpr absl::Duration kContact = absl::Seconds(3);
constexpr absl::Duration kChangeInterval = absl::Milliseconds(400);
constexpr absl::Duration kFaultTime = absl::Milliseconds(2500);

struct Change {
  std::uint64_t version = 0;
  absl::Time acknowledged;
};

/// Span in which nothing is expected of a VM.
struct Disturbance {
  int vm = 0;
  absl::Time from;
  absl::Time to = absl::InfiniteFuture();
};

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

std::uint64_t NumberAfter(absl::string_view line, absl::string_view name) {
  const auto at = line.find(name);
  std::uint64_t number = 0;
  if (at == absl::string_view::npos) return 0;
  const std::vector<std::string> parts =
      absl::StrSplit(line.substr(at + name.size()), absl::MaxSplits(absl::ByAnyChar(",}/"), 1));
  return absl::SimpleAtoi(parts.front(), &number) ? number : 0;
}

/// Changes configurations all the time, and checks when each VM applied them, from its log.
class ChangingWorld {
 public:
  explicit ChangingWorld(const std::string& name) : world_(Options(name)) {
    for (int i = 0; i < kVms; ++i) BOOST_TEST_REQUIRE(world_.AwaitReady(i));
    absl::SleepFor(kContact);
  }

  World& world() { return world_; }

  void ChangeFor(absl::Duration duration) {
    const absl::Time until = absl::Now() + duration;
    while (absl::Now() < until) {
      newest_ = world_.NextConfiguration();
      world_.Run([&] { world_.store().Put("keyed.op", "config", newest_); });
      changes_.push_back({NumberAfter(newest_, R"("version":)"), absl::Now()});
      absl::SleepFor(kChangeInterval);
    }
  }
  /// The store comes back from a copy of some changes ago. Only the newest configuration is written
  /// again, so that there are fewer records than before.
  void RestoreStore() {
    constexpr absl::Duration kCopyAge = absl::Milliseconds(1300);
    constexpr absl::Duration kOutage = absl::Milliseconds(700);
    world_.RestoreStore(absl::Now() - kCopyAge, kOutage,
                        [&](FakeStore& store) { store.Put("keyed.op", "config", newest_); });
  }
  void BeginDisturbance(int vm) { disturbances_.push_back({vm, absl::Now()}); }
  void EndDisturbances() {
    for (Disturbance& disturbance : disturbances_) {
      disturbance.to = std::min(disturbance.to, absl::Now());
    }
  }

  // The VM that was named as coordinator last, by any other VM.
  int Coordinator() const {
    int coordinator = 0;
    std::string latest;
    for (int i = 0; i < kVms; ++i) {
      const std::string log = Log(i);
      for (const absl::string_view line : absl::StrSplit(log, '\n')) {
        if (!absl::StrContains(line, "\"coordinator_session\"")) continue;
        const std::string time(line.substr(0, std::min<std::size_t>(line.size(), 34)));
        if (time < latest) continue;
        latest = time;
        coordinator = static_cast<int>(NumberAfter(line, R"("vm":"vm-)"));
      }
    }
    return coordinator;
  }

  /// Checks all changes since the last call; a VM that starts again begins a new log.
  void Check() {
    absl::SleepFor(kApply);
    for (int vm = 0; vm < kVms; ++vm) {
      const auto applied = Applied(vm);
      for (const Change& change : changes_) {
        if (IsExcused(vm, change)) continue;
        const auto in_force = std::find_if(applied.begin(), applied.end(), [&](const Change& own) {
          return own.version >= change.version;
        });
        const bool in_time =
            in_force != applied.end() && in_force->acknowledged < change.acknowledged + kApply;
        BOOST_TEST(in_time,
                   "vm-" << vm << " did not apply version " << change.version << " in time");
        ++checked_;
      }
    }
    changes_.clear();
  }
  /// Number of times that a change was due at a VM.
  int checked() const { return checked_; }

 private:
  static WorldOptions Options(const std::string& name) {
    WorldOptions options;
    options.name = name;
    options.vms = kVms;
    options.proxied = true;
    return options;
  }

  std::string Log(int vm) const { return ReadFile(world_.SettingsPath(vm) + ".out"); }

  // Versions that the VM has applied since its start, with the times.
  std::vector<Change> Applied(int vm) const {
    std::vector<Change> applied;
    for (const std::string& line : std::vector<std::string>(absl::StrSplit(Log(vm), '\n'))) {
      if (!absl::StrContains(line, R"("event":"configuration")")) continue;
      Change change;
      change.version = NumberAfter(line, R"("version":)");
      std::string error;
      constexpr std::size_t kTimeAt = 9;
      constexpr std::size_t kTimeSize = 24;
      if (!absl::ParseTime("%Y-%m-%dT%H:%M:%E*SZ", line.substr(kTimeAt, kTimeSize),
                           &change.acknowledged, &error)) {
        continue;
      }
      applied.push_back(change);
    }
    return applied;
  }

  bool IsExcused(int vm, const Change& change) const {
    return std::any_of(disturbances_.begin(), disturbances_.end(), [&](const Disturbance& d) {
      return d.vm == vm && d.from < change.acknowledged + kApply &&
             change.acknowledged < d.to + kContact;
    });
  }

  World world_;
  std::string newest_;
  std::vector<Change> changes_;
  std::vector<Disturbance> disturbances_;
  int checked_ = 0;
};

BOOST_AUTO_TEST_SUITE(platform_config)

// Guards against a change that a VM learns late because the VM that reads the store for all is
// killed, frozen, or cut off from the store with an error or in silence.
BOOST_AUTO_TEST_CASE(change_is_in_force_in_time_when_the_coordinator_fails) {
  ChangingWorld changing("config_coordinator");
  World& world = changing.world();
  for (int round = 0; round < 4; ++round) {
    const int vm = changing.Coordinator();
    changing.BeginDisturbance(vm);
    if (round == 0) world.vm(vm).Kill();
    if (round == 1) world.vm(vm).Pause();
    if (round >= 2) {
      world.Run([&] {
        LinkFault fault;
        fault.refuse = round == 2;
        fault.hold_to_server = fault.hold_to_client = round == 3;
        world.store_link(vm).set_fault(fault);
        if (fault.refuse) world.store_link(vm).Reset();
      });
    }
    changing.ChangeFor(kFaultTime);
    if (round == 0) world.StartVm(vm);
    if (round == 1) world.vm(vm).Resume();
    if (round >= 2) world.Run([&] { world.store_link(vm).set_fault({}); });
    changing.EndDisturbances();
    changing.ChangeFor(kFaultTime);
  }
  changing.Check();
  BOOST_TEST(changing.checked() > 100);
}

// Guards against VMs that are told old news after the store has turned most of them away, and after
// all of them were started again together.
BOOST_AUTO_TEST_CASE(change_is_in_force_in_time_when_many_vms_fail) {
  ChangingWorld changing("config_many");
  World& world = changing.world();
  for (int vm = 0; vm < kVms; ++vm) {
    if (vm % 4 == 3) continue;
    changing.BeginDisturbance(vm);
    world.Run([&] {
      LinkFault fault;
      fault.refuse = vm % 2 == 0;
      fault.hold_to_server = fault.hold_to_client = vm % 2 == 1;
      world.store_link(vm).set_fault(fault);
      if (fault.refuse) world.store_link(vm).Reset();
    });
  }
  changing.ChangeFor(kFaultTime);
  for (int vm = 0; vm < kVms; ++vm) world.Run([&] { world.store_link(vm).set_fault({}); });
  changing.EndDisturbances();
  changing.ChangeFor(kFaultTime);
  changing.Check();
  for (int vm = 0; vm < kVms; ++vm) {
    changing.BeginDisturbance(vm);
    world.vm(vm).Kill();
  }
  for (int vm = 0; vm < kVms; ++vm) world.StartVm(vm);
  for (int vm = 0; vm < kVms; ++vm) BOOST_TEST_REQUIRE(world.AwaitReady(vm));
  changing.EndDisturbances();
  changing.ChangeFor(kContact + kFaultTime);
  changing.Check();
  BOOST_TEST(changing.checked() > 100);
}

// Guards against a change that a VM skips or learns late because the store has come back from an
// older copy and gives offsets out again: with all VMs up, while the coordinator is killed, and
// while a VM is frozen and misses the return.
BOOST_AUTO_TEST_CASE(change_is_in_force_in_time_when_the_store_comes_back_from_a_copy) {
  ChangingWorld changing("config_restored");
  World& world = changing.world();
  for (int round = 0; round < 4; ++round) {
    changing.ChangeFor(kFaultTime);
    changing.Check();
    const int vm = round == 2 ? (changing.Coordinator() + 1) % kVms : changing.Coordinator();
    if (round >= 1) changing.BeginDisturbance(vm);
    if (round == 1) world.vm(vm).Kill();
    if (round >= 2) world.vm(vm).Pause();
    changing.RestoreStore();
    changing.ChangeFor(kFaultTime);
    if (round == 1) world.StartVm(vm);
    if (round >= 2) world.vm(vm).Resume();
    changing.EndDisturbances();
  }
  changing.ChangeFor(kContact + kFaultTime);
  changing.Check();
  BOOST_TEST(changing.checked() > 100);
}

// Status of a request on a VM: on a route and with a key that do not exist at first.
struct Statuses {
  int new_route = 0;
  int new_key = 0;
  int known = 0;
};

Statuses Ask(const World& world, int vm) {
  const auto ask = [&](const std::string& path, const std::string& key) {
    CallerCall call;
    call.path = path;
    call.key = key;
    call.id = NewRequestId();
    return world.Call(vm, call).status;
  };
  return {ask("/new/x", "key-1"), ask("/order/x", "key-new"), ask("/order/x", "key-1")};
}

void AddRouteAndKey(boost::json::object& config) {
  auto& routes = config["routes"].as_array();
  boost::json::object route = routes.front().as_object();
  route["name"] = "new";
  route["pathPrefix"] = "/new/";
  routes.push_back(std::move(route));
  config["tenants"].as_array().front().as_object()["apiKeys"].as_array().emplace_back("key-new");
}

// Guards against 404 and 401 for a route and a key that the store has acknowledged, from a VM that
// has heard neither the store nor another VM for longer than a change may take.
BOOST_AUTO_TEST_CASE(vm_that_hears_nothing_does_not_refuse_by_its_old_configuration) {
  WorldOptions options;
  options.name = "config_silent";
  options.vms = 1;
  options.proxied = true;
  World world(options);
  BOOST_TEST_REQUIRE(world.AwaitReady(0));
  const Statuses before = Ask(world, 0);
  BOOST_TEST(before.new_route == 404);
  BOOST_TEST(before.new_key == 401);
  world.Run([&] {
    LinkFault fault;
    fault.hold_to_server = fault.hold_to_client = true;
    world.store_link(0).set_fault(fault);
  });
  world.Configure(AddRouteAndKey);
  absl::SleepFor(kApply);
  const Statuses silent = Ask(world, 0);
  BOOST_TEST(silent.new_route == 503);
  BOOST_TEST(silent.new_key == 503);
  BOOST_TEST(silent.known == 200);
  world.Run([&] { world.store_link(0).set_fault({}); });
  BOOST_TEST(Eventually(kContact, [&] {
    const Statuses after = Ask(world, 0);
    return after.new_route == 200 && after.new_key == 200;
  }));
}

// Guards against 503 in place of 404 and 401 from VMs that nothing disturbs, and from those whose
// coordinator fails.
BOOST_AUTO_TEST_CASE(vm_in_touch_refuses_what_the_configuration_does_not_allow) {
  WorldOptions options;
  options.name = "config_calm";
  options.vms = 3;
  World world(options);
  for (int vm = 0; vm < options.vms; ++vm) BOOST_TEST_REQUIRE(world.AwaitReady(vm));
  absl::SleepFor(kContact);
  const auto check = [&](int first_vm) {
    const absl::Time until = absl::Now() + kContact;
    while (absl::Now() < until) {
      for (int vm = first_vm; vm < options.vms; ++vm) {
        const Statuses statuses = Ask(world, vm);
        BOOST_TEST(statuses.new_route == 404);
        BOOST_TEST(statuses.new_key == 401);
        BOOST_TEST(statuses.known == 200);
      }
      absl::SleepFor(absl::Milliseconds(20));
    }
  };
  check(0);
  // The VM that started first coordinates.
  world.vm(0).Kill();
  check(1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay::testing
