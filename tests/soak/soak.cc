// Plays seeded soak runs: soak --first_seed=N --seeds=K, and the seeds that failed before.
#include <gflags/gflags.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include "soak_run.h"

DEFINE_uint64(first_seed, 1, "seed of the first run");
DEFINE_int32(seeds, 1, "number of runs with consecutive seeds");
DEFINE_int32(seconds, 10, "for how long faults start in each run");
DEFINE_int32(vms, 3, "number of daemons");
DEFINE_string(regressions, "",
              "file with one line \"SEED SECONDS VMS cause\" for each run that failed once");

namespace marigoldquay::testing {
namespace {

bool PlayOne(const SoakOptions& options) {
  SoakRun run(options);
  const auto violations = run.Play();
  std::cout << "seed " << options.seed << " seconds " << absl::ToInt64Seconds(options.length)
            << " vms " << options.vms << ": " << violations.size() << " broken, " << run.Summary()
            << std::endl;
  if (violations.empty()) return true;
  for (const auto& violation : violations) std::cout << "  " << violation << "\n";
  for (const Fault& fault : PlanFaults(options.seed, options.length)) {
    std::cout << "  fault " << fault.ToString() << "\n";
  }
  return false;
}

int PlayRegressions() {
  int failed = 0;
  std::ifstream file(FLAGS_regressions);
  std::string line;
  while (std::getline(file, line)) {
    if (line.empty() || line[0] == '#') continue;
    SoakOptions options;
    int seconds = 0;
    if (!(std::istringstream(line) >> options.seed >> seconds >> options.vms)) {
      std::cerr << "malformed line in " << FLAGS_regressions << ": " << line << "\n";
      return 1;
    }
    options.length = absl::Seconds(seconds);
    if (!PlayOne(options)) ++failed;
  }
  return failed;
}

int Main() {
  int failed = FLAGS_regressions.empty() ? 0 : PlayRegressions();
  for (int i = 0; i < FLAGS_seeds; ++i) {
    SoakOptions options;
    options.seed = FLAGS_first_seed + static_cast<std::uint64_t>(i);
    options.length = absl::Seconds(FLAGS_seconds);
    options.vms = FLAGS_vms;
    if (!PlayOne(options)) ++failed;
  }
  std::cout << failed << " runs failed\n";
  return failed == 0 ? 0 : 1;
}

}  // namespace
}  // namespace marigoldquay::testing

int main(int argc, char** argv) {
  gflags::SetUsageMessage("plays seeded soak runs of marigoldquayd");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  signal(SIGPIPE, SIG_IGN);
  return marigoldquay::testing::Main();
}
