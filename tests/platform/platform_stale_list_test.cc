// VMs that stand still or are cut off while engines of a second software version join, so that they
// list the first version alone. Streams that other VMs began at the second version are taken up
// there, and must not go on at the first one.
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <string>
#include <vector>

#include "version_deployment.h"

namespace marigoldquay::testing {
namespace {

// The largest VM, which coordinates while it runs.
constexpr int kCoordinator = 2;
constexpr int kOtherVm = 0;
// By then the other VMs have turned to another coordinator.
constexpr absl::Duration kTakeover = absl::Milliseconds(2500);
// Callers wait in the listening socket of a VM that stands still.
constexpr absl::Duration kBeforeWake = absl::Milliseconds(300);
// By then the VMs agree on a coordinator again.
constexpr absl::Duration kSettled = absl::Seconds(4);

std::vector<int> Without(int vm) {
  std::vector<int> others;
  for (int other = 0; other < 3; ++other) {
    if (other != vm) others.push_back(other);
  }
  return others;
}

/// Three VMs and engines of version v1; those of v2 join when the test says so.
struct StaleVm : Deployment {
  StaleVm(const std::string& name, int stale_vm)
      : Deployment(name, Versions::kSecondJoinsLater, 3), vm(stale_vm) {
    BOOST_TEST_REQUIRE(Eventually(
        kCoordinatorTime, [&] { return HasReportedTo(0, "vm-2/") && HasReportedTo(1, "vm-2/"); }));
    absl::SleepFor(kRead);
  }
  ~StaleVm() { Wake(); }

  void StandStill() { (void)::kill(world.vm(vm).pid(), SIGSTOP); }
  void Wake() { (void)::kill(world.vm(vm).pid(), SIGCONT); }
  void CutFromStore(bool cut) {
    LinkFault fault;
    fault.hold_to_server = cut;
    fault.hold_to_client = cut;
    world.Run([&] { world.store_link(vm).set_fault(fault); });
  }

  /// The second version joins, and streams begin through the other VMs and break.
  void SecondVersionJoins() {
    for (const auto& engine : SecondHalf()) world.Announce(engine, "ready");
    absl::SleepFor(kRead);
    callers.Begin(12, Without(vm));
    BOOST_TEST_REQUIRE(callers.AwaitEvents(kFirstEvents));
    callers.Leave();
    callers.Join();
    const std::size_t at_second = callers.Count([](const CallerStream& stream) {
      return stream.began() && stream.versions.front() == "v2";
    });
    BOOST_TEST(at_second >= kFewestStreams / 2);
  }

  /// Callers take their streams up while the VM stands still; then it goes on.
  void TakeUpAndWake() {
    callers.TakeUp({vm});
    absl::SleepFor(kBeforeWake);
    Wake();
    callers.Join();
    CheckSound(*this, callers);
    CheckAnswersAreTrue(callers);
  }

  /// Streams that begin after the trouble are taken up as ever.
  void CheckLaterTakeUps() {
    absl::SleepFor(kSettled);
    StreamCallers later(world, kEvents);
    later.Begin(6, {0, 1, 2});
    BOOST_TEST_REQUIRE(later.AwaitEvents(kFirstEvents));
    later.Leave();
    later.Join();
    later.TakeUp({2, 0, 1});
    later.Join();
    CheckSound(*this, later);
    CheckHalfGoesOn(later);
  }

  const int vm;
};

BOOST_AUTO_TEST_SUITE(platform_stale_list)

// Guards against a coordinator that stood still, does not know yet that it is none any more, and
// takes the version that it lists for the only one.
BOOST_AUTO_TEST_CASE(take_up_at_a_coordinator_that_stood_still) {
  StaleVm stale("stale_coordinator", kCoordinator);
  stale.StandStill();
  absl::SleepFor(kTakeover);
  stale.SecondVersionJoins();
  stale.TakeUpAndWake();
  stale.CheckLaterTakeUps();
}

// Guards against the same when the second version has left before the VM goes on, so that no list
// tells of it any more.
BOOST_AUTO_TEST_CASE(take_up_at_a_coordinator_that_missed_a_version) {
  StaleVm stale("stale_missed", kCoordinator);
  stale.StandStill();
  absl::SleepFor(kTakeover);
  stale.SecondVersionJoins();
  stale.Remove(SecondHalf());
  stale.TakeUpAndWake();
}

// Guards against the same at a VM that follows another coordinator.
BOOST_AUTO_TEST_CASE(take_up_at_another_vm_that_stood_still) {
  StaleVm stale("stale_other", kOtherVm);
  stale.StandStill();
  stale.SecondVersionJoins();
  stale.TakeUpAndWake();
}

// Guards against the same at a coordinator that does not reach the store.
BOOST_AUTO_TEST_CASE(take_up_at_a_coordinator_that_is_cut_off_from_the_store) {
  StaleVm stale("stale_store", kCoordinator);
  stale.CutFromStore(true);
  absl::SleepFor(kTakeover);
  stale.SecondVersionJoins();
  stale.callers.TakeUp({kCoordinator});
  stale.callers.Join();
  CheckSound(stale, stale.callers);
  CheckAnswersAreTrue(stale.callers);
  stale.CutFromStore(false);
  stale.CheckLaterTakeUps();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay::testing
