// Invariant 4 for a workspace whose burst is only two seconds of its rate: an
// honest one is not rejected while its home dies.
#include "honest_caller.h"

namespace marigoldquay::testing {
namespace {

BOOST_AUTO_TEST_SUITE(rate_small_burst)

// Fails if the standby allowances do not last until the new home grants.
BOOST_AUTO_TEST_CASE(honest_workspace_is_not_rejected_while_its_home_dies) {
  TestSystem system(LimitedWorkspace(4));
  absl::SleepFor(absl::Seconds(4));
  CheckHonest(system, "VM killed", absl::Seconds(12), [&] { system.vm(3).process.Kill(); });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay::testing
