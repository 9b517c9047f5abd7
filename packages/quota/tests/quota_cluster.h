// Simulation of several VMs with homes and quota services on one manual clock. They call each other
// in memory, and calls can be lost, answered late or repeated. Membership is simulated by its
// rules: handover, takeover 5.25 s after a death, and loss of the lease by a pause.
#ifndef MARIGOLDQUAY_QUOTA_TESTS_QUOTA_CLUSTER_H_
#define MARIGOLDQUAY_QUOTA_TESTS_QUOTA_CLUSTER_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "marigoldquay/core/clock.h"
#include "marigoldquay/core/rendezvous.h"
#include "marigoldquay/quota/quota_service.h"

namespace marigoldquay::testing {

class QuotaCluster;

/// Stores the reply of a handler.
class RecordingReply final : public ReplyWriter {
 public:
  bool Write(absl::string_view) override { return true; }
  void Finish(absl::string_view payload) override { payload_ = std::string(payload); }
  void FinishWithError(const Error& error) override { error_ = error; }
  bool cancelled() const override { return false; }

  std::string payload_;
  std::optional<Error> error_;
};

/// A simulated VM: membership view, RPC client and handlers of one instance.
struct SimVm final : MemberView, RpcClient, RpcRegistry {
  SimVm(QuotaCluster& cluster, Instance instance);

  Instance self() const override { return instance; }
  Offset epoch() const override;
  std::vector<Member> members() const override { return {}; }
  std::optional<Member> FindMember(absl::string_view vm) const override;
  bool IsMember(const Instance& other) const override;
  MemberHealth health(absl::string_view) const override { return {}; }
  std::vector<Member> RankFor(absl::string_view) const override { return {}; }
  std::optional<Member> OwnerOf(absl::string_view key) const override;
  std::optional<Member> PreviousOwnerOf(absl::string_view key) const override;
  bool HoldsExclusively(absl::string_view key) const override;
  bool LeaseValid() const override { return true; }

  Result<std::string> Call(const Address& peer, protocol::MessageType type,
                           absl::string_view payload, const CallOptions& options) override;
  Result<void> Stream(const Address&, protocol::MessageType, absl::string_view, const CallOptions&,
                      const std::function<bool(absl::string_view)>&) override {
    return {};
  }
  void Register(protocol::MessageType type, RpcHandler handler) override {
    handlers[type] = std::move(handler);
  }
  std::optional<std::string> Handle(protocol::MessageType type, absl::string_view payload);

  QuotaCluster& cluster;
  Instance instance;
  bool alive = true;
  absl::Time paused_until = absl::InfinitePast();
  // Messages that arrived during a pause; handled after it, when no caller waits for the reply.
  std::vector<std::pair<protocol::MessageType, std::string>> backlog;
  std::map<protocol::MessageType, RpcHandler> handlers;
  WorkspaceHomes homes;
  QuotaService service;
};

class QuotaCluster {
 public:
  struct Faults {
    double loss = 0;            // Probability, of requests and of replies each.
    double duplicate = 0;       // Probability that a message is handled twice, at once or later.
    double pause_in_grant = 0;  // Probability of a pause after a role check.
  };

  explicit QuotaCluster(std::uint32_t seed) : random(seed) {}

  int Pick(int low, int high) { return std::uniform_int_distribution<int>(low, high)(random); }
  bool Chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random) < probability;
  }

  /// Adds an instance and removes the previous one of the VM. Roles of live owners are handed over.
  SimVm& Join(const VmId& name) {
    Remove(name);
    vms.push_back(std::make_unique<SimVm>(*this, Instance{name, next_incarnation++}));
    SimVm& vm = *vms.back();
    vm.homes.Register(vm);
    vm.homes.SetWorkspaces(workspaces);
    members[name] = &vm;
    ++epoch;
    return vm;
  }

  /// Ends the membership of a VM. Its roles can be taken over 2.75 s later.
  void Remove(const VmId& name) {
    const auto found = members.find(name);
    if (found == members.end()) return;
    const SimVm* removed = found->second;
    members.erase(found);
    ++epoch;
    for (auto& [key, role] : roles) {
      if (role.holder != removed) continue;
      role.holder = nullptr;
      role.available_at = clock.Now() + absl::Milliseconds(2750);
    }
  }

  void SetWorkspaces(std::map<WorkspaceId, WorkspaceLimits, std::less<>> limits) {
    workspaces = std::move(limits);
    for (auto& vm : vms) vm->homes.SetWorkspaces(workspaces);
  }

  SimVm* Owner(absl::string_view key) {
    std::vector<VmId> ids;
    for (const auto& [name, _] : members) ids.push_back(name);
    const auto first = FirstByRendezvous(key, ids);
    return first.empty() ? nullptr : members[first];
  }

  bool IsRunning(const SimVm& vm) const { return vm.alive && vm.paused_until <= clock.Now(); }

  /// Removes VMs that did not respond for 2.5 s, resumes paused ones and moves roles.
  void UpdateMembership() {
    for (auto& vm : vms) {
      const auto found = members.find(vm->instance.vm);
      const bool member = found != members.end() && found->second == vm.get();
      if (member && !IsRunning(*vm) && unresponsive_since.contains(vm.get()) &&
          clock.Now() - unresponsive_since[vm.get()] > absl::Milliseconds(2500)) {
        Remove(vm->instance.vm);
      }
      if (IsRunning(*vm) && unresponsive_since.erase(vm.get()) > 0) {
        auto backlog = std::exchange(vm->backlog, {});
        for (const auto& [type, payload] : backlog) vm->Handle(type, payload);
      }
    }
    for (const auto& [workspace, _] : workspaces) TransferRole(WorkspaceKey(workspace));
  }

  void Pause(SimVm& vm, absl::Duration pause) {
    vm.paused_until = clock.Now() + pause;
    unresponsive_since.emplace(&vm, clock.Now());
  }
  void Kill(SimVm& vm) {
    vm.alive = false;
    unresponsive_since.emplace(&vm, clock.Now());
  }

  /// Runs the background work of all running VMs once.
  void Tick() {
    UpdateMembership();
    for (std::size_t i = 0; i < vms.size(); ++i) {
      if (!IsRunning(*vms[i])) continue;
      vms[i]->homes.Refresh();
      vms[i]->service.RenewAllowances();
      vms[i]->service.SendSettlements();
    }
  }

  struct Role {
    SimVm* holder = nullptr;
    absl::Time available_at = absl::InfinitePast();
  };

  ManualClock clock;
  std::mt19937 random;
  Faults faults;
  std::map<std::pair<VmId, VmId>, absl::Time> partitioned_until;
  std::map<WorkspaceId, WorkspaceLimits, std::less<>> workspaces;
  std::vector<std::unique_ptr<SimVm>> vms;
  std::map<VmId, SimVm*> members;
  std::map<std::string, Role, std::less<>> roles;
  std::map<SimVm*, absl::Time> unresponsive_since;
  Offset epoch = 0;
  std::uint64_t next_incarnation = 1;
  /// Called repeatedly while a VM is paused after a role check.
  std::function<void()> during_pause;

 private:
  void TransferRole(const std::string& key) {
    Role& role = roles[key];
    SimVm* owner = Owner(key);
    if (owner == nullptr || owner == role.holder || !IsRunning(*owner)) return;
    if (role.holder == nullptr) {
      if (clock.Now() >= role.available_at) role.holder = owner;
      return;
    }
    if (!IsRunning(*role.holder) || Chance(0.5)) return;
    // All roles that pass from this holder to the new owner move together, as in a real handover.
    SimVm* from = role.holder;
    std::vector<VmId> ids;
    for (const auto& [name, _] : members) ids.push_back(name);
    auto balances = from->homes.Release(owner->instance, epoch, ids);
    if (Chance(0.3)) balances = from->homes.Release(owner->instance, epoch, ids);
    owner->homes.Accept(balances);
    if (Chance(0.3)) owner->homes.Accept(balances);
    for (auto& [other, moved] : roles) {
      if (moved.holder == from && Owner(other) == owner) moved.holder = owner;
    }
  }
};

inline SimVm::SimVm(QuotaCluster& c, Instance i)
    : cluster(c),
      instance(std::move(i)),
      homes(*this, c.clock),
      service(QuotaServiceOptions{}, *this, *this, homes, c.clock) {}

inline Member MemberOf(const SimVm& vm) {
  Member member;
  member.instance = vm.instance;
  member.inner_address = vm.instance.vm;
  return member;
}

inline Offset SimVm::epoch() const { return cluster.epoch; }
inline std::optional<Member> SimVm::FindMember(absl::string_view vm) const {
  const auto found = cluster.members.find(VmId(vm));
  if (found == cluster.members.end()) return std::nullopt;
  return MemberOf(*found->second);
}
inline bool SimVm::IsMember(const Instance& other) const {
  const auto member = FindMember(other.vm);
  return member && member->instance == other;
}
inline std::optional<Member> SimVm::OwnerOf(absl::string_view key) const {
  const SimVm* owner = cluster.Owner(key);
  return owner == nullptr ? std::nullopt : std::optional(MemberOf(*owner));
}
inline std::optional<Member> SimVm::PreviousOwnerOf(absl::string_view key) const {
  const SimVm* holder = cluster.roles[std::string(key)].holder;
  if (holder == nullptr || holder == cluster.Owner(key)) return std::nullopt;
  return MemberOf(*holder);
}
inline bool SimVm::HoldsExclusively(absl::string_view key) const {
  const bool holds = cluster.roles[std::string(key)].holder == this;
  if (holds && cluster.during_pause && cluster.Chance(cluster.faults.pause_in_grant)) {
    auto& self = const_cast<SimVm&>(*this);
    const auto run = std::exchange(cluster.during_pause, nullptr);
    cluster.Pause(self, absl::Milliseconds(cluster.Pick(50, 9000)));
    while (self.alive && !cluster.IsRunning(self)) run();
    cluster.during_pause = run;
  }
  return holds;
}

inline std::optional<std::string> SimVm::Handle(protocol::MessageType type,
                                                absl::string_view payload) {
  RecordingReply reply;
  handlers.at(type)({type, std::string(payload), "sim", absl::InfiniteFuture()}, reply);
  if (reply.error_) return std::nullopt;
  return reply.payload_;
}

inline Result<std::string> SimVm::Call(const Address& peer, protocol::MessageType type,
                                       absl::string_view payload, const CallOptions& options) {
  const auto sent_at = cluster.clock.Now();
  // A lost call takes no simulated time, because many callers wait concurrently; this only makes
  // spends come sooner.
  const auto lost = [&] { return Fail(ErrorCode::kTimeout, "call", peer, "no answer"); };
  SimVm* target = nullptr;
  for (auto& vm : cluster.vms) {
    if (vm->instance.vm == peer && vm->alive) target = vm.get();
  }
  if (target == nullptr) return Fail(ErrorCode::kNotSent, "call", peer, "connection refused");
  const auto pair = std::minmax(instance.vm, peer);
  if (cluster.partitioned_until[{pair.first, pair.second}] > cluster.clock.Now()) return lost();
  if (cluster.Chance(cluster.faults.loss)) return lost();
  if (!cluster.IsRunning(*target) || cluster.Chance(cluster.faults.duplicate)) {
    target->backlog.emplace_back(type, payload);
    if (!cluster.IsRunning(*target)) return lost();
    // The next UpdateMembership handles the backlog.
    cluster.unresponsive_since.emplace(target, cluster.clock.Now());
  }
  cluster.clock.Advance(absl::Milliseconds(cluster.Pick(0, 3)));
  auto answer = target->Handle(type, payload);
  if (cluster.Chance(cluster.faults.duplicate)) target->Handle(type, payload);
  if (!answer || cluster.Chance(cluster.faults.loss)) return lost();
  if (cluster.clock.Now() - sent_at > options.timeout) return lost();
  return *answer;
}

}  // namespace marigoldquay::testing

#endif  // MARIGOLDQUAY_QUOTA_TESTS_QUOTA_CLUSTER_H_
