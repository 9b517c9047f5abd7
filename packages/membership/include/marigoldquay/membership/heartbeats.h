// Sends heartbeats to guardians and a random member, and answers those of others.
#ifndef MARIGOLDQUAY_MEMBERSHIP_HEARTBEATS_H_
#define MARIGOLDQUAY_MEMBERSHIP_HEARTBEATS_H_

#include <atomic>
#include <vector>

#include "marigoldquay/config/config_store.h"
#include "marigoldquay/membership/membership_state.h"
#include "marigoldquay/membership/peer_catch_up.h"
#include "marigoldquay/transport/rpc.h"

namespace marigoldquay {

class Heartbeats {
 public:
  /// All references must outlive this object.
  Heartbeats(MembershipState& state, ConfigStore& config, PeerCatchUp& catch_up, RpcClient& client,
             const Clock& clock)
      : state_(state), config_(config), catch_up_(catch_up), client_(client), clock_(clock) {}

  /// Registers the Heartbeat handler. A repeated heartbeat only refreshes what is known.
  void RegisterHandler(RpcRegistry& registry);
  /// Peers to ask while this VM is not a member.
  void SetSeeds(std::vector<Address> seeds) { seeds_ = std::move(seeds); }
  void SetSpareCapacity(std::int32_t capacity) { spare_capacity_ = capacity; }
  void SetDraining() { draining_ = true; }

  /// One heartbeat to each target; returns when all have answered or timed out.
  void RunRound();
  /// Time between rounds: 500 ms, or 1 s in large sets, where the budget for control traffic is
  /// 2 KB a second.
  absl::Duration interval() const;

  /// Whether the last round reached a peer or the log has been read to its tail, and no peer showed
  /// a state ahead of this VM's. Until that is so for the first time, rounds also go to the seeds
  /// and to one member of each other availability zone.
  bool CaughtUp() const;

 private:
  LocalStatus Status() const;
  std::vector<Address> Targets() const;
  bool Send(const Address& peer);
  void NotePeer(const protocol::HeartbeatMessageT& message, const Address& address);

  MembershipState& state_;
  ConfigStore& config_;
  PeerCatchUp& catch_up_;
  RpcClient& client_;
  const Clock& clock_;
  std::vector<Address> seeds_;
  std::atomic<std::int32_t> spare_capacity_{0};
  std::atomic<bool> draining_{false};
  // Highest offsets that peers have named since the last round began, and in the round before.
  std::atomic<Offset> named_config_next_{0};
  std::atomic<Offset> named_members_next_{0};
  std::atomic<Offset> round_config_next_{0};
  std::atomic<Offset> round_members_next_{0};
  std::atomic<bool> round_reached_peer_{false};
  std::atomic<bool> ran_{false};
  std::atomic<bool> was_caught_up_{false};
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_MEMBERSHIP_HEARTBEATS_H_
