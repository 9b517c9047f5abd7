// Registration of this VM in the platform's store.
#include "marigoldquay/fleet/presence_keeper.h"

#include <algorithm>
#include <utility>

#include "marigoldquay/core/logger.h"

namespace marigoldquay {
namespace {

const Logger& Log() {
  static const Logger logger("member");
  return logger;
}

constexpr absl::Duration kPresenceTtl = absl::Seconds(5);
// Two renewals in a row may fail before the announcement expires.
constexpr absl::Duration kRenewalInterval = absl::Milliseconds(1500);
constexpr absl::Duration kMemberReadInterval = absl::Milliseconds(1000);
constexpr absl::Duration kMinPause = absl::Milliseconds(10);

}  // namespace

void PresenceKeeper::Run(Yield yield) {
  absl::Time next_renewal = absl::InfinitePast();
  while (!leaving_) {
    if (IsNewEra()) next_renewal = absl::InfinitePast();
    if (clock_.Now() >= next_renewal && should_announce_()) {
      next_renewal = clock_.Now() + kRenewalInterval;
      Renew(yield);
    }
    if (!leaving_ && needs_members_()) ReadMembers(yield);
    const absl::Duration left = std::max(next_renewal - clock_.Now(), kMinPause);
    SleepFor(io_, std::min(should_announce_() ? left : kMemberReadInterval, kMemberReadInterval),
             yield);
  }
}

bool PresenceKeeper::IsNewEra() {
  if (store_.era() == era_) return false;
  era_ = store_.era();
  first_read_at_ = absl::InfiniteFuture();
  return true;
}

void PresenceKeeper::Renew(Yield yield) {
  const auto renewed = store_.RenewPresence(name_, kPresenceTtl, yield);
  if (renewed) return;
  Log().Event("presence_not_renewed", LogFields().Add("detail", renewed.error().ToString()),
              LogLevel::kWarn);
}

void PresenceKeeper::ReadMembers(Yield yield) {
  const auto names = store_.ListMembers(yield);
  if (!names) {
    Log().Event("members_not_read", LogFields().Add("detail", names.error().ToString()),
                LogLevel::kWarn);
    return;
  }
  std::vector<FleetMember> members;
  for (const auto& name : *names) {
    auto member = FleetMember::FromName(name);
    if (member) {
      members.push_back(std::move(*member));
    } else {
      Log().Event("member_skipped", LogFields().Add("name", name), LogLevel::kWarn);
    }
  }
  // Right after this VM has joined, the list may not contain it yet.
  if (members.empty()) return;
  read_at_ = clock_.Now();
  first_read_at_ = std::min(first_read_at_, read_at_);
  has_earlier_process_ |=
      std::any_of(members.begin(), members.end(), [&](const FleetMember& other) {
        return other.instance.vm == self_.vm && other.instance != self_;
      });
  lists_self_ = std::any_of(members.begin(), members.end(),
                            [&](const FleetMember& other) { return other.instance == self_; });
  RemoveOldIncarnations(members);
  SortByCoordinatorPriority(members);
  const bool changed = members != listed_members_;
  listed_members_ = std::move(members);
  on_list_();
  if (!changed) return;
  LogFields fields;
  fields.Add("members", static_cast<std::int64_t>(listed_members_.size()))
      .Add("first", listed_members_.front().instance.ToString());
  Log().Event("members", fields);
}

void PresenceKeeper::Leave(Yield yield) {
  leaving_ = true;
  const auto ended = store_.WithdrawPresence(name_, yield);
  if (!ended) {
    Log().Event("presence_not_ended", LogFields().Add("detail", ended.error().ToString()),
                LogLevel::kWarn);
  }
}

}  // namespace marigoldquay
