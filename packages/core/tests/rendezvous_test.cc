// Rendezvous hashing: guards against keys that move although their VM stayed.
#include "marigoldquay/core/rendezvous.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"

namespace marigoldquay {
namespace {

std::vector<VmId> MakeVms(int count) {
  std::vector<VmId> vms;
  for (int i = 0; i < count; ++i) vms.push_back(absl::StrCat("vm-", i));
  return vms;
}

BOOST_AUTO_TEST_SUITE(rendezvous)

// Fails if the loss of one VM moves keys of the others.
BOOST_AUTO_TEST_CASE(lost_vm_moves_only_its_own_keys) {
  const auto all = MakeVms(9);
  auto rest = all;
  rest.erase(rest.begin() + 4);
  for (int i = 0; i < 1000; ++i) {
    const auto key = absl::StrCat("workspace-", i);
    const auto before = FirstByRendezvous(key, all);
    const auto after = FirstByRendezvous(key, rest);
    if (before != all[4]) {
      BOOST_TEST(before == after);
    } else {
      BOOST_TEST(after == RankByRendezvous(key, all)[1]);
    }
  }
}

// Fails if one VM gets far more keys than its share.
BOOST_AUTO_TEST_CASE(keys_spread_evenly) {
  const auto vms = MakeVms(9);
  std::vector<int> counts(vms.size());
  constexpr int kKeys = 9000;
  for (int i = 0; i < kKeys; ++i) {
    const auto first = FirstByRendezvous(absl::StrCat("key-", i), vms);
    ++counts[std::find(vms.begin(), vms.end(), first) - vms.begin()];
  }
  for (const int count : counts) BOOST_TEST((count > 800 && count < 1200));
}

BOOST_AUTO_TEST_CASE(no_vms_gives_no_owner) { BOOST_TEST(FirstByRendezvous("key", {}).empty()); }

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
