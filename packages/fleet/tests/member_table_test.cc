// Changes of the list of VMs that a coordinator sends.
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

// Guards against a whole list of some hundred VMs for each VM at each change.
BOOST_AUTO_TEST_CASE(only_changes_are_named) {
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

// Guards against a VM that keeps an entry of which the coordinator has never heard.
BOOST_AUTO_TEST_CASE(whole_list_replaces_what_was_known) {
  MemberTable coordinator;
  coordinator.Set(MakeMember("a", true));
  MemberTable follower;
  follower.Set(MakeMember("gone", true));
  follower.Apply(coordinator.ChangesSince(0));
  BOOST_TEST(follower.contains("a"));
  BOOST_TEST(!follower.contains("gone"));
}

// Guards against a removal that is lost since too many came after it.
BOOST_AUTO_TEST_CASE(forgotten_removals_lead_to_a_whole_list) {
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

// Guards against a VM that came back and is named as removed.
BOOST_AUTO_TEST_CASE(vm_that_came_back_is_not_removed) {
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
