// Server side of the quota: the buckets of all workspaces whose home is this
// process.
//
// The bucket of each workspace counts as empty at the time at which this process
// took its exclusive role, or starts with the balance that the former home handed
// over, and refills from then on. A workspace that is configured long after the
// role was taken can therefore start full: nobody else has granted anything for
// it in between.
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

/// Life of a standby allowance from the send time of the request that granted or renewed it, and
/// the time for which a new home grants none, because those of its predecessor may still be out.
inline constexpr absl::Duration kAllowanceLifetime = absl::Seconds(10);

enum class ReserveStatus {
  kGranted,
  kRefused,
  /// Not the home of the workspace.
  kNotOwner,
  kTooLarge,
  /// The home is new and still short of tokens; use the standby allowance.
  kNotReady,
};

struct ReserveResult {
  ReserveStatus status = ReserveStatus::kNotOwner;
  /// Identifies the reservation for Settle.
  std::uint64_t reservation_id = 0;
  absl::Duration retry_after;
};

struct AllowanceResult {
  /// What the sender holds from now on, in place of its former allowance.
  TokenCount total = 0;
  /// Zero when nothing changes: the sender keeps what it holds until that expires.
  absl::Duration lifetime;
};

/// Key of a workspace's home among the exclusive roles.
std::string WorkspaceKey(absl::string_view workspace);

/// Thread-safe. Calls the MemberView only without holding its own lock. Accept calls self(), so the
/// membership must not hold a lock that self() takes.
class WorkspaceHomes final : public ExclusiveState {
 public:
  /// `members` and `clock` must outlive it.
  WorkspaceHomes(const MemberView& members, const Clock& clock);
  ~WorkspaceHomes() override;

  /// Registers the handlers of Reserve, Settle and Allowance.
  void Register(RpcRegistry& registry);

  /// The workspaces of the configuration in force; call it whenever the revision changes.
  void SetWorkspaces(std::map<WorkspaceId, WorkspaceLimits, std::less<>> workspaces);

  /// Takes up the roles that this process holds by now; call it about every 100 ms.
  void Refresh();

  /// Repeating a granted request_id within 120 s returns the same reservation, whatever has
  /// become of it; a client that sends anew uses another id.
  ReserveResult Reserve(absl::string_view workspace, absl::string_view request_id,
                        TokenCount tokens);
  /// The first settlement of a reservation counts.
  void Settle(absl::string_view workspace, std::uint64_t reservation_id, TokenCount unused);
  AllowanceResult GrantAllowance(const Instance& sender, absl::string_view workspace,
                                 TokenCount held, TokenCount wanted);

  std::vector<std::pair<std::string, std::int64_t>> Release(
      const Instance& to, Offset epoch, const std::vector<VmId>& members_after) override;
  void Accept(const std::vector<std::pair<std::string, std::int64_t>>& balances) override;

  /// Tokens in the bucket; nullopt when this process has none for the workspace.
  std::optional<TokenCount> Level(absl::string_view workspace) const;
  /// Number of workspaces with a bucket here.
  std::size_t size() const;

 private:
  struct ReleaseRecord {
    Instance to;
    Offset epoch = 0;
    std::vector<VmId> members_after;
    std::vector<std::pair<std::string, std::int64_t>> balances;
  };

  // Whether this process, as `self`, holds the workspace's role now.
  bool HoldsRole(absl::string_view workspace, const Instance& self) const;
  // The state in use for a configured workspace, or nullptr.
  WorkspaceHome* FindHome(absl::string_view workspace, const Instance& self)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  bool IsReleased(const std::string& key, Offset epoch) const ABSL_SHARED_LOCKS_REQUIRED(mutex_);
  // Starts over for another instance or epoch, and returns the workspaces that may be taken up.
  std::vector<WorkspaceId> BeginRefresh(const Instance& self, Offset epoch, bool& scan_all)
      ABSL_LOCKS_EXCLUDED(mutex_);
  void CreateHome(const WorkspaceId& workspace, const Instance& self, Offset epoch)
      ABSL_LOCKS_EXCLUDED(mutex_);

  const MemberView& members_;
  const Clock& clock_;

  mutable absl::Mutex mutex_;
  std::map<WorkspaceId, WorkspaceLimits, std::less<>> workspaces_ ABSL_GUARDED_BY(mutex_);
  // Balances for workspaces that are not configured here yet. Bounded.
  std::map<WorkspaceId, TokenCount> early_balances_ ABSL_GUARDED_BY(mutex_);
  std::map<WorkspaceId, std::unique_ptr<WorkspaceHome>, std::less<>> homes_ ABSL_GUARDED_BY(mutex_);
  // Owned by hash but not held yet; checked at each Refresh.
  std::vector<WorkspaceId> pending_roles_ ABSL_GUARDED_BY(mutex_);
  // Last releases, so that a repeated Release returns the same balances. Bounded.
  std::vector<ReleaseRecord> recent_releases_ ABSL_GUARDED_BY(mutex_);
  std::uint64_t next_reservation_id_ ABSL_GUARDED_BY(mutex_);

  // What the last Refresh saw.
  bool scan_all_ ABSL_GUARDED_BY(mutex_) = true;
  Instance last_self_ ABSL_GUARDED_BY(mutex_);
  Offset last_epoch_ ABSL_GUARDED_BY(mutex_) = 0;
  absl::Time epoch_start_ ABSL_GUARDED_BY(mutex_) = absl::InfiniteFuture();
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_QUOTA_WORKSPACE_HOMES_H_
