// Promises and removals.
#include "marigoldquay/membership/guardian_duty.h"

#include <algorithm>

#include "marigoldquay/membership/ownership_tracker.h"

namespace marigoldquay {

void GuardianDuty::Sync(const MemberSet& set, const Instance& self) {
  std::map<Instance, Ward> wards;
  if (set.Contains(self)) {
    for (const auto& [vm, member] : set.members()) {
      const auto guardians = set.GuardiansOf(vm);
      if (std::none_of(guardians.begin(), guardians.end(),
                       [&](const Member& guardian) { return guardian.instance == self; })) {
        continue;
      }
      const auto known = wards_.find(member.instance);
      wards[member.instance] =
          known != wards_.end() ? known->second : Ward{clock_.Now() + kNewGuardianGrace};
    }
  }
  // An unresolved remove stays remembered while the instance is a member, even if this VM is not
  // its guardian for the moment: the record may still land after it has become guardian again.
  for (const auto& [instance, ward] : wards_) {
    if (ward.removing && set.Contains(instance)) wards.emplace(instance, ward);
  }
  wards_ = std::move(wards);
}

void GuardianDuty::OnHeard(const Instance& instance) {
  const auto found = wards_.find(instance);
  if (found == wards_.end()) return;
  found->second.silent_since = std::max(found->second.silent_since, clock_.Now());
}

void GuardianDuty::Tick() {
  const auto now = clock_.Now();
  if (now - last_tick_ > kMaxTickGap) {
    for (auto& [instance, ward] : wards_) ward.silent_since = std::max(ward.silent_since, now);
  }
  last_tick_ = now;
}

absl::Duration GuardianDuty::PromiseFor(const Instance& instance) const {
  const auto found = wards_.find(instance);
  return found == wards_.end() || found->second.removing ? absl::ZeroDuration() : kLeaseTime;
}

std::vector<Instance> GuardianDuty::SilentWards() const {
  std::vector<Instance> silent;
  for (const auto& [instance, ward] : wards_) {
    if (ward.removing || clock_.Now() > ward.silent_since + kLeaseTime) silent.push_back(instance);
  }
  return silent;
}

void GuardianDuty::OnRemoveStarted(const Instance& instance) {
  const auto found = wards_.find(instance);
  if (found != wards_.end()) found->second.removing = true;
}

void GuardianDuty::OnRemoveFailed(const Instance& instance) {
  const auto found = wards_.find(instance);
  if (found != wards_.end()) found->second.removing = false;
}

bool GuardianDuty::Removing(const Instance& instance) const {
  const auto found = wards_.find(instance);
  return found != wards_.end() && found->second.removing;
}

}  // namespace marigoldquay
