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
  /// other from the coordinator. `on_list` is called after each list.
  PresenceKeeper(asio::io_context& io, const Clock& clock, ClusterStore& store, FleetMember self,
                 std::function<bool()> needs_members, std::function<bool()> should_announce,
                 std::function<void()> on_list)
      : io_(io),
        clock_(clock),
        store_(store),
        name_(self.ToName()),
        self_(self.instance),
        listed_members_({std::move(self)}),
        needs_members_(std::move(needs_members)),
        should_announce_(std::move(should_announce)),
        on_list_(std::move(on_list)) {}

  /// Renews the announcement and reads the list until Leave is called.
  void Run(Yield yield);
  /// Withdraws the announcement and makes Run return.
  void Leave(Yield yield);

  const std::vector<FleetMember>& listed_members() const override { return listed_members_; }
  absl::Time read_at() const override { return read_at_; }
  /// Whether no list has named an earlier process of this VM. An announcement lasts for 3.5 to 5 s
  /// after its process has ended.
  bool IsNewVm() const { return !has_earlier_process_; }
  /// Whether the last list names this process. Others may be missing from one that does not.
  bool lists_self() const { return lists_self_; }
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
  const Instance self_;
  // Sorted by coordinator priority; never empty.
  std::vector<FleetMember> listed_members_;
  std::function<bool()> needs_members_;
  std::function<bool()> should_announce_;
  std::function<void()> on_list_;
  absl::Time first_read_at_ = absl::InfiniteFuture();
  absl::Time read_at_ = absl::InfinitePast();
  StoreEra era_ = 0;
  bool has_earlier_process_ = false;
  bool lists_self_ = false;
  bool leaving_ = false;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_FLEET_PRESENCE_KEEPER_H_
