// The member set as a deterministic function of the members stream.
#ifndef MARIGOLDQUAY_MEMBERSHIP_MEMBER_SET_H_
#define MARIGOLDQUAY_MEMBERSHIP_MEMBER_SET_H_

#include <deque>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "absl/strings/string_view.h"
#include "marigoldquay/config/records.h"
#include "marigoldquay/config/stream_replica.h"
#include "marigoldquay/membership/member_view.h"

namespace marigoldquay {

inline constexpr absl::string_view kMembersStream = "members";

/// A member announces itself, or renews its announcement before the log drops it.
struct JoinRecord {
  Member member;
  std::string nonce;
  bool renew = false;
};

struct LeaveRecord {
  Instance instance;
  std::string nonce;
};

struct RemoveRecord {
  Instance instance;
  Instance remover;
  std::string nonce;
};

using MemberRecord = std::variant<JoinRecord, LeaveRecord, RemoveRecord, SnapshotPart>;

/// Parses a record of the members stream; kInvalidArgument names the field.
Result<MemberRecord> ParseMemberRecord(absl::string_view data);
std::string FormatRecord(const JoinRecord& record);
std::string FormatRecord(const LeaveRecord& record);
std::string FormatRecord(const RemoveRecord& record);

enum class MemberChangeKind { kNone, kJoined, kReplaced, kLeft, kRemoved };

/// What a record did to the set.
struct MemberChange {
  MemberChangeKind kind = MemberChangeKind::kNone;
  Offset epoch = 0;
  /// The member that has joined or is gone.
  Member member;
  /// For kReplaced: the former instance of the VM.
  Instance replaced;
  /// For kNone: why the record had no effect.
  std::string reason;
};

class MemberSet final : public ReplayedState {
 public:
  using Members = std::map<VmId, Member, std::less<>>;

  static constexpr std::size_t kMaxMembers = 2048;
  /// Instances that are no longer members and may not come back.
  static constexpr std::size_t kMaxEnded = 1024;

  MemberChange ApplyRecord(Offset offset, absl::string_view data);

  // ReplayedState
  Offset next_offset() const override { return next_; }
  void Apply(Offset offset, absl::string_view data) override { ApplyRecord(offset, data); }
  std::string SnapshotText() const override;
  bool LoadSnapshot(Offset next, const std::string& text) override;
  std::optional<SnapshotPart> PartIn(absl::string_view data) const override;
  /// Members write a snapshot several times per retention time. A stream without one has had no
  /// members for that long, so that an empty set is right.
  bool StartEmptyAt(Offset first) override;

  /// Offset of the last record that changed the set.
  Offset epoch() const { return epoch_; }
  const Members& members() const { return members_; }
  /// Ids of all members, sorted.
  const std::vector<VmId>& vms() const { return vms_; }
  const Member* Find(absl::string_view vm) const;
  bool Contains(const Instance& instance) const;

  /// The next two members after the VM in the ring of ids ordered by hash; fewer in small sets.
  std::vector<Member> GuardiansOf(absl::string_view vm) const;
  /// Members that ceased to be guardians of the VM because another VM joined, and the epoch of that
  /// join. As long as such a member does not know the epoch it may still give promises.
  std::map<VmId, Offset> DisplacedGuardiansOf(absl::string_view vm) const;

 private:
  MemberChange Take(Offset offset, const JoinRecord& record);
  MemberChange Take(Offset offset, const LeaveRecord& record);
  MemberChange Take(Offset offset, const RemoveRecord& record);
  MemberChange Take(Offset offset, const SnapshotPart& record);
  MemberChange Remove(Offset offset, MemberChangeKind kind, const VmId& vm);
  void Add(Offset offset, const Member& member);
  void End(const Instance& instance);
  void RebuildOrder();
  Result<void> Load(const boost::json::object& json);

  Offset next_ = 0;
  Offset epoch_ = 0;
  Members members_;
  std::deque<Instance> ended_;
  // By guarded VM, then by displaced guardian.
  std::map<VmId, std::map<VmId, Offset>, std::less<>> displaced_;
  // Derived from members_: sorted ids, and ids in ring order.
  std::vector<VmId> vms_;
  std::vector<VmId> ring_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_MEMBERSHIP_MEMBER_SET_H_
