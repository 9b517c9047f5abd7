// VMs that report to a coordinator, with what has changed since a version, so that
// each of them is told of changes only.
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

/// Changes of a table.
struct MemberChanges {
  std::vector<FleetMember> changed;
  /// Names of VMs that are gone.
  std::vector<std::string> removed;
  /// Whether `changed` holds all members, so that any other is gone.
  bool is_full = false;

  bool operator==(const MemberChanges&) const = default;
};

/// Holds one entry for each VM. Not thread-safe.
class MemberTable {
 public:
  /// Adds or changes the entry of a VM.
  void Set(const FleetMember& member);
  void Remove(absl::string_view vm);
  /// Applies what another table has changed.
  void Apply(const MemberChanges& changes);

  /// Counts changes.
  std::uint64_t version() const { return version_; }
  /// What has changed since a version; everything since version 0, or when it is too long ago.
  MemberChanges ChangesSince(std::uint64_t version) const;

  bool contains(absl::string_view vm) const { return entries_.find(vm) != entries_.end(); }
  std::size_t size() const { return entries_.size(); }
  /// In the order of coordination.
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
  // The latest removals, oldest first.
  std::deque<Removal> removals_;
  // Removals up to this version are no longer known.
  std::uint64_t last_discarded_removal_ = 0;
  std::uint64_t version_ = 0;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_FLEET_MEMBER_TABLE_H_
