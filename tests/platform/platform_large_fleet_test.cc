// Many real daemons with a small share of a core each, while VMs and their coordinator fail, under
// changing routes, keys and backend servers, judged by the platform's rules.
//
// Environment: MARIGOLDQUAY_FLEET_VMS number of daemons, _SHARE part of a core of each, _SECONDS
// length of a case, _RATE calls per second and VM, _ROUTES number of routes, _BUSY number of busy
// processes, _RESTARTS number of times that all VMs are killed within 10 s, _SEED;
// MARIGOLDQUAY_DAEMON another daemon.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "large_fleet.h"
#include "large_fleet_traffic.h"
#include "world.h"

namespace marigoldquay::testing {
namespace {

double Parameter(const std::string& name, double otherwise) {
  const char* text = std::getenv(("MARIGOLDQUAY_FLEET_" + name).c_str());
  double value = 0;
  return text != nullptr && absl::SimpleAtod(text, &value) ? value : otherwise;
}

struct FleetOptions {
  int vms = static_cast<int>(Parameter("VMS", 16));
  double share = Parameter("SHARE", 0.25);
  absl::Duration length = absl::Seconds(Parameter("SECONDS", 22));
  double rate = Parameter("RATE", 4);
  int routes = static_cast<int>(Parameter("ROUTES", 300));
  int restarts = static_cast<int>(Parameter("RESTARTS", 2));
  int busy = static_cast<int>(Parameter("BUSY", 1));
  unsigned seed = static_cast<unsigned>(Parameter("SEED", 1));
};

// Per cent of the runs that backend servers reject.
constexpr int kUsualRejections = 2;
constexpr int kManyRejections = 60;

class LargeFleet {
 public:
  explicit LargeFleet(const std::string& name)
      : bounds_(Bounds()),
        configuration_(options_.routes, bounds_.quota_rate),
        world_(WorldSettings(name)),
        turns_(world_, options_.vms, options_.share),
        holds_(world_, options_.vms, faults_),
        callers_(world_, options_.vms, options_.rate, configuration_, options_.seed),
        random_(options_.seed) {
    for (int vm = 0; vm < options_.vms; ++vm) faults_.Begin(vm);
    for (int i = 0; i < options_.busy; ++i) {
      busy_.emplace_back("/bin/sh", std::vector<std::string>{"-c", "while :; do :; done"},
                         absl::StrCat(world_.SettingsPath(0), ".busy-", i));
    }
    for (int vm = 0; vm < options_.vms; ++vm) {
      BOOST_TEST_REQUIRE(world_.AwaitReady(vm, absl::Seconds(40)));
      faults_.End(vm);
    }
    started_ = absl::Now();
    world_.Run([&] { stand_in_delay_ = std::make_unique<DelayWatch>(world_.io()); });
  }

  const FleetOptions& options() const { return options_; }
  int Draw(int below) { return static_cast<int>(random_() % static_cast<unsigned>(below)); }

  /// Schedules an action, as time since the fleet was ready.
  void At(absl::Duration time, std::function<void()> action) {
    agenda_.emplace(time, std::move(action));
  }
  void After(absl::Duration time, std::function<void()> action) {
    At(absl::Now() - started_ + time, std::move(action));
  }

  void Kill(int vm) {
    faults_.Begin(vm);
    turns_.Hold(vm);
    world_.vm(vm).Kill();
  }
  /// Also starts a VM again that has been started meanwhile.
  void Start(int vm) {
    faults_.Begin(vm);
    turns_.Hold(vm);
    world_.StartVm(vm);
    turns_.Release(vm);
    faults_.End(vm);
  }
  void Freeze(int vm, absl::Duration time) {
    faults_.Begin(vm);
    turns_.Hold(vm);
    world_.vm(vm).Pause();
    After(time, [this, vm] {
      world_.vm(vm).Resume();
      turns_.Release(vm);
      faults_.End(vm);
    });
  }
  void KillAndStart(int vm, absl::Duration pause) {
    Kill(vm);
    After(pause, [this, vm] { Start(vm); });
  }
  void RejectMany(bool many) { rejections_ = many ? kManyRejections : kUsualRejections; }

  /// A server announces that it leaves, and starts again later.
  void Leave() {
    constexpr absl::Duration kStay = absl::Seconds(6);
    const std::string id = absl::StrCat("s", 1 + left_.size() % world_options_.desk_replicas);
    left_.push_back({id, absl::Time()});
    const std::size_t index = left_.size() - 1;
    world_.Announce(id, "draining");
    left_[index].acknowledged = absl::Now();
    After(kStay, [this, id, index] {
      left_[index].back = absl::Now();
      world_.CrashAndRestart(id);
    });
  }

  // The VM that most of some VMs named last as their coordinator.
  int Coordinator() {
    constexpr int kAsked = 9;
    std::map<int, int> votes;
    for (int i = 0; i < kAsked; ++i) {
      const std::string log = world_.vm(Draw(options_.vms)).Log();
      const auto event = log.rfind("\"coordinator_session\"");
      if (event == std::string::npos) continue;
      const auto at = log.find("\"vm-", event);
      if (at != std::string::npos) ++votes[std::atoi(log.c_str() + at + 4)];
    }
    const auto most =
        std::max_element(votes.begin(), votes.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    return most == votes.end() ? 0 : most->first;
  }

  /// Plays the agenda under a new configuration every 0.7 s.
  void Play() {
    constexpr absl::Duration kChangeInterval = absl::Milliseconds(700);
    constexpr absl::Duration kStep = absl::Milliseconds(20);
    constexpr absl::Duration kSampleInterval = absl::Milliseconds(200);
    absl::Time next_change = absl::Now();
    absl::Time next_sample = absl::Now();
    while (absl::Now() - started_ < options_.length) {
      while (!agenda_.empty() && agenda_.begin()->first <= absl::Now() - started_) {
        const auto action = agenda_.extract(agenda_.begin());
        action.mapped()();
      }
      if (absl::Now() >= next_change) {
        configuration_.Change(world_);
        next_change = absl::Now() + kChangeInterval;
      }
      if (absl::Now() >= next_sample) {
        holds_.Sample();
        next_sample = absl::Now() + kSampleInterval;
      }
      absl::SleepFor(kStep);
    }
  }

  FleetVerdict End() {
    FleetRecord record;
    record.bounds = bounds_;
    record.calls = callers_.Stop();
    record.left = left_;
    absl::Duration delay;
    world_.Run([&] { delay = stand_in_delay_->longest(); });
    record.seen = world_.Seen();
    FleetVerdict verdict = Judge(record, faults_);
    std::cout << "fleet of " << options_.vms << ", share " << options_.share << ", busy "
              << options_.busy << ", versions " << configuration_.versions() << ", faults "
              << faults_.size() - static_cast<std::size_t>(options_.vms) - holds_.holds()
              << ", held by the machine " << holds_.holds() << ", " << holds_.Usage() << ", left "
              << left_.size() << ", callers' longest delay "
              << absl::FormatDuration(callers_.longest_delay()) << ", stand-ins' "
              << absl::FormatDuration(delay) << ", " << absl::FormatDuration(absl::Now() - started_)
              << ": " << verdict.ToString() << std::endl;
    return verdict;
  }

 private:
  FleetBounds Bounds() const {
    constexpr double kTokensPerCall = 100;
    constexpr double kLimitedPart = 0.125;  // of the calls, for each limited workspace
    constexpr double kOverload = 5;
    FleetBounds bounds;
    bounds.quota_rate = options_.vms * options_.rate * kLimitedPart * kTokensPerCall / kOverload;
    bounds.quota_burst = bounds.quota_rate;
    bounds.quota_slack = bounds.quota_rate;
    return bounds;
  }

  // More than all VMs open when they read the store at the same time.
  static constexpr std::size_t kStoreConnections = 5000;

  WorldOptions WorldSettings(const std::string& name) {
    world_options_.name = name;
    world_options_.vms = options_.vms;
    world_options_.store_connections = kStoreConnections;
    world_options_.desk_replicas = std::max(6, options_.vms / 10);
    world_options_.prefill_engines = std::max(2, options_.vms / 40);
    world_options_.decode_engines = std::max(3, options_.vms / 20);
    world_options_.cpu_share = [this](int) { return options_.share; };
    world_options_.configuration = [this](boost::json::object& c) { configuration_.Fill(c); };
    world_options_.bounds = [this](boost::json::object& b) {
      b["quotaSlack"] = bounds_.quota_slack;
    };
    // Only called on the thread of the stand-ins.
    world_options_.behavior = [this](const std::string&) {
      const bool rejects = static_cast<int>(behavior_random_() % 100) < rejections_;
      return rejects ? ReplicaBehavior::kShed : ReplicaBehavior::kNormal;
    };
    return world_options_;
  }

  const FleetOptions options_;
  const FleetBounds bounds_;
  std::atomic<int> rejections_{kManyRejections};
  std::mt19937 behavior_random_;
  WorldOptions world_options_;
  ChangingConfiguration configuration_;
  FaultLog faults_;
  // Used on the thread of the stand-ins, so it must outlive the world.
  std::unique_ptr<DelayWatch> stand_in_delay_;
  World world_;
  CpuTurns turns_;
  HoldWatch holds_;
  FleetCallers callers_;
  std::mt19937 random_;
  std::vector<Process> busy_;
  absl::Time started_;
  std::multimap<absl::Duration, std::function<void()>> agenda_;
  std::vector<LeftServer> left_;
};

void CheckKept(const FleetVerdict& verdict) {
  constexpr std::size_t kRefusedOutOfTouch = 10;
  constexpr std::size_t kLost = 3;
  // A trial in which hardly anything is served would show nothing.
  BOOST_TEST(verdict.served > verdict.calls / 10);
  BOOST_TEST(verdict.late_refusals == 0U);
  BOOST_TEST(verdict.late_served == 0U);
  BOOST_TEST(verdict.refused_always_allowed <= kRefusedOutOfTouch);
  BOOST_TEST(verdict.late_drained == 0U);
  BOOST_TEST(verdict.lost <= kLost);
  BOOST_TEST(verdict.budget_used <= 1);
  BOOST_TEST(verdict.quota_used <= 1);
}

BOOST_AUTO_TEST_SUITE(platform_large_fleet)

// Guards against VMs that act by old knowledge, or together spend more than one budget or quota,
// because the coordinator is frozen or killed, or the next one is killed while it settles.
BOOST_AUTO_TEST_CASE(rules_hold_while_coordinators_fail) {
  constexpr absl::Duration kRound = absl::Seconds(15);
  LargeFleet fleet("large_coordinators");
  for (absl::Duration round; round < fleet.options().length; round += kRound) {
    const auto at = [&](double seconds, std::function<void()> action) {
      fleet.At(round + absl::Seconds(seconds), std::move(action));
    };
    at(0.5, [&] { fleet.Leave(); });
    at(1.0, [&] { fleet.Freeze(fleet.Coordinator(), absl::Seconds(0.5 + fleet.Draw(12) * 0.5)); });
    at(1.5, [&] { fleet.Leave(); });
    at(3.0, [&] { fleet.RejectMany(false); });
    at(7.5, [&] { fleet.Leave(); });
    at(8.0, [&] { fleet.RejectMany(true); });
    at(8.1, [&] { fleet.KillAndStart(fleet.Coordinator(), absl::Seconds(1.5)); });
    at(8.6, [&] { fleet.KillAndStart(fleet.Coordinator(), absl::Seconds(1.5)); });
    at(11.0, [&] {
      for (int i = 0; i <= fleet.options().vms / 40; ++i) {
        fleet.KillAndStart(fleet.Draw(fleet.options().vms), absl::Seconds(0.2 + i * 0.1));
      }
    });
    at(11.5, [&] { fleet.Leave(); });
  }
  fleet.Play();
  CheckKept(fleet.End());
}

// Guards against VMs that spend too large a share of budgets and quotas, or refuse what they do not
// know yet, after all of them were killed and started together, several times.
BOOST_AUTO_TEST_CASE(rules_hold_when_all_vms_start_again) {
  LargeFleet fleet("large_restart");
  constexpr absl::Duration kFirst = absl::Seconds(4);
  constexpr absl::Duration kSpan = absl::Seconds(10);
  for (int i = 0; i < fleet.options().restarts; ++i) {
    fleet.At(kFirst + kSpan * i / fleet.options().restarts, [&] {
      for (int vm = 0; vm < fleet.options().vms; ++vm) fleet.Kill(vm);
      for (int vm = 0; vm < fleet.options().vms; ++vm) fleet.Start(vm);
    });
  }
  fleet.Play();
  CheckKept(fleet.End());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay::testing
