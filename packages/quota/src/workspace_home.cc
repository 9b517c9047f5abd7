// Reservations, settlements and standby allowances of one workspace.
#include "workspace_home.h"

#include <algorithm>
#include <utility>

namespace marigoldquay {
namespace {

// Limits the reservations of a workspace to about 10 MB. At 300 requests per second they reach back
// more than 120 s, and older unsettled ones get no refund.
constexpr std::size_t kMaxReservations = 40'000;
// For how long a request above half the burst suspends the allowances of its workspace.
constexpr absl::Duration kAllowanceSuspension = absl::Seconds(120);
// A VM may keep up to this multiple of its share, so that small changes of demand do not move
// tokens between VMs.
constexpr double kKeepFactor = 1.25;

// Bound on the unexpired grants stored per VM. A renewal every 2 s leads to 5 of them.
constexpr std::size_t kMaxGrantsPerVm = 16;

// Part of the burst that is available for allowances.
TokenCount AllowanceBudget(TokenCount burst) { return burst / 2; }

}  // namespace

TokenCount WorkspaceHome::VmGrants::max_tokens() const {
  TokenCount max_tokens = 0;
  for (const auto& grant : grants) max_tokens = std::max(max_tokens, grant.tokens);
  return max_tokens;
}

WorkspaceHome::WorkspaceHome(const WorkspaceLimits& limits, Instance holder, absl::Time start_time)
    : limits_(limits),
      bucket_({limits.rate, limits.burst - AllowanceBudget(limits.burst)}, /*level=*/0, start_time),
      holder_(std::move(holder)),
      start_time_(start_time) {}

ReserveResult WorkspaceHome::Reserve(absl::string_view request_id, TokenCount tokens,
                                     std::uint64_t& next_reservation_id, absl::Time now) {
  PruneReservations(now);
  std::string id(request_id);
  if (const auto found = reservation_ids_.find(id); found != reservation_ids_.end()) {
    // Repeated request: the grant remains valid, and settling it a second time has no effect.
    const bool same = FindReservation(found->second)->tokens == tokens;
    return {same ? ReserveStatus::kGranted : ReserveStatus::kRefused, found->second,
            absl::ZeroDuration()};
  }
  if (tokens > limits_.burst) return {ReserveStatus::kTooLarge, 0, absl::ZeroDuration()};
  if (tokens > limits_.burst - AllowanceBudget(limits_.burst)) {
    allowances_suspended_until_ = now + kAllowanceSuspension;
    UpdateCapacity(now);
  }
  if (const auto slot = bucket_.Reserve(tokens, now)) {
    const std::uint64_t reservation_id = next_reservation_id++;
    reservation_ids_.emplace(id, reservation_id);
    reservations_.push_back({std::move(id), reservation_id, tokens, *slot, /*settled=*/false, now});
    return {ReserveStatus::kGranted, reservation_id, absl::ZeroDuration()};
  }
  absl::Duration wait = bucket_.TimeUntil(tokens, now);
  if (wait == absl::InfiniteDuration()) {
    // The capacity grows when the allowances have expired, and the bucket then refills further.
    const TokenCount missing = tokens - bucket_.limits().capacity;
    wait = bucket_.TimeUntil(bucket_.limits().capacity, now) + kAllowanceLifetime +
           absl::Seconds(static_cast<double>(missing) / limits_.rate);
  }
  // A new home reports that it does not have enough tokens yet, so that VMs use their allowances.
  return {InStartupPeriod(now) ? ReserveStatus::kNotReady : ReserveStatus::kRefused, 0, wait};
}

const WorkspaceHome::GrantedReservation* WorkspaceHome::FindReservation(
    std::uint64_t reservation_id) const {
  const auto found = std::lower_bound(reservations_.begin(), reservations_.end(), reservation_id,
                                      [](const GrantedReservation& reservation, std::uint64_t id) {
                                        return reservation.reservation_id < id;
                                      });
  return found == reservations_.end() || found->reservation_id != reservation_id ? nullptr
                                                                                 : &*found;
}

TokenCount WorkspaceHome::Settle(std::uint64_t reservation_id, TokenCount unused, absl::Time now) {
  PruneReservations(now);
  auto* reservation = const_cast<GrantedReservation*>(FindReservation(reservation_id));
  if (reservation == nullptr || reservation->settled) return 0;
  reservation->settled = true;
  return bucket_.Settle(reservation->slot, std::clamp<TokenCount>(unused, 0, reservation->tokens),
                        now);
}

AllowanceResult WorkspaceHome::GrantAllowance(const Instance& sender, TokenCount held,
                                              TokenCount wanted, absl::Time now) {
  // Allowances of the previous home may still be valid; the sender keeps its own until it expires.
  if (InStartupPeriod(now)) return {};
  UpdateCapacity(now);
  auto& sender_grants = allowances_[sender.ToString()];
  sender_grants.wanted = std::max<TokenCount>(wanted, 0);
  TokenCount total_wanted = 0;
  for (const auto& [_, grants] : allowances_) total_wanted += grants.wanted;
  const TokenCount limit = AllowanceLimit(now);
  TokenCount share = sender_grants.wanted;
  if (total_wanted > limit) {
    share = static_cast<TokenCount>(static_cast<double>(limit) * static_cast<double>(share) /
                                    static_cast<double>(total_wanted));
  }
  const TokenCount previous_max = sender_grants.max_tokens();
  TokenCount kept = std::clamp<TokenCount>(held, 0, previous_max);
  if (static_cast<double>(kept) > kKeepFactor * static_cast<double>(share)) kept = share;
  const TokenCount headroom =
      std::max<TokenCount>(limit - (OutstandingAllowances() - previous_max), 0);
  kept = std::min(kept, headroom);
  // Allowances are filled only while the bucket is more than half full, so that they do not take
  // the tokens that the next requests need. With a threshold of a quarter, a workspace at 90% of
  // its rate was refused when its requests had reserved many tokens that they returned seconds
  // later.
  const TokenCount spare = bucket_.Level(now) - bucket_.limits().capacity / 2;
  const TokenCount added =
      std::max<TokenCount>(std::min({share - kept, headroom - kept, spare}), 0);
  if (added > 0 && !bucket_.Reserve(added, now)) return {};
  if (sender_grants.grants.size() >= kMaxGrantsPerVm) {
    // Merges the two oldest grants into the larger amount and the later expiry, which bound what
    // the VM can hold.
    auto& oldest = sender_grants.grants.front();
    sender_grants.grants[1].tokens = std::max(sender_grants.grants[1].tokens, oldest.tokens);
    sender_grants.grants.pop_front();
  }
  sender_grants.grants.push_back({kept + added, now + kAllowanceLifetime});
  return {kept + added, kAllowanceLifetime};
}

void WorkspaceHome::AcceptBalance(TokenCount balance, absl::Time now) {
  if (balance_accepted_) return;
  balance_accepted_ = true;
  bucket_.Add(balance, now);
}

void WorkspaceHome::SetLimits(const WorkspaceLimits& limits, absl::Time now) {
  if (limits == limits_) return;
  limits_ = limits;
  UpdateCapacity(now);
}

void WorkspaceHome::UpdateCapacity(absl::Time now) {
  ExpireAllowances(now);
  TokenCount withheld = std::max(AllowanceLimit(now), OutstandingAllowances());
  // Allowances of the previous home are unknown here and can be valid until the startup period
  // ends.
  if (InStartupPeriod(now)) withheld = std::max(withheld, AllowanceBudget(limits_.burst));
  bucket_.SetLimits({limits_.rate, std::max<TokenCount>(limits_.burst - withheld, 0)}, now);
}

bool WorkspaceHome::CanBeDiscarded(absl::Time now) {
  UpdateCapacity(now);
  return allowances_.empty() && !InStartupPeriod(now) &&
         bucket_.Level(now) == bucket_.limits().capacity;
}

TokenCount WorkspaceHome::AllowanceLimit(absl::Time now) const {
  return now < allowances_suspended_until_ ? 0 : AllowanceBudget(limits_.burst);
}

TokenCount WorkspaceHome::OutstandingAllowances() const {
  TokenCount sum = 0;
  for (const auto& [_, grants] : allowances_) sum += grants.max_tokens();
  return sum;
}

void WorkspaceHome::ExpireAllowances(absl::Time now) {
  for (auto it = allowances_.begin(); it != allowances_.end();) {
    auto& grants = it->second.grants;
    while (!grants.empty() && grants.front().expires <= now) grants.pop_front();
    it = grants.empty() ? allowances_.erase(it) : std::next(it);
  }
}

void WorkspaceHome::PruneReservations(absl::Time now) {
  while (
      !reservations_.empty() &&
      (reservations_.front().granted_at + TokenBucket::kHistory + TokenBucket::kSlotLength < now ||
       reservations_.size() >= kMaxReservations)) {
    reservation_ids_.erase(reservations_.front().request_id);
    reservations_.pop_front();
  }
}

}  // namespace marigoldquay
