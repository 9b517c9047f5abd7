// Heartbeats, duty as guardian and handover of a MembershipState.
#include <algorithm>

#include "marigoldquay/core/rendezvous.h"
#include "marigoldquay/membership/membership_state.h"

namespace marigoldquay {
namespace {

constexpr std::int64_t kMaxAgeMs = 3'600'000;

std::uint32_t ToMs(absl::Duration duration) {
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      absl::ToInt64Milliseconds(absl::Ceil(duration, absl::Milliseconds(1))), 0, kMaxAgeMs));
}

void AddOnce(const Member* member, const VmId& self, std::vector<Member>& targets) {
  if (member == nullptr || member->instance.vm == self) return;
  if (std::find(targets.begin(), targets.end(), *member) == targets.end()) {
    targets.push_back(*member);
  }
}

}  // namespace

std::vector<Member> MembershipState::HeartbeatTargets(std::uint64_t random) const {
  absl::MutexLock lock(&mutex_);
  std::vector<Member> targets;
  if (!was_member_ || lost_) return targets;
  const auto& self = self_.instance.vm;
  for (const auto& guardian : set().GuardiansOf(self)) AddOnce(&guardian, self, targets);
  for (const auto& [vm, member] : set().members()) {
    if (duty_.PromiseFor(member.instance) == absl::ZeroDuration()) continue;
    for (const auto& displaced : UnawareDisplaced(vm)) {
      AddOnce(set().Find(displaced), self, targets);
    }
  }
  std::vector<VmId> others;
  for (const auto& vm : set().vms()) {
    if (vm != self) others.push_back(vm);
  }
  if (others.empty()) return targets;
  const auto* picked = set().Find(others[random % others.size()]);
  // Last, also when it is a guardian, because its result is counted.
  std::erase(targets, *picked);
  targets.push_back(*picked);
  return targets;
}

std::vector<VmId> MembershipState::UnawareDisplaced(const VmId& ward) const {
  std::vector<VmId> unaware;
  for (const auto& [vm, epoch] : set().DisplacedGuardiansOf(ward)) {
    if (vm == self_.instance.vm) continue;
    const auto* peer = peers_.Find(vm);
    // Promises that it gave before it knew have expired after one lease time.
    if (peer == nullptr || peer->epoch < epoch ||
        clock_.Now() <= peer->epoch_named_at + kLeaseTime) {
      unaware.push_back(vm);
    }
  }
  return unaware;
}

protocol::HeartbeatMessageT MembershipState::Message(const LocalStatus& status) {
  status_ = status;
  protocol::HeartbeatMessageT message;
  message.sender = ToWire(self_.instance);
  message.epoch = set().epoch();
  message.config_next = status.config_next;
  message.members_next = set().next_offset();
  message.config_evidence_age_ms = ToMs(status.config_evidence_age);
  message.log_reachable = status.log_reachable;
  message.spare_capacity = status.spare_capacity;
  message.draining = status.draining;
  message.peers = peers_.MakeEntries(self_.instance, status);
  return message;
}

protocol::HeartbeatMessageT MembershipState::MakeHeartbeat(const LocalStatus& status) {
  absl::MutexLock lock(&mutex_);
  return Message(status);
}

protocol::HeartbeatMessageT MembershipState::AnswerHeartbeat(
    const protocol::HeartbeatMessageT& request, const LocalStatus& status) {
  absl::MutexLock lock(&mutex_);
  const auto sender = FromWire(*request.sender);
  peers_.Merge(request, clock_.Now() - kHeartbeatTimeout);
  duty_.OnHeard(sender);
  auto answer = Message(status);
  // A guardian that is cut off may have been removed without knowing it, and its wards with it.
  if (Acting() && ReachesMajority()) {
    answer.promise_ms =
        static_cast<std::uint32_t>(absl::ToInt64Milliseconds(duty_.PromiseFor(sender)));
  }
  return answer;
}

void MembershipState::OnHeartbeatAnswer(const protocol::HeartbeatMessageT& answer,
                                        absl::Time sent_at) {
  absl::MutexLock lock(&mutex_);
  const auto sender = FromWire(*answer.sender);
  peers_.Merge(answer, sent_at);
  duty_.OnHeard(sender);
  if (Acting()) {
    lease_.OnPromise(sender, answer.epoch, sent_at, absl::Milliseconds(answer.promise_ms));
  }
}

void MembershipState::OnRandomCall(bool answered) {
  absl::MutexLock lock(&mutex_);
  random_calls_.push_back(answered);
  if (random_calls_.size() > kRandomCalls) random_calls_.pop_front();
}

bool MembershipState::ReachesMajority() const {
  const auto count = set().members().size();
  if (!peers_.ReachesMajority(count, set().Contains(self_.instance))) return false;
  if (count <= PeerTable::kSmallSet) return true;
  // What peers passed on may be many seconds old in a large set; the last calls are not.
  const auto answered = std::count(random_calls_.begin(), random_calls_.end(), true);
  return static_cast<std::size_t>(answered) * 2 > random_calls_.size();
}

bool MembershipState::AllReachableSayLogDown() const {
  absl::MutexLock lock(&mutex_);
  return log_failing_ && !status_.log_reachable &&
         peers_.AllReachableSayLogDown(set().members().size(), set().Contains(self_.instance));
}

void MembershipState::Tick(const LocalStatus& status) {
  absl::MutexLock lock(&mutex_);
  status_ = status;
  duty_.Tick();
}

bool MembershipState::RemovalDue(const Instance& instance) const {
  return duty_.Removing(instance) || (ReachesMajority() && UnawareDisplaced(instance.vm).empty());
}

std::vector<Instance> MembershipState::RemovalsDue() const {
  absl::MutexLock lock(&mutex_);
  if (!Acting()) return {};
  auto due = duty_.SilentWards();
  std::erase_if(due, [&](const Instance& instance) { return !RemovalDue(instance); });
  return due;
}

bool MembershipState::StartRemoval(const Instance& instance) {
  absl::MutexLock lock(&mutex_);
  const auto silent = duty_.SilentWards();
  if (!Acting() || std::find(silent.begin(), silent.end(), instance) == silent.end() ||
      !RemovalDue(instance)) {
    return false;
  }
  duty_.OnRemoveStarted(instance);
  return true;
}

void MembershipState::OnRemoveFailed(const Instance& instance) {
  absl::MutexLock lock(&mutex_);
  duty_.OnRemoveFailed(instance);
}

std::vector<HandOverSource> MembershipState::PendingHandOvers() const {
  absl::MutexLock lock(&mutex_);
  if (!Acting()) return {};
  return tracker_.PendingSources();
}

std::optional<std::vector<VmId>> MembershipState::MayHandOver(const Instance& sender,
                                                              Offset epoch) const {
  absl::MutexLock lock(&mutex_);
  if (set().next_offset() <= epoch || !set().Contains(sender)) return std::nullopt;
  if (!was_member_ || !tracker_.CompleteBefore(epoch)) return std::nullopt;
  return set().vms();
}

void MembershipState::OnHandedOver(const Instance& from, Offset epoch) {
  absl::MutexLock lock(&mutex_);
  tracker_.OnHandedOver(from, epoch);
}

}  // namespace marigoldquay
