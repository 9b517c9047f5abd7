// Lease, promises and knowledge of peers.
#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"
#include "marigoldquay/membership/guardian_duty.h"
#include "marigoldquay/membership/member_lease.h"
#include "marigoldquay/membership/membership_state.h"
#include "marigoldquay/membership/peer_table.h"
#include "sample_members.h"

namespace marigoldquay {
namespace {

using testing::SampleMember;

constexpr absl::Duration kTick = absl::Milliseconds(1);

BOOST_AUTO_TEST_SUITE(duties)

// Fails if an instance acts on a lease that others may already consider over.
BOOST_AUTO_TEST_CASE(lease_needs_the_log_or_all_guardians) {
  ManualClock clock;
  MemberLease lease;
  const std::vector<Member> guardians{SampleMember("a", 1), SampleMember("b", 1)};
  const auto start = clock.Now();
  BOOST_TEST(!lease.Valid(start, guardians, 5));
  BOOST_TEST(!lease.Valid(start, {}, 5));
  lease.OnTailRead(start);
  BOOST_TEST(lease.Valid(start + kLeaseTime - kTick, guardians, 5));
  BOOST_TEST(!lease.Valid(start + kLeaseTime, guardians, 5));

  const auto later = start + absl::Seconds(10);
  lease.OnPromise({"a", 1}, 5, later, kLeaseTime);
  BOOST_TEST(!lease.Valid(later, guardians, 5));
  lease.OnPromise({"b", 2}, 5, later, kLeaseTime);  // Another instance of the VM.
  BOOST_TEST(!lease.Valid(later, guardians, 5));
  lease.OnPromise({"b", 1}, 6, later, kLeaseTime);  // Knows an epoch that this VM does not.
  BOOST_TEST(!lease.Valid(later, guardians, 5));
  BOOST_TEST(lease.Valid(later, guardians, 6));
  BOOST_TEST(!lease.Valid(later + kLeaseTime, guardians, 6));
  lease.Reset();
  BOOST_TEST(!lease.Valid(later, guardians, 6));
}

// Fails if a guardian removes a ward to which it gave a promise, or promises while removing it.
BOOST_AUTO_TEST_CASE(guardian_removes_only_after_its_promises) {
  ManualClock clock;
  MemberSet set;
  for (const auto* vm : {"a", "b"}) {
    set.ApplyRecord(set.next_offset(), FormatRecord(JoinRecord{SampleMember(vm, 1), "n", false}));
  }
  GuardianDuty duty(clock);
  duty.Sync(set, {"a", 1});
  const Instance ward{"b", 1};
  const auto pass = [&](absl::Duration time) {
    for (; time > absl::ZeroDuration(); time -= absl::Milliseconds(500)) {
      clock.Advance(std::min(time, absl::Milliseconds(500)));
      duty.Tick();
    }
  };
  pass(kLeaseTime + GuardianDuty::kNewGuardianGrace);
  BOOST_TEST(duty.SilentWards().empty());
  duty.OnHeard(ward);
  BOOST_TEST((duty.PromiseFor(ward) == kLeaseTime));
  BOOST_TEST((duty.PromiseFor({"b", 2}) == absl::ZeroDuration()));
  pass(kLeaseTime);
  BOOST_TEST(duty.SilentWards().empty());
  pass(kTick);
  BOOST_TEST(duty.SilentWards().size() == 1U);
  duty.OnRemoveStarted(ward);
  duty.OnHeard(ward);
  BOOST_TEST((duty.PromiseFor(ward) == absl::ZeroDuration()));
  BOOST_TEST(duty.SilentWards().size() == 1U);
  duty.OnRemoveFailed(ward);
  BOOST_TEST((duty.PromiseFor(ward) == kLeaseTime));
  // After a pause of this VM the ward's heartbeats may wait unread.
  clock.Advance(absl::Seconds(60));
  duty.Tick();
  BOOST_TEST(duty.SilentWards().empty());
}

// Fails if members do not learn of each other through peers, or old news replaces new.
BOOST_AUTO_TEST_CASE(state_spreads_through_peers) {
  ManualClock clock;
  MemberSet::Members members;
  for (int i = 0; i < 9; ++i) {
    const auto vm = absl::StrCat("v", i);
    members[vm] = SampleMember(vm, 1);
  }
  std::vector<std::unique_ptr<PeerTable>> tables;
  for (const auto& [vm, member] : members) {
    tables.push_back(std::make_unique<PeerTable>(clock));
    tables.back()->Sync(members, member.instance);
  }
  const auto send = [&](int from, int to) {
    protocol::HeartbeatMessageT message;
    const Instance sender{absl::StrCat("v", from), 1};
    LocalStatus status;
    status.spare_capacity = from;
    status.draining = from == 3;
    status.log_reachable = false;
    message.sender = ToWire(sender);
    message.peers = tables[from]->MakeEntries(sender, status);
    tables[to]->Merge(message, clock.Now());
  };
  clock.Advance(absl::Seconds(10));
  BOOST_TEST(!tables[0]->ReachesMajority(9, true));
  for (int round = 0; round < 6; ++round) {
    for (int i = 0; i < 9; ++i) send(i, (i + 1 + round % 2) % 9);
    clock.Advance(absl::Milliseconds(100));
  }
  for (int i = 0; i < 9; ++i) {
    if (i == 3) continue;
    BOOST_TEST(tables[i]->Find("v3")->draining);
    BOOST_TEST(tables[i]->Responsive("v3"));
  }
  BOOST_TEST(tables[0]->AllReachableSayLogDown(9, true));
  BOOST_TEST(!tables[0]->AllReachableSayLogDown(40, true));
  // A peer that nobody hears of any more becomes unresponsive.
  clock.Advance(PeerTable::kAliveWindow);
  BOOST_TEST(!tables[0]->Responsive("v3"));
  BOOST_TEST(!tables[0]->ReachesMajority(9, true));
}

// Fails if a single VM that can read the log denies it, or one reachable log is overlooked.
BOOST_AUTO_TEST_CASE(outage_needs_agreement_of_all_reachable_members) {
  ManualClock clock;
  MembershipState state(clock);
  state.Begin(SampleMember("a", 1));
  LogPage page{0, 2, {}};
  for (const auto* vm : {"a", "b"}) {
    page.records.push_back(
        {page.records.size(), FormatRecord(JoinRecord{SampleMember(vm, 1), "n", false})});
  }
  state.OnPage(page, clock.Now());
  LocalStatus down;
  down.log_reachable = false;
  const auto hear = [&](std::uint64_t sequence, bool reachable) {
    protocol::HeartbeatMessageT answer;
    answer.sender = ToWire({"b", 1});
    auto entry = std::make_unique<protocol::PeerStateT>();
    entry->instance = ToWire({"b", 1});
    entry->sequence = sequence;
    entry->log_reachable = reachable;
    answer.peers.push_back(std::move(entry));
    state.OnHeartbeatAnswer(answer, clock.Now());
  };
  state.Tick(down);
  hear(1, false);
  BOOST_TEST(!state.AllReachableSayLogDown());  // This VM's own reads work.
  state.OnReadError({});
  BOOST_TEST(state.AllReachableSayLogDown());
  hear(2, true);
  BOOST_TEST(!state.AllReachableSayLogDown());
  clock.Advance(absl::Seconds(3));
  BOOST_TEST(!state.AllReachableSayLogDown());  // One of two is not more than half.
}

// Fails if a new guardian removes a ward that still gets promises from a guardian which does not
// know that it was displaced.
BOOST_AUTO_TEST_CASE(displaced_guardian_must_know_before_a_removal) {
  ManualClock clock;
  MemberSet set;
  LogPage page;
  for (const auto* vm : {"a", "b", "c", "d", "e"}) {
    page.records.push_back(
        {page.next_offset++, FormatRecord(JoinRecord{SampleMember(vm, 1), "n", false})});
    set.ApplyRecord(page.records.back().offset, page.records.back().data);
  }
  VmId ward;
  for (const auto& vm : set.vms()) {
    if (!set.DisplacedGuardiansOf(vm).empty() &&
        set.DisplacedGuardiansOf(vm).begin()->second == 4) {
      ward = vm;  // The join of "e" gave it a new guardian, which is "e".
    }
  }
  BOOST_REQUIRE(!ward.empty());
  const auto displaced = set.DisplacedGuardiansOf(ward).begin()->first;

  MembershipState state(clock);
  state.Begin(SampleMember("e", 1));
  state.OnPage(page, clock.Now());
  const auto pass = [&](absl::Duration time, Offset epoch_of_displaced) {
    for (; time > absl::ZeroDuration(); time -= absl::Milliseconds(500)) {
      clock.Advance(absl::Milliseconds(500));
      state.Tick({});
      for (const auto& vm : set.vms()) {
        if (vm == "e" || vm == ward) continue;
        protocol::HeartbeatMessageT answer;
        answer.sender = ToWire({vm, 1});
        answer.epoch = vm == displaced ? epoch_of_displaced : set.epoch();
        state.OnHeartbeatAnswer(answer, clock.Now());
      }
    }
  };
  pass(absl::Seconds(10), set.epoch() - 1);
  BOOST_TEST(state.RemovalsDue().empty());
  const auto targets = state.HeartbeatTargets(0);
  BOOST_TEST(std::count(targets.begin(), targets.end(), SampleMember(displaced, 1)) == 1);
  pass(kLeaseTime, set.epoch());
  BOOST_TEST(state.RemovalsDue().empty());  // An earlier promise may still be in force.
  pass(absl::Seconds(1), set.epoch());
  BOOST_TEST((state.RemovalsDue() == std::vector<Instance>{{ward, 1}}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
