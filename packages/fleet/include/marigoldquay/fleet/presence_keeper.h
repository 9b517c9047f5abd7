// Registers this VM in the platform's store and reads the list of registered VMs.
#ifndef MARIGOLDQUAY_FLEET_PRESENCE_KEEPER_H_
#define MARIGOLDQUAY_FLEET_PRESENCE_KEEPER_H_

#include <functional>
#include <string>
#include <vector>

#include "marigoldquay/core/clock.h"
#include "marigoldquay/fleet/cluster_store.h"
#include "marigoldquay/fleet/coordinator.h"
#include "marigoldquay/fleet/member.h"

namespace marigoldquay {

class PresenceKeeper final : public MemberSource {
 public:
  /// `needs_members` returns whether this VM currently needs the list, `should_announce` whether
  /// others have to find it there. Both cost store calls, and VMs with a coordinator learn of each
  /// other from the coordinator.
  PresenceKeeper(asio::io_context& io, const Clock& clock, ClusterStore& store, FleetMember self,
                 std::function<bool()> needs_members, std::function<bool()> should_announce)
      : io_(io),
        clock_(clock),
        store_(store),
        name_(self.ToName()),
        listed_members_({std::move(self)}),
        needs_members_(std::move(needs_members)),
        should_announce_(std::move(should_announce)) {}

  /// Renews the announcement and reads the list until Leave is called.
  void Run(Yield yield);
  /// Withdraws the announcement and makes Run return.
  void Leave(Yield yield);

  const std::vector<FleetMember>& listed_members() const override { return listed_members_; }
  absl::Time read_at() const override { return read_at_; }
  bool settled() const override {
    return store_.era() == era_ && read_at_ - first_read_at_ >= kSettleTime;
  }

 private:
  // VMs that start at the same time have announced themselves within this time, unless the store
  // is unavailable.
  static constexpr absl::Duration kSettleTime = absl::Milliseconds(1500);

  // After the store has come back from a copy, VMs are missing from its list until they renew their
  // announcements.
  bool IsNewEra();
  void Renew(Yield yield);
  void ReadMembers(Yield yield);

  asio::io_context& io_;
  const Clock& clock_;
  ClusterStore& store_;
  const std::string name_;
  // Sorted by coordinator priority; never empty.
  std::vector<FleetMember> listed_members_;
  std::function<bool()> needs_members_;
  std::function<bool()> should_announce_;
  absl::Time first_read_at_ = absl::InfiniteFuture();
  absl::Time read_at_ = absl::InfinitePast();
  StoreEra era_ = 0;
  bool leaving_ = false;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_FLEET_PRESENCE_KEEPER_H_
