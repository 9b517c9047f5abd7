// Versions of the configuration only increase, and draining servers get no new requests.
#include "marigoldquay/routing/cluster_view.h"

#include <boost/test/unit_test.hpp>

namespace marigoldquay {
namespace {

CatalogContents MakeContents(std::uint64_t version) {
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

// Guards against reverting to an older configuration after a stale read.
BOOST_AUTO_TEST_CASE(older_configuration_is_not_applied) {
  ClusterView view;
  BOOST_TEST(view.catalog() == nullptr);
  BOOST_TEST(view.Apply(MakeContents(5)));
  BOOST_TEST(!view.Apply(MakeContents(4)));
  BOOST_TEST(!view.Apply(MakeContents(5)));
  BOOST_TEST(view.catalog()->version() == 5);
  BOOST_TEST(view.Apply(MakeContents(9)));
}

BOOST_AUTO_TEST_CASE(held_catalog_is_unchanged_by_new_version) {
  ClusterView view;
  view.Apply(MakeContents(1));
  const auto kept = view.catalog();
  view.Apply(MakeContents(2));
  BOOST_TEST(kept->version() == 1);
}

// Guards against sending requests to a server that is listed as draining.
BOOST_AUTO_TEST_CASE(draining_replica_is_not_ready) {
  ReplicaTable table;
  table.Upsert(MakeReplica("a", false));
  table.Upsert(MakeReplica("b", false));
  BOOST_TEST(table.FindReady("s").size() == 2);
  BOOST_TEST(table.Upsert(MakeReplica("b", true)));
  BOOST_TEST(table.FindReady("s").size() == 1);
  BOOST_TEST(table.FindReady("s")[0].id == "a");
  BOOST_TEST(table.Remove("a"));
  BOOST_TEST(!table.Remove("a"));
  BOOST_TEST(table.FindReady("s").empty());
}

Replica MakeEntry(std::int64_t started, std::int64_t sequence, bool draining = false) {
  Replica replica = MakeReplica("a", draining);
  replica.started_unix_ms = started;
  replica.sequence = sequence;
  return replica;
}

// Guards against heartbeats that count as changes and are sent to all VMs.
BOOST_AUTO_TEST_CASE(heartbeat_is_no_change) {
  ReplicaTable table;
  BOOST_TEST(table.Upsert(MakeEntry(10, 1)));
  const auto version = table.version();
  BOOST_TEST(!table.Upsert(MakeEntry(10, 2)));
  BOOST_TEST(table.version() == version);
  BOOST_TEST(table.Find("a")->sequence == 2);
}

// Guards against an older entry, from a store that has come back from a copy or from a VM that has
// read it there, which replaces a newer one.
BOOST_AUTO_TEST_CASE(older_entry_is_ignored) {
  ReplicaTable table;
  table.Upsert(MakeEntry(20, 5, true));
  for (const auto& older : {MakeEntry(20, 4), MakeEntry(10, 90)}) {
    BOOST_TEST(!table.Upsert(older));
    BOOST_TEST(table.FindReady("s").empty());
  }
  BOOST_TEST(table.Upsert(MakeEntry(30, 1)));
  BOOST_TEST(table.FindReady("s").size() == 1);
}

// Guards against a server that has left and is used again because a copy lists it, and against a
// server that has come back and stays unused.
BOOST_AUTO_TEST_CASE(removed_server_returns_only_with_a_newer_entry) {
  ReplicaTable table;
  table.Upsert(MakeEntry(20, 5));
  table.Remove("a");
  BOOST_TEST(!table.Upsert(MakeEntry(20, 4)));
  BOOST_TEST(!table.Upsert(MakeEntry(20, 5), true));
  BOOST_TEST(!table.Upsert(MakeEntry(10, 9), true));
  for (const auto& newer : {MakeEntry(20, 6), MakeEntry(30, 1)}) {
    ReplicaTable later = table;
    BOOST_TEST(later.Upsert(newer, true));
    BOOST_TEST(later.departures().empty());
  }
  BOOST_TEST(table.Upsert(MakeEntry(20, 5)));
}

// Guards against a restart that is ignored because its server names no time of start.
BOOST_AUTO_TEST_CASE(entries_without_a_start_are_not_put_in_order) {
  ReplicaTable table;
  table.Upsert(MakeEntry(0, 50, true));
  table.Remove("a");
  BOOST_TEST(table.Upsert(MakeEntry(0, 1)));
}

// Guards against a VM that starts after the return of the store, knows only the copy, and does not
// learn from the others which servers have left.
BOOST_AUTO_TEST_CASE(departures_of_another_vm_are_applied_unless_outdated) {
  ReplicaTable known;
  known.Upsert(MakeEntry(20, 5));
  known.Remove("a");
  BOOST_TEST_REQUIRE(known.departures().size() == 1U);
  const ServerDeparture removed = known.departures().front();
  ReplicaTable fresh;
  BOOST_TEST(!fresh.Apply(removed));
  BOOST_TEST(!fresh.Upsert(MakeEntry(20, 3), true));
  ReplicaTable reader;
  reader.Upsert(MakeEntry(20, 3));
  BOOST_TEST(reader.Apply(removed));
  BOOST_TEST(reader.Find("a") == nullptr);
  ReplicaTable newer;
  newer.Upsert(MakeEntry(20, 6));
  BOOST_TEST(!newer.Apply(removed));
  BOOST_TEST(newer.FindReady("s").size() == 1);
  BOOST_TEST(newer.Apply(ServerDeparture{"a", 20, 4, false}));
  BOOST_TEST(newer.FindReady("s").empty());
}

// Guards against departures that grow without bound.
BOOST_AUTO_TEST_CASE(departures_are_bounded) {
  ReplicaTable table;
  for (std::size_t i = 0; i < 10 * ReplicaTable::kMaxDepartures; ++i) {
    const std::string id = std::to_string(i);
    table.Upsert(MakeReplica(id, false));
    table.Remove(id);
  }
  BOOST_TEST(table.departures().size() == ReplicaTable::kMaxDepartures);
}

// Guards against an outdated source that makes a draining server ready again. A coordinator that
// has just taken over may not know yet what this VM has learnt.
BOOST_AUTO_TEST_CASE(draining_instance_stays_draining) {
  ReplicaTable table;
  table.Upsert(MakeReplica("a", true));
  BOOST_TEST(!table.Upsert(MakeReplica("a", false)));
  BOOST_TEST(table.FindReady("s").empty());
  auto restarted = MakeReplica("a", false);
  restarted.started_unix_ms = 7;
  BOOST_TEST(table.Upsert(restarted));
  BOOST_TEST(table.FindReady("s").size() == 1);
}

// Guards against sending requests to a server that announces its shutdown in its responses while
// the list still shows it as ready.
BOOST_AUTO_TEST_CASE(marked_server_is_not_ready_and_reported_as_changed) {
  ReplicaTable table;
  table.Upsert(MakeReplica("a", false));
  const auto before = table.version();
  BOOST_TEST(table.MarkDraining("a"));
  BOOST_TEST(!table.MarkDraining("a"));
  BOOST_TEST(!table.MarkDraining("unknown"));
  BOOST_TEST(!table.Upsert(MakeReplica("a", false)));
  BOOST_TEST(table.FindReady("s").empty());
  const auto changes = table.ChangesSince(before);
  BOOST_TEST_REQUIRE(changes.updated.size() == 1);
  BOOST_TEST(changes.updated[0].draining);
}

// Guards against a limit that an outdated response or list ends, and against one that survives a
// restart of the server.
BOOST_AUTO_TEST_CASE(latest_request_limit_of_an_instance_is_kept) {
  ReplicaTable table;
  table.Upsert(MakeReplica("a", false));
  const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  BOOST_TEST(!table.SetRequestLimit({"a", 0, {std::nullopt, now - absl::Seconds(2)}}));
  BOOST_TEST(table.SetRequestLimit({"a", 0, {3.2, now}}));
  BOOST_TEST(!table.SetRequestLimit({"a", 0, {3.2, now + absl::Seconds(1)}}));
  const auto version = table.version();
  BOOST_TEST(!table.SetRequestLimit({"a", 0, {std::nullopt, now - absl::Seconds(1)}}));
  BOOST_TEST(!table.SetRequestLimit({"a", 7, {4.0, now + absl::Seconds(1)}}));
  BOOST_TEST(!table.Upsert(MakeReplica("a", false)));
  BOOST_TEST(table.Find("a")->request_limit.per_second.value_or(0) == 3.2);
  BOOST_TEST(table.version() == version);
  BOOST_TEST(table.SetRequestLimit({"a", 0, {std::nullopt, now + absl::Seconds(1)}}));
  auto from_feed = MakeReplica("a", false);
  from_feed.request_limit = {3.2, now};
  BOOST_TEST(!table.Upsert(from_feed));
  from_feed.request_limit = {2.5, now + absl::Seconds(2)};
  BOOST_TEST(table.Upsert(from_feed));
  BOOST_TEST(table.FindLimited().size() == 1);
  // The entry may expire while the store is unavailable.
  table.Remove("a");
  table.Upsert(MakeReplica("a", false));
  BOOST_TEST(table.Find("a")->request_limit.per_second.value_or(0) == 2.5);
  auto restarted = MakeReplica("a", false);
  restarted.started_unix_ms = 7;
  table.Upsert(restarted);
  BOOST_TEST(!table.Find("a")->request_limit.per_second.has_value());
}

// Guards against a new coordinator that forgets the limits that VMs report to it before it has read
// the list of backend servers.
BOOST_AUTO_TEST_CASE(request_limit_of_an_unlisted_server_holds_once_it_is_listed) {
  ReplicaTable table;
  const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  BOOST_TEST(!table.SetRequestLimit({"a", 0, {3.2, now}}));
  BOOST_TEST_REQUIRE(table.stated_limits().size() == 1);
  table.Upsert(MakeReplica("a", false));
  BOOST_TEST(table.Find("a")->request_limit.per_second.value_or(0) == 3.2);
  for (int i = 0; i < 2000; ++i) {
    table.SetRequestLimit({std::to_string(i), 0, {1.0, now + absl::Seconds(i)}});
  }
  BOOST_TEST(table.stated_limits().size() == 500);
}

// Guards against an address that stays assigned to a server that has moved or was removed.
BOOST_AUTO_TEST_CASE(address_is_released_when_server_moves) {
  ReplicaTable table;
  auto moved = MakeReplica("a", false);
  moved.started_unix_ms = 9;
  table.Upsert(moved);
  moved.address = "10.0.0.2:80";
  BOOST_TEST(table.Upsert(moved));
  auto other = MakeReplica("b", false);
  other.address = "10.0.0.1:a";
  BOOST_TEST(table.Upsert(other));
  BOOST_TEST(table.FindReady("s").size() == 2);
}

// Guards against requests to a crashed server whose address a new instance has taken over.
BOOST_AUTO_TEST_CASE(later_instance_takes_over_the_address) {
  ReplicaTable table;
  auto first = MakeReplica("a", false);
  first.started_unix_ms = 100;
  auto second = MakeReplica("b", false);
  second.address = first.address;
  second.started_unix_ms = 200;
  table.Upsert(first);
  BOOST_TEST(table.Upsert(second));
  BOOST_TEST(table.Find("a") == nullptr);
  BOOST_TEST(!table.Upsert(first));
  BOOST_TEST(table.FindReady("s").size() == 1);
}

// Guards against losing a change that occurs between two reports to a VM.
BOOST_AUTO_TEST_CASE(changes_since_a_version_rebuild_the_table) {
  ReplicaTable table;
  table.Upsert(MakeReplica("a", false));
  table.Upsert(MakeReplica("b", false));
  const auto version = table.version();
  BOOST_TEST(table.ChangesSince(0).updated.size() == 2);
  table.Upsert(MakeReplica("c", false));
  table.Remove("a");
  table.Remove("b");
  table.Upsert(MakeReplica("b", true));
  const auto changes = table.ChangesSince(version);
  BOOST_TEST(changes.updated.size() == 2);
  BOOST_TEST_REQUIRE(changes.removed.size() == 1);
  BOOST_TEST(changes.removed[0] == "a");
  BOOST_TEST(table.ChangesSince(table.version()).updated.empty());
}

BOOST_AUTO_TEST_CASE(unchanged_entry_does_not_increment_version) {
  ReplicaTable table;
  BOOST_TEST(table.Upsert(MakeReplica("a", false)));
  const auto version = table.version();
  BOOST_TEST(!table.Upsert(MakeReplica("a", false)));
  BOOST_TEST(table.version() == version);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
