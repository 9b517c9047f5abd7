// What other packages may ask of the membership: who is a member, who holds a
// role, and whether this process still holds it.
#ifndef MARIGOLDQUAY_MEMBERSHIP_MEMBER_VIEW_H_
#define MARIGOLDQUAY_MEMBERSHIP_MEMBER_VIEW_H_

#include <optional>
#include <vector>

#include "absl/strings/string_view.h"
#include "marigoldquay/core/types.h"

namespace marigoldquay {

/// One member as its join record describes it.
struct Member {
  Instance instance;
  std::string availability_zone;
  std::string region;
  /// Relative size of the VM, 1 to 1000.
  std::int32_t size = 1;
  Address caller_address;
  Address inner_address;

  bool operator==(const Member&) const = default;
};

/// What heartbeats say of a member.
struct MemberHealth {
  std::int32_t spare_capacity = 0;
  bool draining = false;
  /// Heard of, directly or through peers, within the last 2.5 s.
  bool responsive = true;

  bool operator==(const MemberHealth&) const = default;
};

class MemberView {
 public:
  virtual ~MemberView() = default;

  /// This process; changes when it was removed and joined again.
  virtual Instance self() const = 0;
  /// Offset of the last record that changed the member set.
  virtual Offset epoch() const = 0;
  /// All members, ordered by VM id.
  virtual std::vector<Member> members() const = 0;
  virtual std::optional<Member> FindMember(absl::string_view vm) const = 0;
  virtual bool IsMember(const Instance& instance) const = 0;
  virtual MemberHealth health(absl::string_view vm) const = 0;

  /// Members ranked for a key by rendezvous hashing, best first; unresponsive ones come last.
  virtual std::vector<Member> RankFor(absl::string_view key) const = 0;
  /// The member that ranks first for the key regardless of responsiveness: the owner of an
  /// exclusive role once handover is complete.
  virtual std::optional<Member> OwnerOf(absl::string_view key) const = 0;
  /// While a handover to OwnerOf(key) may be incomplete, the member that owned the key before and
  /// is still a member; callers try it when the owner answers NotOwner.
  virtual std::optional<Member> PreviousOwnerOf(absl::string_view key) const = 0;

  /// Whether this process holds the exclusive role for the key now: it is the owner, the handover
  /// is complete or waited out, and its member lease is valid. Check it right before each use.
  virtual bool HoldsExclusively(absl::string_view key) const = 0;
  /// Whether the member lease of this process is valid.
  virtual bool LeaseValid() const = 0;
};

/// Exclusive state that moves between members, e.g. bucket balances. Implemented by the packages
/// that keep such state and registered with the membership.
class ExclusiveState {
 public:
  virtual ~ExclusiveState() = default;

  /// Gives up all keys for which `to_vm` is the owner under `members_after` and returns their
  /// balances. After it returns, the state must not be used for these keys again. Idempotent:
  /// a repeated call for the same instance and epoch returns the same balances.
  virtual std::vector<std::pair<std::string, std::int64_t>> Release(
      const Instance& to, Offset epoch, const std::vector<VmId>& members_after) = 0;

  /// Takes over balances from a previous owner. Keys whose previous owner was removed start without
  /// a balance and are not mentioned.
  virtual void Accept(const std::vector<std::pair<std::string, std::int64_t>>& balances) = 0;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_MEMBERSHIP_MEMBER_VIEW_H_
