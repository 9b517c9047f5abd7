// All VMs together: guards against spends beyond rate x time + burst in any
// window under faults, and against refusals of a workspace below its rate.
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

class Run {
 public:
  explicit Run(std::uint32_t seed) : cluster_(seed), limits_{cluster_.Pick(300, 1500), 20'000} {
    cluster_.SetWorkspaces({{WorkspaceId(kHonest), limits_}, {WorkspaceId(kGreedy), limits_}});
    for (int i = 0; i < 5; ++i) cluster_.Join(absl::StrCat("vm-", i));
    // Time for the buckets to fill; the honest workspace counts from here on.
    for (int i = 0; i < 700; ++i) Pass(absl::Milliseconds(100));
    loaded_at_ = cluster_.clock.Now();
  }

  void Pass(absl::Duration step) {
    cluster_.clock.Advance(step);
    cluster_.Tick();
  }

  // Sends in proportion to the time that has passed, in multiples of the rate.
  void Load(double honest_share, double greedy_share) {
    const double elapsed = Elapsed();
    due_[kHonest] += honest_share * static_cast<double>(limits_.rate) * elapsed;
    due_[kGreedy] += greedy_share * static_cast<double>(limits_.rate) * elapsed;
    for (const auto workspace : {kHonest, kGreedy}) {
      while (due_[workspace] > 0) Send(workspace);
    }
    SettleEnded();
  }

  // The greedy workspace rests, so that its bucket and allowances fill, and then takes all it can
  // get from both, often while its home fails.
  void LoadInPhases() {
    const auto now = cluster_.clock.Now();
    if (now >= phase_ends_) {
      resting_ = !resting_;
      phase_ends_ = now + absl::Milliseconds(resting_ ? cluster_.Pick(3000, 40'000)
                                                      : cluster_.Pick(2000, 8000));
      if (!resting_) strike_at_ = now + absl::Milliseconds(cluster_.Pick(0, 1500));
    }
    if (now >= strike_at_) {
      strike_at_ = absl::InfiniteFuture();
      SimVm* home = cluster_.roles[WorkspaceKey(kGreedy)].holder;
      if (home != nullptr) AddFault(*home);
    }
    Load(0.5, resting_ ? 0.3 : 20);
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
        cluster_.Silence(vm, absl::Milliseconds(cluster_.Pick(50, 9000)));
        break;
      case 2:
        cluster_.Join(absl::StrCat("vm-", cluster_.Pick(0, 6)));
        break;
      case 3:
        for (auto& [name, _] : cluster_.members) {
          cluster_.cut_until[std::minmax(vm.instance.vm, name)] =
              cluster_.clock.Now() + absl::Milliseconds(cluster_.Pick(100, 15'000));
        }
        break;
      case 4:
        // The only instance of its VM comes back as another one once it runs again.
        if (cluster_.Runs(vm) && !vm.IsMember(vm.instance)) {
          vm.alive = false;
          cluster_.Join(vm.instance.vm);
        }
        break;
      default:
        cluster_.faults = {cluster_.Pick(0, 10) / 100.0, cluster_.Pick(0, 20) / 100.0, 0.0004};
    }
    // Keeps most of the VMs there, as guardians remove none without a majority.
    while (cluster_.members.size() < 3) cluster_.Join(absl::StrCat("vm-", cluster_.Pick(0, 6)));
  }

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
  std::map<absl::string_view, int> refused_, asked_;

 private:
  struct Spend {
    absl::string_view workspace;
    absl::Time at;
    TokenCount net = 0;
  };
  struct Open {
    VmId vm;
    Reservation reservation;
    TokenCount unused = 0;
    absl::Time ends;
  };

  double Elapsed() {
    const auto now = cluster_.clock.Now();
    return absl::ToDoubleSeconds(now - std::exchange(loaded_at_, now));
  }

  void Send(absl::string_view workspace) {
    std::vector<SimVm*> running;
    for (auto& [_, vm] : cluster_.members) {
      if (cluster_.Runs(*vm)) running.push_back(vm);
    }
    const TokenCount tokens = cluster_.Pick(100, 1500);
    // Mostly all is used, so that net spends come close to the limit; some give all back, late.
    const TokenCount unused = workspace == kGreedy ? (cluster_.Chance(0.25) ? tokens : 0)
                                                   : cluster_.Pick(0, static_cast<int>(tokens) / 2);
    due_[workspace] -= static_cast<double>(tokens - unused + 1);
    if (running.empty()) return;
    SimVm* vm = running[cluster_.Pick(0, static_cast<int>(running.size()) - 1)];
    const auto reservation =
        vm->service.Reserve(workspace, absl::StrCat("request-", next_request_++), tokens);
    ++asked_[workspace];
    if (!reservation.granted()) {
      ++refused_[workspace];
      return;
    }
    spends_.push_back({workspace, cluster_.clock.Now(), tokens - unused});
    open_.push_back({vm->instance.vm, reservation, unused,
                     cluster_.clock.Now() + absl::Milliseconds(cluster_.Pick(100, 10'000))});
  }

  void SettleEnded() {
    std::erase_if(open_, [&](const Open& open) {
      if (open.ends > cluster_.clock.Now()) return false;
      const auto vm = cluster_.members.find(open.vm);
      if (vm != cluster_.members.end()) {
        vm->second->service.Settle(open.reservation, open.unused);
      }
      return true;
    });
  }

  std::vector<Spend> spends_;
  std::vector<Open> open_;
  std::map<absl::string_view, double> due_;
  absl::Time loaded_at_ = cluster_.clock.Now();
  absl::Time phase_ends_ = absl::InfinitePast();
  absl::Time strike_at_ = absl::InfiniteFuture();
  bool resting_ = false;
  int next_request_ = 0;
};

// Fails if kills, pauses, partitions, lost or repeated messages, handover or takeover let the VMs
// together exceed a workspace's limit in some window. Reports refusals of the honest workspace.
BOOST_AUTO_TEST_CASE(spends_conform_under_faults) {
  int refused = 0;
  int asked = 0;
  CheckProperty("spends conform under faults", [&](std::uint32_t seed) {
    Run run(seed);
    auto& cluster = run.cluster_;
    cluster.during_pause = [&run, &cluster] {
      run.Pass(absl::Milliseconds(cluster.Pick(20, 200)));
      run.LoadInPhases();
    };
    for (int step = 0; step < 1000; ++step) {
      run.Pass(absl::Milliseconds(cluster.Pick(20, 200)));
      run.LoadInPhases();
      if (cluster.Chance(0.005)) run.AddFault();
    }
    refused += run.refused_[kHonest];
    asked += run.asked_[kHonest];
    RC_ASSERT(run.Conforms(kGreedy));
    RC_ASSERT(run.Conforms(kHonest));
  });
  std::cout << "under faults: " << refused << " of " << asked
            << " requests of the honest workspace were refused\n";
}

// Fails if a workspace at 90% of its rate is refused while another sends five times its rate.
BOOST_AUTO_TEST_CASE(honest_workspace_is_never_refused_without_faults) {
  CheckProperty("no refusals without faults", [&](std::uint32_t seed) {
    Run run(seed);
    for (int step = 0; step < 600; ++step) {
      run.Pass(absl::Milliseconds(run.cluster_.Pick(20, 200)));
      run.Load(0.9, 5);
    }
    RC_ASSERT(run.refused_[kHonest] == 0);
    RC_ASSERT(run.refused_[kGreedy] > 0);
    RC_ASSERT(run.Conforms(kGreedy));
    RC_ASSERT(run.Conforms(kHonest));
  });
}

// Fails if the death of a home refuses requests that the standby allowances should cover.
BOOST_AUTO_TEST_CASE(standby_covers_the_death_of_a_home) {
  int refused = 0;
  int asked = 0;
  CheckProperty("death of the home", [&](std::uint32_t seed) {
    Run run(seed);
    auto& cluster = run.cluster_;
    const std::string key = WorkspaceKey(kHonest);
    for (int step = 0; step < 1200; ++step) {
      run.Pass(absl::Milliseconds(100));
      run.Load(0.5, 0);
      if (step == 400) cluster.Kill(*cluster.Owner(key));
    }
    refused += run.refused_[kHonest];
    asked += run.asked_[kHonest];
    RC_ASSERT(run.Conforms(kHonest));
  });
  std::cout << "one death of the home in 120 s: " << refused << " of " << asked
            << " requests of a workspace at half its rate were refused\n";
  BOOST_TEST(refused * 1000 <= asked * 20);
}

}  // namespace
}  // namespace marigoldquay
