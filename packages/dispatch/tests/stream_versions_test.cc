// Versions that began streams: what is known, what is not, and what the store has to hold.
#include "marigoldquay/dispatch/stream_versions.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace marigoldquay {
namespace {

using Verdict = VersionResolution::Verdict;

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
constexpr absl::Duration kRecall = absl::Seconds(30);
constexpr char kService[] = "llm";

Replica Engine(const std::string& id, const std::string& version, std::int64_t started = 1) {
  Replica engine;
  engine.id = id;
  engine.service = kService;
  engine.role = EngineRole::kDecode;
  engine.software_version = version;
  engine.started_unix_ms = started;
  return engine;
}

const std::vector<Replica> kOld = {Engine("a", "1"), Engine("b", "1")};
const std::vector<Replica> kMixed = {Engine("a", "1"), Engine("b", "1"), Engine("c", "2")};
const std::vector<Replica> kNew = {Engine("c", "2")};

struct Fixture {
  StreamVersions versions;
  absl::Time last_read = kStart;

  Fixture() { versions.SetRecallTime(kService, kRecall); }
  // Sets a list that was asked for at `at`, as all lists since the one before were.
  void List(const std::vector<Replica>& engines, absl::Time at) {
    ReadListsUntil(at);
    versions.SetListed(kService, engines, at);
  }
  void ReadListsUntil(absl::Time at) {
    for (; last_read < at; last_read += StreamVersions::kMaxListGap) versions.OnListRead(last_read);
    versions.OnListRead(at);
    last_read = at;
  }
  void StartWith(const std::vector<Replica>& engines, bool bootstrap) {
    List(engines, kStart);
    versions.FinishLoading(bootstrap, kStart);
    SaveHistories();
  }
  void SaveHistories() {
    for (const auto& history : versions.UnsavedHistories()) versions.OnHistorySaved(history);
  }
  // Records a stream that has begun.
  void Record(const std::string& request, const std::string& version, absl::Time at,
              const std::string& engine = "a") {
    versions.Record(kService, request, version, engine, at);
    versions.OnBegun(kService, request);
  }
  // The version, or how the resolution failed, by a list that was asked for at the take-up.
  std::string Resolve(const std::string& request, absl::Time at) {
    ReadListsUntil(at);
    return ResolveByOldList(request, at);
  }
  // The same by the last list.
  std::string ResolveByOldList(const std::string& request, absl::Time at) const {
    const auto resolution = versions.Resolve(kService, request, at, at);
    if (resolution.verdict == Verdict::kNotYet) return "not yet";
    return resolution.verdict == Verdict::kKnown ? resolution.version : "unknown";
  }
  // Moves what the store should hold to the coordinator that starts anew.
  void SaveOriginsTo(StreamVersions& other, const std::string& writer, absl::Time at) {
    auto origins = versions.UnsavedOrigins(kService, 1000, at);
    versions.OnOriginsSaved(kService, origins.streams.size());
    origins.writer = writer;
    if (!origins.streams.empty()) other.LoadOrigins(origins, "other", at);
  }
};

BOOST_FIXTURE_TEST_SUITE(stream_versions, Fixture)

// Guards against refusing every take-up of a service that never had two versions.
BOOST_AUTO_TEST_CASE(sole_version_began_every_stream) {
  StartWith(kOld, /*bootstrap=*/true);
  BOOST_TEST(Resolve("any", kStart) == "1");
  BOOST_TEST(Resolve("", kStart) == "1");
}

// Guards against the same when the list of servers comes after the store's records.
BOOST_AUTO_TEST_CASE(sole_version_of_the_first_list_began_every_stream) {
  versions.FinishLoading(/*bootstrap=*/true, kStart);
  List(kOld, kStart);
  BOOST_TEST(Resolve("any", kStart) == "1");
  List(kNew, kStart);
  BOOST_TEST(Resolve("any", kStart) == "unknown");
}

// Guards against a version that is guessed before the store's records have been read.
BOOST_AUTO_TEST_CASE(nothing_but_own_records_is_known_before_loading) {
  List(kOld, kStart);
  Record("r", "1", kStart);
  BOOST_TEST(Resolve("any", kStart) == "not yet");
  BOOST_TEST(Resolve("r", kStart) == "1");
}

// Guards against a stream of the old version that goes on at the new one, which is alone by then.
BOOST_AUTO_TEST_CASE(unrecorded_stream_is_unknown_while_versions_mix_and_for_the_recall_time) {
  StartWith(kOld, true);
  const absl::Time mixed = kStart + absl::Seconds(5);
  List(kMixed, mixed);
  BOOST_TEST(Resolve("any", mixed) == "unknown");
  const absl::Time alone = mixed + absl::Seconds(5);
  List(kNew, alone);
  BOOST_TEST(Resolve("any", alone + kRecall - absl::Seconds(1)) == "unknown");
  BOOST_TEST(Resolve("any", alone + kRecall) == "2");
}

// Guards against the same when all entries lapse for a moment, as they do while the store is away.
BOOST_AUTO_TEST_CASE(empty_list_is_no_change_of_versions) {
  StartWith(kOld, true);
  List({}, kStart + absl::Seconds(1));
  BOOST_TEST(Resolve("any", kStart + absl::Seconds(1)) == "1");
  List(kNew, kStart + absl::Seconds(2));
  BOOST_TEST(Resolve("any", kStart + absl::Seconds(2)) == "unknown");
}

BOOST_AUTO_TEST_CASE(recorded_stream_keeps_its_version_while_others_serve) {
  StartWith(kMixed, true);
  Record("old", "1", kStart);
  Record("new", "2", kStart, "c");
  List(kNew, kStart + absl::Seconds(1));
  BOOST_TEST(Resolve("old", kStart + absl::Seconds(2)) == "1");
  BOOST_TEST(Resolve("new", kStart + absl::Seconds(2)) == "2");
  BOOST_TEST(Resolve("", kStart + absl::Seconds(2)) == "unknown");
}

// Guards against an engine that refused a request and is taken for the one that began its stream.
BOOST_AUTO_TEST_CASE(later_placement_of_a_request_replaces_the_earlier) {
  StartWith(kMixed, true);
  Record("r", "1", kStart);
  Record("r", "2", kStart + absl::Milliseconds(10), "c");
  BOOST_TEST(Resolve("r", kStart + absl::Seconds(1)) == "2");
}

// Guards against a first record in the store that names another version than the one that ran, when
// all VMs stop before the second one is there.
BOOST_AUTO_TEST_CASE(request_is_placed_again_at_the_version_of_its_record) {
  StartWith(kMixed, true);
  BOOST_TEST(!versions.VersionToKeep(kService, "r").has_value());
  Record("r", "1", kStart);
  BOOST_TEST(versions.VersionToKeep(kService, "r").value_or("") == "1");
  // No engine could take it.
  List(kNew, kStart + absl::Seconds(1));
  BOOST_TEST(!versions.VersionToKeep(kService, "r").has_value());
}

// Guards against a record of a grant that its VM did not use, since it came late: the stream may
// run at another version.
BOOST_AUTO_TEST_CASE(withdrawn_record_is_unknown_here_and_in_the_store) {
  StartWith(kMixed, true);
  Record("r", "1", kStart);
  StreamVersions next;
  next.SetRecallTime(kService, kRecall);
  SaveOriginsTo(next, "first", kStart);
  versions.Withdraw(kService, "r");
  versions.Withdraw(kService, "other");
  BOOST_TEST(Resolve("r", kStart) == "unknown");
  SaveOriginsTo(next, "first", kStart);
  BOOST_TEST((next.Resolve(kService, "r", kStart, kStart).verdict == Verdict::kUnknown));
}

// Guards against a coordinator that stood still between its grant and the first event: the VM has
// had the request placed elsewhere, perhaps at another version.
BOOST_AUTO_TEST_CASE(granted_stream_is_unknown_until_it_has_begun) {
  StartWith(kMixed, true);
  versions.Record(kService, "r", "1", "a", kStart);
  BOOST_TEST(Resolve("r", kStart) == "unknown");
  versions.OnBegun(kService, "r");
  BOOST_TEST(Resolve("r", kStart) == "1");
  // Its VM has it placed again to let it go on.
  versions.Record(kService, "r", "1", "b", kStart);
  BOOST_TEST(Resolve("r", kStart) == "1");
}

// Guards against a VM that stood still or was cut off while a second version joined, and takes up
// streams of that version by the list that it still has.
BOOST_AUTO_TEST_CASE(sole_version_follows_only_from_a_list_from_after_the_take_up) {
  StartWith(kOld, true);
  const absl::Time cut_off = kStart + absl::Seconds(60);
  BOOST_TEST(Resolve("any", cut_off) == "1");
  BOOST_TEST(ResolveByOldList("any", cut_off + absl::Milliseconds(100)) == "not yet");
  BOOST_TEST(ResolveByOldList("any", cut_off + absl::Seconds(5)) == "not yet");
}

// Guards against a second version that came and went in between, of which only the store's history
// tells.
BOOST_AUTO_TEST_CASE(gap_between_two_lists_makes_the_history_count) {
  StartWith(kOld, true);
  const absl::Time woken = kStart + absl::Seconds(60);
  ReadListsUntil(woken - absl::Seconds(5));
  versions.OnListRead(woken);
  versions.SetListed(kService, kOld, woken);
  BOOST_TEST(!versions.loaded());
  BOOST_TEST(ResolveByOldList("any", woken) == "not yet");
  const absl::Time mixed = woken - absl::Seconds(2);
  versions.LoadHistory({kService, {"1"}, mixed}, true, woken);
  versions.FinishLoading(true, woken);
  BOOST_TEST(ResolveByOldList("any", woken) == "unknown");
  last_read = woken;
  BOOST_TEST(Resolve("any", mixed + kRecall) == "1");
}

BOOST_AUTO_TEST_CASE(gap_without_another_version_is_bridged_by_the_history) {
  StartWith(kOld, true);
  const absl::Time woken = kStart + absl::Seconds(60);
  versions.OnListRead(woken);
  versions.LoadHistory({kService, {"1"}, kStart}, true, woken);
  versions.FinishLoading(false, woken);
  BOOST_TEST(ResolveByOldList("any", woken) == "1");
}

// Guards against a gap that is taken for the first start of the system.
BOOST_AUTO_TEST_CASE(gap_without_a_history_leaves_streams_unknown) {
  StartWith(kOld, true);
  const absl::Time woken = kStart + absl::Seconds(60);
  versions.OnListRead(woken);
  versions.FinishLoading(true, woken);
  BOOST_TEST(ResolveByOldList("any", woken) == "unknown");
}

// Guards against take-ups that are refused while the store cannot be read, though this VM has seen
// one version only for longer than callers come back.
BOOST_AUTO_TEST_CASE(version_that_was_seen_alone_for_the_recall_time_is_known_before_loading) {
  List(kOld, kStart);
  BOOST_TEST(Resolve("any", kStart + kRecall - absl::Seconds(1)) == "not yet");
  BOOST_TEST(Resolve("any", kStart + kRecall) == "1");
  List(kMixed, kStart + kRecall);
  BOOST_TEST(Resolve("any", kStart + kRecall) == "not yet");
}

// Guards against records that expire early when a configuration shortens a timeout.
BOOST_AUTO_TEST_CASE(recall_time_never_shrinks) {
  StartWith(kMixed, true);
  versions.SetRecallTime(kService, kRecall / 2);
  List(kNew, kStart);
  BOOST_TEST(Resolve("any", kStart + kRecall - absl::Seconds(1)) == "unknown");
}

// Guards against an entry that is older than the server which answers: the id has started again at
// another version.
BOOST_AUTO_TEST_CASE(streams_of_an_engine_that_starts_again_at_another_version_are_unknown) {
  StartWith(kMixed, true);
  Record("on a", "1", kStart, "a");
  Record("on b", "1", kStart, "b");
  List({Engine("a", "2", 2), Engine("b", "1", 2), Engine("c", "2")}, kStart + absl::Seconds(1));
  BOOST_TEST(Resolve("on a", kStart + absl::Seconds(1)) == "unknown");
  BOOST_TEST(Resolve("on b", kStart + absl::Seconds(1)) == "1");
}

// Guards against the same when the entry is removed between the two starts.
BOOST_AUTO_TEST_CASE(engine_that_was_missing_in_between_is_recognised) {
  StartWith(kMixed, true);
  Record("on a", "1", kStart, "a");
  List({Engine("b", "1"), Engine("c", "2")}, kStart + absl::Seconds(1));
  List({Engine("a", "2", 2), Engine("b", "1"), Engine("c", "2")}, kStart + absl::Seconds(3));
  BOOST_TEST(Resolve("on a", kStart + absl::Seconds(3)) == "unknown");
}

BOOST_AUTO_TEST_CASE(records_expire_after_the_recall_time) {
  StartWith(kMixed, true);
  Record("r", "1", kStart);
  versions.Expire(kStart + kRecall);
  BOOST_TEST(Resolve("r", kStart + kRecall) == "1");
  versions.Expire(kStart + kRecall + absl::Milliseconds(1));
  BOOST_TEST(versions.stream_count() == 0U);
}

// Guards against a table that grows without bound.
BOOST_AUTO_TEST_CASE(oldest_records_are_dropped_beyond_the_bound) {
  StartWith(kMixed, true);
  for (std::size_t i = 0; i <= StreamVersions::kMaxRecords; ++i) {
    Record("r" + std::to_string(i), "1", kStart);
  }
  BOOST_TEST(versions.stream_count() == StreamVersions::kMaxRecords);
  BOOST_TEST(Resolve("r0", kStart) == "unknown");
  BOOST_TEST(Resolve("r1", kStart) == "1");
  BOOST_TEST(versions.UnsavedOrigins(kService, 100'000, kStart).streams.size() <=
             StreamVersions::kMaxRecords);
}

// Guards against store calls for every stream of a service with one version, and against streams
// under way that are forgotten when a second version appears.
BOOST_AUTO_TEST_CASE(streams_are_written_only_while_unrecorded_ones_are_unknown) {
  StartWith(kOld, true);
  Record("before", "1", kStart);
  BOOST_TEST(versions.UnsavedOrigins(kService, 10, kStart).streams.empty());
  const absl::Time mixed = kStart + absl::Seconds(1);
  List(kMixed, mixed);
  const auto unsaved = versions.UnsavedOrigins(kService, 10, mixed);
  BOOST_TEST_REQUIRE(unsaved.streams.size() == 1U);
  BOOST_TEST((unsaved.streams[0] == StreamOrigin{StreamKeyOf("before"), "1"}));
  versions.OnOriginsSaved(kService, 1);
  BOOST_TEST(versions.UnsavedOrigins(kService, 10, mixed).streams.empty());
}

// Guards against a new version that begins streams before the store knows of it: after a loss of
// power they would be taken for streams of the old one.
BOOST_AUTO_TEST_CASE(new_version_waits_for_the_history_for_a_limited_time) {
  StartWith(kOld, true);
  const absl::Time mixed = kStart + absl::Seconds(5);
  List(kMixed, mixed);
  BOOST_TEST(versions.MayBegin(kService, "1", mixed));
  BOOST_TEST(!versions.MayBegin(kService, "2", mixed));
  BOOST_TEST(versions.MayBegin(kService, "2", mixed + StreamVersions::kMaxGateTime));
  SaveHistories();
  BOOST_TEST(versions.MayBegin(kService, "2", mixed));
}

// Guards against a service without any server to begin streams, because all have a new version.
BOOST_AUTO_TEST_CASE(new_version_does_not_wait_when_no_other_serves) {
  StartWith(kOld, true);
  List(kNew, kStart + absl::Seconds(5));
  BOOST_TEST(versions.MayBegin(kService, "2", kStart + absl::Seconds(5)));
}

struct RestartFixture : Fixture {
  StreamVersions restarted;
  const absl::Time later = kStart + absl::Seconds(60);

  RestartFixture() { restarted.SetRecallTime(kService, kRecall); }
  std::string ResolveAfter(const VersionHistory& history, bool is_current,
                           const std::vector<Replica>& engines) {
    restarted.OnListRead(later);
    restarted.SetListed(kService, engines, later);
    restarted.LoadHistory(history, is_current, later);
    restarted.FinishLoading(false, later);
    const auto resolution = restarted.Resolve(kService, "any", later, later);
    return resolution.verdict == Verdict::kKnown ? resolution.version : "unknown";
  }
};

BOOST_FIXTURE_TEST_CASE(history_outlasts_a_restart_of_all_vms, RestartFixture) {
  BOOST_TEST(ResolveAfter({kService, {"1"}, absl::InfinitePast()}, true, kOld) == "1");
}

// Guards against streams of the version that served before the restart.
BOOST_FIXTURE_TEST_CASE(other_version_after_a_restart_leaves_streams_unknown, RestartFixture) {
  BOOST_TEST(ResolveAfter({kService, {"1"}, absl::InfinitePast()}, true, kNew) == "unknown");
  BOOST_TEST_REQUIRE(restarted.UnsavedHistories().size() == 1U);
  BOOST_TEST((restarted.UnsavedHistories()[0] == VersionHistory{kService, {"2"}, later}));
}

BOOST_FIXTURE_TEST_CASE(recent_change_before_a_restart_leaves_streams_unknown, RestartFixture) {
  const absl::Time recent = later - kRecall + absl::Seconds(1);
  BOOST_TEST(ResolveAfter({kService, {"1"}, recent}, true, kOld) == "unknown");
}

// Guards against a history that lacks a second version, since the store came back from a copy.
BOOST_FIXTURE_TEST_CASE(history_of_an_earlier_era_leaves_streams_unknown, RestartFixture) {
  BOOST_TEST(ResolveAfter({kService, {"1"}, absl::InfinitePast()}, false, kOld) == "unknown");
}

BOOST_FIXTURE_TEST_CASE(restart_without_a_history_leaves_streams_unknown, RestartFixture) {
  restarted.SetListed(kService, kOld, later);
  restarted.FinishLoading(false, later);
  BOOST_TEST((restarted.Resolve(kService, "any", later, later).verdict == Verdict::kUnknown));
}

// Guards against take-ups that are refused after a loss of power although the store holds them.
BOOST_FIXTURE_TEST_CASE(saved_streams_are_known_to_the_next_coordinator, RestartFixture) {
  StartWith(kMixed, true);
  Record("old", "1", kStart);
  Record("new", "2", kStart, "c");
  SaveOriginsTo(restarted, "vm-1", kStart);
  restarted.FinishLoading(false, kStart);
  BOOST_TEST(restarted.Resolve(kService, "old", kStart, kStart).version == "1");
  BOOST_TEST(restarted.Resolve(kService, "new", kStart, kStart).version == "2");
}

// Guards against taking one of two coordinators at its word when they disagree on a stream.
BOOST_FIXTURE_TEST_CASE(stream_with_two_versions_of_two_writers_is_unknown, RestartFixture) {
  const auto load = [&](const std::string& writer, const std::string& version) {
    restarted.LoadOrigins({kService, writer, kStart, {{StreamKeyOf("r"), version}}}, "vm-9",
                          kStart);
  };
  load("vm-1", "1");
  load("vm-1", "2");
  BOOST_TEST(restarted.Resolve(kService, "r", kStart, kStart).version == "2");
  load("vm-2", "1");
  BOOST_TEST((restarted.Resolve(kService, "r", kStart, kStart).verdict == Verdict::kUnknown));
}

// Guards against records that stay lost when the store comes back from an older copy.
BOOST_AUTO_TEST_CASE(everything_is_written_again_when_the_store_was_restored) {
  StartWith(kMixed, true);
  Record("r", "1", kStart);
  versions.OnOriginsSaved(kService, 1);
  BOOST_TEST(versions.UnsavedHistories().empty());
  versions.OnStoreRestored();
  BOOST_TEST(versions.UnsavedHistories().size() == 1U);
  BOOST_TEST(versions.UnsavedOrigins(kService, 10, kStart).streams.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
