// Rules of the members stream.
#include "marigoldquay/membership/member_set.h"

#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"
#include "marigoldquay/core/secret.h"
#include "property.h"
#include "sample_members.h"

namespace marigoldquay {
namespace {

using testing::SampleMember;

struct Fixture {
  MemberChange Apply(const std::string& data) { return set.ApplyRecord(set.next_offset(), data); }
  MemberChange Join(const std::string& vm, std::uint64_t incarnation, bool renew = false) {
    return Apply(FormatRecord(JoinRecord{SampleMember(vm, incarnation), "n", renew}));
  }
  MemberChange Remove(const Instance& instance, const Instance& remover) {
    return Apply(FormatRecord(RemoveRecord{instance, remover, "n"}));
  }
  MemberSet set;
};

BOOST_FIXTURE_TEST_SUITE(member_set, Fixture)

// Fails if a late record brings back an instance that has ended, or a renewal adds one.
BOOST_AUTO_TEST_CASE(ended_instances_stay_out) {
  BOOST_TEST((Join("a", 1).kind == MemberChangeKind::kJoined));
  BOOST_TEST((Join("a", 1).kind == MemberChangeKind::kNone));
  const auto replaced = Join("a", 2);
  BOOST_TEST((replaced.kind == MemberChangeKind::kReplaced));
  BOOST_TEST((replaced.replaced == Instance{"a", 1}));
  BOOST_TEST(set.epoch() == 2U);
  BOOST_TEST((Join("a", 1).kind == MemberChangeKind::kNone));
  BOOST_TEST((Apply(FormatRecord(LeaveRecord{{"a", 1}, "n"})).kind == MemberChangeKind::kNone));
  BOOST_TEST((Apply(FormatRecord(LeaveRecord{{"a", 2}, "n"})).kind == MemberChangeKind::kLeft));
  BOOST_TEST((Join("a", 2, true).kind == MemberChangeKind::kNone));
  BOOST_TEST((Join("a", 2).kind == MemberChangeKind::kNone));
  BOOST_TEST(set.members().empty());
  BOOST_TEST(set.epoch() == 5U);
}

// Fails if a VM that is no guardian can remove another one.
BOOST_AUTO_TEST_CASE(only_guardians_remove) {
  for (const auto* vm : {"a", "b", "c", "d", "e"}) Join(vm, 1);
  const auto guardians = set.GuardiansOf("a");
  BOOST_REQUIRE(guardians.size() == 2U);
  for (const auto* vm : {"a", "b", "c", "d", "e"}) {
    const bool guardian = vm == guardians[0].instance.vm || vm == guardians[1].instance.vm;
    if (guardian) continue;
    BOOST_TEST((Remove({"a", 1}, {vm, 1}).kind == MemberChangeKind::kNone));
  }
  auto stale = guardians[0].instance;
  stale.incarnation = 9;
  BOOST_TEST((Remove({"a", 1}, stale).kind == MemberChangeKind::kNone));
  BOOST_TEST((Remove({"a", 1}, guardians[1].instance).kind == MemberChangeKind::kRemoved));
  BOOST_TEST(set.Find("a") == nullptr);
}

// Fails if a new guardian does not learn whose promises may still be in force.
BOOST_AUTO_TEST_CASE(join_notes_displaced_guardians) {
  for (const auto* vm : {"a", "b", "c", "d"}) Join(vm, 1);
  std::map<std::string, std::vector<Member>> before;
  for (const auto& vm : set.vms()) before[vm] = set.GuardiansOf(vm);
  Join("e", 1);
  int displaced = 0;
  for (const auto& [vm, guardians] : before) {
    const auto now = set.GuardiansOf(vm);
    for (const auto& guardian : guardians) {
      if (std::find(now.begin(), now.end(), guardian) != now.end()) continue;
      BOOST_TEST(set.DisplacedGuardiansOf(vm).at(guardian.instance.vm) == 4U);
      ++displaced;
    }
  }
  BOOST_TEST(displaced == 2);
}

BOOST_AUTO_TEST_CASE(malformed_records_have_no_effect) {
  for (const auto* text : {"", "{}", R"({"type":"join","nonce":"n"})",
                           R"({"type":"leave","nonce":"n","instance":"a"})"}) {
    BOOST_TEST((Apply(text).kind == MemberChangeKind::kNone));
  }
  BOOST_TEST(set.next_offset() == 4U);
}

// Fails if a VM that starts from a snapshot judges later records differently.
BOOST_AUTO_TEST_CASE(replay_from_any_snapshot_gives_the_same_set) {
  testing::CheckProperty("snapshot and full replay agree", [] {
    MemberSet full;
    MemberSet late;
    const int count = *rc::gen::inRange(1, 80);
    const int start = *rc::gen::inRange(0, count);
    for (int i = 0; i < count; ++i) {
      if (i == start && i > 0) RC_ASSERT(late.LoadSnapshot(i, full.SnapshotText()));
      const Instance one{absl::StrCat("v", *rc::gen::inRange(0, 6)),
                         *rc::gen::inRange<std::uint64_t>(1, 4)};
      const Instance two{absl::StrCat("v", *rc::gen::inRange(0, 6)),
                         *rc::gen::inRange<std::uint64_t>(1, 4)};
      const int choice = *rc::gen::inRange(0, 8);
      std::string data = "{}";
      if (choice < 4) {
        data = FormatRecord(JoinRecord{SampleMember(one.vm, one.incarnation), "n", choice == 0});
      } else if (choice == 4) {
        data = FormatRecord(LeaveRecord{one, "n"});
      } else if (choice < 7) {
        data = FormatRecord(RemoveRecord{one, two, "n"});
      }
      full.ApplyRecord(i, data);
      if (i >= start) late.ApplyRecord(i, data);
    }
    RC_ASSERT(late.SnapshotText() == full.SnapshotText());
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
