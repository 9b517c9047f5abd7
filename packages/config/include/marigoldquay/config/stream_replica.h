// Keeps a state in step with one log stream, whether the records come from the
// log or from peers, and serves it to peers. Handles streams whose start is no
// longer retained. Not thread-safe; its owner holds a lock.
#ifndef MARIGOLDQUAY_CONFIG_STREAM_REPLICA_H_
#define MARIGOLDQUAY_CONFIG_STREAM_REPLICA_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"
#include "marigoldquay/core/types.h"
#include "marigoldquay/logstore/log_client.h"
#include "marigoldquay/protocol/codec.h"

namespace marigoldquay {

struct SnapshotPart;

/// Bytes of snapshot text per part. A page of kPageRecords records of at most twice this size stays
/// below the body limit of the HTTP client, 8 MiB.
inline constexpr std::size_t kSnapshotPartSize = std::size_t{96} << 10;
inline constexpr std::uint32_t kMaxSnapshotParts = 256;
/// Records per read of the config and members streams.
inline constexpr int kPageRecords = 32;

/// Cuts a snapshot text into parts; empty when it needs more than kMaxSnapshotParts.
std::vector<SnapshotPart> SplitSnapshot(absl::string_view text, Offset next);

/// Collects parts until a snapshot is complete. Keeps at most two incomplete snapshots.
class SnapshotAssembler {
 public:
  /// Adds a part and returns the text once all parts are there and the digest is right.
  std::optional<std::string> Add(const SnapshotPart& part);
  void Clear() { incomplete_.clear(); }

 private:
  struct Incomplete {
    std::vector<std::optional<std::string>> parts;
    std::size_t missing = 0;
  };
  std::map<std::pair<Offset, std::string>, Incomplete> incomplete_;
};

/// A state that is a deterministic function of a stream.
class ReplayedState {
 public:
  virtual ~ReplayedState() = default;
  /// Offset of the next record to apply.
  virtual Offset next_offset() const = 0;
  /// Applies the record at next_offset().
  virtual void Apply(Offset offset, absl::string_view data) = 0;
  virtual std::string SnapshotText() const = 0;
  /// Replaces the state; false when the text is malformed.
  virtual bool LoadSnapshot(Offset next, const std::string& text) = 0;
  /// The snapshot part that a record carries, if any.
  virtual std::optional<SnapshotPart> PartIn(absl::string_view data) const = 0;
  /// Called when the stream retains neither its start nor a snapshot; true when the state has
  /// started empty at `first`.
  virtual bool StartEmptyAt(Offset first) = 0;
};

class StreamReplica {
 public:
  /// Records kept to serve peers.
  static constexpr std::size_t kMaxTailRecords = 4096;
  static constexpr std::size_t kMaxTailBytes = std::size_t{4} << 20;
  /// Bounds of one reply to a peer.
  static constexpr std::size_t kMaxReplyRecords = 512;
  static constexpr std::size_t kMaxReplyBytes = std::size_t{1} << 20;

  /// `state` must outlive this object.
  StreamReplica(std::string stream, ReplayedState& state)
      : stream_(std::move(stream)), state_(state) {}

  /// Offset at which the next read of the log starts: the state's next offset, or the position of
  /// the search for a snapshot.
  Offset wanted_offset() const;
  /// Takes a page of the log; true when everything below page.next_offset is applied now.
  bool TakePage(const LogPage& page);
  /// Whether a snapshot is being searched for in the retained part of the stream.
  bool searching() const { return search_offset_.has_value(); }

  /// Answers a peer. The stream "<stream>/snapshot" holds the parts of the snapshot with the
  /// part's number as offset.
  protocol::FetchRecordsReplyT Serve(const protocol::FetchRecordsRequestT& request);
  /// Whether Serve knows the stream.
  bool Serves(absl::string_view stream) const;

  /// What to ask a peer next.
  protocol::FetchRecordsRequestT NextRequest() const;
  /// Takes the answer to NextRequest(); true when it brought something new, so that it pays to
  /// ask again.
  bool TakeReply(const protocol::FetchRecordsRequestT& request,
                 const protocol::FetchRecordsReplyT& reply);

 private:
  void ApplyRecord(Offset offset, const std::string& data);
  void Search(const LogPage& page);
  bool Load(Offset next, const std::string& text);
  bool TakeSnapshotPart(const std::string& data);
  const std::vector<std::string>& SnapshotRecords();
  std::string SnapshotStream() const { return stream_ + "/snapshot"; }

  const std::string stream_;
  ReplayedState& state_;
  // Contiguous; ends at state_.next_offset().
  std::deque<LogRecord> tail_;
  std::size_t tail_bytes_ = 0;
  // Set while a snapshot is being searched for in the log.
  std::optional<Offset> search_offset_;
  SnapshotAssembler from_log_;
  SnapshotAssembler from_peer_;
  // Part of the peer's snapshot to ask for next; 0 while records are asked for.
  std::uint32_t peer_part_ = 0;
  // Parts served to peers and the state's next offset they are made from. They stay while the tail
  // continues from there, so that a peer gets all parts of one snapshot.
  std::vector<std::string> served_parts_;
  Offset served_next_ = 0;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_CONFIG_STREAM_REPLICA_H_
