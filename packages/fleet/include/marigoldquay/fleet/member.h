// VMs of the deployment and the order in which they coordinate.
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

/// Taken for the number of VMs while it is unknown. A VM that took itself for the only one would
/// hand out every quota a second time; deployments have 6 to 9 entry VMs.
inline constexpr std::size_t kAssumedMemberCount = 10;

/// One run of the daemon on a VM.
struct FleetMember {
  Instance instance;
  std::int64_t started_unix_ms = 0;
  std::string availability_zone;
  /// Where other VMs reach it.
  Address inner_address;
  /// Where callers reach it.
  Address caller_address;
  /// Relative capacity; 100 is a whole core.
  int capacity = 0;
  /// Whether it takes callers.
  bool ready = false;

  bool operator==(const FleetMember&) const = default;

  /// Text form under which the member is announced in the store; leaves `ready` out.
  std::string ToName() const;
  /// Inverse of ToName; nullopt for malformed text.
  static std::optional<FleetMember> FromName(absl::string_view name);
};

/// Drops the earlier starts of a VM that is listed more than once: the entry of a process that was
/// killed stays until its lease is over, and would lead the others to its successor.
void RemoveOldIncarnations(std::vector<FleetMember>& members);

/// Sorts members so that the first one coordinates: large VMs before small ones, then the one that
/// has been up longest, so that a VM that joins does not take over.
void SortByCoordinatorPriority(std::vector<FleetMember>& members);

/// Addresses for callers: up to `most` ready members, drawn by capacity so that small VMs get fewer
/// callers. `random` draws a number in [0, 1).
std::vector<Address> SampleCallerAddresses(const std::vector<FleetMember>& members,
                                           std::size_t max_count, double (*random)());

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_FLEET_MEMBER_H_
