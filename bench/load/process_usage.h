// Processor time and memory of processes that the bench started, from /proc.
#ifndef MARIGOLDQUAY_BENCH_LOAD_PROCESS_USAGE_H_
#define MARIGOLDQUAY_BENCH_LOAD_PROCESS_USAGE_H_

#include <sys/types.h>

#include <cstdint>

namespace marigoldquay::bench {

struct ProcessUsage {
  double cpu_seconds = 0;
  std::int64_t resident_bytes = 0;
  int threads = 0;
};

/// All zero when the process does not exist.
ProcessUsage ReadUsage(pid_t pid);

/// Processor seconds that all processes of the machine have used, and that it was idle.
struct MachineUsage {
  double busy_seconds = 0;
  double idle_seconds = 0;
};
MachineUsage ReadMachineUsage();

}  // namespace marigoldquay::bench

#endif  // MARIGOLDQUAY_BENCH_LOAD_PROCESS_USAGE_H_
