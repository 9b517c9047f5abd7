// Grants of one workspace's home.
#include "workspace_home.h"

#include <algorithm>
#include <utility>

namespace marigoldquay {
namespace {

// Keeps the reservations of a workspace to about 10 MB; at 300 requests a second the oldest
// unsettled ones lose their refund after more than 120 s.
constexpr std::size_t kMaxReservations = 40'000;
// How long a request above half the burst keeps allowances away from its workspace.
constexpr absl::Duration kLargeRequestPeriod = absl::Seconds(120);
// A VM keeps more than its share up to this factor, so that small changes of demand move nothing.
constexpr double kKeepFactor = 1.25;

// Renewals of one VM that are remembered one by one; one every 2 s gives 5.
constexpr std::size_t kMaxTotals = 16;

TokenCount AllowancePart(TokenCount burst) { return burst / 2; }

}  // namespace

TokenCount WorkspaceHome::Totals::most() const {
  TokenCount most = 0;
  for (const auto& total : totals) most = std::max(most, total.tokens);
  return most;
}

WorkspaceHome::WorkspaceHome(const WorkspaceLimits& limits, Instance holder, absl::Time since)
    : limits_(limits),
      bucket_({limits.rate, limits.burst - AllowancePart(limits.burst)}, /*level=*/0, since),
      holder_(std::move(holder)),
      since_(since) {}

ReserveAnswer WorkspaceHome::Reserve(absl::string_view request_id, TokenCount tokens,
                                     std::uint64_t& next_number, absl::Time now) {
  ForgetOld(now);
  std::string id(request_id);
  if (const auto found = by_request_.find(id); found != by_request_.end()) {
    // A repetition; what was granted stays granted, and settling it a second time has no effect.
    const bool same = FindTaken(found->second)->tokens == tokens;
    return {same ? ReserveStatus::kGranted : ReserveStatus::kRefused, found->second,
            absl::ZeroDuration()};
  }
  if (tokens > limits_.burst) return {ReserveStatus::kTooLarge, 0, absl::ZeroDuration()};
  if (tokens > limits_.burst - AllowancePart(limits_.burst)) {
    large_until_ = now + kLargeRequestPeriod;
    UpdateCapacity(now);
  }
  if (const auto slot = bucket_.Reserve(tokens, now)) {
    const std::uint64_t number = next_number++;
    by_request_.emplace(id, number);
    taken_.push_back({std::move(id), number, tokens, *slot, /*settled=*/false, now});
    return {ReserveStatus::kGranted, number, absl::ZeroDuration()};
  }
  absl::Duration wait = bucket_.TimeUntil(tokens, now);
  if (wait == absl::InfiniteDuration()) {
    // The capacity grows once the allowances have expired; the bucket then fills further.
    const TokenCount missing = tokens - bucket_.limits().capacity;
    wait = bucket_.TimeUntil(bucket_.limits().capacity, now) + kAllowanceLife +
           absl::Seconds(static_cast<double>(missing) / limits_.rate);
  }
  // A new home that is still short of tokens says so, and VMs then use their standby allowances.
  return {InStartPeriod(now) ? ReserveStatus::kNotReady : ReserveStatus::kRefused, 0, wait};
}

const WorkspaceHome::Taken* WorkspaceHome::FindTaken(std::uint64_t number) const {
  const auto found =
      std::lower_bound(taken_.begin(), taken_.end(), number,
                       [](const Taken& taken, std::uint64_t n) { return taken.number < n; });
  return found == taken_.end() || found->number != number ? nullptr : &*found;
}

TokenCount WorkspaceHome::Settle(std::uint64_t number, TokenCount unused, absl::Time now) {
  ForgetOld(now);
  auto* taken = const_cast<Taken*>(FindTaken(number));
  if (taken == nullptr || taken->settled) return 0;
  taken->settled = true;
  return bucket_.Settle(taken->slot, std::clamp<TokenCount>(unused, 0, taken->tokens), now);
}

AllowanceAnswer WorkspaceHome::Allow(const Instance& sender, TokenCount held, TokenCount wanted,
                                     absl::Time now) {
  // Allowances of a former home may still be out; the sender keeps its own until it expires.
  if (InStartPeriod(now)) return {};
  UpdateCapacity(now);
  auto& mine = allowances_[sender];
  mine.wanted = std::max<TokenCount>(wanted, 0);
  TokenCount wanted_by_all = 0;
  for (const auto& [_, totals] : allowances_) wanted_by_all += totals.wanted;
  const TokenCount limit = AllowanceLimit(now);
  TokenCount share = mine.wanted;
  if (wanted_by_all > limit) {
    share = static_cast<TokenCount>(static_cast<double>(limit) * static_cast<double>(share) /
                                    static_cast<double>(wanted_by_all));
  }
  const TokenCount mine_before = mine.most();
  TokenCount keep = std::clamp<TokenCount>(held, 0, mine_before);
  if (static_cast<double>(keep) > kKeepFactor * static_cast<double>(share)) keep = share;
  const TokenCount room = std::max<TokenCount>(limit - (Outstanding() - mine_before), 0);
  keep = std::min(keep, room);
  // Only a bucket that is more than half full fills allowances, so that they do not take the tokens
  // that the next requests need. With a quarter, a workspace at 90% of its rate was refused when
  // its requests had reserved much that they settled seconds later.
  const TokenCount spare = bucket_.Level(now) - bucket_.limits().capacity / 2;
  const TokenCount filled = std::max<TokenCount>(std::min({share - keep, room - keep, spare}), 0);
  if (filled > 0 && !bucket_.Reserve(filled, now)) return {};
  if (mine.totals.size() >= kMaxTotals) {
    // Merged upwards: the VM never holds more than the larger one, and not after the later one.
    auto& oldest = mine.totals.front();
    mine.totals[1].tokens = std::max(mine.totals[1].tokens, oldest.tokens);
    mine.totals.pop_front();
  }
  mine.totals.push_back({keep + filled, now + kAllowanceLife});
  return {keep + filled, kAllowanceLife};
}

void WorkspaceHome::AcceptBalance(TokenCount balance, absl::Time now) {
  if (accepted_) return;
  accepted_ = true;
  bucket_.Add(balance, now);
}

void WorkspaceHome::SetLimits(const WorkspaceLimits& limits, absl::Time now) {
  if (limits == limits_) return;
  limits_ = limits;
  UpdateCapacity(now);
}

void WorkspaceHome::UpdateCapacity(absl::Time now) {
  ExpireAllowances(now);
  TokenCount kept_back = std::max(AllowanceLimit(now), Outstanding());
  // Allowances of a former home are out for at most this long, and are not known here.
  if (InStartPeriod(now)) kept_back = std::max(kept_back, AllowancePart(limits_.burst));
  bucket_.SetLimits({limits_.rate, std::max<TokenCount>(limits_.burst - kept_back, 0)}, now);
}

bool WorkspaceHome::Unused(absl::Time now) {
  UpdateCapacity(now);
  return allowances_.empty() && !InStartPeriod(now) &&
         bucket_.Level(now) == bucket_.limits().capacity;
}

TokenCount WorkspaceHome::AllowanceLimit(absl::Time now) const {
  return now < large_until_ ? 0 : AllowancePart(limits_.burst);
}

TokenCount WorkspaceHome::Outstanding() const {
  TokenCount sum = 0;
  for (const auto& [_, totals] : allowances_) sum += totals.most();
  return sum;
}

void WorkspaceHome::ExpireAllowances(absl::Time now) {
  for (auto it = allowances_.begin(); it != allowances_.end();) {
    auto& totals = it->second.totals;
    while (!totals.empty() && totals.front().expires <= now) totals.pop_front();
    it = totals.empty() ? allowances_.erase(it) : std::next(it);
  }
}

void WorkspaceHome::ForgetOld(absl::Time now) {
  while (!taken_.empty() &&
         (taken_.front().at + TokenBucket::kHistory + TokenBucket::kSlotLength < now ||
          taken_.size() >= kMaxReservations)) {
    by_request_.erase(taken_.front().request_id);
    taken_.pop_front();
  }
}

}  // namespace marigoldquay
