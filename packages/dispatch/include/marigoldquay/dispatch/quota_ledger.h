// Token buckets of all workspaces that one VM accounts for. Several ledgers keep
// a workspace within its rate and burst as long as their shares add up to one.
#ifndef MARIGOLDQUAY_DISPATCH_QUOTA_LEDGER_H_
#define MARIGOLDQUAY_DISPATCH_QUOTA_LEDGER_H_

#include <algorithm>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "marigoldquay/core/types.h"
#include "marigoldquay/routing/catalog.h"

namespace marigoldquay {

struct QuotaDecision {
  bool admitted = false;
  /// When not admitted: the time until the tokens are there.
  absl::Duration retry_after;
  /// When not admitted: whether that may change within a moment, as the ledger that decided is
  /// still taking over from another one.
  bool provisional = false;

  bool operator==(const QuotaDecision&) const = default;
};

/// Buckets start with a part of their burst only, since a ledger that takes over from another one
/// does not know what that one has spent. Not thread-safe.
class QuotaLedger {
 public:
  /// Part of the burst that a bucket holds at first.
  static constexpr double kInitialFillFraction = 0.5;

  /// `share`, 0 to 1, is the part of every rate and burst that this ledger hands out.
  explicit QuotaLedger(double share = 1.0) : share_(share) {}

  /// Tokens by which a workspace may exceed its burst, over all ledgers: the deployment counts with
  /// such a tolerance, so that refusing less than it allows would refuse requests within the quota.
  void SetTolerance(TokenCount tokens) { tolerance_ = tokens; }

  /// Changes the share. A lower one takes its part of each level away. A share that is higher than
  /// any before adds a part that starts like a new bucket; one that comes back adds nothing, as
  /// what it had may be spent elsewhere.
  void SetShare(double share) { share_ = std::clamp(share, 0.0, 1.0); }
  double share() const { return share_; }

  /// Takes the tokens when the level covers them. A cost above the whole burst is admitted from a
  /// full bucket and leaves a debt.
  QuotaDecision Admit(const CatalogWorkspace& workspace, TokenCount tokens, absl::Time now);
  /// Takes the tokens of requests that were admitted elsewhere; the level may become negative.
  void Charge(const CatalogWorkspace& workspace, TokenCount tokens, absl::Time now);
  /// The level over all ledgers was no more than `fleet_level`: parts that are added from now on
  /// start with no more.
  void CapInitialLevel(const CatalogWorkspace& workspace, TokenCount fleet_level, absl::Time now);
  /// Forgets all levels, when other ledgers have handed out tokens in the meantime.
  void Reset() { buckets_.clear(); }
  /// Tokens available; negative while there is a debt.
  TokenCount Level(const CatalogWorkspace& workspace, absl::Time now);

 private:
  struct Bucket {
    double level = 0;
    absl::Time updated;
    // Share for which the level holds, and the highest so far.
    double share = 0;
    double highest_share = 0;
    // Level with which a whole bucket would start.
    double initial_level = 0;
  };

  double Burst(const CatalogWorkspace& workspace) const;
  Bucket& Refill(const CatalogWorkspace& workspace, absl::Time now);
  void ApplyShare(Bucket& bucket) const;

  double share_;
  TokenCount tolerance_ = 0;
  // One per workspace of the catalogs that were in force; bounded by their number.
  absl::flat_hash_map<WorkspaceId, Bucket> buckets_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_DISPATCH_QUOTA_LEDGER_H_
