// Streams while engines of two software versions serve side by side: what two versions write does
// not fit together, so a stream holds events of one version, in one answer and over all of a
// caller's attempts. Engines do not check this; they mark each event with their version.
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
namespace {

constexpr int kEngines = 6;
// A stream lasts two seconds.
constexpr int kEvents = 100;
constexpr absl::Duration kEventGap = absl::Milliseconds(20);
// Events of a stream that has been running for over a second.
constexpr std::size_t kEventsOfOneSecond = 55;
constexpr std::size_t kFirstEvents = 8;
// Fewer would say nothing about a share.
constexpr std::size_t kFewestStreams = 12;
// Time for all VMs to read what was written.
constexpr absl::Duration kRead = absl::Milliseconds(800);
// Until then a VM has no part of the burst of the retry budget.
constexpr absl::Duration kFleetKnown = absl::Seconds(3);
// VMs that start together may have two coordinators for some seconds.
constexpr absl::Duration kCoordinatorTime = absl::Seconds(15);
// Part of a stream that a second attempt reads before its caller leaves.
constexpr absl::Duration kSecondAttempt = absl::Milliseconds(600);
constexpr absl::Duration kServerDownTime = absl::Milliseconds(300);

std::vector<std::string> FirstHalf() { return {"d1", "d2", "d3"}; }
std::vector<std::string> SecondHalf() { return {"d4", "d5", "d6"}; }

bool IsInSecondHalf(const std::string& id) { return id > "d3"; }

/// What a deployment's engines have of versions.
enum class Versions { kOne, kTwo };

struct Deployment {
  Deployment(const std::string& name, Versions versions, int vm_count = 2)
      : second_half_is_v2(versions == Versions::kTwo),
        vms(vm_count),
        world(Options(name)),
        callers(world, kEvents) {
    for (int vm = 0; vm < vms; ++vm) BOOST_TEST_REQUIRE(world.AwaitReady(vm));
    absl::SleepFor(kRead);
  }

  WorldOptions Options(const std::string& name) {
    WorldOptions options;
    options.name = "versions_" + name;
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

bool IsTakenUp(const CallerStream& stream) { return stream.attempts.size() > 1; }
bool WentOn(const CallerStream& stream) {
  return IsTakenUp(stream) && (stream.went_on() || stream.complete);
}
bool IsRefused(const CallerStream& stream) { return IsTakenUp(stream) && stream.refused(); }

// No stream holds events of two versions, or looks complete without being so, and no refusal is
// untrue.
void CheckSound(Deployment& deployment, const StreamCallers& callers) {
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
void CheckAnswersAreTrue(const StreamCallers& callers) {
  BOOST_TEST(callers.Count(WentOn) + callers.Count(IsRefused) == callers.Count(IsTakenUp));
}

void CheckHalfGoesOn(const StreamCallers& callers) {
  const std::size_t taken_up = callers.Count(IsTakenUp);
  BOOST_TEST(taken_up >= kFewestStreams);
  BOOST_TEST(2 * callers.Count(WentOn) >= taken_up);
}

BOOST_AUTO_TEST_SUITE(platform_versions)

// Guards against an answer that goes on at an engine of another version when its engine breaks off,
// and against one that is given up though engines of its version serve.
BOOST_AUTO_TEST_CASE(answer_goes_on_at_the_version_of_its_first_event) {
  Deployment two("answer", Versions::kTwo);
  absl::SleepFor(kFleetKnown);
  two.callers.Begin(12, {0, 1});
  BOOST_TEST_REQUIRE(two.callers.AwaitEvents(kFirstEvents));
  for (const std::string engine : {"d1", "d4"}) two.world.BreakResponses(engine);
  two.callers.Join();
  std::set<std::string> interrupted;
  for (const auto& run : two.world.Seen().runs) {
    if (run.replica == "d1" || run.replica == "d4") interrupted.insert(run.request_id);
  }
  const std::size_t went_on = two.callers.Count([&](const CallerStream& stream) {
    return stream.complete && interrupted.contains(stream.first_attempt);
  });
  BOOST_TEST_MESSAGE(interrupted.size() << " interrupted, " << went_on << " of them complete");
  CheckSound(two, two.callers);
  BOOST_TEST(!interrupted.empty());
  BOOST_TEST(2 * went_on >= interrupted.size());
}

// Guards against an answer that goes on at the other version, looks complete or stays open when no
// engine of its version is left.
BOOST_AUTO_TEST_CASE(answer_whose_version_has_left_ends_broken) {
  Deployment two("answer_left", Versions::kTwo);
  absl::SleepFor(kFleetKnown);
  two.callers.Begin(12, {0, 1});
  BOOST_TEST_REQUIRE(two.callers.AwaitEvents(kFirstEvents));
  const std::string version = two.CommonVersion();
  two.Remove(version == "v1" ? FirstHalf() : SecondHalf());
  two.callers.Join();
  const auto is_of_version = [&](const CallerStream& stream) {
    return stream.began() && stream.versions.front() == version;
  };
  const auto looks_complete = [&](const CallerStream& stream) {
    return is_of_version(stream) && stream.complete;
  };
  const auto stays_open = [&](const CallerStream& stream) {
    return is_of_version(stream) && stream.timed_out;
  };
  CheckSound(two, two.callers);
  BOOST_TEST(two.callers.Count(is_of_version) >= kFewestStreams);
  BOOST_TEST(two.callers.Count(looks_complete) == 0U);
  BOOST_TEST(two.callers.Count(stays_open) == 0U);
}

// Guards against a caller that loses its VM, or leaves, and whose stream goes on at the other
// version at the next VM, while the coordinator lives.
BOOST_AUTO_TEST_CASE(take_up_goes_on_at_the_version_of_the_first_event) {
  Deployment two("take_up", Versions::kTwo, 3);
  BOOST_TEST_REQUIRE(Eventually(kCoordinatorTime, [&] {
    return two.HasReportedTo(0, "vm-2/") && two.HasReportedTo(1, "vm-2/");
  }));
  two.callers.Begin(12, {0, 1});
  BOOST_TEST_REQUIRE(two.callers.AwaitEvents(kFirstEvents));
  two.world.vm(0).Kill();
  two.callers.Leave();
  two.callers.Join();
  two.callers.TakeUp({1, 2});
  two.callers.Join();
  CheckSound(two, two.callers);
  CheckAnswersAreTrue(two.callers);
  CheckHalfGoesOn(two.callers);
}

// Guards against VMs that lose all memory at once and then let a stream go on anywhere, or nowhere.
BOOST_AUTO_TEST_CASE(take_up_after_all_vms_lost_power) {
  Deployment two("power", Versions::kTwo);
  two.callers.Begin(12, {0, 1});
  BOOST_TEST_REQUIRE(two.callers.AwaitEvents(kEventsOfOneSecond));
  two.KillAll();
  two.callers.Join();
  two.StartAll();
  two.callers.TakeUp({0, 1});
  two.callers.Join();
  CheckSound(two, two.callers);
  CheckAnswersAreTrue(two.callers);
  CheckHalfGoesOn(two.callers);
}

// Guards against VMs that find one version in the list when they start, and take it for the only
// one that there was.
BOOST_AUTO_TEST_CASE(take_up_after_all_vms_lost_power_and_the_version_left) {
  Deployment two("power_left", Versions::kTwo);
  two.callers.Begin(12, {0, 1});
  BOOST_TEST_REQUIRE(two.callers.AwaitEvents(kEventsOfOneSecond));
  two.Remove(two.CommonVersion() == "v1" ? FirstHalf() : SecondHalf());
  two.KillAll();
  two.callers.Join();
  BOOST_TEST(two.BrokenOff() >= kFewestStreams);
  two.StartAll();
  two.callers.TakeUp({0, 1});
  two.callers.Join();
  CheckSound(two, two.callers);
}

// Guards against a version that is guessed when the store does not answer, or has come back without
// the newest records.
BOOST_AUTO_TEST_CASE(take_up_while_the_store_is_away_and_after_its_return) {
  Deployment two("store", Versions::kTwo);
  const absl::Time copied_at = absl::Now();
  two.callers.Begin(12, {0, 1});
  BOOST_TEST_REQUIRE(two.callers.AwaitEvents(kFirstEvents));
  two.world.Run([&] { two.world.store().set_mode(StoreMode::kSilent); });
  StreamCallers others(two.world, kEvents);
  others.Begin(6, {0, 1});
  BOOST_TEST_REQUIRE(others.AwaitEvents(kFirstEvents));
  two.callers.Leave();
  two.callers.Join();
  two.callers.TakeUp({1, 0});
  others.Leave();
  others.Join();
  two.callers.Join();
  two.world.RestoreStore(copied_at, absl::ZeroDuration());
  others.TakeUp({1, 0});
  others.Join();
  CheckSound(two, two.callers);
  CheckSound(two, others);
}

// Guards against VMs that start with a store from before the second version came, and take the
// streams for ones of the only version that it knows.
BOOST_AUTO_TEST_CASE(take_up_after_all_vms_lost_power_and_the_store_came_back_from_a_copy) {
  Deployment two("power_store", Versions::kOne);
  const absl::Time copied_at = absl::Now();
  two.second_half_is_v2 = true;
  two.StartAgain(SecondHalf());
  two.callers.Begin(12, {0, 1});
  BOOST_TEST_REQUIRE(two.callers.AwaitEvents(kFirstEvents));
  two.world.Run([&] { two.world.store().set_mode(StoreMode::kSilent); });
  BOOST_TEST_REQUIRE(two.callers.AwaitEvents(kEventsOfOneSecond));
  two.KillAll();
  two.callers.Join();
  BOOST_TEST(two.BrokenOff() >= kFewestStreams);
  two.world.RestoreStore(copied_at, absl::ZeroDuration(), [&](FakeStore& store) {
    for (const auto& engine : SecondHalf()) {
      store.Put("keyed.servers", engine, two.world.Entry(engine, "ready"));
    }
  });
  two.StartAll();
  two.callers.TakeUp({0, 1});
  two.callers.Join();
  CheckSound(two, two.callers);
}

// Guards against a version that is kept by the id of the engine, which starts again under its id at
// another one.
BOOST_AUTO_TEST_CASE(take_up_after_engines_started_again_at_another_version) {
  Deployment two("again", Versions::kOne);
  two.callers.Begin(12, {0, 1});
  BOOST_TEST_REQUIRE(two.callers.AwaitEvents(kFirstEvents));
  two.second_half_is_v2 = true;
  two.StartAgain(SecondHalf());
  two.callers.Leave();
  two.callers.Join();
  two.callers.TakeUp({1, 0});
  two.callers.Join();
  CheckSound(two, two.callers);
  CheckAnswersAreTrue(two.callers);
  CheckHalfGoesOn(two.callers);
}

// Guards against the same when the VMs start after the engines did, and know the new version only.
BOOST_AUTO_TEST_CASE(take_up_after_engines_started_again_and_all_vms_lost_power) {
  Deployment two("again_power", Versions::kOne);
  two.callers.Begin(12, {0, 1});
  BOOST_TEST_REQUIRE(two.callers.AwaitEvents(kFirstEvents));
  two.second_half_is_v2 = true;
  two.StartAgain(SecondHalf());
  two.KillAll();
  two.callers.Join();
  BOOST_TEST(two.BrokenOff() >= kFewestStreams);
  two.StartAll();
  two.callers.TakeUp({0, 1});
  two.callers.Join();
  CheckSound(two, two.callers);
  CheckAnswersAreTrue(two.callers);
}

// Guards against a second take-up that is judged by the attempt before it, which is not the one
// that brought the first event.
BOOST_AUTO_TEST_CASE(take_up_of_a_take_up) {
  Deployment two("twice", Versions::kTwo);
  two.callers.Begin(12, {0, 1});
  BOOST_TEST_REQUIRE(two.callers.AwaitEvents(kFirstEvents));
  two.callers.Leave();
  two.callers.Join();
  two.callers.TakeUp({1, 0});
  absl::SleepFor(kSecondAttempt);
  two.callers.Leave();
  two.callers.Join();
  two.callers.TakeUp({0, 1});
  two.callers.Join();
  CheckSound(two, two.callers);
  CheckAnswersAreTrue(two.callers);
  CheckHalfGoesOn(two.callers);
}

// Guards against a caller that does not name its first attempt, and whose stream goes on at a
// guess.
BOOST_AUTO_TEST_CASE(take_up_that_does_not_name_the_first_attempt) {
  Deployment two("unnamed", Versions::kTwo);
  two.callers.Begin(12, {0, 1});
  BOOST_TEST_REQUIRE(two.callers.AwaitEvents(kFirstEvents));
  two.callers.Leave();
  two.callers.Join();
  BOOST_TEST(two.BrokenOff() >= kFewestStreams);
  two.callers.TakeUp({1, 0}, TakeUpHeaders::kOnlyLastEvent);
  two.callers.Join();
  CheckSound(two, two.callers);
}

// Guards against take-ups that are refused though the service has never had a second version.
BOOST_AUTO_TEST_CASE(take_up_at_a_single_version) {
  Deployment one("single", Versions::kOne);
  one.callers.Begin(12, {0, 1});
  BOOST_TEST_REQUIRE(one.callers.AwaitEvents(kFirstEvents));
  one.callers.Leave();
  one.callers.Join();
  one.callers.TakeUp({1, 0});
  BOOST_TEST_REQUIRE(one.callers.AwaitEvents(kEventsOfOneSecond));
  one.KillAll();
  one.callers.Join();
  BOOST_TEST(one.BrokenOff() >= kFewestStreams);
  one.StartAll();
  one.callers.TakeUp({0, 1});
  one.callers.Join();
  CheckSound(one, one.callers);
  BOOST_TEST(one.callers.Count(WentOn) == one.callers.Count(IsTakenUp));
  BOOST_TEST(one.BrokenOff() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay::testing
