// Acquisition, handover and RPC handlers of the workspace homes.
#include "marigoldquay/quota/workspace_homes.h"

#include <algorithm>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "marigoldquay/core/logger.h"
#include "marigoldquay/core/metrics.h"
#include "marigoldquay/core/rendezvous.h"
#include "workspace_home.h"

namespace marigoldquay {
namespace {

constexpr absl::string_view kKeyPrefix = "workspace/";
// The role of a removed holder can be acquired 2.5 s plus a margin of 10% after the removal record
// was read. Refresh sees the new epoch up to 100 ms late, which only delays the acquisition.
constexpr absl::Duration kTakeoverDelay = absl::Milliseconds(2750);
constexpr std::size_t kMaxReleases = 64;
constexpr std::size_t kMaxEarlyBalances = 10'000;

const Logger& Log() {
  static const Logger& logger = *new Logger("quota");
  return logger;
}

Counter& HomeReserveCounter(absl::string_view result) {
  return MetricsRegistry::Global().counter("marigoldquay_home_reserves_total",
                                           "Reservations answered as home, by result",
                                           {{"result", std::string(result)}});
}

std::uint32_t ToMillis(absl::Duration duration) {
  // Rounds up, because a retry after a duration rounded down would come too early. At most 24 h.
  const auto capped = std::min(duration, absl::Hours(24));
  return static_cast<std::uint32_t>(absl::ToInt64Milliseconds(capped + absl::Microseconds(999)));
}

protocol::ReserveReplyT ToWire(const ReserveResult& result) {
  protocol::ReserveReplyT reply;
  reply.reservation = result.reservation_id;
  reply.retry_after_ms = ToMillis(result.retry_after);
  switch (result.status) {
    case ReserveStatus::kGranted:
      reply.status = protocol::ReserveStatus::Granted;
      break;
    case ReserveStatus::kRefused:
      reply.status = protocol::ReserveStatus::Refused;
      break;
    case ReserveStatus::kTooLarge:
      reply.status = protocol::ReserveStatus::TooLarge;
      break;
    case ReserveStatus::kNotOwner:
    case ReserveStatus::kNotReady:  // Distinguished by retry_after_ms > 0.
      reply.status = protocol::ReserveStatus::NotOwner;
      break;
  }
  return reply;
}

}  // namespace

std::string WorkspaceKey(absl::string_view workspace) {
  return absl::StrCat(kKeyPrefix, workspace);
}

WorkspaceHomes::WorkspaceHomes(const MemberView& members, const Clock& clock)
    // The first id is random, so that a settlement for an earlier instance matches no reservation.
    : members_(members), clock_(clock), next_reservation_id_((RandomId() >> 1) | 1) {}

WorkspaceHomes::~WorkspaceHomes() = default;

void WorkspaceHomes::Register(RpcRegistry& registry) {
  RegisterHandler<protocol::ReserveRequestT>(
      registry, protocol::MessageType::Reserve,
      [this](const protocol::ReserveRequestT& request,
             const RpcCall& call) -> Result<protocol::ReserveReplyT> {
        if (request.tokens < 0) {
          return Fail(ErrorCode::kInvalidArgument, "reserve tokens", call.peer,
                      absl::StrCat("tokens is ", request.tokens, ", allowed from 0"));
        }
        return ToWire(Reserve(request.workspace, request.request_id, request.tokens));
      });
  RegisterHandler<protocol::SettleRequestT>(
      registry, protocol::MessageType::Settle,
      [this](const protocol::SettleRequestT& request, const RpcCall&) -> Result<protocol::AckT> {
        Settle(request.workspace, request.reservation, request.unused_tokens);
        return protocol::AckT{};
      });
  RegisterHandler<protocol::AllowanceRequestT>(
      registry, protocol::MessageType::Allowance,
      [this](const protocol::AllowanceRequestT& request,
             const RpcCall&) -> Result<protocol::AllowanceReplyT> {
        const auto result = GrantAllowance(FromWire(*request.sender), request.workspace,
                                           request.held, request.wanted);
        protocol::AllowanceReplyT reply;
        reply.granted = result.total;
        reply.ttl_ms = ToMillis(result.lifetime);
        return reply;
      });
}

void WorkspaceHomes::SetWorkspaces(std::map<WorkspaceId, WorkspaceLimits, std::less<>> workspaces) {
  const absl::MutexLock lock(&mutex_);
  workspaces_ = std::move(workspaces);
  scan_all_ = true;
  const absl::Time now = clock_.Now();
  for (auto& [id, home] : homes_) {
    if (const auto found = workspaces_.find(id); found != workspaces_.end()) {
      home->SetLimits(found->second, now);
    }
  }
}

std::vector<WorkspaceId> WorkspaceHomes::BeginRefresh(const Instance& self, Offset epoch,
                                                      bool& scan_all) {
  const absl::MutexLock lock(&mutex_);
  const absl::Time now = clock_.Now();
  if (self != last_self_) {
    // The removed instance has lost its roles, and other VMs may have granted tokens since.
    std::erase_if(homes_, [&](const auto& entry) { return entry.second->holder() != self; });
    early_balances_.clear();
  }
  if (self != last_self_ || epoch != last_epoch_) {
    last_self_ = self;
    last_epoch_ = epoch;
    epoch_start_ = now;
    scan_all_ = true;
  }
  std::erase_if(homes_, [&](const auto& entry) {
    // The state of a deleted workspace is kept until its bucket is full again, so that a workspace
    // created again under the same name cannot spend its burst twice.
    entry.second->UpdateCapacity(now);
    return !workspaces_.contains(entry.first) && entry.second->CanBeDiscarded(now);
  });
  scan_all = std::exchange(scan_all_, false);
  if (!scan_all) return pending_roles_;
  std::vector<WorkspaceId> all;
  for (const auto& [id, _] : workspaces_) {
    if (!homes_.contains(id)) all.push_back(id);
  }
  return all;
}

void WorkspaceHomes::Refresh() {
  // Read before the roles are checked, so that a release in between has at least this epoch.
  const Offset epoch = members_.epoch();
  const Instance self = members_.self();
  bool scan_all = false;
  const auto candidates = BeginRefresh(self, epoch, scan_all);
  std::vector<WorkspaceId> still_pending;
  for (const auto& workspace : candidates) {
    const std::string key = WorkspaceKey(workspace);
    if (scan_all) {
      const auto owner = members_.OwnerOf(key);
      if (!owner || owner->instance != self) continue;
    }
    if (HoldsRole(workspace, self)) {
      CreateHome(workspace, self, epoch);
    } else {
      still_pending.push_back(workspace);
    }
  }
  const absl::MutexLock lock(&mutex_);
  pending_roles_ = std::move(still_pending);
}

bool WorkspaceHomes::HoldsRole(absl::string_view workspace, const Instance& self) const {
  return members_.HoldsExclusively(WorkspaceKey(workspace)) && members_.self() == self;
}

void WorkspaceHomes::CreateHome(const WorkspaceId& workspace, const Instance& self, Offset epoch) {
  const absl::MutexLock lock(&mutex_);
  const auto limits = workspaces_.find(workspace);
  if (limits == workspaces_.end() || homes_.contains(workspace)) return;
  if (IsReleased(WorkspaceKey(workspace), epoch)) return;
  const absl::Time now = clock_.Now();
  // Within an epoch, a role is either taken over within kTakeoverDelay, or handed over by a member
  // that lists every workspace for which it has granted tokens.
  const absl::Time start_time =
      last_epoch_ == epoch ? std::min(now, epoch_start_ + kTakeoverDelay) : now;
  auto home = std::make_unique<WorkspaceHome>(limits->second, self, start_time);
  if (const auto early = early_balances_.find(workspace); early != early_balances_.end()) {
    home = std::make_unique<WorkspaceHome>(limits->second, self, now);
    home->AcceptBalance(early->second, now);
    early_balances_.erase(early);
  }
  Log().Info("this process is the home of workspace ", workspace, ", starting with ",
             home->Level(now), " tokens");
  homes_.emplace(workspace, std::move(home));
}

WorkspaceHome* WorkspaceHomes::FindHome(absl::string_view workspace, const Instance& self) {
  const auto found = homes_.find(workspace);
  if (found == homes_.end() || found->second->holder() != self) return nullptr;
  return workspaces_.contains(workspace) ? found->second.get() : nullptr;
}

ReserveResult WorkspaceHomes::Reserve(absl::string_view workspace, absl::string_view request_id,
                                      TokenCount tokens) {
  static Counter& granted = HomeReserveCounter("granted");
  static Counter& refused = HomeReserveCounter("refused");
  const Instance self = members_.self();
  if (tokens < 0 || !HoldsRole(workspace, self)) return {};
  ReserveResult result;
  {
    const absl::MutexLock lock(&mutex_);
    auto* home = FindHome(workspace, self);
    if (home == nullptr) return {};
    result = home->Reserve(request_id, tokens, next_reservation_id_, clock_.Now());
  }
  // Checks the role again, because this process may have been suspended since the first check. A
  // grant that is discarded here only loses tokens.
  if (!HoldsRole(workspace, self)) return {};
  (result.status == ReserveStatus::kGranted ? granted : refused).Increment();
  return result;
}

void WorkspaceHomes::Settle(absl::string_view workspace, std::uint64_t reservation_id,
                            TokenCount unused) {
  const Instance self = members_.self();
  const absl::MutexLock lock(&mutex_);
  if (auto* home = FindHome(workspace, self)) home->Settle(reservation_id, unused, clock_.Now());
}

AllowanceResult WorkspaceHomes::GrantAllowance(const Instance& sender, absl::string_view workspace,
                                               TokenCount held, TokenCount wanted) {
  const Instance self = members_.self();
  if (!members_.IsMember(sender) || !HoldsRole(workspace, self)) return {};
  AllowanceResult result;
  {
    const absl::MutexLock lock(&mutex_);
    auto* home = FindHome(workspace, self);
    if (home == nullptr) return {};
    result = home->GrantAllowance(sender, held, wanted, clock_.Now());
  }
  return HoldsRole(workspace, self) ? result : AllowanceResult{};
}

std::vector<std::pair<std::string, std::int64_t>> WorkspaceHomes::Release(
    const Instance& to, Offset epoch, const std::vector<VmId>& members_after) {
  const absl::MutexLock lock(&mutex_);
  for (const auto& released : recent_releases_) {
    if (released.to == to && released.epoch == epoch) return released.balances;
  }
  ReleaseRecord release{to, epoch, members_after, {}};
  std::set<std::string> previously_released;
  for (const auto& released : recent_releases_) {
    if (released.to != to) continue;
    for (const auto& [key, _] : released.balances) previously_released.insert(key);
  }
  const absl::Time now = clock_.Now();
  for (auto it = homes_.begin(); it != homes_.end();) {
    std::string key = WorkspaceKey(it->first);
    if (FirstByRendezvous(key, members_after) != to.vm) {
      ++it;
      continue;
    }
    previously_released.erase(key);
    release.balances.emplace_back(std::move(key), it->second->Level(now));
    it = homes_.erase(it);
  }
  // The reply with the balances released earlier may have been lost. Listed with a balance of 0,
  // these workspaces start empty at the new home, instead of with the tokens accrued since the
  // start of the epoch.
  for (const auto& key : previously_released) release.balances.emplace_back(key, 0);
  if (recent_releases_.size() >= kMaxReleases) recent_releases_.erase(recent_releases_.begin());
  recent_releases_.push_back(release);
  Log().Info("handed ", release.balances.size(), " workspaces over to ", to.ToString(),
             " at epoch ", epoch);
  return release.balances;
}

bool WorkspaceHomes::IsReleased(const std::string& key, Offset epoch) const {
  return std::any_of(recent_releases_.begin(), recent_releases_.end(),
                     [&](const ReleaseRecord& released) {
                       return released.epoch >= epoch &&
                              FirstByRendezvous(key, released.members_after) == released.to.vm;
                     });
}

void WorkspaceHomes::Accept(const std::vector<std::pair<std::string, std::int64_t>>& balances) {
  const Instance self = members_.self();
  const absl::MutexLock lock(&mutex_);
  const absl::Time now = clock_.Now();
  for (const auto& [key, balance] : balances) {
    absl::string_view workspace = key;
    if (!absl::ConsumePrefix(&workspace, kKeyPrefix)) continue;
    if (const auto found = homes_.find(workspace);
        found != homes_.end() && found->second->holder() == self) {
      found->second->AcceptBalance(balance, now);
      continue;
    }
    if (const auto limits = workspaces_.find(workspace); limits != workspaces_.end()) {
      auto home = std::make_unique<WorkspaceHome>(limits->second, self, now);
      home->AcceptBalance(balance, now);
      homes_[WorkspaceId(workspace)] = std::move(home);
    } else if (early_balances_.size() < kMaxEarlyBalances) {
      early_balances_[WorkspaceId(workspace)] = balance;
    }
  }
}

std::optional<TokenCount> WorkspaceHomes::Level(absl::string_view workspace) const {
  const absl::MutexLock lock(&mutex_);
  const auto found = homes_.find(workspace);
  if (found == homes_.end()) return std::nullopt;
  return found->second->Level(clock_.Now());
}

std::size_t WorkspaceHomes::size() const {
  const absl::MutexLock lock(&mutex_);
  return homes_.size();
}

}  // namespace marigoldquay
