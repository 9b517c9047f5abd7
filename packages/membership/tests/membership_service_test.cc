// Services of several VMs over a log and a network in memory.
#include "marigoldquay/membership/membership_service.h"

#include <boost/test/unit_test.hpp>
#include <thread>

#include "absl/strings/str_cat.h"
#include "marigoldquay/core/logger.h"
#include "marigoldquay/core/rendezvous.h"
#include "memory_cluster.h"
#include "sample_members.h"

namespace marigoldquay {
namespace {

// Only errors: outages of the log are part of these tests and would fill the output with warnings.
struct QuietLogging {
  QuietLogging() { InitializeLogging("error", false); }
};
BOOST_TEST_GLOBAL_FIXTURE(QuietLogging);

using Balances = std::vector<std::pair<std::string, std::int64_t>>;

// Gives up every key for which the sender is first, once.
struct Bucket final : ExclusiveState {
  Balances Release(const Instance& to, Offset /*epoch*/,
                   const std::vector<VmId>& members_after) override {
    Balances released;
    for (const auto& [key, amount] : balances) {
      if (FirstByRendezvous(key, members_after) == to.vm) released.emplace_back(key, amount);
    }
    return released;
  }
  void Accept(const Balances& accepted) override {
    for (const auto& [key, amount] : accepted) balances[key] = amount;
  }
  std::map<std::string, std::int64_t> balances;
};

struct Vm {
  Vm(const std::string& name, testing::MemoryStreams& log, testing::MemoryNetwork& network,
     const Clock& clock)
      : member(testing::SampleMember(name, RandomId())),
        config(clock),
        state(clock),
        service({}, state, config, log, network, clock) {
    service.RegisterExclusive("bucket", bucket);
    service.RegisterHandlers(network.At(member.inner_address));
    service.AddLostMembershipCallback([this] { ++lost; });
    config.SetOutageAgreement(&state);
  }
  Member member;
  ConfigStore config;
  MembershipState state;
  Bucket bucket;
  int lost = 0;
  MembershipService service;
};

struct Fixture {
  Vm& Add(const std::string& name, std::vector<Address> seeds = {}) {
    vms.push_back(std::make_unique<Vm>(name, log, network, clock));
    vms.back()->service.Prepare(std::move(seeds), vms.back()->member);
    return *vms.back();
  }
  void Run(absl::Duration time) {
    for (; time > absl::ZeroDuration(); time -= absl::Milliseconds(500)) {
      clock.Advance(absl::Milliseconds(500));
      for (auto& vm : vms) {
        if (network.cut.contains(vm->member.inner_address)) continue;
        log.Tail(kConfigStream, vm->config, clock);
        log.Tail(kMembersStream, vm->state, clock);
        vm->service.RunHeartbeatRound();
        vm->service.RunCatchUp();
        vm->service.RunHandOverRound();
        vm->service.RunMaintenance();
      }
    }
  }
  ManualClock clock;
  testing::MemoryStreams log;
  testing::MemoryNetwork network;
  std::vector<std::unique_ptr<Vm>> vms;
};

BOOST_FIXTURE_TEST_SUITE(membership_service, Fixture)

// Fails if VMs do not find each other, a lost answer doubles a join, or balances are lost.
BOOST_AUTO_TEST_CASE(join_and_handover) {
  auto& a = Add("a");
  log.lose_answers = 1;
  Run(absl::Seconds(4));
  BOOST_TEST(a.state.is_member());
  BOOST_TEST(a.service.ReadyToServe());
  BOOST_TEST(log.streams["members"].size() == 1U);
  for (int i = 0; i < 10; ++i) {
    const auto key = absl::StrCat("w", i);
    BOOST_TEST(a.state.HoldsExclusively(key));
    a.bucket.balances[key] = i;
  }
  auto& b = Add("b");
  Run(absl::Seconds(3));
  int moved = 0;
  for (int i = 0; i < 10; ++i) {
    const auto key = absl::StrCat("w", i);
    BOOST_TEST(a.state.HoldsExclusively(key) != b.state.HoldsExclusively(key));
    if (!b.state.HoldsExclusively(key)) continue;
    ++moved;
    BOOST_TEST(b.bucket.balances.at(key) == i);
  }
  BOOST_TEST((moved > 0 && moved < 10));
}

// Fails if a dead VM stays a member, or one that comes back keeps its roles.
BOOST_AUTO_TEST_CASE(silent_member_is_removed_and_joins_again) {
  for (const auto* name : {"a", "b", "c", "d"}) Add(name);
  Run(absl::Seconds(6));
  const auto old = vms[3]->state.self();
  network.cut.insert("d:2");
  log.lose_answers = 1;
  Run(absl::Seconds(6));
  BOOST_TEST(vms[0]->state.members().size() == 3U);
  BOOST_TEST(!vms[3]->state.LeaseValid());
  network.cut.clear();
  Run(absl::Seconds(5));
  BOOST_TEST(vms[3]->lost == 1);
  BOOST_TEST((vms[3]->state.self() != old));
  for (const auto& vm : vms) BOOST_TEST(vm->state.members().size() == 4U);
}

// Fails if a VM cannot get the configuration while the log is down, or serves on stale keys.
BOOST_AUTO_TEST_CASE(start_while_the_log_is_down) {
  for (const auto* name : {"a", "b", "c"}) Add(name);
  log.streams["config"] = {"{}", "{}"};
  Run(absl::Seconds(6));
  log.down = true;
  Run(absl::Seconds(10));
  for (const auto& vm : vms) {
    BOOST_TEST(vm->state.LeaseValid());
    BOOST_TEST(vm->config.current());
  }
  auto& late = Add("d", {"a:2"});
  Run(absl::Seconds(3));
  BOOST_TEST(late.config.applied_offset() == 2U);
  BOOST_TEST(late.state.members().size() == 3U);
  BOOST_TEST(!late.state.is_member());
  // Two of three members cut off: the third cannot know of a revocation.
  network.cut = {"b:2", "c:2"};
  Run(absl::Seconds(6));
  BOOST_TEST(!vms[0]->config.current());
  network.cut.clear();
  log.down = false;
  Run(absl::Seconds(6));
  BOOST_TEST(late.state.is_member());
}

// Fails if a planned stop keeps roles, loses balances or waits like a failure.
BOOST_AUTO_TEST_CASE(leave_hands_over) {
  for (const auto* name : {"a", "b", "c"}) Add(name);
  Run(absl::Seconds(6));
  auto& leaver = *vms[0];
  std::string key = "k";
  while (!leaver.state.HoldsExclusively(key)) key += "k";
  leaver.bucket.balances[key] = 7;
  std::atomic<bool> done{false};
  bool left = false;
  std::thread thread([&] {
    left = leaver.service.Leave(absl::Seconds(30));
    done = true;
  });
  while (!done) Run(absl::Milliseconds(500));
  thread.join();
  BOOST_TEST(left);
  BOOST_TEST(!leaver.state.HoldsExclusively(key));
  BOOST_TEST(vms[1]->state.members().size() == 2U);
  auto& next = vms[1]->state.HoldsExclusively(key) ? *vms[1] : *vms[2];
  BOOST_TEST(next.state.HoldsExclusively(key));
  BOOST_TEST(next.bucket.balances.at(key) == 7);
}

// Fails if members do not renew before the log drops their records, or write no snapshot.
BOOST_AUTO_TEST_CASE(renewals_and_snapshots_in_time) {
  Add("a");
  Run(absl::Seconds(2));
  clock.Advance(absl::Hours(6));
  Run(absl::Seconds(2));
  const auto& records = log.streams["members"];
  BOOST_REQUIRE(records.size() == 3U);
  BOOST_TEST(records[1].find("\"renew\"") != std::string::npos);
  BOOST_TEST(records[2].find("\"snapshot\"") != std::string::npos);
  ManualClock other_clock;
  MembershipState late(other_clock);
  late.OnPage({1, 3, {{1, records[1]}, {2, records[2]}}}, other_clock.Now());
  BOOST_TEST(late.members().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
