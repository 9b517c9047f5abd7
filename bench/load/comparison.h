// Comparison of variants over repeated runs.
#ifndef MARIGOLDQUAY_BENCH_LOAD_COMPARISON_H_
#define MARIGOLDQUAY_BENCH_LOAD_COMPARISON_H_

#include <boost/json.hpp>
#include <string>
#include <vector>

#include "report.h"
#include "svg_plot.h"

namespace marigoldquay::bench {

/// Statistics of one measurement of one variant over its repeats.
struct Spread {
  double mean = 0;
  /// Standard deviation of the sample; 0 for one run.
  double deviation = 0;
  double low = 0;
  double high = 0;
  /// Mean over the repeats of this variant's value over the first variant's; NaN when the first
  /// variant's value is zero in a repeat.
  double ratio = 1;
};

struct VariantSummary {
  std::string variant;
  /// In the order of ComparedMeasurements().
  std::vector<Spread> values;
};

/// Runs of one profile and load; runs[variant][repeat].
struct Comparison {
  std::string title;
  std::vector<std::vector<RunReport>> runs;

  std::vector<VariantSummary> Summaries() const;
};

std::string ToText(const Comparison& comparison);
boost::json::object ToJson(const Comparison& comparison);
std::vector<Panel> ToPanels(const Comparison& comparison);

}  // namespace marigoldquay::bench

#endif  // MARIGOLDQUAY_BENCH_LOAD_COMPARISON_H_
