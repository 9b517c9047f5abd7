// Versioned table of the VMs that report to a coordinator, which computes the changes
// since a version so that each VM is sent only what it does not know yet.
#ifndef MARIGOLDQUAY_FLEET_MEMBER_TABLE_H_
#define MARIGOLDQUAY_FLEET_MEMBER_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "marigoldquay/fleet/member.h"

namespace marigoldquay {

/// Difference between two versions of a MemberTable.
struct MemberChanges {
  std::vector<FleetMember> changed;
  /// Names of the VMs that were removed.
  std::vector<std::string> removed;
  /// Whether `changed` holds all members, so that every other entry is to be removed.
  bool is_full = false;

  bool operator==(const MemberChanges&) const = default;
};

/// Holds one entry per VM. Not thread-safe.
class MemberTable {
 public:
  /// Adds or replaces the entry of a VM.
  void Set(const FleetMember& member);
  void Remove(absl::string_view vm);
  /// Applies the changes of another table.
  void Apply(const MemberChanges& changes);

  /// Number of changes so far.
  std::uint64_t version() const { return version_; }
  /// Returns the changes since `version`, or all members for version 0 and for versions whose
  /// removals were discarded.
  MemberChanges ChangesSince(std::uint64_t version) const;

  bool contains(absl::string_view vm) const { return entries_.find(vm) != entries_.end(); }
  std::size_t size() const { return entries_.size(); }
  /// Members sorted by coordinator priority.
  std::vector<FleetMember> MembersByPriority() const;

 private:
  struct Entry {
    FleetMember member;
    std::uint64_t changed_at = 0;
  };
  struct Removal {
    std::uint64_t version = 0;
    std::string vm;
  };

  std::map<std::string, Entry, std::less<>> entries_;
  // Most recent removals, oldest first.
  std::deque<Removal> removals_;
  // Version of the newest removal that is no longer in `removals_`.
  std::uint64_t last_discarded_removal_ = 0;
  std::uint64_t version_ = 0;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_FLEET_MEMBER_TABLE_H_
