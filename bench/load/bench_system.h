// A System whose engines have the speeds of a profile, with faults and counts for measurements.
#ifndef MARIGOLDQUAY_BENCH_LOAD_BENCH_SYSTEM_H_
#define MARIGOLDQUAY_BENCH_LOAD_BENCH_SYSTEM_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "load_driver.h"
#include "process_usage.h"
#include "profile.h"
#include "system.h"
#include "workload.h"

namespace marigoldquay::bench {

enum class Fault {
  kNone,
  /// The fastest decode engine answers nothing.
  kEngineFrozen,
  /// Transfers from the fastest prefill engine stall for 300 ms of engine time.
  kSlowLink,
  /// Load reports no longer change. From the start of the run on, because the stand-in takes the
  /// lag of its reports as a flag.
  kLoadReportsStopped,
  /// One VM is killed and started again two seconds later.
  kVmKilled,
  kLogDown,
  /// VMs and engines of the first zone are killed.
  kZoneLost,
};

/// "none", "engine_frozen", ...; nullopt for other names.
std::optional<Fault> FindFault(absl::string_view name);

/// Sums over the engines.
struct EngineCounts {
  std::int64_t prefills = 0;
  std::int64_t prefill_tokens = 0;
  std::int64_t wasted_prefills = 0;
  std::int64_t wasted_prefill_tokens = 0;
  std::int64_t cancelled_prefills = 0;
  std::int64_t refusals = 0;
  std::int64_t decodes = 0;
  std::int64_t held_pieces = 0;
};

/// Sums over the daemons.
struct DaemonCounts {
  ProcessUsage usage;
  /// Of the daemon with the most.
  std::int64_t max_resident_bytes = 0;
  /// Calls and bytes of the inner protocol from the daemons' metrics; nullopt when a daemon has no
  /// such metric.
  std::optional<std::int64_t> inner_calls;
  std::optional<std::int64_t> inner_bytes;
};

struct BenchSystemOptions {
  Profile profile;
  std::vector<WorkspaceRate> rates;
  std::vector<std::string> vm_flags;
  Fault fault = Fault::kNone;
  /// Multiplies the stalls of faults.
  double time_scale = 1;
};

/// Must be used from the main thread, because it starts processes.
class BenchSystem {
 public:
  /// Starts and configures everything; failures throw std::runtime_error.
  explicit BenchSystem(BenchSystemOptions options);

  testing::System& system() { return *system_; }
  VmAddresses& addresses() { return addresses_; }
  std::vector<std::string> Authorizations() const;

  void InjectFault();
  /// Second part of a fault, two seconds after InjectFault.
  void ContinueFault();

  EngineCounts CountEngines();
  DaemonCounts CountDaemons();

 private:
  void StartEngines();
  testing::Server StartFake(const std::string& program, const std::string& name,
                            const std::vector<std::string>& flags);
  void Configure();
  bool InLostZone(int index) const;

  const BenchSystemOptions options_;
  std::string log_folder_;
  std::unique_ptr<testing::System> system_;
  VmAddresses addresses_;
  // Processor time of daemons that were killed.
  double lost_cpu_seconds_ = 0;
};

}  // namespace marigoldquay::bench

#endif  // MARIGOLDQUAY_BENCH_LOAD_BENCH_SYSTEM_H_
