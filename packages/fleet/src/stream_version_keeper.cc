// Software versions of streams in the store: read when this VM becomes the coordinator, written as
// they change.
#include "marigoldquay/fleet/stream_version_keeper.h"

#include <algorithm>
#include <optional>

#include "marigoldquay/core/logger.h"
#include "marigoldquay/core/metrics.h"

namespace marigoldquay {
namespace {

// Streams that begin within this time before all VMs stop are unknown afterwards.
constexpr absl::Duration kSaveInterval = absl::Milliseconds(200);
constexpr absl::Duration kMaxRetryDelay = absl::Seconds(2);
// About 70 kB, well below what one record of the store may hold.
constexpr std::size_t kMaxStreamsPerRecord = 4000;
// Calls that read origins, each of up to 1 MB.
constexpr int kMaxOriginReads = 64;

const Logger& Log() {
  static const Logger logger("sched");
  return logger;
}

void LogSkipped(const std::vector<std::string>& skipped) {
  for (const std::string& reason : skipped) {
    Log().Event("stream_version_skipped", LogFields().Add("reason", reason), LogLevel::kWarn);
  }
}

}  // namespace

void StreamVersionKeeper::LogFailure(absl::string_view call, const Error& error) const {
  MetricsRegistry::Global()
      .counter("marigoldquay_fleet_stream_version_failures_total",
               "Calls to the store about software versions of streams that failed.")
      .Increment();
  Log().Event("stream_versions_not_kept",
              LogFields().Add("call", call).Add("detail", error.ToString()), LogLevel::kWarn);
}

bool StreamVersionKeeper::LoadOrigins(Yield yield) {
  std::optional<StorePosition> from;
  for (int i = 0; i < kMaxOriginReads; ++i) {
    const auto part = store_.ReadStreamOrigins(from, yield);
    if (!part) {
      LogFailure("read origins", part.error());
      return false;
    }
    LogSkipped(part->skipped);
    const absl::Time now = clock_.Now();
    for (const KeptStreamOrigins& kept : part->listed) {
      coordinator_.stream_versions().LoadOrigins(
          {kept.service, kept.writer, now - kept.age, kept.streams}, options_.writer, now);
    }
    if (part->is_last) return true;
    from = part->next;
  }
  Log().Event("stream_version_skipped",
              LogFields().Add("reason", "the store holds more origins than are read"),
              LogLevel::kWarn);
  return true;
}

bool StreamVersionKeeper::Load(Yield yield) {
  const auto histories = store_.ListVersionHistories(yield);
  if (!histories) {
    LogFailure("list histories", histories.error());
    return false;
  }
  LogSkipped(histories->skipped);
  const StoreEra era = store_.era();
  if (!LoadOrigins(yield)) return false;
  // Records of two eras do not belong together.
  if (store_.era() != era) return false;
  era_ = era;
  StreamVersions& versions = coordinator_.stream_versions();
  const absl::Time now = clock_.Now();
  for (const KeptVersionHistory& kept : histories->listed) {
    versions.LoadHistory({kept.service, kept.versions, now - kept.age}, kept.era == era, now);
  }
  // A record that cannot be read may be the one that says otherwise.
  versions.FinishLoading(options_.bootstrap() && histories->skipped.empty(), now);
  LogFields fields;
  fields.Add("histories", static_cast<std::int64_t>(histories->listed.size()))
      .Add("streams", static_cast<std::int64_t>(versions.stream_count()))
      .Add("era", era);
  Log().Event("stream_versions_read", fields);
  return true;
}

bool StreamVersionKeeper::SaveHistories(Yield yield) {
  for (const VersionHistory& history : coordinator_.stream_versions().UnsavedHistories()) {
    const auto kept = store_.KeepVersionHistory(
        {history.service, history.versions, clock_.Now() - history.since, 0}, yield);
    if (!kept) {
      LogFailure("keep history", kept.error());
      return false;
    }
    coordinator_.stream_versions().OnHistorySaved(history);
    LogFields fields;
    fields.Add("service", history.service)
        .Add("versions", static_cast<std::int64_t>(history.versions.size()));
    Log().Event("stream_version_history_kept", fields);
  }
  return true;
}

bool StreamVersionKeeper::SaveOrigins(Yield yield) {
  StreamVersions& versions = coordinator_.stream_versions();
  for (const std::string& service : versions.services()) {
    while (true) {
      const absl::Time now = clock_.Now();
      const StreamOrigins unsaved = versions.UnsavedOrigins(service, kMaxStreamsPerRecord, now);
      if (unsaved.streams.empty()) break;
      const auto kept = store_.KeepStreamOrigins(
          {service, options_.writer, absl::ZeroDuration(), unsaved.streams}, yield);
      if (!kept) {
        LogFailure("keep origins", kept.error());
        return false;
      }
      versions.OnOriginsSaved(service, unsaved.streams.size());
    }
  }
  return true;
}

bool StreamVersionKeeper::Synchronize(Yield yield) {
  StreamVersions& versions = coordinator_.stream_versions();
  if (!versions.loaded() && !Load(yield)) return false;
  if (store_.era() != era_) {
    era_ = store_.era();
    versions.OnStoreRestored();
  }
  // The origins first: from the history on, streams of another version may begin.
  const bool saved = SaveOrigins(yield) && SaveHistories(yield);
  coordinator_.OnVersionsAdmitted();
  return saved;
}

void StreamVersionKeeper::Run(Yield yield) {
  while (true) {
    const absl::Time started = clock_.Now();
    StreamVersions& versions = coordinator_.stream_versions();
    versions.Expire(started);
    MetricsRegistry::Global()
        .gauge("marigoldquay_fleet_stream_versions", "Streams whose software version is known.")
        .Set(static_cast<std::int64_t>(versions.stream_count()));
    bool succeeded = true;
    if (options_.places_streams()) {
      coordinator_.NoteListRead();
      succeeded = Synchronize(yield);
    } else {
      versions.Unload();
    }
    if (succeeded) retry_delay_.Reset();
    SleepFor(io_,
             succeeded ? kSaveInterval : retry_delay_.Next(kMaxRetryDelay, clock_.Now() - started),
             yield);
  }
}

}  // namespace marigoldquay
