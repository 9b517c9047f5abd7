// Versioned table of the VMs that report to a coordinator.
#include "marigoldquay/fleet/member_table.h"

#include <utility>

namespace marigoldquay {
namespace {

// Exceeds the removals between two states when all VMs of a large deployment stop.
constexpr std::size_t kMaxRemovals = 1000;

}  // namespace

void MemberTable::Set(const FleetMember& member) {
  Entry& entry = entries_[member.instance.vm];
  if (entry.changed_at > 0 && entry.member == member) return;
  entry.member = member;
  entry.changed_at = ++version_;
}

void MemberTable::Remove(absl::string_view vm) {
  const auto found = entries_.find(vm);
  if (found == entries_.end()) return;
  removals_.push_back({++version_, found->first});
  entries_.erase(found);
  if (removals_.size() <= kMaxRemovals) return;
  last_discarded_removal_ = removals_.front().version;
  removals_.pop_front();
}

void MemberTable::Apply(const MemberChanges& changes) {
  if (changes.is_full) entries_.clear();
  for (const FleetMember& member : changes.changed) Set(member);
  for (const std::string& vm : changes.removed) Remove(vm);
}

MemberChanges MemberTable::ChangesSince(std::uint64_t version) const {
  MemberChanges changes;
  changes.is_full = version == 0 || version < last_discarded_removal_;
  for (const auto& [vm, entry] : entries_) {
    if (changes.is_full || entry.changed_at > version) changes.changed.push_back(entry.member);
  }
  if (changes.is_full) return changes;
  for (const Removal& removal : removals_) {
    if (removal.version > version && !contains(removal.vm)) changes.removed.push_back(removal.vm);
  }
  return changes;
}

std::vector<FleetMember> MemberTable::MembersByPriority() const {
  std::vector<FleetMember> members;
  for (const auto& [vm, entry] : entries_) members.push_back(entry.member);
  SortByCoordinatorPriority(members);
  return members;
}

}  // namespace marigoldquay
