// Beliefs of one VM: versions only go forward, and servers that leave get no work.
#include "marigoldquay/routing/cluster_view.h"

#include <boost/test/unit_test.hpp>

namespace marigoldquay {
namespace {

CatalogContents Version(std::uint64_t version) {
  CatalogContents contents;
  contents.version = version;
  return contents;
}

Replica MakeReplica(const std::string& id, bool draining) {
  Replica replica;
  replica.id = id;
  replica.service = "s";
  replica.address = "10.0.0.1:" + id;
  replica.draining = draining;
  return replica;
}

BOOST_AUTO_TEST_SUITE(cluster_view)

// Guards against a stale read that brings back an old configuration.
BOOST_AUTO_TEST_CASE(older_configuration_is_not_applied) {
  ClusterView view;
  BOOST_TEST(view.catalog() == nullptr);
  BOOST_TEST(view.Apply(Version(5)));
  BOOST_TEST(!view.Apply(Version(4)));
  BOOST_TEST(!view.Apply(Version(5)));
  BOOST_TEST(view.catalog()->version() == 5);
  BOOST_TEST(view.Apply(Version(9)));
}

BOOST_AUTO_TEST_CASE(request_keeps_its_version) {
  ClusterView view;
  view.Apply(Version(1));
  const auto kept = view.catalog();
  view.Apply(Version(2));
  BOOST_TEST(kept->version() == 1);
}

// Guards against work for a server that has announced its leaving.
BOOST_AUTO_TEST_CASE(draining_replica_is_not_ready) {
  ReplicaTable table;
  table.Set(MakeReplica("a", false));
  table.Set(MakeReplica("b", false));
  BOOST_TEST(table.Ready("s").size() == 2);
  BOOST_TEST(table.Set(MakeReplica("b", true)));
  BOOST_TEST(table.Ready("s").size() == 1);
  BOOST_TEST(table.Ready("s")[0].id == "a");
  BOOST_TEST(table.Remove("a"));
  BOOST_TEST(!table.Remove("a"));
  BOOST_TEST(table.Ready("s").empty());
}

// Guards against an older source, e.g. a coordinator that has just taken over, that makes a server
// in use again after this VM has learnt that it is leaving.
BOOST_AUTO_TEST_CASE(start_that_was_draining_stays_so) {
  ReplicaTable table;
  table.Set(MakeReplica("a", true));
  BOOST_TEST(!table.Set(MakeReplica("a", false)));
  BOOST_TEST(table.Ready("s").empty());
  auto restarted = MakeReplica("a", false);
  restarted.started_unix_ms = 7;
  BOOST_TEST(table.Set(restarted));
  BOOST_TEST(table.Ready("s").size() == 1);
}

// Guards against work for a server that says in its answers that it is leaving, while the list
// still calls it ready.
BOOST_AUTO_TEST_CASE(leaving_server_is_not_ready_and_told_to_others) {
  ReplicaTable table;
  table.Set(MakeReplica("a", false));
  const auto before = table.version();
  BOOST_TEST(table.MarkDraining("a"));
  BOOST_TEST(!table.MarkDraining("a"));
  BOOST_TEST(!table.MarkDraining("unknown"));
  BOOST_TEST(!table.Set(MakeReplica("a", false)));
  BOOST_TEST(table.Ready("s").empty());
  const auto changes = table.ChangesSince(before);
  BOOST_TEST_REQUIRE(changes.listed.size() == 1);
  BOOST_TEST(changes.listed[0].draining);
}

// Guards against an address that stays taken after its server has moved or gone.
BOOST_AUTO_TEST_CASE(address_is_free_after_a_move) {
  ReplicaTable table;
  auto moved = MakeReplica("a", false);
  moved.started_unix_ms = 9;
  table.Set(moved);
  moved.address = "10.0.0.2:80";
  BOOST_TEST(table.Set(moved));
  auto other = MakeReplica("b", false);
  other.address = "10.0.0.1:a";
  BOOST_TEST(table.Set(other));
  BOOST_TEST(table.Ready("s").size() == 2);
}

// Guards against requests to a crashed server whose address a new start has taken over.
BOOST_AUTO_TEST_CASE(later_start_takes_over_the_address) {
  ReplicaTable table;
  auto first = MakeReplica("a", false);
  first.started_unix_ms = 100;
  auto second = MakeReplica("b", false);
  second.address = first.address;
  second.started_unix_ms = 200;
  table.Set(first);
  BOOST_TEST(table.Set(second));
  BOOST_TEST(table.Find("a") == nullptr);
  BOOST_TEST(!table.Set(first));
  BOOST_TEST(table.Ready("s").size() == 1);
}

// Guards against a VM that misses a change between two reports.
BOOST_AUTO_TEST_CASE(changes_since_a_version_rebuild_the_table) {
  ReplicaTable table;
  table.Set(MakeReplica("a", false));
  table.Set(MakeReplica("b", false));
  const auto version = table.version();
  BOOST_TEST(table.ChangesSince(0).listed.size() == 2);
  table.Set(MakeReplica("c", false));
  table.Remove("a");
  table.Remove("b");
  table.Set(MakeReplica("b", true));
  const auto changes = table.ChangesSince(version);
  BOOST_TEST(changes.listed.size() == 2);
  BOOST_TEST_REQUIRE(changes.removed.size() == 1);
  BOOST_TEST(changes.removed[0] == "a");
  BOOST_TEST(table.ChangesSince(table.version()).listed.empty());
}

BOOST_AUTO_TEST_CASE(unchanged_entry_does_not_count_as_change) {
  ReplicaTable table;
  BOOST_TEST(table.Set(MakeReplica("a", false)));
  const auto version = table.version();
  BOOST_TEST(!table.Set(MakeReplica("a", false)));
  BOOST_TEST(table.version() == version);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
