// MemberCounter: VMs that still spend their shares are counted.
#include "marigoldquay/fleet/member_counter.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace marigoldquay {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

VmId Vm(std::size_t index) { return "vm-" + std::to_string(index); }

std::vector<FleetMember> FirstVms(std::size_t count) {
  std::vector<FleetMember> members(count);
  for (std::size_t i = 0; i < count; ++i) members[i].instance.vm = Vm(i);
  return members;
}

BOOST_AUTO_TEST_SUITE(member_counter)

// Guards against shares of a twentieth in a fleet of 270 after the loss of the coordinator, while
// most VMs have not found the new one, which read the list long ago.
BOOST_AUTO_TEST_CASE(takeover_counts_the_vms_that_have_not_reported_yet) {
  MemberCounter counter;
  const auto listed = FirstVms(8);
  double granted = 0;
  absl::Time now = kStart;
  for (std::size_t vm = 1; vm < 270; ++vm) {
    counter.OnSessionStarted(Vm(vm), 270, now);
    granted += 1.0 / static_cast<double>(counter.Count(listed, true, now));
    now += absl::Milliseconds(10);
  }
  BOOST_TEST(granted <= 1);
  // The last VM that was told of 270 came 10 ms ago.
  const absl::Time taken_over = now + MemberCounter::kRetention;
  BOOST_TEST(counter.Count(listed, true, taken_over) == 270);
  // The VM that is lost for good is not listed any more.
  BOOST_TEST(counter.Count({}, true, taken_over) == 269);
}

// Guards against the same at a VM that has coordinated itself alone, e.g. while it was cut off, and
// becomes the coordinator of all.
BOOST_AUTO_TEST_CASE(takeover_by_a_vm_that_coordinated_itself_counts_all) {
  MemberCounter counter;
  const auto listed = FirstVms(8);
  counter.OnSessionStarted(Vm(0), 1, kStart);
  absl::Time now = kStart + absl::Minutes(1);
  double granted = 1.0 / 270;
  for (std::size_t vm = 1; vm < 270; ++vm) {
    counter.OnSessionStarted(Vm(vm), 270, now);
    granted += 1.0 / static_cast<double>(counter.Count(listed, true, now));
    now += absl::Milliseconds(10);
  }
  BOOST_TEST(granted <= 1.0001);
}

BOOST_AUTO_TEST_CASE(departed_vm_counts_for_the_retention) {
  MemberCounter counter;
  for (std::size_t vm = 0; vm < 6; ++vm) counter.OnSessionStarted(Vm(vm), 0, kStart);
  const absl::Time lost_at = kStart + absl::Seconds(60);
  counter.OnSessionEnded(Vm(5), lost_at);
  BOOST_TEST(counter.Count({}, true, lost_at + MemberCounter::kRetention) == 6);
  const absl::Time later = lost_at + MemberCounter::kRetention + absl::Milliseconds(1);
  BOOST_TEST(counter.Count({}, true, later) == 5);
  counter.OnSessionStarted(Vm(5), 6, later);
  BOOST_TEST(counter.Count({}, true, later) == 6);
}

// Guards against a part of each budget for every VM of a fleet that is just starting.
BOOST_AUTO_TEST_CASE(number_is_unknown_until_the_list_is_settled) {
  MemberCounter counter;
  counter.OnSessionStarted(Vm(0), 0, kStart);
  BOOST_TEST(counter.Count(FirstVms(3), false, kStart) == 0);
  BOOST_TEST(counter.Count(FirstVms(30), false, kStart) == 30);
  BOOST_TEST(counter.Count(FirstVms(3), true, kStart) == 3);
  counter.OnSessionStarted(Vm(1), 40, kStart);
  BOOST_TEST(counter.Count(FirstVms(3), false, kStart + absl::Minutes(1)) == 40);
}

// Guards against numbers of a fleet that has shrunk since this VM last coordinated.
BOOST_AUTO_TEST_CASE(numbers_told_before_the_last_takeover_are_forgotten) {
  MemberCounter counter;
  counter.OnSessionStarted(Vm(0), 270, kStart);
  counter.OnSessionEnded(Vm(0), kStart);
  counter.OnSessionStarted(Vm(0), 3, kStart);
  BOOST_TEST(counter.Count({}, true, kStart) == 3);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
