// Handover of exclusive state between members.
#ifndef MARIGOLDQUAY_MEMBERSHIP_HAND_OVER_H_
#define MARIGOLDQUAY_MEMBERSHIP_HAND_OVER_H_

#include <map>
#include <string>

#include "marigoldquay/membership/membership_state.h"
#include "marigoldquay/transport/rpc.h"

namespace marigoldquay {

class HandOver {
 public:
  HandOver(MembershipState& state, RpcClient& client) : state_(state), client_(client) {}

  /// Adds state that moves with the keys; `name` precedes its keys in messages and is the same on
  /// all VMs. Before the handler runs.
  void RegisterState(std::string name, ExclusiveState& exclusive) {
    states_.emplace(std::move(name), &exclusive);
  }
  /// Registers the HandOver handler. Repeated requests get the same balances, see ExclusiveState.
  void RegisterHandler(RpcRegistry& registry);
  /// Asks all previous owners that have not handed over yet.
  void RunRound();

 private:
  protocol::HandOverReplyT Answer(const protocol::HandOverRequestT& request);
  void Ask(const HandOverSource& source);
  void Accept(const protocol::HandOverReplyT& reply);

  MembershipState& state_;
  RpcClient& client_;
  std::map<std::string, ExclusiveState*> states_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_MEMBERSHIP_HAND_OVER_H_
