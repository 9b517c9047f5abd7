// Time-bucketed counts for the burn report.
#include "marigoldquay/core/burn_recorder.h"

#include <iterator>
#include <utility>

namespace marigoldquay {
namespace {

// A window and the buckets that cover it.
struct WindowLayout {
  absl::Duration window;
  absl::Duration bucket;
};
constexpr std::array<WindowLayout, 3> kLayouts = {WindowLayout{absl::Minutes(5), absl::Seconds(30)},
                                                  WindowLayout{absl::Hours(1), absl::Minutes(5)},
                                                  WindowLayout{absl::Hours(6), absl::Minutes(30)}};

// While all series are in use, unused ones are looked for at most this often.
constexpr absl::Duration kCleanupInterval = absl::Minutes(1);

std::uint32_t BucketNumber(absl::Time now, absl::Duration bucket) {
  return static_cast<std::uint32_t>((now - absl::UnixEpoch()) / bucket);
}

}  // namespace

void BurnRecorder::Record(absl::string_view workspace, absl::string_view target, bool good) {
  const absl::Time now = clock_.Now();
  const std::scoped_lock lock(mutex_);
  Series& series = FindOrCreate(workspace, target, now);
  series.last_use = now;
  for (std::size_t i = 0; i < kWindows; ++i) {
    const std::uint32_t number = BucketNumber(now, kLayouts[i].bucket);
    Bucket& bucket = series.rings[i][number % kBuckets];
    if (bucket.number != number) bucket = {number, 0, 0};
    bucket.good += good ? 1 : 0;
    ++bucket.total;
  }
}

BurnRecorder::Series& BurnRecorder::FindOrCreate(absl::string_view workspace,
                                                 absl::string_view target, absl::Time now) {
  if (const auto targets = series_.find(workspace); targets != series_.end()) {
    const auto found = targets->second.find(target);
    if (found != targets->second.end()) return found->second;
  }
  if (series_count_ >= max_series_) DropUnused(now);
  // The few series of kOtherWorkspace, one per target, exist beyond the bound.
  if (series_count_ >= max_series_ && workspace != kOtherWorkspace) {
    return FindOrCreate(kOtherWorkspace, target, now);
  }
  ++series_count_;
  return series_[std::string(workspace)][std::string(target)];
}

void BurnRecorder::DropUnused(absl::Time now) {
  if (now < next_cleanup_) return;
  next_cleanup_ = now + kCleanupInterval;
  for (auto workspace = series_.begin(); workspace != series_.end();) {
    series_count_ -= std::erase_if(workspace->second, [&](const auto& target) {
      return now - target.second.last_use > kLayouts.back().window + kLayouts.back().bucket;
    });
    workspace = workspace->second.empty() ? series_.erase(workspace) : std::next(workspace);
  }
}

BurnCounts BurnRecorder::Sum(absl::string_view workspace, absl::string_view target,
                             const Series& series, absl::Time now) {
  BurnCounts counts{std::string(workspace), std::string(target), {}};
  for (std::size_t i = 0; i < kWindows; ++i) {
    const auto& [window, width] = kLayouts[i];
    const std::uint32_t current = BucketNumber(now, width);
    const auto covered = static_cast<std::uint32_t>(window / width);
    BurnWindowCounts sum{window, 0, 0};
    for (const Bucket& bucket : series.rings[i]) {
      if (bucket.total == 0 || current - bucket.number > covered) continue;
      sum.good += bucket.good;
      sum.total += bucket.total;
    }
    counts.windows.push_back(sum);
  }
  return counts;
}

std::vector<BurnCounts> BurnRecorder::Counts(absl::string_view workspace) const {
  const absl::Time now = clock_.Now();
  const std::scoped_lock lock(mutex_);
  std::vector<BurnCounts> all;
  for (const auto& [name, targets] : series_) {
    if (!workspace.empty() && name != workspace) continue;
    for (const auto& [target, series] : targets) {
      BurnCounts counts = Sum(name, target, series, now);
      if (counts.windows.back().total > 0) all.push_back(std::move(counts));
    }
  }
  return all;
}

}  // namespace marigoldquay
