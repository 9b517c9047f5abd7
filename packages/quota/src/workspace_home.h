// State of one workspace at its home: the token bucket, the reservations that can still be settled,
// and the outstanding standby allowances.
//
// Net spends of all VMs stay within rate x time + burst in every window. At any time the level of
// the bucket plus the outstanding allowances is at most the burst, because the capacity of the
// bucket is the burst minus the allowance limit, and allowances are filled only with tokens taken
// from the bucket. Within a window, VMs can spend only the allowances outstanding at its start and
// the tokens that the bucket grants during it.
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

/// Grants reservations and allowances of one workspace. Not thread-safe.
class WorkspaceHome {
 public:
  /// The bucket is empty at `start_time`. `holder` is the instance of this process that held the
  /// exclusive role when the state was created.
  WorkspaceHome(const WorkspaceLimits& limits, Instance holder, absl::Time start_time);

  /// Grants or refuses a reservation; a new one takes its id from `next_reservation_id` and
  /// increments it.
  ReserveResult Reserve(absl::string_view request_id, TokenCount tokens,
                        std::uint64_t& next_reservation_id, absl::Time now);
  /// Settles a reservation and returns the number of tokens that came back.
  TokenCount Settle(std::uint64_t reservation_id, TokenCount unused, absl::Time now);
  /// Replaces the allowance of `sender`, which still holds `held` tokens and asks for `wanted`.
  AllowanceResult GrantAllowance(const Instance& sender, TokenCount held, TokenCount wanted,
                                 absl::Time now);

  /// Adds a balance handed over by the previous home. Only the first call has an effect.
  void AcceptBalance(TokenCount balance, absl::Time now);
  void SetLimits(const WorkspaceLimits& limits, absl::Time now);
  /// Adjusts the capacity of the bucket to the outstanding allowances.
  void UpdateCapacity(absl::Time now);

  TokenCount Level(absl::Time now) const { return bucket_.Level(now); }
  /// Whether discarding the state loses nothing: the bucket is full and no allowance is
  /// outstanding.
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
  // Unexpired grants to one VM. Each grant replaces the previous allowance of the VM, but its reply
  // may be lost, so the VM may hold as much as the largest of these grants.
  struct VmGrants {
    struct Grant {
      TokenCount tokens = 0;
      absl::Time expires;
    };
    std::deque<Grant> grants;
    // Tokens that the VM asked for last.
    TokenCount wanted = 0;

    // Upper bound on what the VM holds.
    TokenCount max_tokens() const;
  };

  // Drops reservations that can no longer be settled, and the oldest ones when there are too many.
  void PruneReservations(absl::Time now);
  void ExpireAllowances(absl::Time now);
  const GrantedReservation* FindReservation(std::uint64_t reservation_id) const;
  // Upper bound on the sum of the allowances that all VMs hold.
  TokenCount OutstandingAllowances() const;
  // Bound on the sum of all allowances; 0 while they are suspended.
  TokenCount AllowanceLimit(absl::Time now) const;
  // Whether allowances granted by the previous home may still be valid.
  bool InStartupPeriod(absl::Time now) const { return now < start_time_ + kAllowanceLifetime; }

  WorkspaceLimits limits_;
  TokenBucket bucket_;
  Instance holder_;
  absl::Time start_time_;
  bool balance_accepted_ = false;
  // Until this time no allowances are granted, so that the capacity can grow to the burst.
  absl::Time allowances_suspended_until_ = absl::InfinitePast();
  // Ordered by id and thereby by age.
  std::deque<GrantedReservation> reservations_;
  std::unordered_map<std::string, std::uint64_t> reservation_ids_;  // By request id.
  std::map<std::string, VmGrants> allowances_;                      // By Instance::ToString().
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_QUOTA_WORKSPACE_HOME_H_
