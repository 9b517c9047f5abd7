// Rules of the config stream, and that replay gives the same state everywhere.
#include "marigoldquay/config/replay.h"

#include <boost/test/unit_test.hpp>

#include "absl/strings/match.h"
#include "property.h"
#include "sample_records.h"

namespace marigoldquay {
namespace {

using testing::IntentJson;
using testing::MakeConfirm;
using testing::MakePlan;
using testing::PutText;
using testing::WithdrawText;
using testing::WorkspaceText;

const std::string kDigest(64, 'a');

std::string KeyText(const std::string& id, const std::string& workspace) {
  return PutText("key", id,
                 absl::StrCat(R"("workspace":")", workspace, R"(","digest":")", kDigest, "\""));
}

// Applies a plan on the current revision and confirms it.
Applied PlanAndConfirm(ConfigReplay& replay, const std::string& changes) {
  const auto plan = MakePlan(IntentJson(changes), replay.revision());
  auto planned = replay.ApplyRecord(replay.next_offset(), FormatRecord(plan));
  if (planned.outcome != ApplyOutcome::kPlanned) return planned;
  return replay.ApplyRecord(replay.next_offset(), FormatRecord(MakeConfirm(plan.digest)));
}

void CheckRejected(const Applied& applied, const std::string& reason) {
  BOOST_TEST((applied.outcome == ApplyOutcome::kRejected));
  BOOST_TEST(absl::StrContains(applied.reason, reason), applied.reason);
}

BOOST_AUTO_TEST_SUITE(replay)

// Fails if the second of two operators overwrites the first one's change unseen.
BOOST_AUTO_TEST_CASE(plan_on_a_changed_object_is_rejected) {
  ConfigReplay replay;
  PlanAndConfirm(replay, WorkspaceText("w", 1));
  const auto base = replay.revision();
  const auto one = MakePlan(IntentJson(WorkspaceText("w", 2)), base);
  const auto two = MakePlan(IntentJson(WorkspaceText("w", 3)), base);
  const auto other = MakePlan(IntentJson(WorkspaceText("v", 3)), base);
  for (const auto& plan : {one, two, other}) {
    replay.ApplyRecord(replay.next_offset(), FormatRecord(plan));
  }
  const auto confirm = [&](const std::string& digest) {
    return replay.ApplyRecord(replay.next_offset(), FormatRecord(MakeConfirm(digest)));
  };
  BOOST_TEST((confirm(one.digest).outcome == ApplyOutcome::kConfirmed));
  CheckRejected(confirm(two.digest), "workspace w was changed at revision 5");
  BOOST_TEST((confirm(other.digest).outcome == ApplyOutcome::kConfirmed));
  BOOST_TEST(replay.tables().workspaces.at("w").rate == 2);
  // A repeated confirm tells how the plan ended.
  const auto again = confirm(one.digest);
  CheckRejected(again, "applied already, at revision 5");
  BOOST_TEST(again.revision == 5U);
  CheckRejected(confirm(two.digest), "workspace w was changed");
  CheckRejected(confirm(kDigest), "no plan with digest");
}

// Fails if a plan made before a deletion brings the object back.
BOOST_AUTO_TEST_CASE(plan_from_before_a_deletion_is_rejected) {
  ConfigReplay replay;
  PlanAndConfirm(replay, WorkspaceText("w", 1));
  const auto old_plan = MakePlan(IntentJson(WorkspaceText("w", 2)), replay.revision());
  PlanAndConfirm(replay, WithdrawText("workspace", "w"));
  replay.ApplyRecord(replay.next_offset(), FormatRecord(old_plan));
  CheckRejected(
      replay.ApplyRecord(replay.next_offset(), FormatRecord(MakeConfirm(old_plan.digest))),
      "workspace w was changed");
}

// Fails if a revoked key can be used again or an object in use disappears.
BOOST_AUTO_TEST_CASE(references_and_withdrawn_keys) {
  ConfigReplay replay;
  const auto plain = PutText("pool", "desk", R"("kind":"plain")");
  const auto route = PutText("route", "/o", R"("pool":"desk","methods":["GET"])");
  const auto server =
      PutText("backend_server", "b", R"("pool":"desk","role":"plain","address":"h:1")");
  // Within one intent the order does not matter.
  const auto created =
      PlanAndConfirm(replay, absl::StrCat(KeyText("k", "w"), ",", route, ",", server, ",", plain,
                                          ",", WorkspaceText("w", 1)));
  BOOST_REQUIRE((created.outcome == ApplyOutcome::kConfirmed));
  const auto before = replay.tables();
  CheckRejected(PlanAndConfirm(replay, WithdrawText("workspace", "w")), "key k belongs");
  CheckRejected(PlanAndConfirm(replay, WithdrawText("pool", "desk")), "backend server b belongs");
  CheckRejected(PlanAndConfirm(replay, PutText("pool", "desk", R"("kind":"model","model":"m")")),
                "backend server b has role plain");
  CheckRejected(PlanAndConfirm(replay, KeyText("k2", "none")), "which does not exist");
  CheckRejected(PlanAndConfirm(replay, PutText("workspace", "v", "")), "rate is required");
  CheckRejected(PlanAndConfirm(replay, WithdrawText("route", "/none")), "does not exist");
  // The first change of a rejected plan must not stay.
  CheckRejected(PlanAndConfirm(replay, WorkspaceText("v", 1) + "," + KeyText("k3", "none")),
                "which does not exist");
  BOOST_TEST((replay.tables() == before));

  BOOST_TEST(
      (PlanAndConfirm(replay, WithdrawText("key", "k")).outcome == ApplyOutcome::kConfirmed));
  CheckRejected(PlanAndConfirm(replay, KeyText("k", "w")), "key k is withdrawn");
  CheckRejected(PlanAndConfirm(replay, PutText("key", "k", R"("state":"active")")),
                "exists; withdraw it");
  CheckRejected(PlanAndConfirm(replay, WithdrawText("key", "k")), "is withdrawn already");
  BOOST_TEST((replay.tables().keys.at("k").state == KeyState::kWithdrawn));
  BOOST_TEST(
      (PlanAndConfirm(replay, WithdrawText("workspace", "w")).outcome == ApplyOutcome::kConfirmed));
}

// Fails if pending plans can fill the memory.
BOOST_AUTO_TEST_CASE(oldest_of_too_many_plans_is_dropped) {
  ConfigReplay replay;
  std::string first;
  for (int i = 0; i <= 64; ++i) {
    const auto plan = MakePlan(IntentJson(WorkspaceText("w", i + 1)), 0);
    if (i == 0) first = plan.digest;
    replay.ApplyRecord(replay.next_offset(), FormatRecord(plan));
  }
  BOOST_TEST(replay.pending().size() == kMaxPendingPlans);
  CheckRejected(replay.ApplyRecord(65, FormatRecord(MakeConfirm(first))), "was dropped");
}

// Fails if a bad record changes the state, stops the replay, or is not counted.
BOOST_AUTO_TEST_CASE(bad_records_have_no_effect) {
  ConfigReplay replay;
  auto forged = MakePlan(IntentJson(WorkspaceText("w", 1)), 0);
  forged.digest = kDigest;
  CheckRejected(replay.ApplyRecord(0, FormatRecord(forged)), "does not match");
  CheckRejected(replay.ApplyRecord(1, FormatRecord(MakePlan(forged.intent, 9))), "is newer");
  for (const auto* text : {"", "{}", "[1]", "{\"type\":\"plan\"}", "\xff", "{\"type\":\"new\"}"}) {
    const auto applied = replay.ApplyRecord(replay.next_offset(), text);
    BOOST_TEST((applied.outcome == ApplyOutcome::kMalformed));
    BOOST_TEST(!applied.reason.empty());
  }
  BOOST_TEST(replay.malformed_count() == 6);
  BOOST_TEST((replay.ApplyRecord(3, "{}").outcome == ApplyOutcome::kNotNext));
  BOOST_TEST((replay.ApplyRecord(9, "{}").outcome == ApplyOutcome::kNotNext));
}

// One random change out of few objects, so that conflicts and broken references are frequent.
std::string RandomChange() {
  const auto id = absl::StrCat("x", *rc::gen::inRange(0, 3));
  const auto other = absl::StrCat("x", *rc::gen::inRange(0, 3));
  switch (*rc::gen::inRange(0, 8)) {
    case 0:
      return WithdrawText("workspace", id);
    case 1:
      return WithdrawText("key", id);
    case 2:
      return WithdrawText("pool", id);
    case 3:
      return KeyText(id, other);
    case 4:
      return PutText("pool", id, absl::StrCat(R"("model":"m)", *rc::gen::inRange(0, 3), "\""));
    case 5:
      return PutText("backend_server", id,
                     absl::StrCat(R"("role":"both","address":"h:1","pool":")", other, "\""));
    default:
      return WorkspaceText(id, *rc::gen::inRange(1, 5));
  }
}

std::string RandomRecord(const ConfigReplay& replay, std::vector<std::string>& digests) {
  const int choice = *rc::gen::inRange(0, 10);
  if (choice < 5 || digests.empty()) {
    const Offset lag = *rc::gen::inRange(0, 3);
    const auto base = replay.revision() > lag && choice > 0 ? replay.revision() - lag : 0;
    auto changes = RandomChange();
    if (*rc::gen::inRange(0, 3) == 0) changes += "," + RandomChange();
    const auto plan = MakePlan(IntentJson(changes), base);
    digests.push_back(plan.digest);
    return FormatRecord(plan);
  }
  if (choice < 9) {
    // Mostly the newest plan, sometimes an old one.
    const auto back = std::min<std::size_t>(*rc::gen::inRange(0, 4), digests.size() - 1);
    return FormatRecord(MakeConfirm(digests[digests.size() - 1 - back]));
  }
  return *rc::gen::element<std::string>("{", "{}", "null", "{\"type\":\"confirm\",\"digest\":1}",
                                        "{\"type\":\"snapshot\"}");
}

// Fails if a VM that starts from a snapshot decides differently from one that saw all records.
BOOST_AUTO_TEST_CASE(replay_from_any_snapshot_gives_the_same_state) {
  testing::CheckProperty("snapshot and full replay agree", [] {
    ConfigReplay full;
    std::vector<std::string> digests;
    std::vector<std::string> records;
    std::vector<std::string> snapshots{full.SnapshotText()};
    std::vector<Applied> outcomes;
    const int count = *rc::gen::inRange(1, 120);
    for (int i = 0; i < count; ++i) {
      records.push_back(RandomRecord(full, digests));
      outcomes.push_back(full.ApplyRecord(full.next_offset(), records.back()));
      snapshots.push_back(full.SnapshotText());
    }
    const auto start = static_cast<std::size_t>(*rc::gen::inRange(0, count + 1));
    ConfigReplay late;
    RC_ASSERT(start == 0 || late.LoadSnapshot(start, snapshots[start]));
    for (std::size_t i = start; i < records.size(); ++i) {
      RC_ASSERT(late.ApplyRecord(i, records[i]) == outcomes[i]);
    }
    RC_ASSERT(late.StateDigest() == full.StateDigest());
    RC_ASSERT(late.tables() == full.tables());
    RC_CLASSIFY(full.revision() > 20, "many revisions");
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
