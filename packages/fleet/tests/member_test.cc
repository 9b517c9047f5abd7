// FleetMember names, coordinator priority and addresses for callers.
#include "marigoldquay/fleet/member.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <map>

namespace marigoldquay {
namespace {

FleetMember MakeMember(const std::string& vm, std::int64_t started, int capacity) {
  FleetMember member;
  member.instance = {vm, 7};
  member.started_unix_ms = started;
  member.availability_zone = "z1";
  member.inner_address = vm + ":7500";
  member.caller_address = vm + ":80";
  member.capacity = capacity;
  member.ready = true;
  return member;
}

double Random() { return static_cast<double>(std::rand()) / (static_cast<double>(RAND_MAX) + 1.0); }

BOOST_AUTO_TEST_SUITE(member)

BOOST_AUTO_TEST_CASE(name_round_trip) {
  auto member = MakeMember("vm-1", 1234, 25);
  member.ready = false;
  const auto parsed = FleetMember::FromName(member.ToName());
  BOOST_TEST_REQUIRE(parsed.has_value());
  BOOST_TEST((*parsed == member));
}

// Other clients of the store can add arbitrary names to the group.
BOOST_AUTO_TEST_CASE(malformed_names_are_rejected) {
  for (const char* name : {"", "x", "a|b|c|d|e|f", "vm/1|x|z|a|b|3", "vm/1|5|z|a|b"}) {
    BOOST_TEST(!FleetMember::FromName(name).has_value());
  }
}

// Guards against a change of coordinator whenever a VM joins.
BOOST_AUTO_TEST_CASE(oldest_large_vm_has_highest_priority) {
  std::vector<FleetMember> members = {MakeMember("small", 1, 9), MakeMember("young", 30, 50),
                                      MakeMember("old", 20, 25)};
  SortByCoordinatorPriority(members);
  BOOST_TEST(members[0].instance.vm == "old");
  BOOST_TEST(members[1].instance.vm == "young");
  BOOST_TEST(members[2].instance.vm == "small");
}

// Guards against VMs that alternate between two coordinators after one was restarted: its stale
// entry sorted first and pointed to the new process at the same address.
BOOST_AUTO_TEST_CASE(older_incarnation_of_a_vm_is_removed) {
  std::vector<FleetMember> members = {MakeMember("vm-1", 10, 50), MakeMember("vm-2", 20, 50),
                                      MakeMember("vm-1", 30, 50)};
  RemoveOldIncarnations(members);
  SortByCoordinatorPriority(members);
  BOOST_TEST_REQUIRE(members.size() == 2U);
  BOOST_TEST(members[0].instance.vm == "vm-2");
  BOOST_TEST(members[1].started_unix_ms == 30);
}

BOOST_AUTO_TEST_CASE(caller_addresses_are_ready_vms_weighted_by_capacity) {
  std::vector<FleetMember> members;
  for (int i = 0; i < 20; ++i) {
    members.push_back(MakeMember("vm-" + std::to_string(i), i, i < 10 ? 50 : 10));
  }
  members[0].ready = false;
  std::map<Address, int> counts;
  for (int i = 0; i < 500; ++i) {
    const auto addresses = SampleCallerAddresses(members, 5, Random);
    BOOST_TEST(addresses.size() == 5);
    for (const auto& address : addresses) ++counts[address];
  }
  BOOST_TEST(counts["vm-0:80"] == 0);
  BOOST_TEST(counts["vm-1:80"] > 2 * counts["vm-15:80"]);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
