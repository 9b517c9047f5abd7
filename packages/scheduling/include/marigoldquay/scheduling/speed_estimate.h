// Smoothed estimate of a positive quantity that ignores the size of outliers.
#ifndef MARIGOLDQUAY_SCHEDULING_SPEED_ESTIMATE_H_
#define MARIGOLDQUAY_SCHEDULING_SPEED_ESTIMATE_H_

#include <algorithm>

namespace marigoldquay {

/// Exponentially weighted mean of samples that are first clamped to a factor of the current mean
/// (a simple form of Huber's estimator), so that one stalled request cannot spoil it.
class SpeedEstimate {
 public:
  explicit SpeedEstimate(double prior = 0) : value_(prior) {}

  /// Used until the first sample.
  void set_prior(double prior) {
    if (samples_ == 0) value_ = prior;
  }
  void Observe(double sample) {
    if (samples_ == 0) {
      value_ = sample;
    } else {
      const double clamped = std::clamp(sample, value_ / kClampFactor, value_ * kClampFactor);
      value_ += std::max(kMinGain, 1.0 / (samples_ + 1)) * (clamped - value_);
    }
    ++samples_;
  }
  double value() const { return value_; }
  int samples() const { return samples_; }

 private:
  static constexpr double kClampFactor = 3;
  // Follows a lasting change of speed within about ten completions.
  static constexpr double kMinGain = 0.1;

  double value_;
  int samples_ = 0;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_SCHEDULING_SPEED_ESTIMATE_H_
