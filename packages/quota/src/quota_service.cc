// Calls to workspace homes, the fallback, and the background threads.
#include "marigoldquay/quota/quota_service.h"

#include <algorithm>
#include <set>
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

Counter& Outcomes(absl::string_view outcome) {
  return MetricsRegistry::Global().counter("marigoldquay_quota_reserves_total",
                                           "Reservations by outcome and source",
                                           {{"outcome", std::string(outcome)}});
}

Counter& DroppedSettlements() {
  static Counter& counter = MetricsRegistry::Global().counter(
      "marigoldquay_quota_settlements_dropped_total", "Settlements whose tokens were lost");
  return counter;
}

Gauge& QueuedSettlements() {
  static Gauge& gauge = MetricsRegistry::Global().gauge("marigoldquay_quota_settlements_queued",
                                                        "Settlements that wait to be sent");
  return gauge;
}

ReserveAnswer FromWire(const protocol::ReserveReplyT& reply) {
  ReserveAnswer answer;
  answer.number = reply.reservation;
  answer.retry_after = absl::Milliseconds(reply.retry_after_ms);
  switch (reply.status) {
    case protocol::ReserveStatus::Granted:
      answer.status = ReserveStatus::kGranted;
      break;
    case protocol::ReserveStatus::Refused:
      answer.status = ReserveStatus::kRefused;
      break;
    case protocol::ReserveStatus::TooLarge:
      answer.status = ReserveStatus::kTooLarge;
      break;
    case protocol::ReserveStatus::NotOwner:
      answer.status =
          reply.retry_after_ms > 0 ? ReserveStatus::kNotReady : ReserveStatus::kNotOwner;
      break;
  }
  return answer;
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
  ticks_ = std::thread([this, &config] { RunTicks(config); });
  settlements_ = std::thread([this] { RunSettlements(); });
}

void QuotaService::Stop(absl::Duration grace) {
  if (!ticks_.joinable()) return;
  {
    const absl::MutexLock lock(&tasks_mutex_);
    const auto sent = [this]() ABSL_SHARED_LOCKS_REQUIRED(tasks_mutex_) { return tasks_.empty(); };
    tasks_mutex_.AwaitWithTimeout(absl::Condition(&sent), grace);
    stopping_ = true;
  }
  ticks_.join();
  settlements_.join();
}

std::optional<ReserveAnswer> QuotaService::Ask(const Member& home, absl::string_view workspace,
                                               const std::string& wire_id, TokenCount tokens) {
  if (home.instance == members_.self()) return homes_.Reserve(workspace, wire_id, tokens);
  protocol::ReserveRequestT request;
  request.sender = ToWire(members_.self());
  request.workspace = std::string(workspace);
  request.request_id = wire_id;
  request.tokens = tokens;
  CallOptions call;
  call.timeout = options_.home_timeout;
  return HandleError(
      [&]() -> Result<std::optional<ReserveAnswer>> {
        BOOST_LEAF_AUTO(
            reply, CallPeer<protocol::ReserveReplyT>(
                       client_, home.inner_address, protocol::MessageType::Reserve, request, call));
        return std::optional(FromWire(reply));
      },
      [&](const Error& error) -> std::optional<ReserveAnswer> {
        Log().Debug("no reservation of workspace ", workspace, ": ", error.ToString());
        // It may have been granted without an answer; the tokens are given back in the background.
        if (error.code != ErrorCode::kNotSent && error.code != ErrorCode::kRefused) {
          Task task{WorkspaceId(workspace), home.instance, 0, tokens, wire_id};
          Enqueue(std::move(task));
        }
        return std::nullopt;
      });
}

std::optional<ReserveAnswer> QuotaService::AskHomes(absl::string_view workspace,
                                                    const std::string& wire_id, TokenCount tokens,
                                                    Instance& answered_by) {
  const std::string key = WorkspaceKey(workspace);
  const auto owner = members_.OwnerOf(key);
  if (!owner) return std::nullopt;
  answered_by = owner->instance;
  auto answer = Ask(*owner, workspace, wire_id, tokens);
  if (!answer || answer->status != ReserveStatus::kNotOwner) return answer;
  const auto previous = members_.PreviousOwnerOf(key);
  if (!previous) return std::nullopt;
  answered_by = previous->instance;
  answer = Ask(*previous, workspace, wire_id, tokens);
  if (answer && answer->status == ReserveStatus::kNotOwner) return std::nullopt;
  return answer;
}

Reservation QuotaService::Reserve(absl::string_view workspace, absl::string_view request_id,
                                  TokenCount tokens) {
  static Counter& granted = Outcomes("granted");
  static Counter& standby = Outcomes("granted_standby");
  static Counter& over_rate = Outcomes("over_rate");
  static Counter& over_burst = Outcomes("over_burst");
  static Counter& unavailable = Outcomes("home_unavailable");
  // Unique per call: a reservation that was given back must not be granted again to a retry.
  const std::string wire_id =
      absl::StrCat(request_id, "#", absl::Hex(members_.self().incarnation), ".",
                   next_wire_id_.fetch_add(1, std::memory_order_relaxed));
  Reservation reservation;
  reservation.workspace = WorkspaceId(workspace);
  reservation.tokens = tokens;
  const auto answer = AskHomes(workspace, wire_id, tokens, reservation.home);
  const auto status = answer ? answer->status : ReserveStatus::kNotOwner;
  if (answer) reservation.retry_after = answer->retry_after;
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
  allowances_->NoteDemand(workspace, tokens, now);
  if (status == ReserveStatus::kGranted) {
    reservation.outcome = ReserveOutcome::kGranted;
    reservation.number = answer->number;
    granted.Increment();
    return reservation;
  }
  if (allowances_->Spend(workspace, tokens, now)) {
    reservation.outcome = ReserveOutcome::kGranted;
    reservation.home = members_.self();
    reservation.retry_after = absl::ZeroDuration();
    standby.Increment();
    return reservation;
  }
  // A new home that is short of tokens has said when it will have them.
  const bool short_of_tokens = status == ReserveStatus::kNotReady;
  reservation.outcome =
      short_of_tokens ? ReserveOutcome::kOverRate : ReserveOutcome::kHomeUnavailable;
  (short_of_tokens ? over_rate : unavailable).Increment();
  return reservation;
}

void QuotaService::Settle(const Reservation& reservation, TokenCount unused) {
  // What a standby allowance gave is not settled: its refill may already count it as spent.
  if (!reservation.granted() || reservation.number == 0 || unused <= 0) return;
  Enqueue({reservation.workspace, reservation.home, reservation.number, unused});
}

void QuotaService::Enqueue(Task task) {
  const absl::MutexLock lock(&tasks_mutex_);
  if (tasks_.size() >= options_.max_settlements) {
    DroppedSettlements().Increment();
    return;
  }
  task.not_before = clock_.Now();
  tasks_.push_back(std::move(task));
  QueuedSettlements().Set(static_cast<std::int64_t>(tasks_.size()));
}

QuotaService::Attempt QuotaService::SendTask(Task& task) {
  const auto home = members_.FindMember(task.home.vm);
  // Another instance of the VM knows nothing of the reservation.
  if (!home || home->instance != task.home) {
    DroppedSettlements().Increment();
    return Attempt::kDone;
  }
  CallOptions call;
  call.timeout = options_.background_timeout;
  const bool local = home->instance == members_.self();
  return HandleError(
      [&]() -> Result<Attempt> {
        if (!task.lost_request_id.empty()) {
          // Repeating the request under its id yields its number, whether or not it had arrived.
          protocol::ReserveRequestT request;
          request.sender = ToWire(members_.self());
          request.workspace = task.workspace;
          request.request_id = task.lost_request_id;
          request.tokens = task.unused;
          BOOST_LEAF_AUTO(reply, CallPeer<protocol::ReserveReplyT>(client_, home->inner_address,
                                                                   protocol::MessageType::Reserve,
                                                                   request, call));
          if (reply.status != protocol::ReserveStatus::Granted) return Attempt::kDone;
          task.number = reply.reservation;
          task.lost_request_id.clear();
        }
        if (local) {
          homes_.Settle(task.workspace, task.number, task.unused);
          return Attempt::kDone;
        }
        protocol::SettleRequestT request;
        request.workspace = task.workspace;
        request.reservation = task.number;
        request.unused_tokens = task.unused;
        BOOST_LEAF_AUTO(ack,
                        CallPeer<protocol::AckT>(client_, home->inner_address,
                                                 protocol::MessageType::Settle, request, call));
        static_cast<void>(ack);
        return Attempt::kDone;
      },
      [&](const Error& error) {
        Log().Debug("settlement of workspace ", task.workspace, " failed: ", error.ToString());
        return Attempt::kRetry;
      });
}

void QuotaService::SendSettlements() {
  std::vector<Task> due;
  {
    const absl::MutexLock lock(&tasks_mutex_);
    const absl::Time now = clock_.Now();
    std::deque<Task> later;
    for (auto& task : tasks_) {
      if (task.not_before <= now) {
        due.push_back(std::move(task));
      } else {
        later.push_back(std::move(task));
      }
    }
    tasks_ = std::move(later);
  }
  std::set<Instance> failed;  // Tried once per round, so that a dead home does not hold up others.
  for (auto& task : due) {
    if (!failed.contains(task.home)) {
      if (SendTask(task) == Attempt::kDone) continue;
      failed.insert(task.home);
    }
    if (++task.attempts >= options_.max_attempts) {
      DroppedSettlements().Increment();
      continue;
    }
    const absl::MutexLock lock(&tasks_mutex_);
    task.not_before = clock_.Now() + options_.settle_retry;
    tasks_.push_back(std::move(task));
  }
  const absl::MutexLock lock(&tasks_mutex_);
  QueuedSettlements().Set(static_cast<std::int64_t>(tasks_.size()));
}

std::optional<AllowanceAnswer> QuotaService::AskAllowance(const Member& home,
                                                          absl::string_view workspace,
                                                          TokenCount held, TokenCount spent,
                                                          TokenCount wanted) {
  if (home.instance == members_.self()) {
    return homes_.Allow(members_.self(), workspace, held, wanted);
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
      [&]() -> Result<std::optional<AllowanceAnswer>> {
        BOOST_LEAF_AUTO(reply, CallPeer<protocol::AllowanceReplyT>(client_, home.inner_address,
                                                                   protocol::MessageType::Allowance,
                                                                   request, call));
        return std::optional(AllowanceAnswer{reply.granted, absl::Milliseconds(reply.ttl_ms)});
      },
      [&](const Error& error) -> std::optional<AllowanceAnswer> {
        Log().Debug("no allowance of workspace ", workspace, ": ", error.ToString());
        return std::nullopt;
      });
}

void QuotaService::RenewAllowances() {
  std::vector<StandbyAllowances::Renewal> due;
  {
    const absl::MutexLock lock(&allowances_mutex_);
    due = allowances_->TakeDue(clock_.Now());
  }
  std::set<Instance> failed;
  for (const auto& renewal : due) {
    const std::string key = WorkspaceKey(renewal.workspace);
    std::optional<AllowanceAnswer> answer;
    const auto home = members_.OwnerOf(key);
    if (home && !failed.contains(home->instance)) {
      answer = AskAllowance(*home, renewal.workspace, renewal.held, renewal.spent, renewal.wanted);
      if (!answer) failed.insert(home->instance);
    }
    const absl::MutexLock lock(&allowances_mutex_);
    if (answer && answer->life > absl::ZeroDuration()) {
      allowances_->Apply(renewal, answer->total, std::min(answer->life, kAllowanceLife));
    } else {
      allowances_->Abandon(renewal);
    }
  }
}

void QuotaService::FollowConfiguration(const ConfigView& config) {
  const Offset revision = config.revision();
  if (seen_revision_ != revision) {
    std::map<WorkspaceId, WorkspaceLimits, std::less<>> workspaces;
    {
      const auto current = config.Read();
      seen_revision_ = current->revision();
      for (const auto& [id, workspace] : current->workspaces()) {
        workspaces.emplace(id, WorkspaceLimits{workspace.rate, workspace.burst});
      }
    }
    homes_.SetWorkspaces(std::move(workspaces));
  }
  homes_.Refresh();
}

void QuotaService::RunTicks(const ConfigView& config) {
  const auto stopping = [this]() ABSL_SHARED_LOCKS_REQUIRED(tasks_mutex_) { return stopping_; };
  while (true) {
    FollowConfiguration(config);
    RenewAllowances();
    const absl::MutexLock lock(&tasks_mutex_);
    if (tasks_mutex_.AwaitWithTimeout(absl::Condition(&stopping), options_.tick)) return;
  }
}

void QuotaService::RunSettlements() {
  const auto due = [this]() ABSL_SHARED_LOCKS_REQUIRED(tasks_mutex_) {
    return stopping_ || (!tasks_.empty() && tasks_.front().not_before <= clock_.Now());
  };
  while (true) {
    {
      const absl::MutexLock lock(&tasks_mutex_);
      tasks_mutex_.AwaitWithTimeout(absl::Condition(&due), options_.tick);
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
  const absl::MutexLock lock(&tasks_mutex_);
  return tasks_.size();
}

}  // namespace marigoldquay
