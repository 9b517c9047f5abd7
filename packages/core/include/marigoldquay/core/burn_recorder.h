// Counts of requests that met or missed a latency target, per workspace and
// target, for the burn report. Counts are in time buckets and start empty in
// each process.
#ifndef MARIGOLDQUAY_CORE_BURN_RECORDER_H_
#define MARIGOLDQUAY_CORE_BURN_RECORDER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "marigoldquay/core/clock.h"
#include "marigoldquay/core/types.h"

namespace marigoldquay {

/// Requests of one window.
struct BurnWindowCounts {
  absl::Duration window;
  std::uint64_t good = 0;
  std::uint64_t total = 0;

  bool operator==(const BurnWindowCounts&) const = default;
};

/// Counts of one workspace and target over 5 min, 1 h and 6 h.
struct BurnCounts {
  WorkspaceId workspace;
  std::string target;
  std::vector<BurnWindowCounts> windows;

  bool operator==(const BurnCounts&) const = default;
};

/// Thread-safe. At most `max_series` pairs of workspace and target are kept; requests of further
/// pairs are counted for workspace "(other)".
class BurnRecorder {
 public:
  /// Below 10 MB in all.
  static constexpr std::size_t kMaxSeries = 16384;
  static constexpr absl::string_view kOtherWorkspace = "(other)";

  explicit BurnRecorder(const Clock& clock, std::size_t max_series = kMaxSeries)
      : clock_(clock), max_series_(max_series) {}

  /// Counts one request that met (`good`) or missed the target, e.g. "first_token".
  void Record(absl::string_view workspace, absl::string_view target, bool good);

  /// Counts of a workspace, or of all when it is empty; pairs without requests in the longest
  /// window are left out. A window ends now and is up to one bucket (a tenth) longer than it says.
  std::vector<BurnCounts> Counts(absl::string_view workspace) const;

 private:
  static constexpr std::size_t kWindows = 3;
  static constexpr std::size_t kBuckets = 13;
  struct Bucket {
    // Number of the bucket since the clock's epoch; a bucket with an old number is empty.
    std::uint32_t number = 0;
    std::uint32_t good = 0;
    std::uint32_t total = 0;
  };
  struct Series {
    std::array<std::array<Bucket, kBuckets>, kWindows> rings;
    absl::Time last_use;
  };
  using Targets = std::map<std::string, Series, std::less<>>;

  static BurnCounts Sum(absl::string_view workspace, absl::string_view target, const Series& series,
                        absl::Time now);
  Series& FindOrCreate(absl::string_view workspace, absl::string_view target, absl::Time now);
  void DropUnused(absl::Time now);

  const Clock& clock_;
  const std::size_t max_series_;
  mutable std::mutex mutex_;
  // Guarded by mutex_.
  std::map<WorkspaceId, Targets, std::less<>> series_;
  std::size_t series_count_ = 0;
  absl::Time next_cleanup_ = absl::InfinitePast();
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_CORE_BURN_RECORDER_H_
