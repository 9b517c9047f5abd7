// MemberTable: changes between versions.
#include "marigoldquay/fleet/member_table.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace marigoldquay {
namespace {

FleetMember MakeMember(const std::string& vm, bool ready) {
  FleetMember member;
  member.instance = {vm, 1};
  member.inner_address = vm + ":7500";
  member.capacity = 25;
  member.ready = ready;
  return member;
}

BOOST_AUTO_TEST_SUITE(member_table)

// Guards against sending the full list of several hundred VMs to each VM at each change.
BOOST_AUTO_TEST_CASE(changes_contain_only_modified_entries) {
  MemberTable table;
  for (int i = 0; i < 300; ++i) table.Set(MakeMember("vm-" + std::to_string(i), false));
  const auto before = table.version();
  table.Set(MakeMember("vm-7", false));
  BOOST_TEST(table.version() == before);
  table.Set(MakeMember("vm-7", true));
  table.Remove("vm-9");
  const auto changes = table.ChangesSince(before);
  BOOST_TEST(!changes.is_full);
  BOOST_TEST_REQUIRE(changes.changed.size() == 1);
  BOOST_TEST((changes.changed[0] == MakeMember("vm-7", true)));
  BOOST_TEST((changes.removed == std::vector<std::string>{"vm-9"}));
}

// Guards against a VM that keeps an entry which the coordinator does not have.
BOOST_AUTO_TEST_CASE(full_list_replaces_previous_entries) {
  MemberTable coordinator;
  coordinator.Set(MakeMember("a", true));
  MemberTable follower;
  follower.Set(MakeMember("gone", true));
  follower.Apply(coordinator.ChangesSince(0));
  BOOST_TEST(follower.contains("a"));
  BOOST_TEST(!follower.contains("gone"));
}

// Guards against losing a removal that was discarded after too many later ones.
BOOST_AUTO_TEST_CASE(discarded_removals_lead_to_a_full_list) {
  MemberTable table;
  table.Set(MakeMember("a", true));
  table.Set(MakeMember("b", true));
  const auto seen = table.version();
  table.Remove("a");
  for (int i = 0; i < 1500; ++i) {
    table.Set(MakeMember("c", true));
    table.Remove("c");
  }
  const auto changes = table.ChangesSince(seen);
  BOOST_TEST(changes.is_full);
  BOOST_TEST_REQUIRE(changes.changed.size() == 1);
  BOOST_TEST(changes.changed[0].instance.vm == "b");
}

// Guards against reporting a VM as removed that was added again.
BOOST_AUTO_TEST_CASE(vm_added_again_is_not_reported_as_removed) {
  MemberTable table;
  table.Set(MakeMember("a", true));
  const auto seen = table.version();
  table.Remove("a");
  table.Set(MakeMember("a", true));
  const auto changes = table.ChangesSince(seen);
  BOOST_TEST(changes.removed.empty());
  BOOST_TEST(changes.changed.size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
