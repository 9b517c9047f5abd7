// Decides which keys this instance may hold exclusively: those whose earlier
// possible holders have handed over, or are gone and must have lost their
// leases. Pure logic; the member lease itself is checked elsewhere.
#ifndef MARIGOLDQUAY_MEMBERSHIP_OWNERSHIP_TRACKER_H_
#define MARIGOLDQUAY_MEMBERSHIP_OWNERSHIP_TRACKER_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "marigoldquay/core/clock.h"
#include "marigoldquay/membership/member_set.h"

namespace marigoldquay {

/// How long promises and the evidence of a read of the log's tail are valid.
inline constexpr absl::Duration kLeaseTime = absl::Milliseconds(2500);
/// Time from reading that an instance is gone until its lease has expired on its own clock: the
/// lease time plus 10% for clocks that run at different rates.
inline constexpr absl::Duration kTakeoverWait = absl::Milliseconds(2750);

/// A previous owner that is to be asked to hand over.
struct HandOverSource {
  Instance instance;
  Address address;
  /// Epoch to name in the request.
  Offset epoch = 0;

  bool operator==(const HandOverSource&) const = default;
};

/// Rules, for an instance that joined at epoch E:
/// - A key that its join moved here is free once its owner before E has answered a HandOver for E.
///   An owner answers only when it knows E, hence no longer uses the key, and when its own earlier
///   acquisitions are complete, hence nobody before it does.
/// - When that owner is gone without an answer, it may have left a predecessor of its own
///   unanswered. The key is then free only once every member before E has answered or is gone for
///   kTakeoverWait.
/// - A key that a later leave or remove moved here is free once the gone owner has handed over
/// (only
///   after a leave) or kTakeoverWait has passed, and the acquisitions of the own join are complete.
/// - The former instance of the own VM may hold promises of guardians that did not know of its
///   replacement. Its keys are free kTakeoverWait after all others have answered.
class OwnershipTracker {
 public:
  explicit OwnershipTracker(const Clock& clock) : clock_(clock) {}

  /// Starts over as an instance that is not a member yet.
  void Start(Instance self);
  /// Follows a change of the set in log order; `before` and `after` are the ids of the members
  /// around it, `members_before` the members.
  void OnChange(const MemberChange& change, const std::vector<VmId>& before,
                const std::vector<VmId>& after, const MemberSet::Members& members_before);

  /// Whether all earlier holders of the key have given it up. `owner_now` tells whether this VM
  /// owns the key under the newest set.
  bool IsFree(absl::string_view key) const;
  /// Whether a HandOver for this epoch may be answered, apart from knowing the epoch.
  bool CompleteBefore(Offset epoch) const;
  /// Whom to ask now.
  std::vector<HandOverSource> PendingSources() const;
  /// A source has answered that it is ready.
  void OnHandedOver(const Instance& from, Offset epoch);
  /// Owner of the key before the last join that moved it, while that join is recent.
  std::optional<VmId> PreviousOwner(absl::string_view key, const std::vector<VmId>& now) const;

 private:
  struct JoinSource {
    HandOverSource ask;
    std::optional<absl::Time> answered_at;
    std::optional<absl::Time> gone_at;
    bool left = false;
  };
  // A member that has left or was removed after the own join.
  struct GoneOwner {
    HandOverSource ask;
    std::vector<VmId> vms_before;
    absl::Time read_at;
    bool left = false;
    bool answered = false;
  };
  struct RecentJoin {
    VmId vm;
    std::vector<VmId> vms_before;
    absl::Time read_at;
  };

  void OnOwnJoin(const MemberChange& change, const std::vector<VmId>& before,
                 const std::vector<VmId>& after, const MemberSet::Members& members_before);
  void OnGone(const MemberChange& change, const std::vector<VmId>& before);
  void MarkSourceGone(const Instance& instance, bool left);
  absl::Time ClearAt(const JoinSource& source) const;
  absl::Time JoinCompleteAt() const;
  bool Expired(const GoneOwner& gone) const;

  const Clock& clock_;
  Instance self_;
  bool joined_ = false;
  absl::Time join_read_at_ = absl::InfinitePast();
  std::vector<VmId> vms_before_join_;
  std::vector<VmId> vms_after_join_;
  std::map<VmId, JoinSource, std::less<>> join_sources_;
  // A former instance of the own VM was a member right before the join.
  bool replaced_former_self_ = false;
  // When the last leave, remove or replacement before the own join was read. Needed only when no
  // member was there to answer for it.
  absl::Time last_gone_before_join_ = absl::InfinitePast();
  std::deque<GoneOwner> gone_;
  std::deque<RecentJoin> recent_joins_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_MEMBERSHIP_OWNERSHIP_TRACKER_H_
