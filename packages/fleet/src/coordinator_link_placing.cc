// Placements and quota of this VM, by the coordinator or on its own.
#include <algorithm>
#include <utility>

#include "marigoldquay/core/logger.h"
#include "marigoldquay/fleet/coordinator_link.h"
#include "wire.h"

namespace marigoldquay {
namespace {

// A coordinator that takes longer is slow, frozen or cut off.
constexpr absl::Duration kFirstReplyTimeout = absl::Milliseconds(150);
// An answer may be late by this much beyond the next state that is due.
constexpr absl::Duration kReplySlack = absl::Milliseconds(200);
constexpr absl::Duration kLongestReplyTimeout = absl::Milliseconds(700);
// Longest time that a request waits for another coordinator and for it to hear of the other VMs.
constexpr absl::Duration kHandOverWait = absl::Milliseconds(1200);
constexpr absl::Duration kPlainHandOverWait = absl::Milliseconds(500);
constexpr absl::Duration kHandOverPoll = absl::Milliseconds(20);
// Before a coordinator that does not know all VMs yet is asked again.
constexpr absl::Duration kProvisionalPause = absl::Milliseconds(100);
// Workspaces whose bucket is at least this part full are left out of the levels.
constexpr TokenCount kLeftOutPart = 2;
// A refusal also holds for the requests that follow at once.
constexpr absl::Duration kRefusalMemory = absl::Milliseconds(100);
// Without a coordinator a VM does not queue: it cannot see the load of the others.
constexpr absl::Duration kLocalRetryAfter = absl::Milliseconds(500);

const Logger& Log() {
  static const Logger logger("sched");
  return logger;
}

protocol::StreamStep StepOf(StreamEnd end) {
  switch (end) {
    case StreamEnd::kDone:
      return protocol::StreamStep::Done;
    case StreamEnd::kCancelled:
      return protocol::StreamStep::Cancelled;
    case StreamEnd::kRefused:
      return protocol::StreamStep::Refused;
    case StreamEnd::kFailed:
      return protocol::StreamStep::Failed;
    case StreamEnd::kCacheLost:
      return protocol::StreamStep::CacheLost;
    case StreamEnd::kEngineReplaced:
      return protocol::StreamStep::Gone;
  }
  return protocol::StreamStep::Cancelled;
}

bool IsFinal(const protocol::PlaceStreamReplyT& reply) {
  return reply.status != protocol::PlaceStreamStatus::Queued;
}

}  // namespace

bool CoordinatorLink::Responsive() const { return connection_ != nullptr && !silent_; }

void CoordinatorLink::BecomeSilent() {
  if (std::exchange(silent_, true)) return;
  silent_since_ = clock_.Now();
  local_quota_.Reset();
  local_quota_.SetShare(0);
  const auto catalog = view_.catalog();
  for (const auto& [name, level] : balances_) {
    const auto* workspace = catalog ? catalog->FindWorkspace(name) : nullptr;
    if (workspace != nullptr) local_quota_.CapInitialLevel(*workspace, level, clock_.Now());
  }
}

QuotaDecision CoordinatorLink::AdmitLocally(const CatalogWorkspace& workspace, TokenCount tokens) {
  local_quota_.SetShare(LocalShare());
  const auto decision = local_quota_.Admit(workspace, tokens, clock_.Now());
  // A coordinator that is only slow counts these when it is heard again.
  if (decision.admitted && connection_) spent_[workspace.name] += tokens;
  return decision;
}

const protocol::PlaceStreamReplyT* CoordinatorLink::AwaitReply(Call& call, std::size_t index,
                                                               absl::Time until,
                                                               Cancellation& cancellation,
                                                               Yield yield) {
  const Cancellation::Hook hook(cancellation, [&call] { call.wake.cancel(); });
  while (call.replies.size() <= index) {
    const absl::Duration left = until - clock_.Now();
    if (call.session_ended || cancellation.cancelled() || left <= absl::ZeroDuration()) {
      return nullptr;
    }
    call.wake.expires_after(ToChrono(left));
    boost::system::error_code ignored;  // A cancelled wait is a wake-up.
    call.wake.async_wait(yield[ignored]);
  }
  return &call.replies[index];
}

bool CoordinatorLink::MayStillAnswer(absl::Time asked) const {
  const absl::Time now = clock_.Now();
  if (now - asked >= kLongestReplyTimeout) return false;
  return now < std::max(asked, last_frame_) + report_interval_ + kReplySlack;
}

const protocol::PlaceStreamReplyT* CoordinatorLink::AwaitFirstReply(Call& call,
                                                                    Cancellation& cancellation,
                                                                    Yield yield) {
  const absl::Time asked = clock_.Now();
  const auto connection = connection_;
  const auto* reply = AwaitReply(call, 0, asked + kFirstReplyTimeout, cancellation, yield);
  while (reply == nullptr && !call.session_ended && !cancellation.cancelled() &&
         MayStillAnswer(asked)) {
    reply = AwaitReply(call, 0, clock_.Now() + kHandOverPoll, cancellation, yield);
  }
  if (reply != nullptr || call.session_ended || cancellation.cancelled()) return reply;
  // Nothing has come since: the coordinator is gone, cut off or frozen.
  if (last_frame_ < asked && connection == connection_) connection->Close();
  BecomeSilent();
  return nullptr;
}

bool CoordinatorLink::AwaitSession(absl::Time until, Cancellation& cancellation, Yield yield) {
  // A VM that has found no other coordinator for so long is on its own.
  const absl::Time last = std::min(until, silent_since_ + kHandOverWait);
  while (!Responsive() && !cancellation.cancelled() && clock_.Now() < last) {
    SleepFor(io_, kHandOverPoll, yield);
  }
  return Responsive();
}

std::optional<PlacementOutcome> CoordinatorLink::PlaceByCoordinator(
    const StreamPlacementRequest& request, Cancellation& cancellation, Yield yield) {
  Call call(*this);
  const std::uint64_t session = session_;
  connection_->Send(protocol::MessageType::PlaceStream, call.id,
                    internal::ToWire(request, clock_.Now()));
  const auto* reply = AwaitFirstReply(call, cancellation, yield);
  if (reply != nullptr && !IsFinal(*reply)) {
    reply = AwaitReply(call, 1, request.demand.caller_deadline, cancellation, yield);
  }
  if (reply == nullptr) {
    // A queued or late placement must not keep engines reserved.
    if (session == session_) {
      if (call.replies.empty()) {
        unclaimed_[call.id] = {request.service, 0};
      } else {
        SendProgress(request.service, call.replies.front().ticket, protocol::StreamStep::Cancelled);
      }
    }
    return std::nullopt;
  }
  if (reply->status == protocol::PlaceStreamStatus::Granted) return Register(request, *reply);
  PlacementRefusal refusal;
  refusal.over_quota = reply->status == protocol::PlaceStreamStatus::OverQuota;
  refusal.provisional = refusal.over_quota && reply->provisional;
  refusal.retry_after = absl::Milliseconds(reply->retry_after_ms);
  refusal.reason = reply->reason;
  return refusal;
}

StreamPlacement CoordinatorLink::Register(const StreamPlacementRequest& request,
                                          const protocol::PlaceStreamReplyT& reply) {
  StreamPlacement placement;
  placement.ticket = next_placement_++;
  placement.service = request.service;
  if (!reply.prefill_server.empty()) placement.prefill = reply.prefill_server;
  placement.decode = reply.decode_server;
  placement.expected = absl::Milliseconds(reply.expected_ms);
  active_[placement.ticket] = {request.service, request.demand, placement.decode,
                               false,           reply.ticket,   session_};
  return placement;
}

PlacementOutcome CoordinatorLink::Place(const StreamPlacementRequest& request,
                                        Cancellation& cancellation, Yield yield) {
  const absl::Time until = std::min(clock_.Now() + kHandOverWait, request.demand.caller_deadline);
  while (AwaitSession(until, cancellation, yield)) {
    auto outcome = PlaceByCoordinator(request, cancellation, yield);
    if (outcome) {
      const auto* refusal = std::get_if<PlacementRefusal>(&*outcome);
      const bool again = refusal != nullptr && refusal->provisional;
      if (!again || clock_.Now() + kProvisionalPause >= until) return std::move(*outcome);
      SleepFor(io_, kProvisionalPause, yield);
    }
    if (cancellation.cancelled() || clock_.Now() >= until) break;
  }
  if (cancellation.cancelled()) return PlacementRefusal{false, absl::ZeroDuration(), "cancelled"};
  if (clock_.Now() >= request.demand.caller_deadline) {
    return PlacementRefusal{false, kLocalRetryAfter, "no capacity before its caller leaves"};
  }
  return PlaceLocally(request);
}

double CoordinatorLink::LocalShare() const { return 1.0 / static_cast<double>(member_count()); }

StreamScheduler& CoordinatorLink::LocalScheduler(const std::string& service) {
  const auto found = local_schedulers_.find(service);
  auto& scheduler = found != local_schedulers_.end() ? found->second : local_schedulers_[service];
  scheduler.SetShare(LocalShare());
  if (found == local_schedulers_.end()) OnClusterChange();
  return scheduler;
}

void CoordinatorLink::OnClusterChange() {
  const auto catalog = view_.catalog();
  if (!catalog) return;
  for (auto& [service, scheduler] : local_schedulers_) {
    const auto* configured = catalog->FindService(service);
    if (configured == nullptr || !configured->engine) continue;
    scheduler.SetEngines(*configured->engine, view_.replicas().FindReady(service));
  }
}

PlacementOutcome CoordinatorLink::PlaceLocally(const StreamPlacementRequest& request) {
  const absl::Time now = clock_.Now();
  const auto catalog = view_.catalog();
  const auto* workspace = catalog ? catalog->FindWorkspace(request.workspace) : nullptr;
  if (workspace != nullptr && request.charge > 0) {
    const auto decision = AdmitLocally(*workspace, request.charge);
    if (!decision.admitted) {
      return PlacementRefusal{true, decision.retry_after, "beyond the rate of the workspace"};
    }
  }
  auto& scheduler = LocalScheduler(request.service);
  const auto decision = scheduler.Place(request.demand, now);
  LogFields fields;
  fields.Add("request_id", request.demand.request)
      .Add("silent_for_ms", now - last_frame_)
      .Add("share", static_cast<std::int64_t>(100 * LocalShare()))
      .Add("granted", decision.verdict == StreamVerdict::kGranted)
      .Add("prefill", decision.prefill.value_or(""))
      .Add("decode", decision.decode);
  Log().Event("local_placement", fields);
  if (decision.verdict != StreamVerdict::kGranted) {
    scheduler.OnEnd(decision.ticket, StreamEnd::kCancelled, now);
    const bool refused = decision.verdict == StreamVerdict::kRefused;
    return PlacementRefusal{false, refused ? decision.retry_after : kLocalRetryAfter,
                            refused ? decision.reason : "no capacity known without a coordinator"};
  }
  StreamPlacement placement;
  placement.ticket = next_placement_++;
  placement.service = request.service;
  placement.local = true;
  placement.prefill = decision.prefill;
  placement.decode = decision.decode;
  placement.expected = decision.expected;
  active_[placement.ticket] = {
      request.service, request.demand, placement.decode, true, decision.ticket, 0};
  return placement;
}

void CoordinatorLink::Progress(const StreamPlacement& placement, protocol::StreamStep step) {
  const auto found = active_.find(placement.ticket);
  if (found == active_.end() || found->second.session != session_) return;
  SendProgress(placement.service, found->second.ticket, step);
}

void CoordinatorLink::OnPrefillEnd(const StreamPlacement& placement, bool ok) {
  if (!placement.local) {
    Progress(placement,
             ok ? protocol::StreamStep::PrefillDone : protocol::StreamStep::PrefillFailed);
    return;
  }
  const auto found = active_.find(placement.ticket);
  if (found == active_.end()) return;
  LocalScheduler(placement.service).OnPrefillEnd(found->second.ticket, ok, clock_.Now());
}

void CoordinatorLink::OnFirstEvent(const StreamPlacement& placement) {
  if (!placement.local) {
    Progress(placement, protocol::StreamStep::FirstEvent);
    return;
  }
  const auto found = active_.find(placement.ticket);
  if (found == active_.end()) return;
  LocalScheduler(placement.service).OnFirstEvent(found->second.ticket, clock_.Now());
}

void CoordinatorLink::OnEnd(const StreamPlacement& placement, StreamEnd end) {
  const auto found = active_.find(placement.ticket);
  if (found == active_.end()) return;
  if (placement.local) {
    LocalScheduler(placement.service).OnEnd(found->second.ticket, end, clock_.Now());
  } else {
    Progress(placement, StepOf(end));
  }
  active_.erase(found);
}

TokenCount CoordinatorLink::Allowance(const CatalogWorkspace& workspace) const {
  const auto found = balances_.find(workspace.name);
  const TokenCount level =
      found != balances_.end() ? found->second : workspace.quota.burst / kLeftOutPart;
  // All VMs together admit no more than the level.
  return std::max<TokenCount>(level, 0) / static_cast<TokenCount>(member_count());
}

std::optional<QuotaDecision> CoordinatorLink::AskForTokens(const CatalogWorkspace& workspace,
                                                           TokenCount tokens,
                                                           Cancellation& cancellation,
                                                           Yield yield) {
  protocol::PlaceStreamRequestT request;
  request.workspace = workspace.name;
  request.charge = tokens;
  Call call(*this);
  connection_->Send(protocol::MessageType::PlaceStream, call.id, request);
  const auto* reply = AwaitFirstReply(call, cancellation, yield);
  if (reply == nullptr) return std::nullopt;
  if (reply->status == protocol::PlaceStreamStatus::Granted) {
    return QuotaDecision{true, absl::ZeroDuration()};
  }
  const absl::Duration retry_after = absl::Milliseconds(reply->retry_after_ms);
  if (reply->provisional) return QuotaDecision{false, retry_after, true};
  refused_until_[workspace.name] = clock_.Now() + std::min(retry_after, kRefusalMemory);
  return QuotaDecision{false, retry_after};
}

QuotaDecision CoordinatorLink::Admit(const CatalogWorkspace& workspace, TokenCount tokens,
                                     Cancellation& cancellation, Yield yield) {
  if (!workspace.quota.limited()) return {true, absl::ZeroDuration()};
  const absl::Time until = clock_.Now() + kPlainHandOverWait;
  while (AwaitSession(until, cancellation, yield)) {
    const auto refused = refused_until_.find(workspace.name);
    if (refused != refused_until_.end() && clock_.Now() < refused->second) {
      return {false, refused->second - clock_.Now()};
    }
    auto& spent = spent_since_state_[workspace.name];
    if (spent + tokens <= Allowance(workspace)) {
      spent += tokens;
      spent_[workspace.name] += tokens;
      return {true, absl::ZeroDuration()};
    }
    const auto decision = AskForTokens(workspace, tokens, cancellation, yield);
    if (decision && !decision->provisional) return *decision;
    if (cancellation.cancelled() || clock_.Now() + kProvisionalPause >= until) {
      if (decision) return *decision;
      break;
    }
    if (decision) SleepFor(io_, kProvisionalPause, yield);
  }
  return AdmitLocally(workspace, tokens);
}

}  // namespace marigoldquay
