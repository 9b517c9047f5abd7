// The store: records from the log and from peers, truncated streams, evidence
// of currency, snapshots.
#include "marigoldquay/config/config_store.h"

#include <boost/test/unit_test.hpp>

#include "marigoldquay/config/snapshot_writer.h"
#include "memory_log.h"
#include "sample_records.h"

namespace marigoldquay {
namespace {

using testing::IntentJson;
using testing::MakeConfirm;
using testing::MakePlan;
using testing::MemoryLog;
using testing::WorkspaceText;

// Appends plan and confirm for a workspace of this name.
void AddWorkspace(MemoryLog& log, const std::string& id, std::size_t padding = 0) {
  auto intent = IntentJson(WorkspaceText(id, 1));
  intent["padding"] = std::string(padding, 'x');
  const auto plan = MakePlan(intent, 0, "plan-" + id);
  log.records.push_back(FormatRecord(plan));
  log.records.push_back(FormatRecord(MakeConfirm(plan.digest, "confirm-" + id)));
}

// Lets `reader` fetch from `server` until there is nothing more.
int Fetch(PeerStream& reader, PeerStream& server) {
  int calls = 0;
  for (bool more = true; more && calls < 1000; ++calls) {
    const auto request = reader.NextRequest();
    more = reader.TakeReply(request, server.Serve(request));
  }
  return calls;
}

struct OutageFlag final : LogOutageAgreement {
  bool AllReachableSayLogDown() const override { return down; }
  bool down = false;
};

BOOST_AUTO_TEST_SUITE(config_store)

// Fails if a VM that cannot read the log keeps serving keys that may have been revoked.
BOOST_AUTO_TEST_CASE(currency_needs_evidence_of_the_last_five_seconds) {
  ManualClock clock;
  MemoryLog log;
  ConfigStore store(clock);
  OutageFlag outage;
  store.SetOutageAgreement(&outage);
  AddWorkspace(log, "a");
  AddWorkspace(log, "b");
  BOOST_TEST(!store.current());
  log.Deliver(store, clock.Now(), 2, 1);  // Not at the tail yet.
  BOOST_TEST(!store.current());
  log.Deliver(store, clock.Now());
  BOOST_TEST(store.current());
  clock.Advance(absl::Seconds(5));
  BOOST_TEST(store.current());
  clock.Advance(absl::Milliseconds(1));
  BOOST_TEST(!store.current());
  outage.down = true;
  BOOST_TEST(store.current());
  outage.down = false;
  // A peer's evidence at an offset not above this VM's own counts from its own age on.
  store.OnPeerEvidence(4, absl::Seconds(2), clock.Now() - absl::Seconds(1));
  BOOST_TEST(store.current());
  BOOST_TEST((store.evidence_age() == absl::Seconds(3)));
  clock.Advance(absl::Seconds(3));
  BOOST_TEST(!store.current());
  // A peer that is ahead proves nothing until its records have arrived.
  store.OnPeerEvidence(6, absl::ZeroDuration(), clock.Now());
  BOOST_TEST(!store.current());
  AddWorkspace(log, "c");
  ConfigStore peer(clock);
  log.Deliver(peer, clock.Now());
  Fetch(store, peer);
  BOOST_TEST(store.current());
  BOOST_TEST(store.Read()->workspaces().size() == 3U);
}

// Fails if listeners miss a change or run before readers see it.
BOOST_AUTO_TEST_CASE(listeners_see_the_new_revision) {
  ManualClock clock;
  MemoryLog log;
  ConfigStore store(clock);
  std::vector<Offset> seen;
  store.AddListener([&](Offset revision) {
    BOOST_TEST(store.Read()->revision() == revision);
    seen.push_back(revision);
  });
  AddWorkspace(log, "a");
  AddWorkspace(log, "b");
  log.Deliver(store, clock.Now(), 2);
  BOOST_TEST(seen == (std::vector<Offset>{1, 3}), boost::test_tools::per_element());
  BOOST_TEST(store.WaitForNonce("confirm-b", clock.Now())->revision == 3U);
  BOOST_TEST(!store.WaitForNonce("other", clock.Now()).has_value());
}

// Fails if a VM cannot start, or starts from a gap, when old records are gone.
BOOST_AUTO_TEST_CASE(truncated_stream_starts_from_a_snapshot_that_reaches_it) {
  ManualClock clock;
  MemoryLog log;
  ConfigStore writer(clock);
  SnapshotWriter snapshots({}, writer, log, [] { return true; });
  AddWorkspace(log, "a");
  log.Deliver(writer, clock.Now());
  BOOST_TEST(!snapshots.RunOnce());
  clock.Advance(absl::Hours(6));
  BOOST_TEST(snapshots.RunOnce());  // Offset 2, covers offsets below 2.
  log.Deliver(writer, clock.Now());
  BOOST_TEST(!snapshots.RunOnce());
  AddWorkspace(log, "b");

  log.first = 2;
  ConfigStore late(clock);
  log.Deliver(late, clock.Now(), 1);
  log.Deliver(writer, clock.Now());
  BOOST_TEST(late.StateDigest() == writer.StateDigest());

  // Without the records 2 and 3 the old snapshot leaves a gap; a newer one is needed.
  log.first = 4;
  ConfigStore later(clock);
  log.Deliver(later, clock.Now());
  BOOST_TEST(!later.current());
  BOOST_TEST(later.revision() == 0U);
  clock.Advance(absl::Hours(6));
  log.Deliver(writer, clock.Now());
  BOOST_TEST(snapshots.RunOnce());
  log.Deliver(later, clock.Now());
  log.Deliver(writer, clock.Now());
  BOOST_TEST(later.StateDigest() == writer.StateDigest());
  BOOST_TEST(later.current());
}

// Fails if snapshots are not written by number of changes, or a lost answer spoils them.
BOOST_AUTO_TEST_CASE(snapshot_after_many_changes_survives_lost_answers) {
  ManualClock clock;
  MemoryLog log;
  ConfigStore writer(clock);
  SnapshotOptions options;
  options.max_changes = 3;
  SnapshotWriter snapshots(options, writer, log, [] { return true; });
  for (int i = 0; i < 3; ++i) AddWorkspace(log, absl::StrCat("w", i));
  log.Deliver(writer, clock.Now());
  log.mode = testing::AppendMode::kAnswerLost;
  BOOST_TEST(!snapshots.RunOnce());
  log.mode = testing::AppendMode::kWorks;
  BOOST_TEST(snapshots.RunOnce());
  log.Deliver(writer, clock.Now());
  BOOST_TEST(writer.changes_since_snapshot() == 0);
  log.first = 6;
  ConfigStore late(clock);
  log.Deliver(late, clock.Now());
  BOOST_TEST(late.Read()->workspaces().size() == 3U);
}

// Fails if a state of several parts cannot be passed on to a peer that is far behind.
BOOST_AUTO_TEST_CASE(far_peer_gets_a_snapshot_in_parts) {
  ManualClock clock;
  MemoryLog log;
  ConfigStore server(clock);
  // Padding of the intents pushes early records out of the tail of 4 MiB.
  for (int i = 0; i < 130; ++i) AddWorkspace(log, absl::StrCat("w", i), 60000);
  log.Deliver(server, clock.Now());
  // Pending plans make the snapshot larger than one reply.
  for (int i = 0; i < 20; ++i) {
    auto intent = IntentJson(WorkspaceText(absl::StrCat("p", i), 1));
    intent["padding"] = std::string(60000, 'x');
    log.records.push_back(FormatRecord(MakePlan(intent, 0)));
  }
  log.Deliver(server, clock.Now());
  BOOST_TEST(server.MakeSnapshot().size() > 12U);
  ConfigStore reader(clock);
  BOOST_TEST(Fetch(reader, server) > 3);
  BOOST_TEST(reader.StateDigest() == server.StateDigest());
  BOOST_TEST(reader.applied_offset() == server.applied_offset());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
