// The lease under which this instance acts as a member.
#ifndef MARIGOLDQUAY_MEMBERSHIP_MEMBER_LEASE_H_
#define MARIGOLDQUAY_MEMBERSHIP_MEMBER_LEASE_H_

#include <map>
#include <vector>

#include "absl/time/time.h"
#include "marigoldquay/core/types.h"
#include "marigoldquay/membership/member_view.h"

namespace marigoldquay {

/// Valid while either the log's tail was read recently and showed this instance as a member, or all
/// guardians' promises are in force. Pure logic on times of one clock.
class MemberLease {
 public:
  /// The log was read to its tail by a read sent at this time, and the instance was a member.
  void OnTailRead(absl::Time read_sent_at);
  /// A guardian answered a heartbeat that was sent at `sent_at`; `epoch` is the epoch that it knew.
  void OnPromise(const Instance& guardian, Offset epoch, absl::Time sent_at,
                 absl::Duration promise);
  /// The instance is no longer a member.
  void Reset();

  /// `guardians` are those under the set that this instance knows, at `epoch`. A promise of a
  /// guardian that knew a later epoch does not count, because that epoch may have given the
  /// instance another guardian. A single member has no guardians and needs the log.
  bool Valid(absl::Time now, const std::vector<Member>& guardians, Offset epoch) const;

 private:
  struct Promise {
    Offset epoch = 0;
    absl::Time until = absl::InfinitePast();
  };

  absl::Time tail_read_sent_at_ = absl::InfinitePast();
  // At most kMaxPromises; expired ones are dropped first.
  std::map<Instance, Promise> promises_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_MEMBERSHIP_MEMBER_LEASE_H_
