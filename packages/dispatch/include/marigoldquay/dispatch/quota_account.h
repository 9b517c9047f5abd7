// Accounts whose use is limited over all VMs together: workspaces, charged in tokens, and backend
// servers that state a request limit, charged for each request.
#ifndef MARIGOLDQUAY_DISPATCH_QUOTA_ACCOUNT_H_
#define MARIGOLDQUAY_DISPATCH_QUOTA_ACCOUNT_H_

#include <string>
#include <tuple>
#include <utility>

#include "marigoldquay/core/types.h"
#include "marigoldquay/routing/catalog.h"
#include "marigoldquay/routing/replica_table.h"

namespace marigoldquay {

/// Charge of a request to a backend server. Levels of servers count thousandths of a request,
/// because request limits may be fractions.
inline constexpr TokenCount kRequestCost = 1000;

struct QuotaAccount {
  enum class Kind { kWorkspace, kBackendServer };

  Kind kind = Kind::kWorkspace;
  /// Name of the workspace or id of the backend server.
  std::string name;

  bool operator==(const QuotaAccount&) const = default;
  friend bool operator<(const QuotaAccount& a, const QuotaAccount& b) {
    return std::tie(a.kind, a.name) < std::tie(b.kind, b.name);
  }
  template <class HashState>
  friend HashState AbslHashValue(HashState state, const QuotaAccount& account) {
    return HashState::combine(std::move(state), account.kind, account.name);
  }
};

/// Rate and burst of an account over all VMs together.
struct AccountQuota {
  QuotaAccount account;
  /// Tokens per second; 0 means no limit.
  TokenCount rate = 0;
  TokenCount burst = 0;

  bool limited() const { return rate > 0; }

  bool operator==(const AccountQuota&) const = default;
};

AccountQuota QuotaOf(const CatalogWorkspace& workspace);
/// Not limited when the server states no request limit.
AccountQuota QuotaOf(const Replica& server);

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_DISPATCH_QUOTA_ACCOUNT_H_
