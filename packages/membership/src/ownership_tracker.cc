// Exclusive ownership across changes of the member set.
#include "marigoldquay/membership/ownership_tracker.h"

#include <algorithm>
#include <utility>

#include "marigoldquay/core/rendezvous.h"

namespace marigoldquay {
namespace {

// Handovers take well under a second; later the previous owner is of no use to callers.
constexpr absl::Duration kRecentJoinTime = absl::Seconds(10);
constexpr std::size_t kMaxRecentJoins = 16;

}  // namespace

void OwnershipTracker::Start(Instance self) {
  self_ = std::move(self);
  joined_ = false;
  vms_before_join_.clear();
  vms_after_join_.clear();
  join_sources_.clear();
  replaced_former_self_ = false;
  gone_.clear();
  // What the former instance has seen is not known to be over.
  last_gone_before_join_ = clock_.Now();
}

void OwnershipTracker::OnChange(const MemberChange& change, const std::vector<VmId>& before,
                                const std::vector<VmId>& after,
                                const MemberSet::Members& members_before) {
  std::erase_if(gone_, [&](const GoneOwner& gone) { return Expired(gone); });
  switch (change.kind) {
    case MemberChangeKind::kNone:
      return;
    case MemberChangeKind::kReplaced:
      MarkSourceGone(change.replaced, /*left=*/false);
      if (!joined_) last_gone_before_join_ = clock_.Now();
      break;
    case MemberChangeKind::kJoined:
      recent_joins_.push_back({change.member.instance.vm, before, clock_.Now()});
      if (recent_joins_.size() > kMaxRecentJoins) recent_joins_.pop_front();
      break;
    case MemberChangeKind::kLeft:
    case MemberChangeKind::kRemoved:
      return OnGone(change, before);
  }
  if (change.member.instance == self_) OnOwnJoin(change, before, after, members_before);
}

void OwnershipTracker::OnOwnJoin(const MemberChange& change, const std::vector<VmId>& before,
                                 const std::vector<VmId>& after,
                                 const MemberSet::Members& members_before) {
  joined_ = true;
  join_read_at_ = clock_.Now();
  vms_before_join_ = before;
  vms_after_join_ = after;
  replaced_former_self_ = change.kind == MemberChangeKind::kReplaced;
  for (const auto& [vm, member] : members_before) {
    if (vm == self_.vm) continue;
    join_sources_[vm].ask = {member.instance, member.inner_address, change.epoch};
  }
}

void OwnershipTracker::OnGone(const MemberChange& change, const std::vector<VmId>& before) {
  const bool left = change.kind == MemberChangeKind::kLeft;
  MarkSourceGone(change.member.instance, left);
  if (!joined_) {
    last_gone_before_join_ = clock_.Now();
    return;
  }
  gone_.push_back({{change.member.instance, change.member.inner_address, change.epoch},
                   before,
                   clock_.Now(),
                   left});
}

void OwnershipTracker::MarkSourceGone(const Instance& instance, bool left) {
  const auto found = join_sources_.find(instance.vm);
  if (found == join_sources_.end() || found->second.ask.instance != instance) return;
  auto& source = found->second;
  if (source.answered_at || source.gone_at) return;
  source.gone_at = clock_.Now();
  source.left = left;
}

absl::Time OwnershipTracker::ClearAt(const JoinSource& source) const {
  if (source.answered_at) return *source.answered_at;
  return source.gone_at ? *source.gone_at + kTakeoverWait : absl::InfiniteFuture();
}

absl::Time OwnershipTracker::JoinCompleteAt() const {
  if (!joined_) return absl::InfiniteFuture();
  auto at = join_read_at_;
  if (join_sources_.empty()) at = std::max(at, last_gone_before_join_ + kTakeoverWait);
  for (const auto& [vm, source] : join_sources_) at = std::max(at, ClearAt(source));
  return replaced_former_self_ ? at + kTakeoverWait : at;
}

bool OwnershipTracker::Expired(const GoneOwner& gone) const {
  return gone.answered || clock_.Now() >= gone.read_at + kTakeoverWait;
}

bool OwnershipTracker::IsFree(absl::string_view key) const {
  if (!joined_) return false;
  for (const auto& gone : gone_) {
    if (!Expired(gone) && FirstByRendezvous(key, gone.vms_before) == gone.ask.instance.vm) {
      return false;
    }
  }
  if (clock_.Now() >= JoinCompleteAt()) return true;
  if (FirstByRendezvous(key, vms_after_join_) != self_.vm) return false;
  const auto source = join_sources_.find(FirstByRendezvous(key, vms_before_join_));
  return source != join_sources_.end() && source->second.answered_at.has_value();
}

bool OwnershipTracker::CompleteBefore(Offset epoch) const {
  if (clock_.Now() < JoinCompleteAt()) return false;
  return std::all_of(gone_.begin(), gone_.end(), [&](const GoneOwner& gone) {
    return gone.ask.epoch >= epoch || Expired(gone);
  });
}

std::vector<HandOverSource> OwnershipTracker::PendingSources() const {
  std::vector<HandOverSource> pending;
  for (const auto& [vm, source] : join_sources_) {
    if (source.answered_at) continue;
    if (source.gone_at && (!source.left || clock_.Now() >= ClearAt(source))) continue;
    pending.push_back(source.ask);
  }
  for (const auto& gone : gone_) {
    if (gone.left && !Expired(gone) &&
        std::find(pending.begin(), pending.end(), gone.ask) == pending.end()) {
      pending.push_back(gone.ask);
    }
  }
  return pending;
}

void OwnershipTracker::OnHandedOver(const Instance& from, Offset epoch) {
  const auto found = join_sources_.find(from.vm);
  if (found != join_sources_.end() && found->second.ask.instance == from &&
      found->second.ask.epoch <= epoch && !found->second.answered_at) {
    found->second.answered_at = clock_.Now();
  }
  for (auto& gone : gone_) {
    if (gone.left && gone.ask.instance == from && gone.ask.epoch <= epoch) gone.answered = true;
  }
}

std::optional<VmId> OwnershipTracker::PreviousOwner(absl::string_view key,
                                                    const std::vector<VmId>& now) const {
  const auto owner = FirstByRendezvous(key, now);
  for (auto join = recent_joins_.rbegin(); join != recent_joins_.rend(); ++join) {
    if (join->vm != owner || clock_.Now() > join->read_at + kRecentJoinTime) continue;
    auto previous = FirstByRendezvous(key, join->vms_before);
    if (previous == owner || std::find(now.begin(), now.end(), previous) == now.end()) continue;
    return previous;
  }
  return std::nullopt;
}

}  // namespace marigoldquay
