// A deployment whose engines have two software versions, and what may become of streams there.
#ifndef MARIGOLDQUAY_TESTS_PLATFORM_VERSION_DEPLOYMENT_H_
#define MARIGOLDQUAY_TESTS_PLATFORM_VERSION_DEPLOYMENT_H_

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fstream>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "stream_callers.h"
#include "world.h"

namespace marigoldquay::testing {

inline constexpr int kEngines = 6;
// A stream lasts two seconds.
inline constexpr int kEvents = 100;
inline constexpr absl::Duration kEventGap = absl::Milliseconds(20);
// Events of a stream that has been running for over a second.
inline constexpr std::size_t kEventsOfOneSecond = 55;
inline constexpr std::size_t kFirstEvents = 8;
// Fewer would say nothing about a share.
inline constexpr std::size_t kFewestStreams = 12;
// Time for all VMs to read what was written.
inline constexpr absl::Duration kRead = absl::Milliseconds(800);
// VMs that start together may have two coordinators for some seconds.
inline constexpr absl::Duration kCoordinatorTime = absl::Seconds(15);
inline constexpr absl::Duration kServerDownTime = absl::Milliseconds(300);

inline std::vector<std::string> FirstHalf() { return {"d1", "d2", "d3"}; }
inline std::vector<std::string> SecondHalf() { return {"d4", "d5", "d6"}; }

inline bool IsInSecondHalf(const std::string& id) { return id > "d3"; }

/// What a deployment's engines have of versions at its start.
enum class Versions {
  kOne,
  kTwo,
  /// The engines of the second one are not listed yet, and the system starts for the first time, so
  /// that the VMs know that there has been no other one than the first.
  kSecondJoinsLater,
};

struct Deployment {
  Deployment(const std::string& name, Versions versions, int vm_count = 2)
      : second_half_is_v2(versions != Versions::kOne),
        vms(vm_count),
        world(Options(name, versions)),
        callers(world, kEvents) {
    for (int vm = 0; vm < vms; ++vm) BOOST_TEST_REQUIRE(world.AwaitReady(vm));
    absl::SleepFor(kRead);
  }

  WorldOptions Options(const std::string& name, Versions versions) {
    WorldOptions options;
    if (versions == Versions::kSecondJoinsLater) {
      options.bootstrap = true;
      options.listed_at_start = [](const std::string& id) { return !IsInSecondHalf(id); };
    }
    options.name = "versions_" + name;
    options.proxied = versions == Versions::kSecondJoinsLater;
    options.vms = vms;
    options.decode_engines = kEngines;
    options.events = kEvents;
    options.event_gap = kEventGap;
    options.marks_events = true;
    options.server_down_time = kServerDownTime;
    // Only the last of three VMs is large enough to coordinate while it is up.
    options.cpu_share = [this](int vm) { return vms < 3 || vm == vms - 1 ? 0.25 : 0.1; };
    options.software_version = [this](const std::string& id) {
      const bool second = IsInSecondHalf(id) ? second_half_is_v2 : first_half_is_v2;
      return second ? "v2" : "v1";
    };
    return options;
  }

  /// Whether the VM has had a session with the coordinator.
  bool HasReportedTo(int vm, const std::string& coordinator) const {
    std::ostringstream log;
    log << std::ifstream(world.SettingsPath(vm) + ".out").rdbuf();
    const std::string session = "\"event\":\"coordinator_session\",\"vm\":\"" + coordinator;
    return log.str().find(session) != std::string::npos;
  }

  /// Starts the engines again under their ids, at the version that they have now.
  void StartAgain(const std::vector<std::string>& engines) {
    for (const auto& engine : engines) world.CrashAndRestart(engine);
    absl::SleepFor(kServerDownTime + kRead);
  }

  /// All daemons end at the same moment.
  void KillAll() {
    for (int vm = 0; vm < vms; ++vm) (void)::kill(world.vm(vm).pid(), SIGKILL);
    for (int vm = 0; vm < vms; ++vm) world.vm(vm).Kill();
  }
  void StartAll() {
    for (int vm = 0; vm < vms; ++vm) world.StartVm(vm);
    for (int vm = 0; vm < vms; ++vm) BOOST_TEST_REQUIRE(world.AwaitReady(vm));
  }

  /// Ends the engines; their entries go at the same time.
  void Remove(const std::vector<std::string>& engines) {
    for (const auto& engine : engines) world.Unlist(engine);
    for (const auto& engine : engines) world.End(engine);
  }

  /// Attempts that ran at an engine though their callers were told that they had not.
  std::size_t FalseRefusals(const StreamCallers& group) {
    std::set<std::string> run;
    for (const auto& seen : world.Seen().runs) run.insert(seen.request_id);
    std::size_t count = 0;
    for (const auto& stream : group.streams()) {
      for (const auto& attempt : stream.refused_attempts) count += run.count(attempt);
    }
    return count;
  }

  std::size_t BrokenOff() const {
    return callers.Count(
        [](const CallerStream& stream) { return stream.began() && !stream.complete; });
  }

  /// Version that more of the streams began at.
  std::string CommonVersion() const {
    const std::size_t first = callers.Count([](const CallerStream& stream) {
      return stream.began() && stream.versions.front() == "v1";
    });
    return 2 * first >= callers.streams().size() ? "v1" : "v2";
  }

  const std::atomic<bool> first_half_is_v2{false};
  std::atomic<bool> second_half_is_v2;
  const int vms;
  World world;
  StreamCallers callers;
};

inline bool IsTakenUp(const CallerStream& stream) { return stream.attempts.size() > 1; }
inline bool WentOn(const CallerStream& stream) {
  return IsTakenUp(stream) && (stream.went_on() || stream.complete);
}
inline bool IsRefused(const CallerStream& stream) { return IsTakenUp(stream) && stream.refused(); }

// No stream holds events of two versions, or looks complete without being so, and no refusal is
// untrue.
inline void CheckSound(Deployment& deployment, const StreamCallers& callers) {
  const std::size_t taken_up = callers.Count(IsTakenUp);
  BOOST_TEST_MESSAGE(callers.streams().size()
                     << " streams, " << taken_up << " taken up: " << callers.Count(WentOn)
                     << " went on, " << callers.Count(IsRefused) << " refused; " << callers.joined()
                     << " joined from two versions");
  BOOST_TEST(callers.joined() == 0U);
  BOOST_TEST(callers.damaged() == 0U);
  BOOST_TEST(deployment.FalseRefusals(callers) == 0U);
}

// Each take-up goes on or is told that it has not run.
inline void CheckAnswersAreTrue(const StreamCallers& callers) {
  BOOST_TEST(callers.Count(WentOn) + callers.Count(IsRefused) == callers.Count(IsTakenUp));
}

inline void CheckHalfGoesOn(const StreamCallers& callers) {
  const std::size_t taken_up = callers.Count(IsTakenUp);
  BOOST_TEST(taken_up >= kFewestStreams);
  BOOST_TEST(2 * callers.Count(WentOn) >= taken_up);
}

}  // namespace marigoldquay::testing

#endif  // MARIGOLDQUAY_TESTS_PLATFORM_VERSION_DEPLOYMENT_H_
