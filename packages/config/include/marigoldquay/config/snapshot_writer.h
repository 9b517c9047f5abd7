// Appends snapshots of the configuration to its stream, so that a VM can start
// after older records have left the log.
#ifndef MARIGOLDQUAY_CONFIG_SNAPSHOT_WRITER_H_
#define MARIGOLDQUAY_CONFIG_SNAPSHOT_WRITER_H_

#include <functional>
#include <thread>

#include "absl/synchronization/notification.h"
#include "absl/time/time.h"
#include "marigoldquay/config/config_store.h"
#include "marigoldquay/core/clock.h"
#include "marigoldquay/logstore/log_client.h"

namespace marigoldquay {

/// Key whose first VM by rendezvous hashing writes the snapshots.
inline constexpr absl::string_view kSnapshotRole = "config-snapshot";

struct SnapshotOptions {
  /// A snapshot is due after this many changes.
  std::int64_t max_changes = 256;
  /// How long the log keeps records. A snapshot is due after a quarter of it, so that one is there
  /// before half of it has passed even when the writer is replaced in between.
  absl::Duration retention = absl::Hours(24);
  /// How often the thread looks, and how long one append may take.
  absl::Duration interval = absl::Seconds(10);
  absl::Duration append_timeout = absl::Seconds(2);
};

class SnapshotWriter {
 public:
  /// `ranks_first` says whether this VM writes the snapshots now. All references must outlive this.
  SnapshotWriter(SnapshotOptions options, ConfigStore& store, LogClient& log,
                 std::function<bool()> ranks_first);
  ~SnapshotWriter();
  SnapshotWriter(const SnapshotWriter&) = delete;
  SnapshotWriter& operator=(const SnapshotWriter&) = delete;

  /// Writes a snapshot if one is due; true when all its parts were appended. A failed append is
  /// repeated with the next call; readers treat repeated parts as one.
  bool RunOnce();
  /// Calls RunOnce every interval in a thread until Stop or destruction.
  void Start();
  void Stop();

 private:
  bool Due() const;

  const SnapshotOptions options_;
  ConfigStore& store_;
  LogClient& log_;
  const std::function<bool()> ranks_first_;
  absl::Notification stopping_;
  std::thread thread_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_CONFIG_SNAPSHOT_WRITER_H_
