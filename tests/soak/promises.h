// What must hold in a soak run, from what callers and backend servers saw.
#ifndef MARIGOLDQUAY_TESTS_SOAK_PROMISES_H_
#define MARIGOLDQUAY_TESTS_SOAK_PROMISES_H_

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "fake_replica.h"
#include "soak_caller.h"

namespace marigoldquay::testing {

struct PromiseInput {
  std::vector<CallRecord> calls;
  ReplicaLedger seen;
  /// When the first caller could start.
  absl::Time started;
  /// Between these no fault was active.
  absl::Time calm_start;
  absl::Time calm_end;
  /// Tokens per second, and burst, of the workspace w2.
  double limited_rate = 0;
};

/// One text per broken promise.
std::vector<std::string> CheckPromises(const PromiseInput& input);

}  // namespace marigoldquay::testing

#endif  // MARIGOLDQUAY_TESTS_SOAK_PROMISES_H_
