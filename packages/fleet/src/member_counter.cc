// Counting of reporting, listed and departed VMs.
#include "marigoldquay/fleet/member_counter.h"

#include <algorithm>

namespace marigoldquay {

void MemberCounter::OnSessionStarted(const VmId& vm, std::size_t known_members, absl::Time now) {
  // A VM that was told of more VMs than are counted here comes from another coordinator, and so may
  // the rest of them.
  if (reporting_.empty() || known_members > reporting_.size() + departed_.size()) {
    if (reporting_.empty() || now >= takeover_until_) known_ = 0;
    takeover_until_ = now + kRetention;
  }
  known_ = std::max(known_, known_members);
  reporting_.insert(vm);
  departed_.erase(vm);
}

void MemberCounter::OnSessionEnded(const VmId& vm, absl::Time now) {
  reporting_.erase(vm);
  std::erase_if(departed_, [now](const auto& entry) { return entry.second < now; });
  departed_[vm] = now + kRetention;
}

std::size_t MemberCounter::Count(const std::vector<FleetMember>& listed, bool settled,
                                 absl::Time now) const {
  const auto departed = [&](const VmId& vm) {
    const auto found = departed_.find(vm);
    return found != departed_.end() && now <= found->second;
  };
  std::size_t seen = reporting_.size();
  for (const auto& [vm, until] : departed_) seen += departed(vm) ? 1 : 0;
  for (const FleetMember& member : listed) {
    const VmId& vm = member.instance.vm;
    if (!reporting_.contains(vm) && !departed(vm)) ++seen;
  }
  seen = std::max<std::size_t>(seen, 1);
  if (settled && now >= takeover_until_) return seen;
  if (!settled && known_ == 0 && seen < kAssumedMemberCount) return 0;
  return std::max(seen, known_);
}

}  // namespace marigoldquay
