// Writing of snapshots.
#include "marigoldquay/config/snapshot_writer.h"

#include <utility>

#include "marigoldquay/core/logger.h"

namespace marigoldquay {
namespace {

const Logger& Log() {
  static const Logger logger("config");
  return logger;
}

}  // namespace

SnapshotWriter::SnapshotWriter(SnapshotOptions options, ConfigStore& store, LogClient& log,
                               std::function<bool()> ranks_first)
    : options_(options), store_(store), log_(log), ranks_first_(std::move(ranks_first)) {}

SnapshotWriter::~SnapshotWriter() { Stop(); }

bool SnapshotWriter::Due() const {
  // A snapshot of a state that lags behind the log would only be skipped by its readers.
  if (store_.applied_offset() == 0 || !store_.log_reachable() || !store_.tail_was_read()) {
    return false;
  }
  return store_.changes_since_snapshot() >= options_.max_changes ||
         store_.time_since_snapshot() >= options_.retention / 4;
}

bool SnapshotWriter::RunOnce() {
  if (!Due() || !ranks_first_()) return false;
  const auto parts = store_.MakeSnapshot();
  if (parts.empty()) {
    Log().Error("the configuration is too large for a snapshot");
    return false;
  }
  for (const auto& part : parts) {
    const bool appended = HandleError(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(log_.Append(kConfigStream, FormatRecord(part), options_.append_timeout));
          return true;
        },
        [](const Error& error) {
          Log().Warn("snapshot not written: ", error.ToString());
          return false;
        });
    if (!appended) return false;
  }
  Log().Info("wrote snapshot of offset ", parts.front().next, " in ", parts.size(), " parts");
  return true;
}

void SnapshotWriter::Start() {
  thread_ = std::thread([this] {
    while (!stopping_.WaitForNotificationWithTimeout(options_.interval)) RunOnce();
  });
}

void SnapshotWriter::Stop() {
  if (!thread_.joinable()) return;
  stopping_.Notify();
  thread_.join();
}

}  // namespace marigoldquay
