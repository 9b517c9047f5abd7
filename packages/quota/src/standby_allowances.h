// Entry side of the standby allowances: what this VM holds of each workspace it
// used recently, and how much it should hold.
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

/// Not thread-safe.
class StandbyAllowances {
 public:
  struct Options {
    /// Demand that an allowance should cover.
    absl::Duration coverage_period = absl::Seconds(8);
    /// With a life of 10 s, an allowance renewed this often covers at least 8 s at any moment.
    absl::Duration renewal_interval = absl::Seconds(2);
    /// Renewal stops when the workspace was not used for this long.
    absl::Duration idle_timeout = absl::Seconds(20);
    /// Bound on workspaces; further ones get no allowance.
    std::size_t max_workspaces = 10'000;
  };

  /// Content of one renewal request.
  struct Renewal {
    WorkspaceId workspace;
    TokenCount held = 0;
    TokenCount spent = 0;
    TokenCount wanted = 0;
    absl::Time sent_at;
  };

  explicit StandbyAllowances(const Options& options) : options_(options) {}

  /// Counts a request towards the recent demand.
  void RecordDemand(absl::string_view workspace, TokenCount tokens, absl::Time now);

  /// Takes the tokens from the allowance, whole or not at all.
  bool TrySpend(absl::string_view workspace, TokenCount tokens, absl::Time now);

  /// The renewals to be sent now. A workspace has at most one in flight; each returned renewal must
  /// be ended by Apply or Abandon, and its late answer must not be applied.
  std::vector<Renewal> TakeDueRenewals(absl::Time now);

  /// The home's answer: `total` replaces what was held when the request was sent.
  void ApplyRenewal(const Renewal& renewal, TokenCount total, absl::Duration lifetime);
  /// No answer, or one that changes nothing: the allowance stays until it expires.
  void AbandonRenewal(const Renewal& renewal);

  TokenCount Held(absl::string_view workspace, absl::Time now) const;
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    TokenCount held = 0;
    absl::Time expires = absl::InfinitePast();
    // Spent since the last renewal request was sent.
    TokenCount spent = 0;
    bool in_flight = false;
    absl::Time next_renewal = absl::InfinitePast();
    absl::Time last_used;
    // Demand, decaying with the time constant `cover`; in steady use it is what `cover` needs.
    double demand = 0;
    TokenCount largest_request = 0;
  };

  Options options_;
  std::map<WorkspaceId, Entry, std::less<>> entries_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_QUOTA_STANDBY_ALLOWANCES_H_
