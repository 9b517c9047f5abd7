// Requests that crash each backend server that begins to run them, and that come again with the
// same path, caller and body at any VM.
#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "world.h"

namespace marigoldquay::testing {
namespace {

constexpr char kDeadlyBody[] = "deadly";
constexpr absl::Duration kSoundPause = absl::Milliseconds(40);
constexpr absl::Duration kDeadlyPause = absl::Milliseconds(150);
constexpr int kServers = 6;
// Bounds of the platform.
constexpr absl::Duration kContact = absl::Seconds(3);
constexpr std::size_t kCrashesUntilKnown = 3;
constexpr int kMaxLateRetries = 3;

enum class DeadlyPath { kLookup, kOrder, kStream };

struct Counts {
  int sent = 0;
  int served = 0;
  int quarantined = 0;
};

/// Sound and deadly requests of all VMs, until it goes out of scope. They share their callers.
class DeadlyLoad {
 public:
  DeadlyLoad(World& world, int vms) : world_(world), vms_(vms) {
    for (int vm = 0; vm < vms; ++vm) {
      threads_.emplace_back([this, vm] { SendSound(vm); });
    }
  }
  ~DeadlyLoad() {
    stop_ = true;
    for (auto& thread : threads_) thread.join();
  }
  DeadlyLoad(const DeadlyLoad&) = delete;
  DeadlyLoad& operator=(const DeadlyLoad&) = delete;

  void StartDeadly(DeadlyPath path) {
    threads_.emplace_back([this, path] { SendDeadly(path); });
  }
  void set_pause(bool pause) { pause_ = pause; }
  /// The VM is down; no sound request goes to it.
  void set_disturbed(int vm) { disturbed_ = vm; }
  /// Sound requests since the last call.
  Counts TakeSound() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::exchange(sound_, Counts());
  }

 private:
  // Lookups are all alike; each order has a body of its own.
  void SendSound(int vm) {
    for (int i = 0; !stop_; ++i) {
      absl::SleepFor(kSoundPause);
      if (pause_ || disturbed_ == vm) continue;
      CallerCall call;
      call.id = NewRequestId();
      call.path = i % 2 == 0 ? "/status/x" : "/order/x";
      if (i % 2 == 1) call.body = call.id;
      const auto reply = world_.Call(vm, call);
      if (pause_ || disturbed_ == vm) continue;
      const std::lock_guard<std::mutex> lock(mutex_);
      ++sound_.sent;
      if (reply.status == 200 && reply.complete()) ++sound_.served;
      if (absl::StrContains(reply.body, "have crashed")) ++sound_.quarantined;
    }
  }

  void SendDeadly(DeadlyPath path) {
    const std::map<DeadlyPath, std::string> paths = {{DeadlyPath::kLookup, "/status/x"},
                                                     {DeadlyPath::kOrder, "/order/x"},
                                                     {DeadlyPath::kStream, "/once/x"}};
    for (int i = 0; !stop_; ++i) {
      absl::SleepFor(kDeadlyPause);
      if (pause_ || disturbed_ == i % vms_) continue;
      CallerCall call;
      call.id = NewRequestId();
      call.path = paths.at(path);
      call.body = kDeadlyBody;
      const auto reply = world_.Call(i % vms_, call);
      BOOST_CHECK(reply.status != 200);
    }
  }

  World& world_;
  const int vms_;
  std::atomic<bool> stop_{false};
  std::atomic<bool> pause_{false};
  std::atomic<int> disturbed_{-1};
  std::mutex mutex_;
  Counts sound_;
  std::vector<std::thread> threads_;
};

WorldOptions Servers(const std::string& name, int vms) {
  WorldOptions options;
  options.name = name;
  options.vms = vms;
  options.desk_replicas = kServers;
  options.decode_engines = 4;
  options.deadly_body = kDeadlyBody;
  return options;
}

void AwaitAll(const World& world, int vms) {
  for (int i = 0; i < vms; ++i) BOOST_TEST_REQUIRE(world.AwaitReady(i));
  // All VMs report to one coordinator by then.
  absl::SleepFor(absl::Seconds(2));
}

void CheckDeadlyArrivals(World& world) {
  const auto seen = world.Seen();
  BOOST_TEST_REQUIRE(seen.crashes.size() >= kCrashesUntilKnown);
  const absl::Time known_at = seen.crashes[kCrashesUntilKnown - 1].at + kContact;
  const auto late =
      std::count_if(seen.arrivals.begin(), seen.arrivals.end(), [&](const ReplicaArrival& arrival) {
        return arrival.at > known_at && arrival.body == kDeadlyBody;
      });
  BOOST_TEST(late <= kMaxLateRetries,
             late << " deadly requests reached servers, " << seen.crashes.size() << " crashes");
}

// Sound requests are served, and none is taken for a deadly one.
void CheckSoundRequests(const Counts& counts) {
  BOOST_TEST_REQUIRE(counts.sent > 40);
  BOOST_TEST(counts.quarantined == 0, counts.quarantined << " of " << counts.sent);
  BOOST_TEST(counts.served > counts.sent * 9 / 10, counts.served << " of " << counts.sent);
}

void PlayDeadlyRequest(const std::string& name, int vms, DeadlyPath path) {
  World world(Servers(name, vms));
  AwaitAll(world, vms);
  DeadlyLoad load(world, vms);
  load.StartDeadly(path);
  absl::SleepFor(2 * kContact);
  BOOST_TEST(load.TakeSound().quarantined == 0);
  absl::SleepFor(kContact);
  CheckDeadlyArrivals(world);
  CheckSoundRequests(load.TakeSound());
}

BOOST_AUTO_TEST_SUITE(platform_deadly)

// Guards against a lookup, which may be repeated, that crashes one server after the other.
BOOST_AUTO_TEST_CASE(deadly_lookup_is_refused) {
  PlayDeadlyRequest("deadly_lookup", 3, DeadlyPath::kLookup);
}

// Guards against an order, which is never repeated by the router, that crashes one server after the
// other as its caller comes again.
BOOST_AUTO_TEST_CASE(deadly_order_is_refused) {
  PlayDeadlyRequest("deadly_order", 3, DeadlyPath::kOrder);
}

// Guards against a model request without parts of a prompt that crashes one engine after the other.
BOOST_AUTO_TEST_CASE(deadly_model_request_without_parts_is_refused) {
  PlayDeadlyRequest("deadly_model", 3, DeadlyPath::kStream);
}

// Guards against evidence of which each VM has a small part.
BOOST_AUTO_TEST_CASE(deadly_lookup_is_refused_by_many_vms) {
  PlayDeadlyRequest("deadly_many", 12, DeadlyPath::kLookup);
}

// Guards against evidence that is lost with the coordinator, and against a VM that starts and knows
// nothing of the deadly request.
BOOST_AUTO_TEST_CASE(deadly_order_is_refused_while_each_vm_is_killed) {
  constexpr int kVms = 3;
  World world(Servers("deadly_killed", kVms));
  AwaitAll(world, kVms);
  DeadlyLoad load(world, kVms);
  load.StartDeadly(DeadlyPath::kOrder);
  for (int vm = 0; vm < kVms; ++vm) {
    load.set_disturbed(vm);
    absl::SleepFor(absl::Milliseconds(200));
    world.vm(vm).Kill();
    absl::SleepFor(absl::Milliseconds(700));
    world.StartVm(vm);
    BOOST_TEST_REQUIRE(world.AwaitReady(vm));
    load.set_disturbed(-1);
    absl::SleepFor(absl::Seconds(1));
  }
  absl::SleepFor(kContact);
  load.TakeSound();
  absl::SleepFor(kContact);
  CheckDeadlyArrivals(world);
  CheckSoundRequests(load.TakeSound());
}

// Guards against evidence that is lost when all VMs start again together.
BOOST_AUTO_TEST_CASE(deadly_lookup_is_refused_after_all_vms_start_again) {
  constexpr int kVms = 3;
  World world(Servers("deadly_blank", kVms));
  AwaitAll(world, kVms);
  DeadlyLoad load(world, kVms);
  load.StartDeadly(DeadlyPath::kLookup);
  absl::SleepFor(kContact);
  load.set_pause(true);
  for (int vm = 0; vm < kVms; ++vm) world.vm(vm).Kill();
  const auto before = world.Seen().crashes.size();
  BOOST_TEST(before >= kCrashesUntilKnown);
  for (int vm = 0; vm < kVms; ++vm) world.StartVm(vm);
  for (int vm = 0; vm < kVms; ++vm) BOOST_TEST_REQUIRE(world.AwaitReady(vm));
  // The machines are in touch again.
  absl::SleepFor(kContact);
  load.TakeSound();
  load.set_pause(false);
  absl::SleepFor(kContact);
  BOOST_TEST(world.Seen().crashes.size() == before);
  CheckSoundRequests(load.TakeSound());
}

// Guards against sound requests that are refused because servers crashed under them for other
// reasons.
BOOST_AUTO_TEST_CASE(crashes_for_other_reasons_condemn_no_sound_request) {
  constexpr int kVms = 3;
  WorldOptions options = Servers("deadly_others", kVms);
  options.work = absl::Milliseconds(60);
  World world(options);
  AwaitAll(world, kVms);
  DeadlyLoad load(world, kVms);
  for (int i = 0; i < 24; ++i) {
    absl::SleepFor(absl::Milliseconds(500));
    world.CrashAndRestart(absl::StrCat("s", 1 + i % kServers));
  }
  const Counts counts = load.TakeSound();
  BOOST_TEST(counts.quarantined == 0);
  BOOST_TEST(counts.served > counts.sent * 8 / 10, counts.served << " of " << counts.sent);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay::testing
