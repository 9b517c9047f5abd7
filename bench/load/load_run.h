// One measured run: starts a system, drives it and measures.
#ifndef MARIGOLDQUAY_BENCH_LOAD_LOAD_RUN_H_
#define MARIGOLDQUAY_BENCH_LOAD_LOAD_RUN_H_

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "bench_system.h"
#include "profile.h"
#include "report.h"
#include "workload.h"

namespace marigoldquay::bench {

/// What is compared: a daemon, or a policy of it.
struct Variant {
  std::string name = "default";
  /// Path of the daemon; empty for the one of the build.
  std::string daemon;
  std::vector<std::string> vm_flags;
};

struct RunOptions {
  Profile profile;
  Variant variant;
  LoadOptions load;
  double time_scale = 1;
  std::string fault_name = "none";
  Fault fault = Fault::kNone;
  /// Time without load, in which the workspaces' buckets fill: a new home starts empty.
  absl::Duration idle;
  /// Of engine time, as is the length of the load: both are multiplied by the time scale, because
  /// the engines are in a steady state only after several answers.
  absl::Duration warmup;
  int client_threads = 2;
  absl::Duration request_timeout = absl::Seconds(30);
};

/// Must be called from the main thread; failures throw std::runtime_error.
RunReport RunLoad(const RunOptions& options);

}  // namespace marigoldquay::bench

#endif  // MARIGOLDQUAY_BENCH_LOAD_LOAD_RUN_H_
