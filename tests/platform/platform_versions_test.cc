// Streams while engines of two software versions serve side by side: what two versions write does
// not fit together, so a stream holds events of one version, in one answer and over all of a
// caller's attempts. Engines do not check this; they mark each event with their version.
#include <boost/test/unit_test.hpp>
#include <set>
#include <string>

#include "version_deployment.h"

namespace marigoldquay::testing {
namespace {

// Part of a stream that a second attempt reads before its caller leaves.
constexpr absl::Duration kSecondAttempt = absl::Milliseconds(600);
// By then the list that VMs hold is too old to be sure of the start of an engine.
constexpr absl::Duration kListAge = absl::Milliseconds(2000);
// Until then a VM has no part of the burst of the retry budget.
constexpr absl::Duration kFleetKnown = absl::Seconds(3);
// Until then it has only a part of its share.
constexpr absl::Duration kWholeBudget = absl::Seconds(11);

// First attempts of the streams that ran at one of the engines.
std::set<std::string> Interrupted(Deployment& deployment, const std::set<std::string>& engines) {
  std::set<std::string> attempts;
  for (const auto& run : deployment.world.Seen().runs) {
    if (engines.contains(run.replica)) attempts.insert(run.request_id);
  }
  return attempts;
}

std::size_t CompleteAmong(const StreamCallers& callers, const std::set<std::string>& attempts) {
  return callers.Count([&](const CallerStream& stream) {
    return stream.complete && attempts.contains(stream.first_attempt);
  });
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
  const auto interrupted = Interrupted(two, {"d1", "d4"});
  const std::size_t went_on = CompleteAmong(two.callers, interrupted);
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

// Guards against a stream that goes on at an engine which has started again under its id at another
// version, while the store cannot tell of it.
BOOST_AUTO_TEST_CASE(answer_while_engines_start_again_and_the_store_is_away) {
  Deployment two("away", Versions::kOne);
  absl::SleepFor(kFleetKnown);
  two.world.Run([&] { two.world.store().set_mode(StoreMode::kBusy); });
  two.second_half_is_v2 = true;
  two.StartAgain(SecondHalf());
  absl::SleepFor(kListAge);
  two.callers.Begin(12, {0, 1});
  BOOST_TEST_REQUIRE(two.callers.AwaitEvents(kFirstEvents));
  for (const std::string engine : {"d1", "d2", "d4"}) two.world.BreakResponses(engine);
  two.callers.Join();
  two.callers.TakeUp({1, 0});
  two.callers.Join();
  CheckSound(two, two.callers);
  BOOST_TEST(two.BrokenOff() > 0U);
}

// Guards against a stream that is broken off while the store is away, though its engines can say
// themselves that they are in the start that is listed.
BOOST_AUTO_TEST_CASE(answer_goes_on_while_the_store_is_away) {
  Deployment one("away_one", Versions::kOne);
  absl::SleepFor(kWholeBudget);
  one.world.Run([&] { one.world.store().set_mode(StoreMode::kBusy); });
  // The streams begin while the list is recent.
  absl::SleepFor(kListAge - 60 * kEventGap);
  one.callers.Begin(12, {0, 1});
  BOOST_TEST_REQUIRE(one.callers.AwaitEvents(kFirstEvents));
  absl::SleepFor(40 * kEventGap);
  one.world.BreakResponses("d1");
  one.callers.Join();
  const auto interrupted = Interrupted(one, {"d1"});
  CheckSound(one, one.callers);
  BOOST_TEST(!interrupted.empty());
  BOOST_TEST(2 * CompleteAmong(one.callers, interrupted) >= interrupted.size());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay::testing
