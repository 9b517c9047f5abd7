// Coordinator: charges of requests to the quota of their workspace, and refunds of those that did
// not run. A caller that is refused and comes again pays once.
#include <algorithm>
#include <limits>

#include "marigoldquay/core/metrics.h"
#include "marigoldquay/fleet/coordinator.h"
#include "wire.h"

namespace marigoldquay {
namespace {

using internal::AccountFromWire;
using internal::FindQuota;

// With a smaller quota share, refusals are provisional: VMs that do not report here yet still hold
// part of the rates.
constexpr double kMinFullShare = 0.9;

void CountRefund(TokenCount tokens) {
  MetricsRegistry::Global()
      .counter("marigoldquay_fleet_refunded_tokens_total",
               "Tokens given back to workspaces for requests that did not run.")
      .Increment(tokens);
}

}  // namespace

bool Coordinator::ChargeQuota(const protocol::PlaceStreamRequestT& request,
                              protocol::PlaceStreamReplyT& refusal) {
  const bool server = !request.charged_server.empty();
  const QuotaAccount account =
      server ? QuotaAccount{QuotaAccount::Kind::kBackendServer, request.charged_server}
             : QuotaAccount{QuotaAccount::Kind::kWorkspace, request.workspace};
  const auto quota = FindQuota(view_, account);
  if (!quota || request.charge <= 0) return true;
  const auto decision = quota_.Admit(*quota, request.charge, clock_.Now());
  if (decision.admitted) return true;
  refusal.status = protocol::PlaceStreamStatus::OverQuota;
  refusal.reason = server ? "request limit of the backend server reached"
                          : "rate limit of the workspace exceeded";
  refusal.provisional = quota_.share() < kMinFullShare;
  refusal.retry_after_ms =
      static_cast<std::uint32_t>(absl::ToInt64Milliseconds(decision.retry_after));
  return false;
}

void Coordinator::Refund(const Charge& charge) {
  const auto quota = FindQuota(view_, {QuotaAccount::Kind::kWorkspace, charge.workspace});
  if (!quota || charge.tokens <= 0) return;
  quota_.Refund(*quota, charge.tokens, clock_.Now());
  CountRefund(charge.tokens);
}

void Coordinator::KeepOrRefund(const TicketKey& key, const Charge& charge, StreamVerdict verdict) {
  if (charge.tokens <= 0) return;
  if (verdict == StreamVerdict::kRefused) {
    Refund(charge);
  } else {
    charges_[key] = charge;
  }
}

void Coordinator::RefundTicket(const TicketKey& key) {
  const auto found = charges_.find(key);
  if (found == charges_.end()) return;
  Refund(found->second);
  charges_.erase(found);
}

void Coordinator::SettleSpent(const protocol::FleetReportT& report) {
  for (const auto& entry : report.spent) {
    const QuotaAccount account = AccountFromWire(*entry);
    const auto quota = FindQuota(view_, account);
    if (!quota) continue;
    if (entry->tokens >= 0) {
      quota_.Charge(*quota, entry->tokens, clock_.Now());
    } else if (account.kind == QuotaAccount::Kind::kWorkspace) {
      // Only workspaces are refunded; the lowest number has no counterpart.
      Refund({account.name, -std::max(entry->tokens, -std::numeric_limits<TokenCount>::max())});
    }
  }
}

}  // namespace marigoldquay
