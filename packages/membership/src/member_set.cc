// Rules of the members stream.
#include "marigoldquay/membership/member_set.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "marigoldquay/core/rendezvous.h"

namespace marigoldquay {
namespace {

constexpr std::size_t kGuardians = 2;

MemberChange NoChange(std::string reason) {
  MemberChange change;
  change.reason = std::move(reason);
  return change;
}

}  // namespace

MemberChange MemberSet::ApplyRecord(Offset offset, absl::string_view data) {
  if (offset != next_) return NoChange("not the next record");
  ++next_;
  return HandleError(
      [&]() -> Result<MemberChange> {
        BOOST_LEAF_AUTO(record, ParseMemberRecord(data));
        return std::visit([&](const auto& typed) { return Take(offset, typed); }, record);
      },
      [](const Error& error) { return NoChange("malformed: " + error.message); });
}

MemberChange MemberSet::Take(Offset offset, const JoinRecord& record) {
  const auto& instance = record.member.instance;
  // An append whose answer was lost may land after the instance has ended.
  if (std::find(ended_.begin(), ended_.end(), instance) != ended_.end()) {
    return NoChange(instance.ToString() + " is no longer a member");
  }
  const auto found = members_.find(instance.vm);
  if (found != members_.end() && found->second.instance == instance) {
    found->second = record.member;
    return NoChange(instance.ToString() + " is a member already");
  }
  if (record.renew) return NoChange(instance.ToString() + " is not a member");
  MemberChange change{MemberChangeKind::kJoined, offset, record.member};
  if (found != members_.end()) {
    change.kind = MemberChangeKind::kReplaced;
    change.replaced = found->second.instance;
    End(found->second.instance);
    found->second = record.member;
    epoch_ = offset;
    return change;
  }
  if (members_.size() >= kMaxMembers) {
    return NoChange(absl::StrCat("there are ", kMaxMembers, " members already"));
  }
  Add(offset, record.member);
  return change;
}

void MemberSet::Add(Offset offset, const Member& member) {
  const auto pairs = [&] {
    std::map<VmId, std::vector<VmId>> result;
    for (const auto& vm : ring_) {
      for (const auto& guardian : GuardiansOf(vm)) result[vm].push_back(guardian.instance.vm);
    }
    return result;
  };
  const auto before = pairs();
  members_[member.instance.vm] = member;
  RebuildOrder();
  epoch_ = offset;
  const auto after = pairs();
  for (const auto& [vm, guardians] : before) {
    const auto& now = after.at(vm);
    for (const auto& guardian : guardians) {
      if (std::find(now.begin(), now.end(), guardian) == now.end()) {
        displaced_[vm][guardian] = offset;
      }
    }
  }
}

MemberChange MemberSet::Take(Offset offset, const LeaveRecord& record) {
  if (!Contains(record.instance)) {
    return NoChange(record.instance.ToString() + " is not a member");
  }
  return Remove(offset, MemberChangeKind::kLeft, record.instance.vm);
}

MemberChange MemberSet::Take(Offset offset, const RemoveRecord& record) {
  if (!Contains(record.instance)) {
    return NoChange(record.instance.ToString() + " is not a member");
  }
  const auto guardians = GuardiansOf(record.instance.vm);
  if (std::none_of(guardians.begin(), guardians.end(),
                   [&](const Member& guardian) { return guardian.instance == record.remover; })) {
    return NoChange(
        absl::StrCat(record.remover.ToString(), " is no guardian of ", record.instance.ToString()));
  }
  return Remove(offset, MemberChangeKind::kRemoved, record.instance.vm);
}

MemberChange MemberSet::Take(Offset /*offset*/, const SnapshotPart& /*record*/) {
  return NoChange("snapshot");
}

MemberChange MemberSet::Remove(Offset offset, MemberChangeKind kind, const VmId& vm) {
  const auto found = members_.find(vm);
  MemberChange change{kind, offset, found->second};
  End(found->second.instance);
  displaced_.erase(vm);
  for (auto& [guarded, displaced] : displaced_) displaced.erase(vm);
  members_.erase(found);
  RebuildOrder();
  epoch_ = offset;
  return change;
}

void MemberSet::End(const Instance& instance) {
  ended_.push_back(instance);
  if (ended_.size() > kMaxEnded) ended_.pop_front();
}

void MemberSet::RebuildOrder() {
  vms_.clear();
  std::vector<std::pair<std::uint64_t, VmId>> hashed;
  for (const auto& [vm, member] : members_) {
    vms_.push_back(vm);
    hashed.emplace_back(StableHash(vm), vm);
  }
  std::sort(hashed.begin(), hashed.end());
  ring_.clear();
  for (auto& [hash, vm] : hashed) ring_.push_back(std::move(vm));
}

const Member* MemberSet::Find(absl::string_view vm) const {
  const auto found = members_.find(vm);
  return found == members_.end() ? nullptr : &found->second;
}

bool MemberSet::Contains(const Instance& instance) const {
  const auto* member = Find(instance.vm);
  return member != nullptr && member->instance == instance;
}

std::vector<Member> MemberSet::GuardiansOf(absl::string_view vm) const {
  std::vector<Member> guardians;
  const auto position = std::find(ring_.begin(), ring_.end(), vm);
  if (position == ring_.end()) return guardians;
  const auto start = static_cast<std::size_t>(position - ring_.begin());
  for (std::size_t step = 1; step <= kGuardians && step < ring_.size(); ++step) {
    guardians.push_back(members_.at(ring_[(start + step) % ring_.size()]));
  }
  return guardians;
}

std::map<VmId, Offset> MemberSet::DisplacedGuardiansOf(absl::string_view vm) const {
  const auto found = displaced_.find(vm);
  if (found == displaced_.end()) return {};
  auto displaced = found->second;
  for (const auto& guardian : GuardiansOf(vm)) displaced.erase(guardian.instance.vm);
  return displaced;
}

bool MemberSet::StartEmptyAt(Offset first) {
  *this = MemberSet();
  next_ = first;
  return true;
}

}  // namespace marigoldquay
