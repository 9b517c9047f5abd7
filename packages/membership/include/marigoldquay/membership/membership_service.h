// The membership of this process: joins, renews, removes silent wards, hands
// over, leaves. Owns the threads; decisions are in MembershipState.
#ifndef MARIGOLDQUAY_MEMBERSHIP_MEMBERSHIP_SERVICE_H_
#define MARIGOLDQUAY_MEMBERSHIP_MEMBERSHIP_SERVICE_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "marigoldquay/logstore/log_client.h"
#include "marigoldquay/membership/hand_over.h"
#include "marigoldquay/membership/heartbeats.h"
#include "marigoldquay/membership/membership_state.h"
#include "marigoldquay/membership/peer_catch_up.h"
#include "marigoldquay/membership/periodic_thread.h"

namespace marigoldquay {

/// Key whose first VM by rendezvous hashing writes snapshots of the member set.
inline constexpr absl::string_view kMembersSnapshotRole = "members-snapshot";

struct MembershipOptions {
  /// How long the log keeps records. Members renew, and snapshots are written, after a quarter.
  absl::Duration retention = absl::Hours(24);
  absl::Duration append_timeout = absl::Seconds(2);
  /// After an append without an answer: how long to wait for the record before appending it again.
  absl::Duration append_retry = absl::Seconds(2);
  /// Changes of the set after which a snapshot is written.
  std::int64_t snapshot_changes = 256;
};

class MembershipService {
 public:
  /// `state` must follow the members stream and `config` the config stream, by a StreamTailer each.
  /// All references must outlive this object.
  MembershipService(MembershipOptions options, MembershipState& state, ConfigStore& config,
                    LogClient& log, RpcClient& client, const Clock& clock);
  ~MembershipService();
  MembershipService(const MembershipService&) = delete;
  MembershipService& operator=(const MembershipService&) = delete;

  /// Set up before Start: RPC handlers, exclusive state, and what to do when this process has lost
  /// its membership (drop exclusive state; it joins again as a new instance afterwards).
  void RegisterHandlers(RpcRegistry& registry);
  void RegisterExclusive(std::string name, ExclusiveState& exclusive);
  void AddLostMembershipCallback(std::function<void()> callback);

  /// Starts the threads. `self` needs a fresh incarnation; `seeds` are inner addresses of other VMs
  /// that are asked for config and members while this VM is not a member.
  void Start(std::vector<Address> seeds, const Member& self);
  /// Begins as `self`; Start without the threads.
  void Prepare(std::vector<Address> seeds, const Member& self);
  /// Ends the threads without leaving.
  void Stop();

  /// Whether the configuration is current and not behind the peers that this VM reaches. A VM that
  /// starts while the log is down may be ready before it is a member; exclusive roles need more.
  bool ReadyToServe() const;
  void SetSpareCapacity(std::int32_t capacity) { heartbeats_.SetSpareCapacity(capacity); }
  /// Announces in heartbeats that this VM takes no new callers.
  void Drain() { heartbeats_.SetDraining(); }
  /// Gives up all exclusive keys, appends leave and waits until it is read and the new owners had
  /// time to ask for the balances. False when leave was not read before the timeout; the guardians
  /// then remove this instance.
  bool Leave(absl::Duration timeout);

  // Steps of the threads; called by them, and directly by tests.
  void RunHeartbeatRound() { heartbeats_.RunRound(); }
  void RunCatchUp() { catch_up_.RunOnce(); }
  void RunHandOverRound() { hand_over_.RunRound(); }
  /// Joins, renews, removes silent wards, writes snapshots, rejoins: whatever is due.
  void RunMaintenance();

 private:
  enum class AppendOutcome { kDone, kNoEffect, kUnknown };

  AppendOutcome Append(const std::string& data, absl::string_view what);
  void RejoinWhenLost();
  void JoinWhenNeeded();
  void RenewWhenDue();
  void RemoveSilentWards();
  void WriteSnapshotWhenDue();
  void PullFromSeeds();

  const MembershipOptions options_;
  MembershipState& state_;
  ConfigStore& config_;
  LogClient& log_;
  const Clock& clock_;
  PeerCatchUp catch_up_;
  Heartbeats heartbeats_;
  HandOver hand_over_;
  std::vector<std::function<void()>> lost_callbacks_;
  std::vector<Address> seeds_;

  // Used by the maintenance thread only.
  absl::Time next_join_ = absl::InfinitePast();
  absl::Time next_renew_ = absl::InfiniteFuture();
  absl::Time next_seed_pull_ = absl::InfinitePast();
  struct Removal {
    std::string nonce;
    absl::Time next_append = absl::InfinitePast();
    // An append may still take effect.
    bool unresolved = false;
  };
  std::map<Instance, Removal> removals_;

  std::atomic<bool> leaving_{false};
  PeriodicThread heartbeat_thread_;
  PeriodicThread hand_over_thread_;
  PeriodicThread maintenance_thread_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_MEMBERSHIP_MEMBERSHIP_SERVICE_H_
