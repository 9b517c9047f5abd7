// Ownership across chains of joins, leaves and removals.
#include "marigoldquay/membership/ownership_tracker.h"

#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"
#include "marigoldquay/core/rendezvous.h"
#include "sample_members.h"

namespace marigoldquay {
namespace {

using testing::SampleMember;

// One VM's tracker with the set that it follows.
struct Node {
  Node(const Clock& clock, const Instance& self) : tracker(clock) { tracker.Start(self); }
  void Read(const std::string& data) {
    const auto before = set.vms();
    const auto members = set.members();
    const auto change = set.ApplyRecord(set.next_offset(), data);
    tracker.OnChange(change, before, set.vms(), members);
  }
  MemberSet set;
  OwnershipTracker tracker;
};

struct Fixture {
  static std::string Join(const std::string& vm) {
    return FormatRecord(JoinRecord{SampleMember(vm, 1), "n", false});
  }
  std::string Remove(const std::string& vm) const {
    return FormatRecord(RemoveRecord{{vm, 1}, a.set.GuardiansOf(vm).front().instance, "n"});
  }
  void ReadAll(const std::string& data) {
    for (auto* node : {&a, &b, &c}) node->Read(data);
  }
  // A key whose owner is `first` among all, `second` without it and `third` without both.
  static std::string KeyOf(const std::vector<VmId>& order) {
    for (int i = 0;; ++i) {
      auto key = absl::StrCat("k", i);
      if (RankByRendezvous(key, order) == order) return key;
    }
  }
  // Lets `to` ask the source that is the VM `from`; false when it is not asked or not ready.
  static bool HandOver(Node& from, Node& to, const std::string& vm) {
    for (const auto& source : to.tracker.PendingSources()) {
      if (source.instance.vm != vm || from.set.next_offset() <= source.epoch ||
          !from.tracker.CompleteBefore(source.epoch)) {
        continue;
      }
      to.tracker.OnHandedOver(source.instance, source.epoch);
      return true;
    }
    return false;
  }

  ManualClock clock;
  Node a{clock, {"a", 1}};
  Node b{clock, {"b", 1}};
  Node c{clock, {"c", 1}};
};

BOOST_FIXTURE_TEST_SUITE(ownership_tracker, Fixture)

// Fails if the second of two joiners gets a key before the first joiner's predecessor let go.
BOOST_AUTO_TEST_CASE(chain_of_joins_hands_over_in_order) {
  const auto key = KeyOf({"c", "b", "a"});
  ReadAll(Join("a"));
  clock.Advance(kTakeoverWait);
  BOOST_TEST(a.tracker.IsFree(key));
  // `a` lags: it does not know of the joins yet and still holds the key.
  for (const auto* vm : {"b", "c"}) {
    b.Read(Join(vm));
    c.Read(Join(vm));
  }
  BOOST_TEST(!HandOver(b, c, "b"));  // Its own acquisition is not complete.
  BOOST_TEST(!HandOver(a, b, "a"));  // Does not know the epoch.
  BOOST_TEST(!c.tracker.IsFree(key));
  a.Read(Join("b"));
  BOOST_TEST(HandOver(a, b, "a"));
  BOOST_TEST(HandOver(b, c, "b"));
  BOOST_TEST(c.tracker.IsFree(key));
  BOOST_TEST(c.tracker.PreviousOwner(key, c.set.vms()).value() == "b");
  clock.Advance(absl::Seconds(11));
  BOOST_TEST(!c.tracker.PreviousOwner(key, c.set.vms()).has_value());
}

// Fails if the removal of a middle owner hides that its predecessor may still hold the key.
BOOST_AUTO_TEST_CASE(removed_middle_owner_leaves_its_predecessor) {
  const auto key = KeyOf({"c", "b", "a"});
  ReadAll(Join("a"));
  clock.Advance(kTakeoverWait);
  for (const auto* vm : {"b", "c"}) {
    b.Read(Join(vm));
    c.Read(Join(vm));
  }
  c.Read(FormatRecord(RemoveRecord{{"b", 1}, c.set.GuardiansOf("b").front().instance, "n"}));
  clock.Advance(kTakeoverWait);
  BOOST_TEST(!c.tracker.IsFree(key));  // `a` has not answered.
  a.Read(Join("b"));
  a.Read(Join("c"));
  BOOST_TEST(HandOver(a, c, "a"));
  BOOST_TEST(c.tracker.IsFree(key));
}

// Fails if a key moves before the lease of a removed owner has expired.
BOOST_AUTO_TEST_CASE(removed_owner_is_waited_out) {
  const auto key = KeyOf({"b", "a", "c"});
  const auto other = KeyOf({"a", "b", "c"});
  for (const auto* vm : {"a", "b", "c"}) ReadAll(Join(vm));
  clock.Advance(kTakeoverWait);
  while (HandOver(a, b, "a") || HandOver(a, c, "a") || HandOver(b, c, "b")) {
  }
  BOOST_TEST(b.tracker.IsFree(key));
  a.Read(Remove("b"));
  BOOST_TEST(!a.tracker.IsFree(key));
  BOOST_TEST(a.tracker.IsFree(other));  // Keys of others are not held up.
  BOOST_TEST(!a.tracker.CompleteBefore(9));
  clock.Advance(kTakeoverWait - absl::Milliseconds(1));
  BOOST_TEST(!a.tracker.IsFree(key));
  clock.Advance(absl::Milliseconds(1));
  BOOST_TEST(a.tracker.IsFree(key));
}

// Fails if a planned stop costs the waiting time of a failure.
BOOST_AUTO_TEST_CASE(leaving_owner_hands_over_at_once) {
  const auto key = KeyOf({"b", "a", "c"});
  for (const auto* vm : {"a", "b", "c"}) ReadAll(Join(vm));
  clock.Advance(kTakeoverWait);
  while (HandOver(a, b, "a") || HandOver(a, c, "a") || HandOver(b, c, "b")) {
  }
  ReadAll(FormatRecord(LeaveRecord{{"b", 1}, "n"}));
  BOOST_TEST(!a.tracker.IsFree(key));
  BOOST_TEST(HandOver(b, a, "b"));
  BOOST_TEST(a.tracker.IsFree(key));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
