// The faults of one soak run, drawn from a seed.
#ifndef MARIGOLDQUAY_TESTS_SOAK_FAULT_PLAN_H_
#define MARIGOLDQUAY_TESTS_SOAK_FAULT_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace marigoldquay::testing {

enum class FaultKind {
  kKillVm,
  /// All VMs within a few ms of each other.
  kKillAllVms,
  kPauseVm,
  /// SIGTERM; the VM is started again once its process has ended.
  kStopVm,
  kReloadVm,
  kStoreOutage,
  /// The history of the store is dropped.
  kCompactStore,
  kStoreLink,
  kServerLink,
  kServerBehavior,
  kDrainServer,
  kConfigure,
  /// A backend server names a request limit in its answers.
  kNameLimit,
  /// The store comes back from an older copy.
  kRestoreStore,
};

/// Something that goes wrong, or an operator's change, from `at` for `length`.
struct Fault {
  FaultKind kind = FaultKind::kConfigure;
  /// From the start of the run.
  absl::Duration at;
  absl::Duration length;
  /// VM or backend server, modulo their number.
  std::uint32_t target = 0;
  /// Chooses among the forms of the kind.
  std::uint32_t variant = 0;

  std::string ToString() const;
};

/// Faults in series that overlap, over `length`; beside them limits of backend servers, and returns
/// of the store from older copies. The
/// same arguments give the same plan.
std::vector<Fault> PlanFaults(std::uint64_t seed, absl::Duration length);

}  // namespace marigoldquay::testing

#endif  // MARIGOLDQUAY_TESTS_SOAK_FAULT_PLAN_H_
