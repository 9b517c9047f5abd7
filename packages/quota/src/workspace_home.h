// Everything that the home of one workspace knows: its bucket, the reservations
// that can still be settled, and the standby allowances that are out.
//
// Why net spends over all VMs stay within rate x time + burst in every window:
// at each moment the bucket's level plus the allowances that are out is at most
// the burst, because the bucket's capacity is the burst less what allowances may
// take, and an allowance is filled only with tokens taken from the bucket. In a
// window, VMs can spend the allowances that were out at its start, and what the
// bucket gave during it.
#ifndef MARIGOLDQUAY_QUOTA_WORKSPACE_HOME_H_
#define MARIGOLDQUAY_QUOTA_WORKSPACE_HOME_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "marigoldquay/core/types.h"
#include "marigoldquay/quota/token_bucket.h"
#include "marigoldquay/quota/workspace_homes.h"

namespace marigoldquay {

/// Not thread-safe.
class WorkspaceHome {
 public:
  /// Starts empty at `since`; `holder` is the instance of this process whose exclusive role the
  /// state belongs to.
  WorkspaceHome(const WorkspaceLimits& limits, Instance holder, absl::Time start_time);

  /// `next_number` is advanced for a new reservation.
  ReserveResult Reserve(absl::string_view request_id, TokenCount tokens,
                        std::uint64_t& next_reservation_id, absl::Time now);
  /// Returns the tokens that came back.
  TokenCount Settle(std::uint64_t reservation_id, TokenCount unused, absl::Time now);
  AllowanceResult GrantAllowance(const Instance& sender, TokenCount held, TokenCount wanted,
                                 absl::Time now);

  /// Takes over a balance once; later calls have no effect.
  void AcceptBalance(TokenCount balance, absl::Time now);
  void SetLimits(const WorkspaceLimits& limits, absl::Time now);
  /// Adapts the capacity to the allowances that are out.
  void UpdateCapacity(absl::Time now);

  TokenCount Level(absl::Time now) const { return bucket_.Level(now); }
  /// Whether nothing would be lost by starting over: the bucket is full and no allowance is out.
  bool CanBeDiscarded(absl::Time now);
  const Instance& holder() const { return holder_; }

 private:
  struct GrantedReservation {
    std::string request_id;
    std::uint64_t reservation_id = 0;
    TokenCount tokens = 0;
    TokenBucket::SlotNumber slot = 0;
    bool settled = false;
    absl::Time granted_at;
  };
  // What one VM was told that it may hold. A reply replaces the VM's former allowance and may be
  // lost, so until a total expires the VM can hold as much as the largest of them.
  struct VmGrants {
    struct Grant {
      TokenCount tokens = 0;
      absl::Time expires;
    };
    std::deque<Grant> grants;
    TokenCount wanted = 0;

    TokenCount max_tokens() const;
  };

  void PruneReservations(absl::Time now);
  void ExpireAllowances(absl::Time now);
  const GrantedReservation* FindReservation(std::uint64_t reservation_id) const;
  TokenCount OutstandingAllowances() const;
  TokenCount AllowanceLimit(absl::Time now) const;
  bool InStartupPeriod(absl::Time now) const { return now < start_time_ + kAllowanceLifetime; }

  WorkspaceLimits limits_;
  TokenBucket bucket_;
  Instance holder_;
  absl::Time start_time_;
  bool balance_accepted_ = false;
  // While set in the future, no allowances are granted, so that the capacity can grow to the burst.
  absl::Time allowances_suspended_until_ = absl::InfinitePast();
  // Ordered by number and age.
  std::deque<GrantedReservation> reservations_;
  std::unordered_map<std::string, std::uint64_t> reservation_ids_;  // Numbers, by request id.
  std::map<std::string, VmGrants> allowances_;                      // By instance in text form.
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_QUOTA_WORKSPACE_HOME_H_
