#include "comparison.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace marigoldquay::bench {
namespace {

Spread SpreadOf(const std::vector<double>& values, const std::vector<double>& base) {
  Spread spread;
  const auto count = static_cast<double>(values.size());
  double squares = 0;
  double ratios = 0;
  for (const double value : values) spread.mean += value / count;
  for (const double value : values) squares += (value - spread.mean) * (value - spread.mean);
  for (std::size_t i = 0; i < values.size(); ++i) {
    ratios += base[i] != 0 ? values[i] / base[i] : std::numeric_limits<double>::quiet_NaN();
  }
  if (values.size() > 1) spread.deviation = std::sqrt(squares / (count - 1));
  spread.low = *std::min_element(values.begin(), values.end());
  spread.high = *std::max_element(values.begin(), values.end());
  spread.ratio = ratios / count;
  return spread;
}

std::vector<double> Values(const std::vector<RunReport>& runs, const Measurement& measurement) {
  std::vector<double> values;
  for (const RunReport& run : runs) values.push_back(measurement.value(run));
  return values;
}

}  // namespace

std::vector<VariantSummary> Comparison::Summaries() const {
  std::vector<VariantSummary> summaries;
  for (const std::vector<RunReport>& variant : runs) {
    VariantSummary& summary = summaries.emplace_back();
    summary.variant = variant.front().variant;
    for (const Measurement& measurement : ComparedMeasurements()) {
      summary.values.push_back(
          SpreadOf(Values(variant, measurement), Values(runs.front(), measurement)));
    }
  }
  return summaries;
}

std::string ToText(const Comparison& comparison) {
  const std::vector<VariantSummary> summaries = comparison.Summaries();
  std::string text = absl::StrCat("== ", comparison.title, ", ", comparison.runs.front().size(),
                                  " repeats; ratio to ", summaries.front().variant, "\n");
  std::size_t index = 0;
  for (const Measurement& measurement : ComparedMeasurements()) {
    absl::StrAppend(&text, measurement.title, "\n");
    for (const VariantSummary& summary : summaries) {
      const Spread& spread = summary.values[index];
      absl::StrAppendFormat(
          &text, "  %-28s mean %10.4f  sd %9.4f  low %10.4f  high %10.4f  ratio %.3f\n",
          summary.variant, spread.mean, spread.deviation, spread.low, spread.high, spread.ratio);
    }
    ++index;
  }
  return text;
}

boost::json::object ToJson(const Comparison& comparison) {
  boost::json::array variants;
  for (const VariantSummary& summary : comparison.Summaries()) {
    boost::json::object measures;
    std::size_t index = 0;
    for (const Measurement& measurement : ComparedMeasurements()) {
      const Spread& spread = summary.values[index++];
      measures[measurement.name] = {
          {"mean", spread.mean},
          {"deviation", spread.deviation},
          {"low", spread.low},
          {"high", spread.high},
          // JSON has no NaN.
          {"ratio", std::isnan(spread.ratio) ? boost::json::value(nullptr)
                                             : boost::json::value(spread.ratio)}};
    }
    variants.push_back({{"variant", summary.variant}, {"measures", std::move(measures)}});
  }
  boost::json::array runs;
  for (const std::vector<RunReport>& variant : comparison.runs) {
    for (const RunReport& run : variant) runs.push_back(ToJson(run));
  }
  return {
      {"title", comparison.title}, {"variants", std::move(variants)}, {"runs", std::move(runs)}};
}

std::vector<Panel> ToPanels(const Comparison& comparison) {
  const std::vector<VariantSummary> summaries = comparison.Summaries();
  std::vector<Panel> panels;
  std::size_t index = 0;
  for (const Measurement& measurement : ComparedMeasurements()) {
    // Those without a target are in the text and JSON only.
    if (measurement.target >= 0) {
      Panel panel{absl::StrCat(comparison.title, ": ", measurement.title), {}, measurement.target};
      for (const VariantSummary& summary : summaries) {
        const Spread& spread = summary.values[index];
        panel.bars.push_back({summary.variant, spread.mean, spread.low, spread.high});
      }
      panels.push_back(std::move(panel));
    }
    ++index;
  }
  return panels;
}

}  // namespace marigoldquay::bench
