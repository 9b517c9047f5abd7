// Knows which software version of a service began a stream, so that a caller who takes the stream
// up again is sent to that version only.
//
// A request that is not in the table is resolved only while all streams that callers can still take
// up must have begun at the same version. Otherwise its version is unknown: a wrong one would join
// two texts that do not fit together. That no other version has begun streams follows only from a
// list of engines that was asked for after the take-up arrived, and from lists without a gap before
// it: a VM that stood still or was cut off holds a list from before other versions joined.
#ifndef MARIGOLDQUAY_DISPATCH_STREAM_VERSIONS_H_
#define MARIGOLDQUAY_DISPATCH_STREAM_VERSIONS_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "marigoldquay/core/types.h"
#include "marigoldquay/routing/replica_table.h"

namespace marigoldquay {

/// Reason with which a take-up of a stream is refused.
inline constexpr char kUnknownOriginReason[] =
    "the software version that began the stream is not known";

using SoftwareVersion = std::string;
/// Hash of the id of the request that began a stream.
using StreamKey = std::uint64_t;

StreamKey StreamKeyOf(absl::string_view request_id);

/// The versions that could begin streams of a service.
struct VersionHistory {
  std::string service;
  std::set<SoftwareVersion> versions;
  /// Since when no other version could; InfinitePast when none ever could.
  absl::Time since;

  bool operator==(const VersionHistory&) const = default;
};

/// Version that began a stream; unset when two may have.
struct StreamOrigin {
  StreamKey stream = 0;
  std::optional<SoftwareVersion> version;

  bool operator==(const StreamOrigin&) const = default;
};

/// Origins of streams of one service that one coordinator has recorded.
struct StreamOrigins {
  std::string service;
  std::string writer;
  /// The last of them was recorded then or earlier.
  absl::Time recorded_at;
  std::vector<StreamOrigin> streams;

  bool operator==(const StreamOrigins&) const = default;
};

/// Result of looking for the version that began a stream.
struct VersionResolution {
  enum class Verdict {
    kKnown,
    kUnknown,
    /// The store's records, or a list of engines recent enough, have not been read yet.
    kNotYet,
  };
  Verdict verdict = Verdict::kUnknown;
  /// Set when it is known.
  SoftwareVersion version;

  bool operator==(const VersionResolution&) const = default;
};

/// Not thread-safe. Deterministic: all inputs are arguments.
class StreamVersions {
 public:
  /// Records kept for each service; the oldest are dropped first, and are unknown from then on.
  static constexpr std::size_t kMaxRecords = 50'000;
  /// Longest time for which new streams avoid a version that the store's history lacks.
  static constexpr absl::Duration kMaxGateTime = absl::Seconds(1);
  /// Longest time between two reads of the list in which no version can have come and gone unseen:
  /// the least time for which the store keeps the entry of a server.
  static constexpr absl::Duration kMaxListGap = absl::Seconds(1);

  /// Sets the time in which callers may come back to a stream of the service. It never shrinks, as
  /// streams that began before may still be taken up.
  void SetRecallTime(const std::string& service, absl::Duration recall) {
    const auto [entry, is_new] = services_.try_emplace(service);
    entry->second.recall = is_new ? recall : std::max(entry->second.recall, recall);
  }
  /// Sets the engines that may begin streams. An empty list changes nothing, since the entries of
  /// all servers may have lapsed. An engine that has another version since its last start makes the
  /// streams that it had unknown: either version may have begun them.
  void SetListed(const std::string& service, std::span<const Replica> engines, absl::Time now);
  /// The engines that this VM lists are those of a read of the store asked for at `asked_at`. After
  /// a gap, the store's history has to be read again to tell what was missed.
  void OnListRead(absl::Time asked_at);
  /// Records the version of an engine reserved for a request that no other engine has run; replaces
  /// what is known of the request. The version is known once the stream has begun.
  void Record(const std::string& service, const RequestId& request, const SoftwareVersion& version,
              const BackendServerId& engine, absl::Time now);

  /// The reserved engine has sent the first event. Until then the VM of the request may have lost
  /// the grant and had the request placed elsewhere.
  void OnBegun(const std::string& service, const RequestId& request);
  /// The reservation was not used, or it is not known whether: the version of the request becomes
  /// unknown.
  void Withdraw(const std::string& service, const RequestId& request);
  /// Version at which a request that was placed before has to be placed again, as the store may
  /// hold its first record only; unset when there is none, or when no engine of it is listed.
  std::optional<SoftwareVersion> VersionToKeep(const std::string& service,
                                               const RequestId& request) const;

  /// The version that began the stream that a caller took up at `taken_up_at`. `request` brought
  /// its first event; empty when the caller does not name it.
  VersionResolution Resolve(const std::string& service, const RequestId& request,
                            absl::Time taken_up_at, absl::Time now) const;
  /// Whether the version may begin streams; see kMaxGateTime.
  bool MayBegin(const std::string& service, const SoftwareVersion& version, absl::Time now) const;

  /// Adopts what the store holds; ends with FinishLoading. `is_current` is whether the record is of
  /// the store's present era: an older one may lack the last changes.
  void LoadHistory(const VersionHistory& history, bool is_current, absl::Time now);
  void LoadOrigins(const StreamOrigins& origins, absl::string_view own_writer, absl::Time now);
  /// `bootstrap` is whether the system has started for the first time, so that a service without a
  /// record has had no other version.
  void FinishLoading(bool bootstrap, absl::Time now);
  bool loaded() const { return loaded_; }
  /// Called when this VM does not coordinate any more.
  void Unload();
  /// The store has come back from a copy: everything has to be written again.
  void OnStoreRestored();

  /// Histories that the store does not hold.
  std::vector<VersionHistory> UnsavedHistories() const;
  void OnHistorySaved(const VersionHistory& history);
  /// The first `most` origins that the store should hold and does not. None while a service has
  /// had one version for the recall time, which resolves all its streams.
  StreamOrigins UnsavedOrigins(const std::string& service, std::size_t most, absl::Time now) const;
  /// The first `count` of them are saved.
  void OnOriginsSaved(const std::string& service, std::size_t count);

  std::vector<std::string> services() const;
  std::size_t stream_count() const;
  /// Drops what no caller can come back to.
  void Expire(absl::Time now);

 private:
  struct Entry {
    // Unset when two versions may have begun the stream.
    std::optional<SoftwareVersion> version;
    BackendServerId engine;
    absl::Time recorded_at;
    // The coordinator that recorded it; empty for this VM.
    std::string writer;
    // Whether the stream has begun at this version. Taken to be so for records of other VMs.
    bool begun = false;
  };
  struct Change {
    StreamKey stream = 0;
    absl::Time at;
  };
  // Last start of an engine that was listed within the recall time.
  struct EngineStart {
    std::int64_t started_unix_ms = 0;
    SoftwareVersion version;
    absl::Time listed_at;
  };
  struct Service {
    absl::Duration recall = absl::Minutes(1);
    std::set<SoftwareVersion> versions;
    // Since when no other version could begin a stream.
    absl::Time since = absl::InfiniteFuture();
    // When this VM last saw `versions` change.
    absl::Time last_change = absl::InfinitePast();
    std::map<SoftwareVersion, absl::Time> first_listed;
    std::map<BackendServerId, EngineStart> engines;
    // History that the store holds; unset when it is not known to hold one of its present era.
    std::optional<VersionHistory> saved;
    // Whether a record of the service has been read.
    bool has_record = false;
    absl::flat_hash_map<StreamKey, Entry> streams;
    // All records, for expiry; a stream may occur several times.
    std::deque<Change> changes;
    // Records that the store does not hold, oldest first; at most kMaxRecords.
    std::deque<StreamKey> unsaved;
  };

  // Whether every stream that can be taken up began at the only version listed when the list was
  // last read.
  bool HasSoleVersion(const Service& service, absl::Time now) const;
  static void Put(Service& service, StreamKey stream, Entry entry);
  static void DropOldest(Service& service);
  static void MarkUnknown(Service& service, const BackendServerId& engine);

  std::map<std::string, Service> services_;
  // When the newest list was asked for, and the first of those without a gap up to it.
  absl::Time list_read_at_ = absl::InfinitePast();
  absl::Time read_without_gap_since_ = absl::InfinitePast();
  // Whether there was a gap since the start of this VM.
  bool had_gap_ = false;
  // Whether the store's records have been read since the last gap.
  bool loaded_ = false;
  // Whether a service without a record has had no other version than the first one listed.
  bool bootstrap_ = false;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_DISPATCH_STREAM_VERSIONS_H_
