// What this VM does as guardian: it promises its wards not to remove them, and
// removes those that are silent. Pure logic.
#ifndef MARIGOLDQUAY_MEMBERSHIP_GUARDIAN_DUTY_H_
#define MARIGOLDQUAY_MEMBERSHIP_GUARDIAN_DUTY_H_

#include <functional>
#include <map>
#include <vector>

#include "absl/time/time.h"
#include "marigoldquay/core/clock.h"
#include "marigoldquay/membership/member_set.h"

namespace marigoldquay {

class GuardianDuty {
 public:
  /// A new guardian waits this much longer than kLeaseTime before it removes a silent ward. Former
  /// guardians that were removed without knowing it may have given promises up to one lease time
  /// after their own removal; the extra second covers the spread of that removal among the members.
  static constexpr absl::Duration kNewGuardianGrace = absl::Seconds(1);
  /// Longest time between ticks; after a longer pause the wards get a fresh start, because their
  /// heartbeats may wait unread.
  static constexpr absl::Duration kMaxTickGap = absl::Milliseconds(1500);

  explicit GuardianDuty(const Clock& clock) : clock_(clock), last_tick_(clock.Now()) {}

  /// Follows the set: the wards are the members that have `self` as guardian.
  void Sync(const MemberSet& set, const Instance& self);
  /// Something was received from the member.
  void OnHeard(const Instance& instance);
  /// To be called at least every kMaxTickGap.
  void Tick();

  /// Promise for an answer to a heartbeat received now; zero without a promise.
  absl::Duration PromiseFor(const Instance& instance) const;
  /// Wards that have been silent so long that all promises have expired. The caller checks that it
  /// reaches a majority and that displaced guardians know that they are displaced.
  std::vector<Instance> SilentWards() const;

  /// A remove record is about to be appended. From now on there is no promise for the ward until
  /// the record is read, or OnRemoveFailed.
  void OnRemoveStarted(const Instance& instance);
  /// All appends for the ward have certainly had no effect.
  void OnRemoveFailed(const Instance& instance);
  bool Removing(const Instance& instance) const;

 private:
  struct Ward {
    absl::Time silent_since;
    bool removing = false;
  };

  const Clock& clock_;
  absl::Time last_tick_;
  std::map<Instance, Ward> wards_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_MEMBERSHIP_GUARDIAN_DUTY_H_
