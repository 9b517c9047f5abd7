// Number of VMs that share the quotas and budgets, as a coordinator counts them.
#ifndef MARIGOLDQUAY_FLEET_MEMBER_COUNTER_H_
#define MARIGOLDQUAY_FLEET_MEMBER_COUNTER_H_

#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "absl/time/time.h"
#include "marigoldquay/core/types.h"
#include "marigoldquay/fleet/member.h"

namespace marigoldquay {

/// Counts a VM for a while after its session has ended, and right after a takeover also those that
/// the coordinator before had counted, because they may still spend their shares. Deterministic:
/// all inputs are arguments. Not thread-safe.
class MemberCounter {
 public:
  /// Time for which a VM is counted after its session: the lifetime of an entry in the store's
  /// list.
  static constexpr absl::Duration kRetention = absl::Seconds(5);

  /// The VM reports for the first time; it was told that there are `known_members`, 0 when unknown.
  void OnSessionStarted(const VmId& vm, std::size_t known_members, absl::Time now);
  /// The last session of the VM has ended.
  void OnSessionEnded(const VmId& vm, absl::Time now);

  /// The number of VMs, `listed` in the store, each once, or reporting; 0 while VMs may have
  /// started that are not in the list yet, which is not `settled` then.
  std::size_t Count(const std::vector<FleetMember>& listed, bool settled, absl::Time now) const;

 private:
  std::set<VmId> reporting_;
  // VMs whose session has ended, with the time until which they count; none of them reports.
  std::map<VmId, absl::Time> departed_;
  // Highest number that a VM was told by another coordinator, since this one took over.
  std::size_t known_ = 0;
  // Until then VMs that were told of others may not have found this coordinator yet.
  absl::Time takeover_until_ = absl::InfinitePast();
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_FLEET_MEMBER_COUNTER_H_
