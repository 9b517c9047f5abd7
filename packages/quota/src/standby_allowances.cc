// Demand estimate, spends and renewals of standby allowances.
#include "standby_allowances.h"

#include <algorithm>
#include <cmath>

namespace marigoldquay {
namespace {

double Decay(absl::Duration elapsed, absl::Duration time_constant) {
  return std::exp(-absl::FDivDuration(elapsed, time_constant));
}

}  // namespace

void StandbyAllowances::RecordDemand(absl::string_view workspace, TokenCount tokens,
                                     absl::Time now) {
  auto found = entries_.find(workspace);
  if (found == entries_.end()) {
    if (entries_.size() >= options_.max_workspaces) return;
    found = entries_.emplace(WorkspaceId(workspace), Entry{}).first;
    found->second.last_used = now;
  }
  Entry& entry = found->second;
  const double decay = Decay(now - entry.last_used, options_.coverage_period);
  entry.demand = entry.demand * decay + static_cast<double>(tokens);
  entry.largest_request = std::max(
      tokens, static_cast<TokenCount>(static_cast<double>(entry.largest_request) *
                                      Decay(now - entry.last_used, 4 * options_.coverage_period)));
  entry.last_used = now;
}

bool StandbyAllowances::TrySpend(absl::string_view workspace, TokenCount tokens, absl::Time now) {
  const auto found = entries_.find(workspace);
  if (found == entries_.end()) return false;
  Entry& entry = found->second;
  if (now >= entry.expires || entry.held < tokens) return false;
  entry.held -= tokens;
  entry.spent += tokens;
  return true;
}

std::vector<StandbyAllowances::Renewal> StandbyAllowances::TakeDueRenewals(absl::Time now) {
  std::vector<Renewal> due;
  for (auto it = entries_.begin(); it != entries_.end();) {
    auto& [workspace, entry] = *it;
    if (now >= entry.expires) entry.held = 0;
    if (now - entry.last_used > options_.idle_timeout) {
      const bool removable = !entry.in_flight && entry.held == 0;
      it = removable ? entries_.erase(it) : std::next(it);
      continue;
    }
    ++it;
    if (entry.in_flight || now < entry.next_renewal) continue;
    const double demand = entry.demand * Decay(now - entry.last_used, options_.coverage_period);
    // Adds the largest request to the mean demand, because an allowance must cover a request
    // completely and at low demand the decayed sum falls below the size of one request.
    const auto wanted = static_cast<TokenCount>(std::ceil(demand)) + entry.largest_request;
    due.push_back({workspace, entry.held, entry.spent, wanted, now});
    entry.spent = 0;
    entry.in_flight = true;
    entry.next_renewal = now + options_.renewal_interval;
  }
  return due;
}

void StandbyAllowances::ApplyRenewal(const Renewal& renewal, TokenCount total,
                                     absl::Duration lifetime) {
  const auto found = entries_.find(renewal.workspace);
  if (found == entries_.end()) return;
  Entry& entry = found->second;
  entry.in_flight = false;
  // The total refers to the time at which the request was sent; later spends are subtracted.
  entry.held = std::max<TokenCount>(total - entry.spent, 0);
  entry.expires = renewal.sent_at + lifetime;
}

void StandbyAllowances::AbandonRenewal(const Renewal& renewal) {
  const auto found = entries_.find(renewal.workspace);
  if (found != entries_.end()) found->second.in_flight = false;
}

TokenCount StandbyAllowances::Held(absl::string_view workspace, absl::Time now) const {
  const auto found = entries_.find(workspace);
  if (found == entries_.end() || now >= found->second.expires) return 0;
  return found->second.held;
}

}  // namespace marigoldquay
