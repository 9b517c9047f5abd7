// Several members with pauses, partitions, restarts, lost and delayed messages
// and a log that loses answers: no two of them may hold a key at the same time.
#include "marigoldquay/membership/membership_state.h"

#include <boost/test/unit_test.hpp>
#include <random>

#include "absl/strings/str_cat.h"
#include "property.h"
#include "sample_members.h"

namespace marigoldquay {
namespace {

using testing::SampleMember;

constexpr absl::Duration kStep = absl::Milliseconds(100);

class World {
 public:
  World(std::uint32_t seed, int vms) : random_(seed), processes_(vms) {
    for (int i = 0; i < vms; ++i) cut_.emplace_back(vms, false);
  }

  bool Chance(double probability) {
    return std::uniform_real_distribution<>(0, 1)(random_) < probability;
  }
  int Pick(int count) { return std::uniform_int_distribution<>(0, count - 1)(random_); }

  void StartProcess(int vm) {
    auto process = std::make_unique<Process>(clock_);
    process->state.Begin(SampleMember(absl::StrCat("v", vm), ++incarnations_));
    process->next_round = clock_.Now() + kStep * Pick(5);
    // The old process may be suspended instead of dead, and wake up later.
    if (processes_[vm] && Chance(0.5)) suspended_.push_back(std::move(processes_[vm]));
    processes_[vm] = std::move(process);
  }

  // One random disturbance.
  void Disturb() {
    const int vm = Pick(static_cast<int>(processes_.size()));
    const int other = Pick(static_cast<int>(processes_.size()));
    switch (Pick(10)) {
      case 8:
        MakeIsland();
        break;
      case 9:
        for (auto& row : cut_) row.assign(row.size(), false);
        break;
      case 0:
        StartProcess(vm);
        break;
      case 1:
        processes_[vm].reset();
        break;
      case 2:
      case 3:
        if (processes_[vm]) processes_[vm]->paused = !processes_[vm]->paused;
        break;
      case 4:
        cut_[vm][other] = cut_[other][vm] = !cut_[vm][other];
        break;
      case 5:
        if (processes_[vm]) processes_[vm]->log_cut = !processes_[vm]->log_cut;
        break;
      case 6:
        log_down_ = !log_down_;
        break;
      default:
        if (processes_[vm] && Chance(0.3)) {
          processes_[vm]->state.StopActing();
          Append(FormatRecord(LeaveRecord{processes_[vm]->state.self(), "n"}));
          processes_[vm]->leaving = true;
        }
    }
  }

  void SetLogDown() { log_down_ = true; }

  // From now on most members read the log only through peers, so that leases depend on promises.
  void MakeLogScarce() {
    for (auto& process : processes_) {
      if (process && Chance(0.7)) process->log_cut = true;
    }
  }

  void Heal() {
    log_down_ = false;
    loss_ = 0;
    for (auto& row : cut_) row.assign(row.size(), false);
    for (std::size_t vm = 0; vm < processes_.size(); ++vm) {
      if (!processes_[vm] || processes_[vm]->leaving) StartProcess(static_cast<int>(vm));
      processes_[vm]->paused = processes_[vm]->log_cut = false;
    }
  }

  void Step() {
    clock_.Advance(kStep);
    Deliver();
    for (std::size_t vm = 0; vm < processes_.size(); ++vm) {
      auto* process = processes_[vm].get();
      if (process != nullptr && !process->paused) Run(static_cast<int>(vm), *process);
    }
    for (auto& process : suspended_) {
      // A process that wakes up beside its successor reads the log but gets no messages.
      if (Chance(0.02)) process->paused = false;
      if (!process->paused && !log_down_ && Chance(0.5)) ReadLog(*process);
    }
  }

  // Instances that hold the key, including paused ones, which would act when they wake up.
  int Holders(const std::string& key) const {
    int holders = 0;
    for (const auto* list : {&processes_, &suspended_}) {
      for (const auto& process : *list) {
        if (process && process->state.HoldsExclusively(key)) ++holders;
      }
    }
    return holders;
  }

 private:
  struct Process {
    explicit Process(const Clock& clock) : state(clock) {}
    MembershipState state;
    bool paused = false;
    bool log_cut = false;
    bool leaving = false;
    absl::Time next_round;
    absl::Time next_append = absl::InfinitePast();
    // Read of the log under way.
    std::optional<std::pair<LogPage, absl::Time>> page;
    absl::Time page_at;
  };
  struct Late {
    absl::Time at;
    std::function<void()> deliver;
  };

  // Cuts a random group of VMs off from the others, and mostly from the log.
  void MakeIsland() {
    const double share = 0.2 + 0.1 * Pick(5);
    std::vector<bool> inside;
    for (std::size_t i = 0; i < processes_.size(); ++i) inside.push_back(Chance(share));
    for (std::size_t i = 0; i < processes_.size(); ++i) {
      for (std::size_t j = 0; j < processes_.size(); ++j) cut_[i][j] = inside[i] != inside[j];
      if (inside[i] && processes_[i] && Chance(0.8)) processes_[i]->log_cut = true;
    }
  }

  bool Lost() { return Chance(loss_); }

  // Appends now, later or never.
  void Append(const std::string& data) {
    if (log_down_ || Lost()) return;
    if (Chance(0.2)) {
      late_.push_back({clock_.Now() + kStep * Pick(60), [this, data] { log_.push_back(data); }});
    } else {
      log_.push_back(data);
    }
  }

  void Deliver() {
    auto late = std::move(late_);
    late_.clear();
    for (auto& message : late) {
      if (message.at <= clock_.Now()) {
        message.deliver();
      } else {
        late_.push_back(std::move(message));
      }
    }
  }

  void ReadLog(Process& process) {
    LogPage page{0, log_.size(), {}};
    for (Offset i = process.state.next_offset(); i < log_.size(); ++i) {
      page.records.push_back({i, log_[i]});
    }
    process.state.OnPage(page, clock_.Now());
  }

  // A read takes some time; its page is what was there when it was sent.
  void Tail(Process& process) {
    if (process.page) {
      if (clock_.Now() < process.page_at) return;
      process.state.OnPage(process.page->first, process.page->second);
      process.page.reset();
    }
    if (log_down_ || process.log_cut) return process.state.OnReadError({});
    LogPage page{0, log_.size(), {}};
    for (Offset i = process.state.next_offset(); i < log_.size(); ++i) {
      page.records.push_back({i, log_[i]});
    }
    process.page.emplace(std::move(page), clock_.Now());
    process.page_at = clock_.Now() + kStep * Pick(5);
  }

  // The process that a message to this member reaches; null when the message is lost.
  Process* Reach(int from, const Address& address) {
    const int to = address[1] - '0';
    auto* process = processes_[to].get();
    return process == nullptr || process->paused || cut_[from][to] || Lost() ? nullptr : process;
  }

  void Run(int vm, Process& process) {
    auto& state = process.state;
    Tail(process);
    if (process.leaving) return;
    if (state.lost_membership()) state.Begin(SampleMember(absl::StrCat("v", vm), ++incarnations_));
    const bool may_append = clock_.Now() >= process.next_append && !process.log_cut;
    if (!state.is_member() && may_append) {
      Append(FormatRecord(JoinRecord{state.self_member(), "n", false}));
      process.next_append = clock_.Now() + absl::Seconds(1);
    }
    if (may_append) {
      for (const auto& instance : state.RemovalsDue()) {
        if (!state.StartRemoval(instance)) continue;
        Append(FormatRecord(RemoveRecord{instance, state.self(), "n"}));
        process.next_append = clock_.Now() + absl::Seconds(1);
      }
    }
    if (clock_.Now() >= process.next_round) Heartbeat(vm, process);
    for (const auto& source : state.PendingHandOvers()) {
      auto* owner = Reach(vm, source.address);
      const auto self = state.self();
      if (owner == nullptr || !owner->state.MayHandOver(self, source.epoch)) continue;
      const auto answer = [this, vm, self, source] {
        auto* asker = processes_[vm].get();
        if (asker != nullptr && asker->state.self() == self) {
          asker->state.OnHandedOver(source.instance, source.epoch);
        }
      };
      if (!Lost()) answer();
      if (Chance(0.2)) late_.push_back({clock_.Now() + kStep * Pick(4), answer});
    }
  }

  void Heartbeat(int vm, Process& process) {
    process.next_round = clock_.Now() + absl::Milliseconds(500);
    auto& state = process.state;
    LocalStatus status;
    state.Tick(status);
    for (const auto& target : state.HeartbeatTargets(Pick(100))) {
      auto* peer = Reach(vm, target.inner_address);
      if (peer == nullptr) continue;
      auto answer = std::make_shared<protocol::HeartbeatMessageT>(
          peer->state.AnswerHeartbeat(state.MakeHeartbeat(status), status));
      if (Lost()) continue;
      const auto sent_at = clock_.Now();
      const auto self = state.self();
      late_.push_back(
          {sent_at + kStep * Pick(5), [this, vm, self, answer, sent_at, peer_at = target] {
             auto* asker = processes_[vm].get();
             if (asker == nullptr || asker->paused || asker->state.self() != self) return;
             asker->state.OnHeartbeatAnswer(*answer, sent_at);
             CatchUp(vm, *asker, peer_at.inner_address, answer->members_next);
           }});
    }
  }

  void CatchUp(int vm, Process& process, const Address& address, Offset peer_next) {
    if (peer_next <= process.state.applied_offset()) return;
    auto* peer = Reach(vm, address);
    if (peer == nullptr) return;
    const auto request = process.state.NextRequest();
    process.state.TakeReply(request, peer->state.Serve(request));
  }

  ManualClock clock_;
  std::mt19937 random_;
  std::uint64_t incarnations_ = 0;
  std::vector<std::unique_ptr<Process>> processes_;
  std::vector<std::unique_ptr<Process>> suspended_;
  std::vector<std::vector<bool>> cut_;
  std::vector<std::string> log_;
  std::vector<Late> late_;
  bool log_down_ = false;
  double loss_ = 0.1;
};

BOOST_AUTO_TEST_SUITE(membership_state)

// Fails if a key can be used by two instances at once, or if it is never used again.
BOOST_AUTO_TEST_CASE(no_two_instances_hold_a_key) {
  std::vector<std::string> keys;
  for (int i = 0; i < 12; ++i) keys.push_back(absl::StrCat("key", i));
  testing::CheckProperty("at most one holder per key, and one after healing", [&] {
    const int vms = *rc::gen::inRange(1, 9);
    World world(*rc::gen::arbitrary<std::uint32_t>(), vms);
    for (int vm = 0; vm < vms; ++vm) world.StartProcess(vm);
    const auto disturbance = *rc::gen::element(0.0, 0.01, 0.03, 0.1);
    const bool scarce_log = *rc::gen::arbitrary<bool>();
    for (int step = 0; step < 400; ++step) {
      if (scarce_log && step == 80) world.MakeLogScarce();
      if (world.Chance(disturbance)) world.Disturb();
      world.Step();
      for (const auto& key : keys) RC_ASSERT(world.Holders(key) <= 1);
    }
    world.Heal();
    for (int step = 0; step < 300; ++step) {
      world.Step();
      for (const auto& key : keys) RC_ASSERT(world.Holders(key) <= 1);
    }
    for (const auto& key : keys) RC_ASSERT(world.Holders(key) == 1);
  });
}

// Fails if an outage of the log alone ends the leases of running members.
BOOST_AUTO_TEST_CASE(log_outage_keeps_leases) {
  testing::CheckProperty("holders stay during an outage of the log", [&] {
    World world(*rc::gen::arbitrary<std::uint32_t>(), 5);
    for (int vm = 0; vm < 5; ++vm) world.StartProcess(vm);
    world.Heal();
    for (int step = 0; step < 150; ++step) world.Step();
    world.SetLogDown();
    for (int step = 0; step < 150; ++step) {
      world.Step();
      RC_ASSERT(world.Holders("key") == 1);
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
