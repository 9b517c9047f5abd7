// Prompts whose parts crash the engines that begin to answer them, over several real daemons.
#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "world.h"

namespace marigoldquay::testing {
namespace {

constexpr char kFirstPart[] = "f1f1";
constexpr char kDeadlyPart[] = "dead";
constexpr int kSoundMiddleParts = 5;
constexpr int kSoundCallersPerVm = 2;
constexpr absl::Duration kSoundPause = absl::Milliseconds(60);
constexpr absl::Duration kDeadlyPause = absl::Milliseconds(200);
// Bounds of the platform.
constexpr absl::Duration kContact = absl::Seconds(3);
constexpr int kCrashesUntilKnown = 5;
constexpr int kMaxDeadlyArrivals = 3;

/// Result of a sound request.
struct SoundCall {
  absl::Time started;
  bool served = false;
};

/// Sound and deadly requests of all VMs, until it goes out of scope. All have the same key and
/// first part; no two are alike.
class PromptLoad {
 public:
  PromptLoad(World& world, int vms) : world_(world), vms_(vms) {
    for (int i = 0; i < vms * kSoundCallersPerVm; ++i) {
      threads_.emplace_back([this, i] { SendSound(i % vms_); });
    }
  }
  ~PromptLoad() {
    stop_ = true;
    for (auto& thread : threads_) thread.join();
  }
  PromptLoad(const PromptLoad&) = delete;
  PromptLoad& operator=(const PromptLoad&) = delete;

  void StartDeadly() {
    threads_.emplace_back([this] { SendDeadly(); });
  }
  /// The VM is down or frozen; no sound request goes to it.
  void set_disturbed(int vm) { disturbed_ = vm; }
  /// Sound requests that were sent in the span, and how many of them were served.
  std::pair<int, int> CountSound(absl::Time from, absl::Time to) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::pair<int, int> counts;
    for (const SoundCall& call : sound_) {
      if (call.started < from || call.started >= to) continue;
      ++counts.first;
      if (call.served) ++counts.second;
    }
    return counts;
  }

 private:
  static CallerCall Call(const std::string& path, const std::string& middle) {
    CallerCall call;
    call.id = NewRequestId();
    call.path = path;
    call.headers = {"Token-Count: 100,10", absl::StrCat("Prompt-Prefix: ", kFirstPart, ":50,",
                                                        middle, ":30,", call.id, ":20")};
    call.time_left = absl::Seconds(3);
    return call;
  }

  void SendSound(int vm) {
    for (int i = 0; !stop_; ++i) {
      absl::SleepFor(kSoundPause);
      if (disturbed_ == vm) continue;
      const auto call = Call("/once/x", absl::StrCat("a", i % kSoundMiddleParts));
      const absl::Time started = absl::Now();
      const auto reply = world_.Call(vm, call);
      if (disturbed_ == vm) continue;
      const std::lock_guard<std::mutex> lock(mutex_);
      sound_.push_back({started, reply.status == 200 && reply.complete()});
    }
  }

  void SendDeadly() {
    for (int i = 0; !stop_; ++i) {
      absl::SleepFor(kDeadlyPause);
      const int vm = i % vms_;
      if (disturbed_ == vm) continue;
      const auto reply = world_.Call(vm, Call(i % 2 == 0 ? "/once/x" : "/stream/x", kDeadlyPart));
      BOOST_CHECK(!(reply.status == 200 && reply.complete()));
    }
  }

  World& world_;
  const int vms_;
  std::atomic<bool> stop_{false};
  std::atomic<int> disturbed_{-1};
  std::mutex mutex_;
  std::vector<SoundCall> sound_;
  std::vector<std::thread> threads_;
};

WorldOptions Engines(const std::string& name, int vms) {
  WorldOptions options;
  options.name = name;
  options.vms = vms;
  options.prefill_engines = 3;
  options.decode_engines = 8;
  options.deadly_part = kDeadlyPart;
  return options;
}

void AwaitAll(const World& world, int vms) {
  for (int i = 0; i < vms; ++i) BOOST_TEST_REQUIRE(world.AwaitReady(i));
  // All VMs report to one coordinator by then.
  absl::SleepFor(absl::Seconds(2));
}

// Time from which the part is known everywhere, `bound` after the fifth crash or after the last one
// if there are fewer.
absl::Time KnownAt(const ReplicaLedger& seen, absl::Duration bound) {
  const auto count = std::min<std::size_t>(seen.crashes.size(), kCrashesUntilKnown);
  return count == 0 ? absl::InfinitePast() : seen.crashes[count - 1].at + bound;
}

void CheckDeadlyArrivals(World& world) {
  const auto seen = world.Seen();
  if (seen.crashes.size() < kCrashesUntilKnown) return;
  const absl::Time known_at = KnownAt(seen, kContact);
  const auto late =
      std::count_if(seen.arrivals.begin(), seen.arrivals.end(), [&](const ReplicaArrival& arrival) {
        return arrival.at > known_at && absl::StrContains(arrival.parts, kDeadlyPart);
      });
  BOOST_TEST(late <= kMaxDeadlyArrivals, late << " requests with the deadly part reached engines, "
                                              << seen.crashes.size() << " crashes");
}

// Sound requests are served at least half as often as before the first deadly one.
void CheckSoundRequests(World& world, PromptLoad& load, absl::Time calm_from,
                        absl::Time deadly_from) {
  const auto calm = load.CountSound(calm_from, deadly_from);
  const auto later = load.CountSound(KnownAt(world.Seen(), 2 * kContact), absl::Now());
  BOOST_TEST_REQUIRE(calm.second > 20);
  BOOST_TEST_REQUIRE(later.first > 20);
  const double calm_share = static_cast<double>(calm.second) / calm.first;
  const double later_share = static_cast<double>(later.second) / later.first;
  BOOST_TEST(later_share >= calm_share / 2, later.second << " of " << later.first << " served, "
                                                         << calm.second << " of " << calm.first
                                                         << " before");
}

void PlayDeadlyPrompts(const std::string& name, int vms,
                       const std::function<void(World&, PromptLoad&)>& disturb) {
  World world(Engines(name, vms));
  AwaitAll(world, vms);
  PromptLoad load(world, vms);
  const absl::Time calm_from = absl::Now();
  absl::SleepFor(absl::Seconds(3));
  const absl::Time deadly_from = absl::Now();
  load.StartDeadly();
  disturb(world, load);
  // With few crashes the requests after 2 x kContact count; with many, those after the fifth.
  absl::SleepFor(4 * kContact);
  CheckDeadlyArrivals(world);
  CheckSoundRequests(world, load, calm_from, deadly_from);
}

BOOST_AUTO_TEST_SUITE(platform_prompts)

// Guards against a part of a prompt that crashes one engine after the other.
BOOST_AUTO_TEST_CASE(deadly_part_is_refused_and_sound_requests_are_served) {
  PlayDeadlyPrompts("prompts_calm", 3, [](World&, PromptLoad&) {});
}

// Guards against evidence that is lost with the coordinator, and against a VM that starts and knows
// nothing of the deadly part.
BOOST_AUTO_TEST_CASE(deadly_part_is_refused_while_each_vm_is_killed) {
  PlayDeadlyPrompts("prompts_killed", 3, [](World& world, PromptLoad& load) {
    for (int vm = 0; vm < 3; ++vm) {
      load.set_disturbed(vm);
      absl::SleepFor(absl::Milliseconds(300));
      world.vm(vm).Kill();
      absl::SleepFor(absl::Milliseconds(700));
      world.StartVm(vm);
      BOOST_TEST_REQUIRE(world.AwaitReady(vm));
      load.set_disturbed(-1);
      absl::SleepFor(absl::Seconds(1));
    }
  });
}

// Guards against evidence that many VMs have only a small part of, each.
BOOST_AUTO_TEST_CASE(deadly_part_is_refused_by_many_vms) {
  PlayDeadlyPrompts("prompts_many", 12, [](World&, PromptLoad&) {});
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay::testing
