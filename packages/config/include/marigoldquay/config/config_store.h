// The configuration of this VM: fed by the log and by peers, read through RCU,
// with evidence of how current it is.
#ifndef MARIGOLDQUAY_CONFIG_CONFIG_STORE_H_
#define MARIGOLDQUAY_CONFIG_CONFIG_STORE_H_

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "marigoldquay/config/config_view.h"
#include "marigoldquay/config/replay.h"
#include "marigoldquay/config/stream_replica.h"
#include "marigoldquay/core/clock.h"
#include "marigoldquay/logstore/stream_tailer.h"

namespace marigoldquay {

/// Name of the stream.
inline constexpr absl::string_view kConfigStream = "config";
/// How long evidence of currency is valid. A revoked key is rejected within this time.
inline constexpr absl::Duration kEvidenceValidity = absl::Seconds(5);

/// What the membership knows about an outage of the log.
class LogOutageAgreement {
 public:
  virtual ~LogOutageAgreement() = default;
  /// Whether this VM reaches more than half of the members, counting itself, and all reachable
  /// members report the log as unreachable. No key revocation can have been accepted then.
  virtual bool AllReachableSayLogDown() const = 0;
};

/// A stream that peers exchange; implemented by the stores of config and members.
class PeerStream {
 public:
  virtual ~PeerStream() = default;
  virtual Offset applied_offset() const = 0;
  virtual bool Serves(absl::string_view stream) const = 0;
  virtual protocol::FetchRecordsReplyT Serve(const protocol::FetchRecordsRequestT& request) = 0;
  virtual protocol::FetchRecordsRequestT NextRequest() const = 0;
  /// True when it pays to ask again.
  virtual bool TakeReply(const protocol::FetchRecordsRequestT& request,
                         const protocol::FetchRecordsReplyT& reply) = 0;
};

/// Options of a tailer for the streams that this release keeps snapshots of.
inline TailerOptions ReplicaTailerOptions(absl::string_view stream) {
  TailerOptions options;
  options.stream = std::string(stream);
  options.max_records = kPageRecords;
  return options;
}

class ConfigStore final : public ConfigView, public StreamConsumer, public PeerStream {
 public:
  using Listener = std::function<void(Offset revision)>;

  explicit ConfigStore(const Clock& clock);

  /// Set up before records arrive. Listeners run after each change of the revision, in the thread
  /// that brought the record, without locks of the store.
  void SetOutageAgreement(const LogOutageAgreement* agreement) { agreement_ = agreement; }
  void AddListener(Listener listener) { listeners_.push_back(std::move(listener)); }

  // ConfigView
  RcuCell<Configuration>::ReadGuard Read() const override { return cell_.Read(); }
  Offset revision() const override { return revision_.load(std::memory_order_acquire); }
  bool current() const override;

  // StreamConsumer
  Offset next_offset() const override;
  void OnPage(const LogPage& page, absl::Time read_sent_at) override;
  void OnReadError(const Error& error) override;

  // PeerStream
  Offset applied_offset() const override { return applied_.load(std::memory_order_acquire); }
  bool Serves(absl::string_view stream) const override;
  protocol::FetchRecordsReplyT Serve(const protocol::FetchRecordsRequestT& request) override;
  protocol::FetchRecordsRequestT NextRequest() const override;
  bool TakeReply(const protocol::FetchRecordsRequestT& request,
                 const protocol::FetchRecordsReplyT& reply) override;

  /// A peer answered a call sent at `call_sent_at` that its state up to `peer_next` was current
  /// `age` ago. Counts once this VM has applied everything below `peer_next`.
  void OnPeerEvidence(Offset peer_next, absl::Duration age, absl::Time call_sent_at);
  /// Age of the newest evidence; InfiniteDuration without any.
  absl::Duration evidence_age() const;
  /// Whether the last read of the log succeeded. True before the first read, so that a starting
  /// VM does not vouch for an outage that it has not seen.
  bool log_reachable() const;
  /// Whether the log's tail has been read since the start.
  bool tail_was_read() const;

  /// What the record with this nonce did; waits for it until `deadline` (on the store's clock).
  /// The last kMaxOutcomes records are remembered.
  std::optional<Applied> WaitForNonce(const std::string& nonce, absl::Time deadline) const;
  std::vector<PendingPlan> pending_plans() const;
  std::string StateDigest() const;

  /// Parts of a snapshot of the state, to be appended to the stream; empty when it is too large.
  std::vector<SnapshotPart> MakeSnapshot() const;
  /// Changes since the newest snapshot in the stream, and the time since it was seen.
  std::int64_t changes_since_snapshot() const;
  absl::Duration time_since_snapshot() const;

 private:
  static constexpr std::size_t kMaxOutcomes = 1024;

  // Replay that also reports what each record did to the store.
  class ObservedReplay final : public ReplayedState {
   public:
    explicit ObservedReplay(ConfigStore& store) : store_(store) {}
    Offset next_offset() const override { return replay_.next_offset(); }
    void Apply(Offset offset, absl::string_view data) override;
    std::string SnapshotText() const override { return replay_.SnapshotText(); }
    bool LoadSnapshot(Offset next, const std::string& text) override;
    std::optional<SnapshotPart> PartIn(absl::string_view data) const override {
      return replay_.PartIn(data);
    }
    bool StartEmptyAt(Offset /*first*/) override { return false; }
    const ConfigReplay& replay() const { return replay_; }

   private:
    ConfigStore& store_;
    ConfigReplay replay_;
  };

  void Observe(const Applied& applied);
  void AddEvidence(absl::Time at);
  /// Publishes a changed configuration and calls the listeners.
  void Publish();

  const Clock& clock_;
  const LogOutageAgreement* agreement_ = nullptr;
  std::vector<Listener> listeners_;

  mutable absl::Mutex mutex_;
  ObservedReplay state_ ABSL_GUARDED_BY(mutex_);
  StreamReplica replica_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, Applied> outcomes_ ABSL_GUARDED_BY(mutex_);
  std::deque<std::string> outcome_order_ ABSL_GUARDED_BY(mutex_);
  mutable absl::CondVar applied_changed_;
  std::int64_t changes_since_snapshot_ ABSL_GUARDED_BY(mutex_) = 0;
  absl::Time snapshot_seen_at_ ABSL_GUARDED_BY(mutex_);
  // Newest evidence of a peer that is ahead of this VM: its offset and time.
  Offset awaited_next_ ABSL_GUARDED_BY(mutex_) = 0;
  absl::Time awaited_evidence_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  bool tail_read_ ABSL_GUARDED_BY(mutex_) = false;

  // Serializes Publish, so that revisions are published in order.
  absl::Mutex publish_mutex_ ABSL_ACQUIRED_BEFORE(mutex_);
  RcuCell<Configuration> cell_;
  std::atomic<Offset> revision_{0};
  std::atomic<Offset> applied_{0};
  // Nanoseconds since the Unix epoch of the clock; read for every chunk of a stream.
  std::atomic<std::int64_t> evidence_at_;
  std::atomic<bool> log_failing_{false};
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_CONFIG_CONFIG_STORE_H_
