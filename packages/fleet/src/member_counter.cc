// Counting of reporting, listed and departed VMs.
#include "marigoldquay/fleet/member_counter.h"

#include <algorithm>

namespace marigoldquay {

void MemberCounter::OnSessionStarted(const VmId& vm, std::size_t known_members, absl::Time now) {
  if (reporting_.empty()) {
    known_ = 0;
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
  std::set<VmId> vms = reporting_;
  for (const FleetMember& member : listed) vms.insert(member.instance.vm);
  for (const auto& [vm, until] : departed_) {
    if (now <= until) vms.insert(vm);
  }
  const std::size_t seen = std::max<std::size_t>(vms.size(), 1);
  if (settled && now >= takeover_until_) return seen;
  if (!settled && known_ == 0 && seen < kAssumedMemberCount) return 0;
  return std::max(seen, known_);
}

}  // namespace marigoldquay
