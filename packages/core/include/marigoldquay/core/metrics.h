// Metrics in the Prometheus text format. Counters and gauges are atomics;
// summaries keep quantiles with Boost.Accumulators.
#ifndef MARIGOLDQUAY_CORE_METRICS_H_
#define MARIGOLDQUAY_CORE_METRICS_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"

namespace marigoldquay {

/// Label names and values of one series, in the order in which they are printed.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

/// Count that only grows.
class Counter {
 public:
  void Increment(std::int64_t by = 1) { value_.fetch_add(by, std::memory_order_relaxed); }
  std::int64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::int64_t> value_{0};
};

/// Value that goes up and down.
class Gauge {
 public:
  void Set(std::int64_t value) { value_.store(value, std::memory_order_relaxed); }
  void Add(std::int64_t by) { value_.fetch_add(by, std::memory_order_relaxed); }
  std::int64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::int64_t> value_{0};
};

/// Distribution of observed values with the quantiles 0.5, 0.95 and 0.99 (extended P-square).
class Summary {
 public:
  Summary();
  ~Summary();

  void Observe(double value);
  std::int64_t count() const;
  double sum() const;
  /// Estimates of the quantiles 0.5, 0.95 and 0.99; zero before the first observation.
  std::array<double, 3> quantiles() const;

 private:
  struct State;
  mutable std::mutex mutex_;
  std::unique_ptr<State> state_;
};

/// Owns all series of a process. Returned references live as long as the registry.
/// At most `kMaxSeries` series exist; further ones share one overflow series, so that hostile label
/// values cannot exhaust memory.
class MetricsRegistry {
 public:
  static constexpr std::size_t kMaxSeries = 20000;

  MetricsRegistry();
  ~MetricsRegistry();

  /// The series with this name and labels, created on first use. `help` is kept from the first
  /// call.
  Counter& counter(absl::string_view name, absl::string_view help, const MetricLabels& labels = {});
  Gauge& gauge(absl::string_view name, absl::string_view help, const MetricLabels& labels = {});
  Summary& summary(absl::string_view name, absl::string_view help, const MetricLabels& labels = {});

  /// All series in the Prometheus text format, version 0.0.4.
  std::string RenderText() const;

  /// Registry of this process.
  static MetricsRegistry& Global();

 private:
  template <class Metric>
  struct Family {
    std::string help;
    std::map<std::string, std::unique_ptr<Metric>> series;  // By rendered labels.
  };
  template <class Metric>
  using Families = std::map<std::string, Family<Metric>, std::less<>>;

  template <class Metric>
  Metric& FindOrCreate(Families<Metric>& families, absl::string_view name, absl::string_view help,
                       const MetricLabels& labels);

  mutable std::mutex mutex_;
  Families<Counter> counters_;
  Families<Gauge> gauges_;
  Families<Summary> summaries_;
  std::size_t series_count_ = 0;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_CORE_METRICS_H_
