// Placement and quota decisions, by the coordinator or locally.
#include <algorithm>
#include <utility>

#include "marigoldquay/core/logger.h"
#include "marigoldquay/dispatch/stream_versions.h"
#include "marigoldquay/fleet/coordinator_link.h"
#include "wire.h"

namespace marigoldquay {
namespace {

// A coordinator that takes longer is slow, frozen or unreachable.
constexpr absl::Duration kFirstReplyTimeout = absl::Milliseconds(150);
// Grace period for a reply after the next state message is due.
constexpr absl::Duration kReplySlack = absl::Milliseconds(200);
constexpr absl::Duration kMaxReplyTimeout = absl::Milliseconds(700);
// Maximum time that a request waits for another coordinator and for its view of the other VMs.
constexpr absl::Duration kMaxFailoverWait = absl::Milliseconds(1200);
constexpr absl::Duration kMaxPlainFailoverWait = absl::Milliseconds(500);
constexpr absl::Duration kFailoverPollInterval = absl::Milliseconds(20);
// Delay before a retry with a coordinator that does not know all VMs yet.
constexpr absl::Duration kProvisionalRetryDelay = absl::Milliseconds(100);
// A request can go to another backend server instead of waiting longer for the coordinator.
constexpr absl::Duration kRequestLimitReplyTimeout = absl::Milliseconds(60);
// Retry-After of a refusal without a coordinator that knows all VMs. A VM does not queue requests
// then, as it cannot see the load of the others.
constexpr absl::Duration kLocalRetryAfter = absl::Milliseconds(500);
// Crashes that are reported to the next coordinator.
constexpr std::size_t kMaxRememberedCrashes = 32;

const Logger& Log() {
  static const Logger logger("sched");
  return logger;
}

protocol::StreamStep ToStreamStep(StreamEnd end) {
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

bool CoordinatorLink::CoordinatorResponsive() const {
  return connection_ != nullptr && !coordinator_unresponsive_;
}

void CoordinatorLink::MarkCoordinatorUnresponsive() {
  if (std::exchange(coordinator_unresponsive_, true)) return;
  unresponsive_since_ = clock_.Now();
  local_quota_.Reset();
  local_quota_.SetShare(0);
  for (const auto& [account, level] : balances_.levels()) {
    const auto quota = internal::FindQuota(view_, account);
    if (quota) local_quota_.CapInitialLevel(*quota, level, clock_.Now());
  }
}

QuotaDecision CoordinatorLink::AdmitLocally(const AccountQuota& quota, TokenCount tokens) {
  local_quota_.SetShare(LocalShare());
  const auto decision = local_quota_.Admit(quota, tokens, clock_.Now());
  // If the coordinator is only slow, the next report includes these tokens.
  if (decision.admitted && connection_) balances_.AddUnreported(quota.account, tokens);
  return decision;
}

const protocol::PlaceStreamReplyT* CoordinatorLink::AwaitReply(Call& call, std::size_t index,
                                                               absl::Time until,
                                                               Cancellation& cancellation,
                                                               Yield yield) {
  const Cancellation::Hook hook(cancellation, [&call] { call.wake_timer.cancel(); });
  while (call.replies.size() <= index) {
    const absl::Duration left = until - clock_.Now();
    if (call.session_ended || cancellation.cancelled() || left <= absl::ZeroDuration()) {
      return nullptr;
    }
    call.wake_timer.expires_after(ToChrono(left));
    boost::system::error_code ignored;  // A cancelled timer wakes the fiber.
    call.wake_timer.async_wait(yield[ignored]);
  }
  return &call.replies[index];
}

bool CoordinatorLink::MayStillReply(absl::Time sent_at) const {
  const absl::Time now = clock_.Now();
  if (now - sent_at >= kMaxReplyTimeout) return false;
  return now < std::max(sent_at, last_frame_time_) + report_interval_ + kReplySlack;
}

const protocol::PlaceStreamReplyT* CoordinatorLink::AwaitFirstReply(Call& call,
                                                                    Cancellation& cancellation,
                                                                    Yield yield) {
  const absl::Time sent_at = clock_.Now();
  const auto connection = connection_;
  const auto* reply = AwaitReply(call, 0, sent_at + kFirstReplyTimeout, cancellation, yield);
  while (reply == nullptr && !call.session_ended && !cancellation.cancelled() &&
         MayStillReply(sent_at)) {
    reply = AwaitReply(call, 0, clock_.Now() + kFailoverPollInterval, cancellation, yield);
  }
  if (reply != nullptr || call.session_ended || cancellation.cancelled()) return reply;
  // No frame since the call was sent: the coordinator is stopped, unreachable or frozen.
  if (last_frame_time_ < sent_at && connection == connection_) connection->Close();
  MarkCoordinatorUnresponsive();
  return nullptr;
}

bool CoordinatorLink::AwaitSession(absl::Time until, Cancellation& cancellation, Yield yield) {
  // After this time without a responsive coordinator, the VM decides locally.
  const absl::Time last = std::min(until, unresponsive_since_ + kMaxFailoverWait);
  while (!CoordinatorResponsive() && !cancellation.cancelled() && clock_.Now() < last) {
    SleepFor(io_, kFailoverPollInterval, yield);
  }
  return CoordinatorResponsive();
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
    // Release engines that a queued or late placement reserves.
    if (session == session_) {
      if (call.replies.empty()) {
        detached_calls_[call.id] = {request.service, 0};
      } else {
        SendWithdrawal(request.service, call.replies.front().ticket);
      }
    }
    return std::nullopt;
  }
  if (reply->status == protocol::PlaceStreamStatus::Granted) return AddPlacement(request, *reply);
  PlacementRefusal refusal;
  refusal.over_quota = reply->status == protocol::PlaceStreamStatus::OverQuota;
  refusal.provisional = reply->provisional;
  refusal.retry_after = absl::Milliseconds(reply->retry_after_ms);
  refusal.reason = reply->reason;
  return refusal;
}

std::optional<std::string> CoordinatorLink::SoftwareVersionOf(const BackendServerId& server) const {
  const Replica* listed = view_.replicas().Find(server);
  return listed == nullptr ? std::nullopt : std::make_optional(listed->software_version);
}

StreamPlacement CoordinatorLink::AddPlacement(const StreamPlacementRequest& request,
                                              const protocol::PlaceStreamReplyT& reply) {
  StreamPlacement placement;
  placement.ticket = next_placement_++;
  placement.service = request.service;
  if (!reply.prefill_server.empty()) placement.prefill = reply.prefill_server;
  placement.decode = reply.decode_server;
  placement.expected = absl::Milliseconds(reply.expected_ms);
  if (reply.has_software_version) placement.software_version = reply.software_version;
  active_placements_[placement.ticket] = {
      request.service, request.demand, placement.decode, SoftwareVersionOf(placement.decode),
      false,           reply.ticket,   session_};
  return placement;
}

PlacementOutcome CoordinatorLink::Place(const StreamPlacementRequest& request,
                                        Cancellation& cancellation, Yield yield) {
  const absl::Duration quarantine = QuarantineTimeLeft(request.demand.shared_parts);
  if (quarantine > absl::ZeroDuration()) {
    return PlacementRefusal{false, quarantine, kQuarantinedReason};
  }
  const absl::Time until =
      std::min(clock_.Now() + kMaxFailoverWait, request.demand.caller_deadline);
  while (AwaitSession(until, cancellation, yield)) {
    auto outcome = PlaceByCoordinator(request, cancellation, yield);
    if (outcome) {
      const auto* refusal = std::get_if<PlacementRefusal>(&*outcome);
      const bool retry = refusal != nullptr && refusal->provisional;
      if (!retry || clock_.Now() + kProvisionalRetryDelay >= until) return std::move(*outcome);
      SleepFor(io_, kProvisionalRetryDelay, yield);
    }
    if (cancellation.cancelled() || clock_.Now() >= until) break;
  }
  if (cancellation.cancelled()) return PlacementRefusal{false, absl::ZeroDuration(), "cancelled"};
  if (clock_.Now() >= request.demand.caller_deadline) {
    return PlacementRefusal{false, kLocalRetryAfter, "no capacity before the caller's deadline"};
  }
  return PlaceLocally(request);
}

double CoordinatorLink::LocalShare() const { return 1.0 / static_cast<double>(member_count()); }

StreamScheduler& CoordinatorLink::LocalScheduler(const std::string& service) {
  const auto found = local_schedulers_.find(service);
  const StreamSchedulerOptions options{.share = LocalShare(), .request_quota = &local_quota_};
  auto& scheduler = local_schedulers_.try_emplace(service, options).first->second;
  scheduler.SetShare(LocalShare());
  local_quota_.SetShare(LocalShare());
  if (found == local_schedulers_.end()) OnClusterChange();
  return scheduler;
}

void CoordinatorLink::OnClusterChange() {
  const auto catalog = view_.catalog();
  if (!catalog) return;
  local_quota_.RetainServers(view_.replicas().ids());
  for (auto& [service, scheduler] : local_schedulers_) {
    const auto* configured = catalog->FindService(service);
    if (configured == nullptr || !configured->engine) continue;
    scheduler.SetEngines(*configured->engine, view_.replicas().FindReady(service));
  }
}

PlacementOutcome CoordinatorLink::PlaceLocally(const StreamPlacementRequest& request) {
  const absl::Time now = clock_.Now();
  // Only a coordinator knows the versions of streams that other VMs have begun.
  if (request.resumes && !request.demand.software_version) {
    return PlacementRefusal{false, kLocalRetryAfter, kUnknownOriginReason};
  }
  const auto catalog = view_.catalog();
  const auto* workspace = catalog ? catalog->FindWorkspace(request.workspace) : nullptr;
  if (workspace != nullptr && request.charge > 0) {
    const auto decision = AdmitLocally(QuotaOf(*workspace), request.charge);
    if (!decision.admitted) {
      return PlacementRefusal{true, decision.retry_after, "rate limit of the workspace exceeded"};
    }
  }
  auto& scheduler = LocalScheduler(request.service);
  const auto decision = scheduler.Place(request.demand, now);
  LogFields fields;
  fields.Add("request_id", request.demand.request)
      .Add("silent_for_ms", now - last_frame_time_)
      .Add("share", static_cast<std::int64_t>(100 * LocalShare()))
      .Add("granted", decision.verdict == StreamVerdict::kGranted)
      .Add("prefill", decision.prefill.value_or(""))
      .Add("decode", decision.decode);
  Log().Event("local_placement", fields);
  if (decision.verdict != StreamVerdict::kGranted) {
    if (workspace != nullptr) Refund(*workspace, request.charge);
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
  active_placements_[placement.ticket] = {request.service,
                                          request.demand,
                                          placement.decode,
                                          SoftwareVersionOf(placement.decode),
                                          true,
                                          decision.ticket,
                                          0};
  return placement;
}

void CoordinatorLink::ReportProgress(const StreamPlacement& placement, protocol::StreamStep step) {
  const auto found = active_placements_.find(placement.ticket);
  if (found == active_placements_.end() || found->second.session != session_) return;
  SendProgress(placement.service, found->second.ticket, step);
}

void CoordinatorLink::OnPrefillEnd(const StreamPlacement& placement, bool ok) {
  if (!placement.local) {
    ReportProgress(placement,
                   ok ? protocol::StreamStep::PrefillDone : protocol::StreamStep::PrefillFailed);
    return;
  }
  const auto found = active_placements_.find(placement.ticket);
  if (found == active_placements_.end()) return;
  LocalScheduler(placement.service).OnPrefillEnd(found->second.ticket, ok, clock_.Now());
}

void CoordinatorLink::OnFirstEvent(const StreamPlacement& placement) {
  const auto active = active_placements_.find(placement.ticket);
  if (active != active_placements_.end()) active->second.first_event = clock_.Now();
  if (!placement.local) {
    ReportProgress(placement, protocol::StreamStep::FirstEvent);
    return;
  }
  const auto found = active_placements_.find(placement.ticket);
  if (found == active_placements_.end()) return;
  LocalScheduler(placement.service).OnFirstEvent(found->second.ticket, clock_.Now());
}

void CoordinatorLink::OnEnd(const StreamPlacement& placement, StreamEnd end) {
  const auto found = active_placements_.find(placement.ticket);
  if (found == active_placements_.end()) return;
  RecordServed(found->second,
               end == StreamEnd::kDone ? absl::ZeroDuration() : RequestQuarantine::kProvenAfter);
  if (placement.local) {
    LocalScheduler(placement.service).OnEnd(found->second.ticket, end, clock_.Now());
  } else {
    ReportProgress(placement, ToStreamStep(end));
  }
  active_placements_.erase(found);
}

void CoordinatorLink::RecordServed(const ActivePlacement& active, absl::Duration proven_after) {
  if (clock_.Now() - active.first_event < proven_after) return;
  if (active.first_event == absl::InfiniteFuture()) return;
  quarantine_.OnServed(active.demand.shared_parts, active.first_event);
}

void CoordinatorLink::OnCrash(const ServerCrash& crash) {
  for (const auto& [ticket, active] : active_placements_) {
    RecordServed(active, RequestQuarantine::kProvenAfter);
  }
  internal::LogCrash(Log(), crash, quarantine_.OnCrash(crash));
  crashes_.push_back(crash);
  if (crashes_.size() > kMaxRememberedCrashes) crashes_.pop_front();
  unreported_crashes_ = std::min(unreported_crashes_ + 1, crashes_.size());
  // Other VMs get requests with the same part meanwhile.
  SendReport();
}

void CoordinatorLink::OnRequestServed(RequestFingerprint request) {
  const absl::Time now = clock_.Now();
  quarantine_.OnRequestServed(request, now);
  // One report does until the next state of the coordinator.
  if (std::erase(suspected_requests_, request) == 0) return;
  served_requests_[request] = now;
  // One more crash elsewhere would condemn the request meanwhile.
  SendReport();
}

absl::Duration CoordinatorLink::QuarantineTimeLeft(std::span<const RequestTrait> traits) const {
  return quarantine_.TimeLeft(traits, clock_.Now());
}

std::optional<QuotaDecision> CoordinatorLink::RequestTokens(const AccountQuota& quota,
                                                            TokenCount tokens,
                                                            Cancellation& cancellation,
                                                            Yield yield) {
  const bool server = quota.account.kind == QuotaAccount::Kind::kBackendServer;
  protocol::PlaceStreamRequestT request;
  (server ? request.charged_server : request.workspace) = quota.account.name;
  request.charge = tokens;
  Call call(*this);
  connection_->Send(protocol::MessageType::PlaceStream, call.id, request);
  const auto* reply =
      server ? AwaitReply(call, 0, clock_.Now() + kRequestLimitReplyTimeout, cancellation, yield)
             : AwaitFirstReply(call, cancellation, yield);
  if (reply == nullptr) return std::nullopt;
  if (reply->status == protocol::PlaceStreamStatus::Granted) {
    return QuotaDecision{true, absl::ZeroDuration()};
  }
  const absl::Duration retry_after = absl::Milliseconds(reply->retry_after_ms);
  if (reply->provisional) return QuotaDecision{false, retry_after, true};
  balances_.OnRefused(quota.account, retry_after, clock_.Now());
  return QuotaDecision{false, retry_after};
}

std::optional<QuotaDecision> CoordinatorLink::AdmitByCoordinator(const AccountQuota& quota,
                                                                 TokenCount tokens,
                                                                 Cancellation& cancellation,
                                                                 Yield yield) {
  const absl::Duration refused = balances_.RefusalTimeLeft(quota.account, clock_.Now());
  if (refused > absl::ZeroDuration()) return QuotaDecision{false, refused};
  if (balances_.TryAdmit(quota, tokens, member_count())) {
    return QuotaDecision{true, absl::ZeroDuration()};
  }
  return RequestTokens(quota, tokens, cancellation, yield);
}

QuotaDecision CoordinatorLink::Admit(const CatalogWorkspace& workspace, TokenCount tokens,
                                     Cancellation& cancellation, Yield yield) {
  if (!workspace.quota.limited()) return {true, absl::ZeroDuration()};
  const AccountQuota quota = QuotaOf(workspace);
  const absl::Time until = clock_.Now() + kMaxPlainFailoverWait;
  while (AwaitSession(until, cancellation, yield)) {
    const auto decision = AdmitByCoordinator(quota, tokens, cancellation, yield);
    if (decision && !decision->provisional) return *decision;
    if (cancellation.cancelled() || clock_.Now() + kProvisionalRetryDelay >= until) {
      if (decision) return *decision;
      break;
    }
    if (decision) SleepFor(io_, kProvisionalRetryDelay, yield);
  }
  return AdmitLocally(quota, tokens);
}

void CoordinatorLink::Refund(const CatalogWorkspace& workspace, TokenCount tokens) {
  const AccountQuota quota = QuotaOf(workspace);
  if (!quota.limited() || tokens <= 0) return;
  if (!CoordinatorResponsive()) local_quota_.Refund(quota, tokens, clock_.Now());
  // Reported to the coordinator like the tokens that this VM has admitted itself.
  if (connection_) balances_.AddUnreported(quota.account, -tokens);
}

QuotaDecision CoordinatorLink::AdmitRequest(const Replica& server, Cancellation& cancellation,
                                            Yield yield) {
  const AccountQuota quota = QuotaOf(server);
  if (!quota.limited()) return {true, absl::ZeroDuration()};
  std::optional<QuotaDecision> decision;
  if (CoordinatorResponsive()) {
    decision = AdmitByCoordinator(quota, kRequestCost, cancellation, yield);
  } else {
    decision = AdmitLocally(quota, kRequestCost);
    // The share of this VM may take long to allow a request; the coordinator is back before.
    decision->provisional = true;
  }
  if (!decision) {
    // Subsequent requests use other servers instead of waiting as well.
    balances_.OnRefused(quota.account, kLocalRetryAfter, clock_.Now());
    return {false, kLocalRetryAfter};
  }
  if (decision->provisional) decision->retry_after = kLocalRetryAfter;
  return *decision;
}

}  // namespace marigoldquay
