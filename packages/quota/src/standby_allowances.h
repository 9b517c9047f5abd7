// Standby allowances that this VM holds of recently used workspaces. They let it grant requests
// while the home of a workspace does not answer.
#ifndef MARIGOLDQUAY_QUOTA_STANDBY_ALLOWANCES_H_
#define MARIGOLDQUAY_QUOTA_STANDBY_ALLOWANCES_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "marigoldquay/core/types.h"

namespace marigoldquay {

/// Tracks the demand, the allowance and its renewal per workspace. Not thread-safe.
class StandbyAllowances {
 public:
  struct Options {
    /// An allowance is sized for the demand of this period.
    absl::Duration coverage_period = absl::Seconds(8);
    /// An allowance has a lifetime of 10 s; renewed at this interval, it is valid for at least 8 s
    /// more at any time.
    absl::Duration renewal_interval = absl::Seconds(2);
    /// Renewal stops when the workspace was not used for this long.
    absl::Duration idle_timeout = absl::Seconds(20);
    /// Bound on the number of workspaces; further ones get no allowance.
    std::size_t max_workspaces = 10'000;
  };

  /// Content of one renewal request to the home.
  struct Renewal {
    WorkspaceId workspace;
    /// Tokens of the current allowance that are left.
    TokenCount held = 0;
    /// Tokens spent since the previous renewal request.
    TokenCount spent = 0;
    /// Tokens that this VM should hold.
    TokenCount wanted = 0;
    absl::Time sent_at;
  };

  explicit StandbyAllowances(const Options& options) : options_(options) {}

  /// Adds a request of `tokens` to the demand of the workspace.
  void RecordDemand(absl::string_view workspace, TokenCount tokens, absl::Time now);

  /// Takes all of the tokens from the allowance; false, without effect, when it does not cover
  /// them.
  bool TrySpend(absl::string_view workspace, TokenCount tokens, absl::Time now);

  /// Returns the renewals to send now. A workspace has at most one renewal in flight. Each returned
  /// renewal must be ended by ApplyRenewal or AbandonRenewal; a reply that arrives after that must
  /// not be applied.
  std::vector<Renewal> TakeDueRenewals(absl::Time now);

  /// Applies the reply of the home: `total` replaces what was held when the request was sent.
  void ApplyRenewal(const Renewal& renewal, TokenCount total, absl::Duration lifetime);
  /// Ends a renewal without a reply, or with one that grants nothing: the allowance stays as it is
  /// until it expires.
  void AbandonRenewal(const Renewal& renewal);

  /// Tokens of the allowance that are left; 0 when it has expired.
  TokenCount Held(absl::string_view workspace, absl::Time now) const;
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    TokenCount held = 0;
    absl::Time expires = absl::InfinitePast();
    // Tokens spent since the last renewal request was sent.
    TokenCount spent = 0;
    bool in_flight = false;
    absl::Time next_renewal = absl::InfinitePast();
    absl::Time last_used;
    // Sum of the recorded requests, decaying exponentially with the time constant coverage_period.
    // Under a steady load it converges to the demand of one coverage_period.
    double demand = 0;
    // Largest request, decaying with four times that time constant.
    TokenCount largest_request = 0;
  };

  Options options_;
  std::map<WorkspaceId, Entry, std::less<>> entries_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_QUOTA_STANDBY_ALLOWANCES_H_
