// Server side of the quota: the token buckets of all workspaces whose home is this process.
//
// The home of a workspace is the process that holds its exclusive role. A bucket starts with the
// balance that the previous home handed over, or empty at the time at which this process acquired
// the role, and refills from then on. A workspace that is configured long after the role was
// acquired can therefore start full, which is safe because no other process granted tokens for it
// in between.
#ifndef MARIGOLDQUAY_QUOTA_WORKSPACE_HOMES_H_
#define MARIGOLDQUAY_QUOTA_WORKSPACE_HOMES_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "marigoldquay/core/clock.h"
#include "marigoldquay/core/types.h"
#include "marigoldquay/membership/member_view.h"
#include "marigoldquay/transport/rpc.h"

namespace marigoldquay {

class WorkspaceHome;

struct WorkspaceLimits {
  /// Tokens per second.
  TokenCount rate = 1;
  /// Tokens.
  TokenCount burst = 1;

  bool operator==(const WorkspaceLimits&) const = default;
};

/// Lifetime of a standby allowance, measured from the time at which the request that granted or
/// renewed it was sent. A new home grants no allowances for this long, because those of the
/// previous home may still be valid.
inline constexpr absl::Duration kAllowanceLifetime = absl::Seconds(10);

enum class ReserveStatus {
  kGranted,
  kRefused,
  /// This process is not the home of the workspace.
  kNotOwner,
  /// More tokens than the burst.
  kTooLarge,
  /// The home is new and does not have enough tokens yet; the standby allowance may be used.
  kNotReady,
};

struct ReserveResult {
  ReserveStatus status = ReserveStatus::kNotOwner;
  /// Identifies the reservation for Settle.
  std::uint64_t reservation_id = 0;
  /// Time until the tokens are expected to be available.
  absl::Duration retry_after;
};

struct AllowanceResult {
  /// Tokens that the sender holds from now on, replacing its previous allowance.
  TokenCount total = 0;
  /// Zero when nothing was granted: the sender keeps its previous allowance until it expires.
  absl::Duration lifetime;
};

/// Key of the exclusive role whose holder is the home of the workspace.
std::string WorkspaceKey(absl::string_view workspace);

/// Thread-safe. Calls MemberView only while it does not hold its own lock. Accept calls
/// MemberView::self(), so its caller must not hold a lock that self() takes.
class WorkspaceHomes final : public ExclusiveState {
 public:
  /// `members` and `clock` must outlive this object.
  WorkspaceHomes(const MemberView& members, const Clock& clock);
  ~WorkspaceHomes() override;

  /// Registers the handlers of the Reserve, Settle and Allowance messages.
  void Register(RpcRegistry& registry);

  /// Sets the workspaces of the current configuration. Call it whenever the revision changes.
  void SetWorkspaces(std::map<WorkspaceId, WorkspaceLimits, std::less<>> workspaces);

  /// Creates the state of workspaces whose role this process has acquired. Call it about every
  /// 100 ms.
  void Refresh();

  /// Reserves tokens. Repeating a granted `request_id` within 120 s returns the same reservation,
  /// even if it was settled; a client that wants a new reservation uses a new id.
  ReserveResult Reserve(absl::string_view workspace, absl::string_view request_id,
                        TokenCount tokens);
  /// Returns the unused tokens of a reservation. Only the first settlement has an effect.
  void Settle(absl::string_view workspace, std::uint64_t reservation_id, TokenCount unused);
  /// Grants or renews the standby allowance of `sender`, which holds `held` tokens and asks for
  /// `wanted`.
  AllowanceResult GrantAllowance(const Instance& sender, absl::string_view workspace,
                                 TokenCount held, TokenCount wanted);

  /// Hands over the workspaces whose home is `to` among `members_after`, and returns their balances
  /// by role key. Repeating the call for the same instance and epoch returns the same balances.
  std::vector<std::pair<std::string, std::int64_t>> Release(
      const Instance& to, Offset epoch, const std::vector<VmId>& members_after) override;
  /// Takes over balances that a previous home released.
  void Accept(const std::vector<std::pair<std::string, std::int64_t>>& balances) override;

  /// Tokens in the bucket; nullopt when this process has no bucket for the workspace.
  std::optional<TokenCount> Level(absl::string_view workspace) const;
  /// Number of workspaces for which this process has a bucket.
  std::size_t size() const;

 private:
  struct ReleaseRecord {
    Instance to;
    Offset epoch = 0;
    std::vector<VmId> members_after;
    std::vector<std::pair<std::string, std::int64_t>> balances;
  };

  // Whether this process currently holds the role of the workspace as instance `self`.
  bool HoldsRole(absl::string_view workspace, const Instance& self) const;
  // The home of a configured workspace that belongs to instance `self`, or nullptr.
  WorkspaceHome* FindHome(absl::string_view workspace, const Instance& self)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Whether the role was handed over at `epoch` or later.
  bool IsReleased(const std::string& key, Offset epoch) const ABSL_SHARED_LOCKS_REQUIRED(mutex_);
  // Resets the state that belongs to an earlier instance or epoch, and returns the workspaces whose
  // home may have to be created.
  std::vector<WorkspaceId> BeginRefresh(const Instance& self, Offset epoch, bool& scan_all)
      ABSL_LOCKS_EXCLUDED(mutex_);
  void CreateHome(const WorkspaceId& workspace, const Instance& self, Offset epoch)
      ABSL_LOCKS_EXCLUDED(mutex_);

  const MemberView& members_;
  const Clock& clock_;

  mutable absl::Mutex mutex_;
  std::map<WorkspaceId, WorkspaceLimits, std::less<>> workspaces_ ABSL_GUARDED_BY(mutex_);
  // Accepted balances of workspaces that are not configured here yet. Bounded.
  std::map<WorkspaceId, TokenCount> early_balances_ ABSL_GUARDED_BY(mutex_);
  std::map<WorkspaceId, std::unique_ptr<WorkspaceHome>, std::less<>> homes_ ABSL_GUARDED_BY(mutex_);
  // Workspaces assigned to this process by rendezvous hashing whose role it does not hold yet;
  // checked by each Refresh.
  std::vector<WorkspaceId> pending_roles_ ABSL_GUARDED_BY(mutex_);
  // The latest releases, so that a repeated Release returns the same balances. Bounded.
  std::vector<ReleaseRecord> recent_releases_ ABSL_GUARDED_BY(mutex_);
  std::uint64_t next_reservation_id_ ABSL_GUARDED_BY(mutex_);

  // State of the last Refresh; epoch_start_ is the time at which it first saw the epoch.
  bool scan_all_ ABSL_GUARDED_BY(mutex_) = true;
  Instance last_self_ ABSL_GUARDED_BY(mutex_);
  Offset last_epoch_ ABSL_GUARDED_BY(mutex_) = 0;
  absl::Time epoch_start_ ABSL_GUARDED_BY(mutex_) = absl::InfiniteFuture();
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_QUOTA_WORKSPACE_HOMES_H_
