// Quotas of workspaces and backend servers.
#include "marigoldquay/dispatch/quota_account.h"

#include <algorithm>
#include <cmath>

namespace marigoldquay {
namespace {

// Requests per second to a server that accepts fewer. Only its responses tell when the limit ends,
// and callers may have no other server.
constexpr double kMinRequestRate = 0.5;
// Above this rate the limit cannot be reached.
constexpr double kMaxRequestRate = 1e9;
// Time in which a server may get requests at once that its rate allows. Short, because a server in
// need is relieved by an even pace, and a lost coordinator can cost one more burst.
constexpr double kRequestBurstSeconds = 0.5;

}  // namespace

AccountQuota QuotaOf(const CatalogWorkspace& workspace) {
  return {{QuotaAccount::Kind::kWorkspace, workspace.name},
          workspace.quota.limited() ? workspace.quota.rate : 0,
          workspace.quota.burst};
}

AccountQuota QuotaOf(const Replica& server) {
  AccountQuota quota{{QuotaAccount::Kind::kBackendServer, server.id}, 0, 0};
  if (!server.request_limit.per_second) return quota;
  const double per_second =
      std::clamp(*server.request_limit.per_second, kMinRequestRate, kMaxRequestRate);
  const double rate = per_second * static_cast<double>(kRequestCost);
  quota.rate = std::llround(rate);
  quota.burst = std::max(kRequestCost, static_cast<TokenCount>(rate * kRequestBurstSeconds));
  return quota;
}

}  // namespace marigoldquay
