// All that this VM knows and decides about the membership: the set, its lease,
// its duty as guardian, its exclusive keys. Thread-safe; does no I/O, so that
// tests can drive several of them with lost and delayed messages.
#ifndef MARIGOLDQUAY_MEMBERSHIP_MEMBERSHIP_STATE_H_
#define MARIGOLDQUAY_MEMBERSHIP_MEMBERSHIP_STATE_H_

#include <atomic>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "marigoldquay/config/config_store.h"
#include "marigoldquay/membership/guardian_duty.h"
#include "marigoldquay/membership/member_lease.h"
#include "marigoldquay/membership/member_set.h"
#include "marigoldquay/membership/member_view.h"
#include "marigoldquay/membership/ownership_tracker.h"
#include "marigoldquay/membership/peer_table.h"

namespace marigoldquay {

/// A heartbeat call ends after this time, so that answers are never older.
inline constexpr absl::Duration kHeartbeatTimeout = absl::Milliseconds(450);

class MembershipState final : public MemberView,
                              public StreamConsumer,
                              public PeerStream,
                              public LogOutageAgreement {
 public:
  using Listener = std::function<void(Offset epoch)>;

  explicit MembershipState(const Clock& clock);

  /// Called after each change of the set, without locks of this object. Set up before records
  /// arrive.
  void AddListener(Listener listener) { listeners_.push_back(std::move(listener)); }

  /// Becomes another instance, which is not a member yet.
  void Begin(const Member& self);
  Member self_member() const;
  bool is_member() const;
  /// Whether this instance was a member and must not act as one any more: it was removed or
  /// replaced, or the history since its join was lost. It has to join as a new instance.
  bool lost_membership() const;
  /// Gives up all exclusive keys and promises; for a member that is about to leave.
  void StopActing();

  // MemberView
  Instance self() const override;
  Offset epoch() const override;
  std::vector<Member> members() const override;
  std::optional<Member> FindMember(absl::string_view vm) const override;
  bool IsMember(const Instance& instance) const override;
  MemberHealth health(absl::string_view vm) const override;
  std::vector<Member> RankFor(absl::string_view key) const override;
  std::optional<Member> OwnerOf(absl::string_view key) const override;
  std::optional<Member> PreviousOwnerOf(absl::string_view key) const override;
  bool HoldsExclusively(absl::string_view key) const override;
  bool LeaseValid() const override;

  // StreamConsumer
  Offset next_offset() const override;
  void OnPage(const LogPage& page, absl::Time read_sent_at) override;
  void OnReadError(const Error& error) override;

  // PeerStream
  Offset applied_offset() const override;
  bool Serves(absl::string_view stream) const override;
  protocol::FetchRecordsReplyT Serve(const protocol::FetchRecordsRequestT& request) override;
  protocol::FetchRecordsRequestT NextRequest() const override;
  bool TakeReply(const protocol::FetchRecordsRequestT& request,
                 const protocol::FetchRecordsReplyT& reply) override;

  // LogOutageAgreement
  bool AllReachableSayLogDown() const override;

  /// Whether the last read of the stream succeeded; true before the first read.
  bool log_reachable() const { return !log_failing_; }

  // Heartbeats.
  /// Guardians, one member picked with `random`, and displaced guardians of own wards that have not
  /// yet shown that they know it. The random member comes last.
  std::vector<Member> HeartbeatTargets(std::uint64_t random) const;
  protocol::HeartbeatMessageT MakeHeartbeat(const LocalStatus& status);
  protocol::HeartbeatMessageT AnswerHeartbeat(const protocol::HeartbeatMessageT& request,
                                              const LocalStatus& status);
  void OnHeartbeatAnswer(const protocol::HeartbeatMessageT& answer, absl::Time sent_at);
  /// Result of the call to the random member: samples reachability in large sets.
  void OnRandomCall(bool answered);

  // Duty as guardian.
  /// To be called in each round of heartbeats.
  void Tick(const LocalStatus& status);
  /// Instances to remove now, among them those whose remove record is unresolved.
  std::vector<Instance> RemovalsDue() const;
  /// Called right before a remove record is appended; false when the removal is no longer due.
  /// There is no promise for the instance from now on until a remove record of this VM is read or
  /// OnRemoveFailed is called.
  bool StartRemoval(const Instance& instance);
  void OnRemoveFailed(const Instance& instance);

  // Handover.
  std::vector<HandOverSource> PendingHandOvers() const;
  /// The members under which the sender gets its keys; nullopt when a HandOver for this epoch
  /// cannot be answered yet.
  std::optional<std::vector<VmId>> MayHandOver(const Instance& sender, Offset epoch) const;
  void OnHandedOver(const Instance& from, Offset epoch);

  // Snapshots.
  std::vector<SnapshotPart> MakeSnapshot() const;
  std::int64_t changes_since_snapshot() const;
  absl::Duration time_since_snapshot() const;

 private:
  static constexpr std::size_t kRandomCalls = 5;

  // Set that reports its changes to the state.
  class ObservedSet final : public ReplayedState {
   public:
    explicit ObservedSet(MembershipState& owner) : owner_(owner) {}
    Offset next_offset() const override { return set_.next_offset(); }
    void Apply(Offset offset, absl::string_view data) override;
    std::string SnapshotText() const override { return set_.SnapshotText(); }
    bool LoadSnapshot(Offset next, const std::string& text) override;
    std::optional<SnapshotPart> PartIn(absl::string_view data) const override {
      return set_.PartIn(data);
    }
    bool StartEmptyAt(Offset first) override;
    const MemberSet& set() const { return set_; }

   private:
    MembershipState& owner_;
    MemberSet set_;
  };

  void OnHistoryLost() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void SyncParts() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void OnRecord(const MemberChange& change, const std::vector<VmId>& before,
                const MemberSet::Members& members_before) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  bool Acting() const ABSL_SHARED_LOCKS_REQUIRED(mutex_);
  bool LeaseValidLocked() const ABSL_SHARED_LOCKS_REQUIRED(mutex_);
  bool RemovalDue(const Instance& instance) const ABSL_SHARED_LOCKS_REQUIRED(mutex_);
  bool ReachesMajority() const ABSL_SHARED_LOCKS_REQUIRED(mutex_);
  std::vector<VmId> UnawareDisplaced(const VmId& ward) const ABSL_SHARED_LOCKS_REQUIRED(mutex_);
  protocol::HeartbeatMessageT Message(const LocalStatus& status)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  std::vector<Member> Resolve(const std::vector<VmId>& vms) const
      ABSL_SHARED_LOCKS_REQUIRED(mutex_);
  const MemberSet& set() const { return observed_.set(); }
  void NotifyListeners();

  const Clock& clock_;
  std::vector<Listener> listeners_;
  mutable absl::Mutex mutex_;
  Member self_ ABSL_GUARDED_BY(mutex_);
  // This instance has been a member, and may not be one any more.
  bool was_member_ ABSL_GUARDED_BY(mutex_) = false;
  bool lost_ ABSL_GUARDED_BY(mutex_) = false;
  bool stopped_acting_ ABSL_GUARDED_BY(mutex_) = false;
  ObservedSet observed_ ABSL_GUARDED_BY(mutex_);
  StreamReplica replica_ ABSL_GUARDED_BY(mutex_);
  OwnershipTracker tracker_ ABSL_GUARDED_BY(mutex_);
  MemberLease lease_ ABSL_GUARDED_BY(mutex_);
  PeerTable peers_ ABSL_GUARDED_BY(mutex_);
  GuardianDuty duty_ ABSL_GUARDED_BY(mutex_);
  LocalStatus status_ ABSL_GUARDED_BY(mutex_);
  std::deque<bool> random_calls_ ABSL_GUARDED_BY(mutex_);
  std::int64_t changes_since_snapshot_ ABSL_GUARDED_BY(mutex_) = 0;
  absl::Time snapshot_seen_at_ ABSL_GUARDED_BY(mutex_);
  std::atomic<bool> log_failing_{false};
  std::atomic<Offset> notified_epoch_{0};
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_MEMBERSHIP_MEMBERSHIP_STATE_H_
