#include "load_run.h"

#include <algorithm>
#include <cstdlib>
#include <optional>

#include "absl/time/clock.h"
#include "process_usage.h"

namespace marigoldquay::bench {
namespace {

// The first requests are planned from this time on, so that the threads have started by then.
constexpr absl::Duration kStartDelay = absl::Milliseconds(100);
// The homes of the workspaces have taken their roles this long after the VMs serve at the latest;
// their buckets are empty until then.
constexpr absl::Duration kRolesTaken = absl::Seconds(3);
constexpr absl::Duration kFaultContinues = absl::Seconds(2);
// Engines free what ended by itself, and releases are retried, within this time.
constexpr absl::Duration kSettle = absl::Seconds(2);

// The harness reads the daemon's path from this variable.
void UseDaemon(const std::string& path) {
  constexpr const char* kVariable = "MARIGOLDQUAY_DAEMON";
  static const char* const original = std::getenv(kVariable);
  static const std::string original_path = original == nullptr ? "" : original;
  const std::string& used = path.empty() ? original_path : path;
  if (used.empty()) {
    unsetenv(kVariable);
  } else {
    setenv(kVariable, used.c_str(), 1);
  }
}

void SleepUntil(absl::Time time) { absl::SleepFor(time - absl::Now()); }

EngineCounts operator-(EngineCounts after, const EngineCounts& before) {
  after.prefills -= before.prefills;
  after.prefill_tokens -= before.prefill_tokens;
  after.wasted_prefills -= before.wasted_prefills;
  after.wasted_prefill_tokens -= before.wasted_prefill_tokens;
  after.cancelled_prefills -= before.cancelled_prefills;
  after.refusals -= before.refusals;
  after.decodes -= before.decodes;
  return after;
}

std::optional<std::int64_t> Difference(const std::optional<std::int64_t>& after,
                                       const std::optional<std::int64_t>& before) {
  if (!after || !before) return std::nullopt;
  return *after - *before;
}

DaemonCounts operator-(DaemonCounts after, const DaemonCounts& before) {
  after.usage.cpu_seconds -= before.usage.cpu_seconds;
  after.inner_calls = Difference(after.inner_calls, before.inner_calls);
  after.inner_bytes = Difference(after.inner_bytes, before.inner_bytes);
  return after;
}

}  // namespace

RunReport RunLoad(const RunOptions& options) {
  const Profile profile = ScaleTime(options.profile, options.time_scale);
  LoadOptions load = options.load;
  load.burst_length *= options.time_scale;
  load.length *= options.time_scale;
  load.fill = std::max(absl::ZeroDuration(), options.idle - kRolesTaken);
  const absl::Duration warmup = options.warmup * options.time_scale;
  const Workload workload = MakeWorkload(profile, load);
  UseDaemon(options.variant.daemon);
  BenchSystem bench(
      {profile, workload.rates, options.variant.vm_flags, options.fault, options.time_scale});
  absl::SleepFor(options.idle);

  const EngineCounts engines_before = bench.CountEngines();
  const DaemonCounts daemons_before = bench.CountDaemons();
  const MachineUsage machine_before = ReadMachineUsage();
  const absl::Time start = absl::Now() + kStartDelay;
  LoadDriver driver(
      {options.client_threads, profile.model_pool, bench.Authorizations(), options.request_timeout},
      workload.requests, bench.addresses(), start);
  const absl::Time fault_time = start + load.length / 3;
  if (options.fault != Fault::kNone) {
    SleepUntil(fault_time);
    bench.InjectFault();
    SleepUntil(fault_time + kFaultContinues);
    bench.ContinueFault();
  }
  SleepUntil(start + load.length);
  const DaemonCounts daemons_after = bench.CountDaemons();
  const MachineUsage machine_after = ReadMachineUsage();
  const std::vector<RequestRecord>& records = driver.Finish();
  absl::SleepFor(kSettle);

  RunReport report =
      Measure({profile, workload, records, warmup, load.length, load.excess > 0,
               bench.CountEngines() - engines_before, daemons_after - daemons_before});
  report.variant = options.variant.name;
  report.fault = options.fault_name;
  report.load = load.load;
  report.seed = load.seed;
  report.excess = load.excess;
  report.time_scale = options.time_scale;
  const double busy = machine_after.busy_seconds - machine_before.busy_seconds;
  const double idle = machine_after.idle_seconds - machine_before.idle_seconds;
  report.machine_busy = busy + idle > 0 ? busy / (busy + idle) : 0;
  return report;
}

}  // namespace marigoldquay::bench
