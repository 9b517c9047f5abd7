// Members of the fleet (VMs of the deployment) and their priority as coordinator.
#ifndef MARIGOLDQUAY_FLEET_MEMBER_H_
#define MARIGOLDQUAY_FLEET_MEMBER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "marigoldquay/core/types.h"

namespace marigoldquay {

/// Number of VMs that is assumed while the actual number is unknown. A VM that assumed to be alone
/// would grant every quota a second time; deployments have 6 to 9 entry VMs.
inline constexpr std::size_t kAssumedMemberCount = 10;

/// One incarnation (process run) of the daemon on a VM.
struct FleetMember {
  Instance instance;
  std::int64_t started_unix_ms = 0;
  std::string availability_zone;
  /// Address for other VMs.
  Address inner_address;
  /// Address for callers.
  Address caller_address;
  /// Relative capacity; 100 is one full core.
  int capacity = 0;
  /// Whether it accepts callers.
  bool ready = false;

  bool operator==(const FleetMember&) const = default;

  /// Text form under which the member is announced in the store; omits `ready`.
  std::string ToName() const;
  /// Inverse of ToName; nullopt for malformed text.
  static std::optional<FleetMember> FromName(absl::string_view name);
};

/// Keeps only the newest incarnation of each VM. The entry of a killed process stays in the store
/// until its lease expires, and would lead other VMs to the process that replaced it.
void RemoveOldIncarnations(std::vector<FleetMember>& members);

/// Sorts members so that the first one is the preferred coordinator: large VMs before small ones,
/// then by start time, so that a VM that joins does not take over.
void SortByCoordinatorPriority(std::vector<FleetMember>& members);

/// Returns the caller addresses of up to `max_count` ready members, sampled with their capacity as
/// weight so that small VMs get fewer callers. `random` returns a number in [0, 1).
std::vector<Address> SampleCallerAddresses(const std::vector<FleetMember>& members,
                                           std::size_t max_count, double (*random)());

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_FLEET_MEMBER_H_
