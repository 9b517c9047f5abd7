// Member lease.
#include "marigoldquay/membership/member_lease.h"

#include <algorithm>

#include "marigoldquay/membership/ownership_tracker.h"

namespace marigoldquay {
namespace {

constexpr std::size_t kMaxPromises = 16;

}  // namespace

void MemberLease::OnTailRead(absl::Time read_sent_at) {
  tail_read_sent_at_ = std::max(tail_read_sent_at_, read_sent_at);
}

void MemberLease::OnPromise(const Instance& guardian, Offset epoch, absl::Time sent_at,
                            absl::Duration promise) {
  if (promise <= absl::ZeroDuration()) return;
  if (promises_.size() >= kMaxPromises) {
    std::erase_if(promises_, [&](const auto& entry) { return entry.second.until <= sent_at; });
  }
  if (promises_.size() >= kMaxPromises && !promises_.contains(guardian)) return;
  auto& known = promises_[guardian];
  const auto until = sent_at + std::min(promise, kLeaseTime);
  if (until > known.until) known = {epoch, until};
}

void MemberLease::Reset() {
  tail_read_sent_at_ = absl::InfinitePast();
  promises_.clear();
}

bool MemberLease::Valid(absl::Time now, const std::vector<Member>& guardians, Offset epoch) const {
  if (now < tail_read_sent_at_ + kLeaseTime) return true;
  if (guardians.empty()) return false;
  return std::all_of(guardians.begin(), guardians.end(), [&](const Member& guardian) {
    const auto found = promises_.find(guardian.instance);
    return found != promises_.end() && now < found->second.until && found->second.epoch <= epoch;
  });
}

}  // namespace marigoldquay
