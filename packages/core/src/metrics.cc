// Metrics registry and its text rendering.
#include "marigoldquay/core/metrics.h"

// clang-format off: Boost.Accumulators 1.81 uses std::ostringstream without including it.
#include <sstream>
// clang-format on

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"

namespace marigoldquay {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};

std::string RenderLabels(const MetricLabels& labels) {
  std::string text;
  for (const auto& [name, value] : labels) {
    absl::StrAppend(&text, text.empty() ? "" : ",", name, "=\"",
                    absl::StrReplaceAll(value, {{"\\", "\\\\"}, {"\"", "\\\""}, {"\n", "\\n"}}),
                    "\"");
  }
  return text;
}

void AppendSample(std::string& out, absl::string_view name, absl::string_view labels,
                  absl::string_view value) {
  absl::StrAppend(&out, name);
  if (!labels.empty()) absl::StrAppend(&out, "{", labels, "}");
  absl::StrAppend(&out, " ", value, "\n");
}

void AppendHeader(std::string& out, absl::string_view name, absl::string_view help,
                  absl::string_view type) {
  absl::StrAppend(&out, "# HELP ", name, " ", help, "\n# TYPE ", name, " ", type, "\n");
}

}  // namespace

struct Summary::State {
  State() : set(acc::tag::extended_p_square_quantile::probabilities = kQuantiles) {}
  acc::accumulator_set<
      double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square_quantile>>
      set;
};

Summary::Summary() : state_(std::make_unique<State>()) {}
Summary::~Summary() = default;

void Summary::Observe(double value) {
  const std::scoped_lock lock(mutex_);
  state_->set(value);
}

std::int64_t Summary::count() const {
  const std::scoped_lock lock(mutex_);
  return static_cast<std::int64_t>(acc::count(state_->set));
}

double Summary::sum() const {
  const std::scoped_lock lock(mutex_);
  return acc::sum(state_->set);
}

std::array<double, 3> Summary::quantiles() const {
  const std::scoped_lock lock(mutex_);
  std::array<double, 3> values{};
  if (acc::count(state_->set) == 0) return values;
  for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
    values[i] = acc::quantile(state_->set, acc::quantile_probability = kQuantiles[i]);
  }
  return values;
}

MetricsRegistry::MetricsRegistry() = default;
MetricsRegistry::~MetricsRegistry() = default;

template <class Metric>
Metric& MetricsRegistry::FindOrCreate(Families<Metric>& families, absl::string_view name,
                                      absl::string_view help, const MetricLabels& labels) {
  std::string rendered = RenderLabels(labels);
  const std::scoped_lock lock(mutex_);
  auto family = families.find(name);
  if (family == families.end()) {
    family = families.emplace(std::string(name), Family<Metric>{std::string(help), {}}).first;
  }
  auto series = family->second.series.find(rendered);
  if (series == family->second.series.end()) {
    if (series_count_ >= kMaxSeries) rendered = "overflow=\"true\"";
    auto [created, inserted] = family->second.series.try_emplace(rendered);
    if (inserted) {
      created->second = std::make_unique<Metric>();
      ++series_count_;
    }
    series = created;
  }
  return *series->second;
}

Counter& MetricsRegistry::counter(absl::string_view name, absl::string_view help,
                                  const MetricLabels& labels) {
  return FindOrCreate(counters_, name, help, labels);
}

Gauge& MetricsRegistry::gauge(absl::string_view name, absl::string_view help,
                              const MetricLabels& labels) {
  return FindOrCreate(gauges_, name, help, labels);
}

Summary& MetricsRegistry::summary(absl::string_view name, absl::string_view help,
                                  const MetricLabels& labels) {
  return FindOrCreate(summaries_, name, help, labels);
}

std::string MetricsRegistry::RenderText() const {
  const std::scoped_lock lock(mutex_);
  std::string out;
  for (const auto& [name, family] : counters_) {
    AppendHeader(out, name, family.help, "counter");
    for (const auto& [labels, metric] : family.series) {
      AppendSample(out, name, labels, absl::StrCat(metric->value()));
    }
  }
  for (const auto& [name, family] : gauges_) {
    AppendHeader(out, name, family.help, "gauge");
    for (const auto& [labels, metric] : family.series) {
      AppendSample(out, name, labels, absl::StrCat(metric->value()));
    }
  }
  for (const auto& [name, family] : summaries_) {
    AppendHeader(out, name, family.help, "summary");
    for (const auto& [labels, metric] : family.series) {
      const auto values = metric->quantiles();
      for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
        AppendSample(
            out, name,
            absl::StrCat(labels, labels.empty() ? "" : ",", "quantile=\"", kQuantiles[i], "\""),
            absl::StrCat(values[i]));
      }
      AppendSample(out, absl::StrCat(name, "_sum"), labels, absl::StrCat(metric->sum()));
      AppendSample(out, absl::StrCat(name, "_count"), labels, absl::StrCat(metric->count()));
    }
  }
  return out;
}

MetricsRegistry& MetricsRegistry::Global() {
  static MetricsRegistry registry;
  return registry;
}

}  // namespace marigoldquay
