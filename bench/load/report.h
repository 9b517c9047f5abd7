// The measures of one run, as JSON and as a text table.
#ifndef MARIGOLDQUAY_BENCH_LOAD_REPORT_H_
#define MARIGOLDQUAY_BENCH_LOAD_REPORT_H_

#include <boost/json.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "bench_system.h"
#include "load_driver.h"
#include "profile.h"
#include "workload.h"

namespace marigoldquay::bench {

struct Percentiles {
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
};

/// All zero for no values.
Percentiles PercentilesOf(std::vector<double> values);

/// Measures of one workspace or of all together.
struct ServiceReport {
  std::string workspace;
  int weight = 0;
  std::int64_t offered = 0;
  std::int64_t offered_within_rate = 0;
  std::int64_t completed = 0;
  /// Complete, with the first token and the mean gap between tokens within their targets.
  std::int64_t good = 0;
  double good_requests_per_s = 0;
  double good_tokens_per_s = 0;
  /// Cost of the good requests: prompt tokens x prefill cost + output tokens.
  double good_cost = 0;
  /// Cost of the requests within the rate.
  double demand_cost = 0;
  /// Weighted max-min fair share of what the run served well, and the part of it received.
  double fair_cost = 0;
  double fair_share = 0;
  /// The same against the fair share of the offline bound.
  double fair_share_of_bound = 0;
  std::int64_t refused_within_rate = 0;
  /// Those of refused_within_rate that were refused as over the rate.
  std::int64_t refused_within_rate_by_quota = 0;
  /// Requests that were not completed, by cause.
  std::map<std::string, std::int64_t> causes;
  Percentiles first_token_ms;
  Percentiles gap_ms;
};

struct RunReport {
  std::string profile;
  std::string variant;
  std::string fault;
  double load = 0;
  std::uint64_t seed = 0;
  double time_scale = 1;
  double excess = 0;
  double seconds = 0;
  OfflineBound bound;
  ServiceReport total;
  std::vector<ServiceReport> workspaces;
  double goodput_of_bound = 0;
  std::string worst_workspace;
  double worst_share = 0;
  double worst_share_of_bound = 0;
  double wasted_prefill = 0;
  /// Part refused of the requests of the workspaces that stay within their rate, for any cause and
  /// as over the rate. The excessive workspace counts in its own row only.
  double refused_within_rate = 0;
  double refused_by_quota = 0;
  EngineCounts engines;
  DaemonCounts daemons;
  /// Part of the machine's processor time that was used during the run, by anything.
  double machine_busy = 0;
  /// Time by which the load tool started its requests late, 99th percentile.
  double client_lag_ms = 0;
};

struct RunData {
  const Profile& profile;
  const Workload& workload;
  const std::vector<RequestRecord>& records;
  /// Requests before this time are not measured.
  absl::Duration warmup;
  absl::Duration length;
  /// Whether Profile::excessive_workspace exceeds its rate.
  bool has_excess = false;
  /// Differences over the run; held_pieces and memory as at its end.
  EngineCounts engines;
  DaemonCounts daemons;
};

/// Fills the measures; the caller sets the names and options of the run.
RunReport Measure(const RunData& data);

/// The value of the report that comparisons use, by name.
struct Measurement {
  const char* name;
  const char* title;
  double (*value)(const RunReport&);
  /// Target of docs/design.md section 1.3, or a negative number for none.
  double target;
};
const std::vector<Measurement>& ComparedMeasurements();

boost::json::object ToJson(const RunReport& report);
std::string ToText(const RunReport& report);

}  // namespace marigoldquay::bench

#endif  // MARIGOLDQUAY_BENCH_LOAD_REPORT_H_
