// Quota of all VMs together: guards against spends beyond rate x time + burst in any window under
// faults, and against refusals of a workspace that stays below its rate.
#include <cstdlib>
#include <iostream>

#include "property.h"
#include "quota_cluster.h"

namespace marigoldquay {
namespace {

using testing::CheckProperty;
using testing::QuotaCluster;
using testing::SimVm;

constexpr absl::string_view kHonest = "honest";
constexpr absl::string_view kGreedy = "greedy";

// Load of two workspaces on a simulated cluster, with faults, and a record of all granted spends.
class Simulation {
 public:
  explicit Simulation(std::uint32_t seed)
      : cluster_(seed), limits_{cluster_.Pick(300, 1500), 20'000} {
    cluster_.SetWorkspaces({{WorkspaceId(kHonest), limits_}, {WorkspaceId(kGreedy), limits_}});
    for (int i = 0; i < 5; ++i) cluster_.Join(absl::StrCat("vm-", i));
    // Lets the buckets fill; load is sent only from here on.
    for (int i = 0; i < 700; ++i) AdvanceTime(absl::Milliseconds(100));
    last_load_at_ = cluster_.clock.Now();
  }

  void AdvanceTime(absl::Duration step) {
    cluster_.clock.Advance(step);
    cluster_.Tick();
  }

  // Sends requests for the time since the last call; the shares are multiples of the rate.
  void SendLoad(double honest_share, double greedy_share) {
    const double elapsed = Elapsed();
    unsent_tokens_[kHonest] += honest_share * static_cast<double>(limits_.rate) * elapsed;
    unsent_tokens_[kGreedy] += greedy_share * static_cast<double>(limits_.rate) * elapsed;
    for (const auto workspace : {kHonest, kGreedy}) {
      while (unsent_tokens_[workspace] > 0) SendRequest(workspace);
    }
    SettleEnded();
  }

  // The greedy workspace alternates between idle phases, in which its bucket and allowances fill,
  // and busy phases, in which it takes all it can get from both, often while its home fails.
  void SendLoadInPhases() {
    const auto now = cluster_.clock.Now();
    if (now >= phase_ends_) {
      idle_ = !idle_;
      phase_ends_ =
          now + absl::Milliseconds(idle_ ? cluster_.Pick(3000, 40'000) : cluster_.Pick(2000, 8000));
      if (!idle_) fault_at_ = now + absl::Milliseconds(cluster_.Pick(0, 1500));
    }
    if (now >= fault_at_) {
      fault_at_ = absl::InfiniteFuture();
      SimVm* home = cluster_.roles[WorkspaceKey(kGreedy)].holder;
      if (home != nullptr) AddFault(*home);
    }
    SendLoad(0.5, idle_ ? 0.3 : 20);
  }

  void AddFault() {
    const auto& vms = cluster_.vms;
    AddFault(*vms[cluster_.Pick(0, static_cast<int>(vms.size()) - 1)]);
  }

  void AddFault(SimVm& vm) {
    switch (cluster_.Pick(0, 5)) {
      case 0:
        if (cluster_.members.size() > 3) cluster_.Kill(vm);
        break;
      case 1:
        cluster_.Pause(vm, absl::Milliseconds(cluster_.Pick(50, 9000)));
        break;
      case 2:
        cluster_.Join(absl::StrCat("vm-", cluster_.Pick(0, 6)));
        break;
      case 3:
        for (auto& [name, _] : cluster_.members) {
          cluster_.partitioned_until[std::minmax(vm.instance.vm, name)] =
              cluster_.clock.Now() + absl::Milliseconds(cluster_.Pick(100, 15'000));
        }
        break;
      case 4:
        // A running VM that is no longer a member joins again as a new instance.
        if (cluster_.IsRunning(vm) && !vm.IsMember(vm.instance)) {
          vm.alive = false;
          cluster_.Join(vm.instance.vm);
        }
        break;
      default:
        cluster_.faults = {cluster_.Pick(0, 10) / 100.0, cluster_.Pick(0, 20) / 100.0, 0.0004};
    }
    // Keeps a majority of the VMs as members, because guardians remove no VM without a majority.
    while (cluster_.members.size() < 3) cluster_.Join(absl::StrCat("vm-", cluster_.Pick(0, 6)));
  }

  // Whether the spends of the workspace stay within rate x time + burst in every window.
  bool Conforms(absl::string_view workspace) const {
    double level = static_cast<double>(limits_.burst);
    absl::Time last = absl::InfinitePast();
    for (const auto& spend : spends_) {
      if (spend.workspace != workspace) continue;
      if (last != absl::InfinitePast()) {
        level += static_cast<double>(limits_.rate) * absl::ToDoubleSeconds(spend.at - last);
      }
      level = std::min(level, static_cast<double>(limits_.burst));
      level -= static_cast<double>(spend.net);
      last = spend.at;
      if (level < -1) return false;
    }
    return true;
  }

  QuotaCluster cluster_;
  const WorkspaceLimits limits_;
  std::map<absl::string_view, int> refused_, sent_;

 private:
  struct Spend {
    absl::string_view workspace;
    absl::Time at;
    TokenCount net = 0;
  };
  struct OpenReservation {
    VmId vm;
    Reservation reservation;
    TokenCount unused = 0;
    absl::Time ends_at;
  };

  double Elapsed() {
    const auto now = cluster_.clock.Now();
    return absl::ToDoubleSeconds(now - std::exchange(last_load_at_, now));
  }

  void SendRequest(absl::string_view workspace) {
    std::vector<SimVm*> running;
    for (auto& [_, vm] : cluster_.members) {
      if (cluster_.IsRunning(*vm)) running.push_back(vm);
    }
    const TokenCount tokens = cluster_.Pick(100, 1500);
    // Most requests use all tokens, so that net spends come close to the limit; some return all of
    // them late.
    const TokenCount unused = workspace == kGreedy ? (cluster_.Chance(0.25) ? tokens : 0)
                                                   : cluster_.Pick(0, static_cast<int>(tokens) / 2);
    unsent_tokens_[workspace] -= static_cast<double>(tokens - unused + 1);
    if (running.empty()) return;
    SimVm* vm = running[cluster_.Pick(0, static_cast<int>(running.size()) - 1)];
    const auto reservation =
        vm->service.Reserve(workspace, absl::StrCat("request-", next_request_++), tokens);
    ++sent_[workspace];
    if (!reservation.granted()) {
      ++refused_[workspace];
      return;
    }
    spends_.push_back({workspace, cluster_.clock.Now(), tokens - unused});
    open_.push_back({vm->instance.vm, reservation, unused,
                     cluster_.clock.Now() + absl::Milliseconds(cluster_.Pick(100, 10'000))});
  }

  void SettleEnded() {
    std::erase_if(open_, [&](const OpenReservation& open) {
      if (open.ends_at > cluster_.clock.Now()) return false;
      const auto vm = cluster_.members.find(open.vm);
      if (vm != cluster_.members.end()) {
        vm->second->service.Settle(open.reservation, open.unused);
      }
      return true;
    });
  }

  std::vector<Spend> spends_;
  std::vector<OpenReservation> open_;
  std::map<absl::string_view, double> unsent_tokens_;
  absl::Time last_load_at_ = cluster_.clock.Now();
  absl::Time phase_ends_ = absl::InfinitePast();
  absl::Time fault_at_ = absl::InfiniteFuture();
  bool idle_ = false;
  int next_request_ = 0;
};

// Fails if the VMs together exceed the limit of a workspace in some window under kills, pauses,
// partitions, lost or repeated messages, handover or takeover. Prints the refusals of the honest
// workspace.
BOOST_AUTO_TEST_CASE(spends_conform_under_faults) {
  int refused = 0;
  int sent = 0;
  CheckProperty("spends conform under faults", [&](std::uint32_t seed) {
    Simulation simulation(seed);
    auto& cluster = simulation.cluster_;
    cluster.during_pause = [&simulation, &cluster] {
      simulation.AdvanceTime(absl::Milliseconds(cluster.Pick(20, 200)));
      simulation.SendLoadInPhases();
    };
    for (int step = 0; step < 1000; ++step) {
      simulation.AdvanceTime(absl::Milliseconds(cluster.Pick(20, 200)));
      simulation.SendLoadInPhases();
      if (cluster.Chance(0.005)) simulation.AddFault();
    }
    refused += simulation.refused_[kHonest];
    sent += simulation.sent_[kHonest];
    RC_ASSERT(simulation.Conforms(kGreedy));
    RC_ASSERT(simulation.Conforms(kHonest));
  });
  std::cout << "under faults: " << refused << " of " << sent
            << " requests of the honest workspace were refused\n";
}

// Fails if a workspace at 90% of its rate is refused while another sends five times its rate.
BOOST_AUTO_TEST_CASE(honest_workspace_is_never_refused_without_faults) {
  CheckProperty("no refusals without faults", [&](std::uint32_t seed) {
    Simulation simulation(seed);
    for (int step = 0; step < 600; ++step) {
      simulation.AdvanceTime(absl::Milliseconds(simulation.cluster_.Pick(20, 200)));
      simulation.SendLoad(0.9, 5);
    }
    RC_ASSERT(simulation.refused_[kHonest] == 0);
    RC_ASSERT(simulation.refused_[kGreedy] > 0);
    RC_ASSERT(simulation.Conforms(kGreedy));
    RC_ASSERT(simulation.Conforms(kHonest));
  });
}

// Fails if requests that standby allowances should cover are refused after the death of a home.
BOOST_AUTO_TEST_CASE(standby_covers_the_death_of_a_home) {
  int refused = 0;
  int sent = 0;
  CheckProperty("death of the home", [&](std::uint32_t seed) {
    Simulation simulation(seed);
    auto& cluster = simulation.cluster_;
    const std::string key = WorkspaceKey(kHonest);
    for (int step = 0; step < 1200; ++step) {
      simulation.AdvanceTime(absl::Milliseconds(100));
      simulation.SendLoad(0.5, 0);
      if (step == 400) cluster.Kill(*cluster.Owner(key));
    }
    refused += simulation.refused_[kHonest];
    sent += simulation.sent_[kHonest];
    RC_ASSERT(simulation.Conforms(kHonest));
  });
  std::cout << "one death of the home in 120 s: " << refused << " of " << sent
            << " requests of a workspace at half its rate were refused\n";
  BOOST_TEST(refused * 1000 <= sent * 20);
}

}  // namespace
}  // namespace marigoldquay
