// Calls to workspace homes, the fallback to standby allowances, and the background threads.
#include "marigoldquay/quota/quota_service.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "marigoldquay/core/logger.h"
#include "marigoldquay/core/metrics.h"
#include "standby_allowances.h"

namespace marigoldquay {
namespace {

const Logger& Log() {
  static const Logger& logger = *new Logger("quota");
  return logger;
}

Counter& ReserveOutcomeCounter(absl::string_view outcome) {
  return MetricsRegistry::Global().counter("marigoldquay_quota_reserves_total",
                                           "Reservations by outcome and source",
                                           {{"outcome", std::string(outcome)}});
}

Counter& DroppedSettlementsCounter() {
  static Counter& counter = MetricsRegistry::Global().counter(
      "marigoldquay_quota_settlements_dropped_total", "Settlements whose tokens were lost");
  return counter;
}

Gauge& QueuedSettlementsGauge() {
  static Gauge& gauge = MetricsRegistry::Global().gauge("marigoldquay_quota_settlements_queued",
                                                        "Settlements that wait to be sent");
  return gauge;
}

bool Contains(const std::vector<Instance>& instances, const Instance& instance) {
  return std::find(instances.begin(), instances.end(), instance) != instances.end();
}

ReserveResult FromWire(const protocol::ReserveReplyT& reply) {
  ReserveResult result;
  result.reservation_id = reply.reservation;
  result.retry_after = absl::Milliseconds(reply.retry_after_ms);
  switch (reply.status) {
    case protocol::ReserveStatus::Granted:
      result.status = ReserveStatus::kGranted;
      break;
    case protocol::ReserveStatus::Refused:
      result.status = ReserveStatus::kRefused;
      break;
    case protocol::ReserveStatus::TooLarge:
      result.status = ReserveStatus::kTooLarge;
      break;
    case protocol::ReserveStatus::NotOwner:
      result.status =
          reply.retry_after_ms > 0 ? ReserveStatus::kNotReady : ReserveStatus::kNotOwner;
      break;
  }
  return result;
}

}  // namespace

QuotaService::QuotaService(const QuotaServiceOptions& options, const MemberView& members,
                           RpcClient& client, WorkspaceHomes& homes, const Clock& clock)
    : options_(options),
      members_(members),
      client_(client),
      homes_(homes),
      clock_(clock),
      allowances_(std::make_unique<StandbyAllowances>(StandbyAllowances::Options{})) {}

QuotaService::~QuotaService() { Stop(); }

void QuotaService::Start(const ConfigView& config) {
  periodic_thread_ = std::thread([this, &config] { RunPeriodicLoop(config); });
  settlement_thread_ = std::thread([this] { RunSettlementLoop(); });
}

void QuotaService::Stop(absl::Duration grace) {
  if (!periodic_thread_.joinable()) return;
  {
    const absl::MutexLock lock(&queue_mutex_);
    const auto drained = [this]() ABSL_SHARED_LOCKS_REQUIRED(queue_mutex_) {
      return settlement_queue_.empty();
    };
    queue_mutex_.AwaitWithTimeout(absl::Condition(&drained), grace);
    stopping_ = true;
  }
  periodic_thread_.join();
  settlement_thread_.join();
}

std::optional<ReserveResult> QuotaService::RequestReservation(const Member& home,
                                                              absl::string_view workspace,
                                                              const std::string& call_id,
                                                              TokenCount tokens) {
  if (home.instance == members_.self()) return homes_.Reserve(workspace, call_id, tokens);
  protocol::ReserveRequestT request;
  request.sender = ToWire(members_.self());
  request.workspace = std::string(workspace);
  request.request_id = call_id;
  request.tokens = tokens;
  CallOptions call;
  call.timeout = options_.home_timeout;
  return HandleError(
      [&]() -> Result<std::optional<ReserveResult>> {
        BOOST_LEAF_AUTO(
            reply, CallPeer<protocol::ReserveReplyT>(
                       client_, home.inner_address, protocol::MessageType::Reserve, request, call));
        return std::optional(FromWire(reply));
      },
      [&](const Error& error) -> std::optional<ReserveResult> {
        Log().Debug("reservation for workspace ", workspace, " failed: ", error.ToString());
        // The home may have granted the reservation; its tokens are returned in the background.
        if (error.code != ErrorCode::kNotSent && error.code != ErrorCode::kRefused) {
          PendingSettlement settlement{WorkspaceId(workspace), home.instance, 0, tokens, call_id};
          Enqueue(std::move(settlement));
        }
        return std::nullopt;
      });
}

std::optional<ReserveResult> QuotaService::ReserveAtHome(absl::string_view workspace,
                                                         const std::string& call_id,
                                                         TokenCount tokens, Instance& answered_by) {
  const std::string key = WorkspaceKey(workspace);
  const auto owner = members_.OwnerOf(key);
  if (!owner) return std::nullopt;
  answered_by = owner->instance;
  auto result = RequestReservation(*owner, workspace, call_id, tokens);
  if (!result || result->status != ReserveStatus::kNotOwner) return result;
  const auto previous = members_.PreviousOwnerOf(key);
  if (!previous) return std::nullopt;
  answered_by = previous->instance;
  result = RequestReservation(*previous, workspace, call_id, tokens);
  if (result && result->status == ReserveStatus::kNotOwner) return std::nullopt;
  return result;
}

Reservation QuotaService::Reserve(absl::string_view workspace, absl::string_view request_id,
                                  TokenCount tokens) {
  static Counter& granted = ReserveOutcomeCounter("granted");
  static Counter& standby = ReserveOutcomeCounter("granted_standby");
  static Counter& over_rate = ReserveOutcomeCounter("over_rate");
  static Counter& over_burst = ReserveOutcomeCounter("over_burst");
  static Counter& unavailable = ReserveOutcomeCounter("home_unavailable");
  // Unique per call, so that a retry is not given a reservation that was already returned.
  const std::string call_id =
      absl::StrCat(request_id, "#", absl::Hex(members_.self().incarnation), ".",
                   next_call_id_.fetch_add(1, std::memory_order_relaxed));
  Reservation reservation;
  reservation.workspace = WorkspaceId(workspace);
  reservation.tokens = tokens;
  const auto result = ReserveAtHome(workspace, call_id, tokens, reservation.home);
  const auto status = result ? result->status : ReserveStatus::kNotOwner;
  if (result) reservation.retry_after = result->retry_after;
  if (status == ReserveStatus::kTooLarge) {
    reservation.outcome = ReserveOutcome::kOverBurst;
    over_burst.Increment();
    return reservation;
  }
  const absl::MutexLock lock(&allowances_mutex_);
  const absl::Time now = clock_.Now();
  if (status == ReserveStatus::kRefused) {
    reservation.outcome = ReserveOutcome::kOverRate;
    over_rate.Increment();
    return reservation;
  }
  allowances_->RecordDemand(workspace, tokens, now);
  if (status == ReserveStatus::kGranted) {
    reservation.outcome = ReserveOutcome::kGranted;
    reservation.reservation_id = result->reservation_id;
    granted.Increment();
    return reservation;
  }
  if (allowances_->TrySpend(workspace, tokens, now)) {
    reservation.outcome = ReserveOutcome::kGranted;
    reservation.home = members_.self();
    reservation.retry_after = absl::ZeroDuration();
    standby.Increment();
    return reservation;
  }
  // A new home without enough tokens has sent the time until they are available.
  const bool short_of_tokens = status == ReserveStatus::kNotReady;
  reservation.outcome =
      short_of_tokens ? ReserveOutcome::kOverRate : ReserveOutcome::kHomeUnavailable;
  (short_of_tokens ? over_rate : unavailable).Increment();
  return reservation;
}

void QuotaService::Settle(const Reservation& reservation, TokenCount unused) {
  // Tokens from a standby allowance are not settled, because a renewal may already have replaced
  // them.
  if (!reservation.granted() || reservation.reservation_id == 0 || unused <= 0) return;
  Enqueue({reservation.workspace, reservation.home, reservation.reservation_id, unused});
}

void QuotaService::Enqueue(PendingSettlement settlement) {
  const absl::MutexLock lock(&queue_mutex_);
  if (settlement_queue_.size() >= options_.max_queued_settlements) {
    DroppedSettlementsCounter().Increment();
    return;
  }
  settlement.not_before = clock_.Now();
  settlement_queue_.push_back(std::move(settlement));
  QueuedSettlementsGauge().Set(static_cast<std::int64_t>(settlement_queue_.size()));
}

QuotaService::SendOutcome QuotaService::TrySendSettlement(PendingSettlement& settlement) {
  const auto home = members_.FindMember(settlement.home.vm);
  // Another instance of the VM does not have the reservation.
  if (!home || home->instance != settlement.home) {
    DroppedSettlementsCounter().Increment();
    return SendOutcome::kDone;
  }
  CallOptions call;
  call.timeout = options_.background_timeout;
  const bool local = home->instance == members_.self();
  return HandleError(
      [&]() -> Result<SendOutcome> {
        if (!settlement.unanswered_call_id.empty()) {
          // Repeating the call under its id returns the reservation id, whether or not the first
          // call arrived.
          protocol::ReserveRequestT request;
          request.sender = ToWire(members_.self());
          request.workspace = settlement.workspace;
          request.request_id = settlement.unanswered_call_id;
          request.tokens = settlement.unused;
          BOOST_LEAF_AUTO(reply, CallPeer<protocol::ReserveReplyT>(client_, home->inner_address,
                                                                   protocol::MessageType::Reserve,
                                                                   request, call));
          if (reply.status != protocol::ReserveStatus::Granted) return SendOutcome::kDone;
          settlement.reservation_id = reply.reservation;
          settlement.unanswered_call_id.clear();
        }
        if (local) {
          homes_.Settle(settlement.workspace, settlement.reservation_id, settlement.unused);
          return SendOutcome::kDone;
        }
        protocol::SettleRequestT request;
        request.workspace = settlement.workspace;
        request.reservation = settlement.reservation_id;
        request.unused_tokens = settlement.unused;
        BOOST_LEAF_AUTO(ack,
                        CallPeer<protocol::AckT>(client_, home->inner_address,
                                                 protocol::MessageType::Settle, request, call));
        static_cast<void>(ack);
        return SendOutcome::kDone;
      },
      [&](const Error& error) {
        Log().Debug("settlement for workspace ", settlement.workspace,
                    " failed: ", error.ToString());
        return SendOutcome::kRetry;
      });
}

void QuotaService::SendSettlements() {
  std::vector<PendingSettlement> due;
  {
    const absl::MutexLock lock(&queue_mutex_);
    const absl::Time now = clock_.Now();
    std::deque<PendingSettlement> later;
    for (auto& settlement : settlement_queue_) {
      if (settlement.not_before <= now) {
        due.push_back(std::move(settlement));
      } else {
        later.push_back(std::move(settlement));
      }
    }
    settlement_queue_ = std::move(later);
  }
  // Not called again in this round, so that a dead home does not delay the settlements of others.
  std::vector<Instance> failed_homes;
  for (auto& settlement : due) {
    if (!Contains(failed_homes, settlement.home)) {
      if (TrySendSettlement(settlement) == SendOutcome::kDone) continue;
      failed_homes.push_back(settlement.home);
    }
    if (++settlement.attempts >= options_.max_attempts) {
      DroppedSettlementsCounter().Increment();
      continue;
    }
    const absl::MutexLock lock(&queue_mutex_);
    settlement.not_before = clock_.Now() + options_.settle_retry_interval;
    settlement_queue_.push_back(std::move(settlement));
  }
  const absl::MutexLock lock(&queue_mutex_);
  QueuedSettlementsGauge().Set(static_cast<std::int64_t>(settlement_queue_.size()));
}

std::optional<AllowanceResult> QuotaService::RequestAllowance(const Member& home,
                                                              absl::string_view workspace,
                                                              TokenCount held, TokenCount spent,
                                                              TokenCount wanted) {
  if (home.instance == members_.self()) {
    return homes_.GrantAllowance(members_.self(), workspace, held, wanted);
  }
  protocol::AllowanceRequestT request;
  request.sender = ToWire(members_.self());
  request.workspace = std::string(workspace);
  request.held = held;
  request.spent = spent;
  request.wanted = wanted;
  CallOptions call;
  call.timeout = options_.background_timeout;
  return HandleError(
      [&]() -> Result<std::optional<AllowanceResult>> {
        BOOST_LEAF_AUTO(reply, CallPeer<protocol::AllowanceReplyT>(client_, home.inner_address,
                                                                   protocol::MessageType::Allowance,
                                                                   request, call));
        return std::optional(AllowanceResult{reply.granted, absl::Milliseconds(reply.ttl_ms)});
      },
      [&](const Error& error) -> std::optional<AllowanceResult> {
        Log().Debug("renewal of the allowance for workspace ", workspace,
                    " failed: ", error.ToString());
        return std::nullopt;
      });
}

void QuotaService::RenewAllowances() {
  std::vector<StandbyAllowances::Renewal> due;
  {
    const absl::MutexLock lock(&allowances_mutex_);
    due = allowances_->TakeDueRenewals(clock_.Now());
  }
  std::vector<Instance> failed_homes;
  for (const auto& renewal : due) {
    const std::string key = WorkspaceKey(renewal.workspace);
    std::optional<AllowanceResult> result;
    const auto home = members_.OwnerOf(key);
    if (home && !Contains(failed_homes, home->instance)) {
      result =
          RequestAllowance(*home, renewal.workspace, renewal.held, renewal.spent, renewal.wanted);
      if (!result) failed_homes.push_back(home->instance);
    }
    const absl::MutexLock lock(&allowances_mutex_);
    if (result && result->lifetime > absl::ZeroDuration()) {
      allowances_->ApplyRenewal(renewal, result->total,
                                std::min(result->lifetime, kAllowanceLifetime));
    } else {
      allowances_->AbandonRenewal(renewal);
    }
  }
}

void QuotaService::FollowConfiguration(const ConfigView& config) {
  const Offset revision = config.revision();
  if (applied_revision_ != revision) {
    std::map<WorkspaceId, WorkspaceLimits, std::less<>> workspaces;
    {
      const auto current = config.Read();
      applied_revision_ = current->revision();
      for (const auto& [id, workspace] : current->workspaces()) {
        workspaces.emplace(id, WorkspaceLimits{workspace.rate, workspace.burst});
      }
    }
    homes_.SetWorkspaces(std::move(workspaces));
  }
  homes_.Refresh();
}

void QuotaService::RunPeriodicLoop(const ConfigView& config) {
  const auto stopping = [this]() ABSL_SHARED_LOCKS_REQUIRED(queue_mutex_) { return stopping_; };
  while (true) {
    FollowConfiguration(config);
    RenewAllowances();
    const absl::MutexLock lock(&queue_mutex_);
    if (queue_mutex_.AwaitWithTimeout(absl::Condition(&stopping), options_.poll_interval)) return;
  }
}

void QuotaService::RunSettlementLoop() {
  const auto due = [this]() ABSL_SHARED_LOCKS_REQUIRED(queue_mutex_) {
    return stopping_ ||
           (!settlement_queue_.empty() && settlement_queue_.front().not_before <= clock_.Now());
  };
  while (true) {
    {
      const absl::MutexLock lock(&queue_mutex_);
      queue_mutex_.AwaitWithTimeout(absl::Condition(&due), options_.poll_interval);
      if (stopping_) return;
    }
    SendSettlements();
  }
}

TokenCount QuotaService::allowance(absl::string_view workspace) const {
  const absl::MutexLock lock(&allowances_mutex_);
  return allowances_->Held(workspace, clock_.Now());
}

std::size_t QuotaService::queued_settlements() const {
  const absl::MutexLock lock(&queue_mutex_);
  return settlement_queue_.size();
}

}  // namespace marigoldquay
