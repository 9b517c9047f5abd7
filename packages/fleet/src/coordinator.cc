// Coordinator: sessions with the VMs that report to it, and their requests.
#include "marigoldquay/fleet/coordinator.h"

#include <algorithm>
#include <utility>

#include "absl/cleanup/cleanup.h"
#include "absl/strings/str_cat.h"
#include "marigoldquay/core/logger.h"
#include "marigoldquay/fleet/peer_clock.h"
#include "wire.h"

namespace marigoldquay {
namespace {

using internal::AccountFromWire;
using internal::DemandFromWire;
using internal::FindQuota;
using internal::FromWire;
using internal::ToWire;

constexpr absl::Duration kAdvanceInterval = absl::Milliseconds(20);
constexpr absl::Duration kSessionTimeout = absl::Seconds(4);

const Logger& Log() {
  static const Logger logger("sched");
  return logger;
}

void LogDecision(const std::string& request_id, const std::string& sender,
                 const StreamDecision& decision, std::uint64_t replicas_version,
                 const std::string& engines) {
  constexpr absl::string_view kVerdicts[] = {"granted", "queued", "refused"};
  LogFields fields;
  fields.Add("request_id", request_id)
      .Add("sender", sender)
      .Add("ticket", decision.ticket)
      .Add("verdict", kVerdicts[static_cast<int>(decision.verdict)])
      .Add("prefill", decision.prefill.value_or(""))
      .Add("decode", decision.decode)
      .Add("expected_ms", decision.expected)
      .Add("replicas_version", replicas_version)
      .Add("engines", engines)
      .Add("reason", decision.reason);
  Log().Event("placement", fields);
}

}  // namespace

Coordinator::Coordinator(asio::io_context& io, const Clock& clock, const ClusterView& view,
                         const MemberSource& source, FleetMember self, CoordinatorHooks hooks,
                         MemoryBudget& memory)
    : io_(io),
      clock_(clock),
      view_(view),
      source_(source),
      self_(std::move(self)),
      hooks_(std::move(hooks)),
      memory_(memory),
      acceptor_(io),
      state_timer_(io) {}

ErrorOrVoid Coordinator::Start() {
  const auto endpoint = ParseEndpoint(self_.inner_address);
  if (!endpoint) {
    return Error{ErrorCode::kInvalidArgument, "listen", self_.inner_address, "malformed address"};
  }
  boost::system::error_code error;
  acceptor_.open(endpoint->protocol(), error);
  if (!error) acceptor_.set_option(asio::socket_base::reuse_address(true), error);
  if (!error) acceptor_.bind(*endpoint, error);
  if (!error) acceptor_.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    boost::system::error_code ignored;  // A later start opens it again.
    acceptor_.close(ignored);
    return Error{ErrorCode::kUnavailable, "listen", self_.inner_address, error.message()};
  }
  SpawnFiber(io_, "accept VMs", [this](Yield yield) { Accept(yield); });
  SpawnFiber(io_, "send fleet states", [this](Yield yield) { RunStateBroadcasts(yield); });
  return std::monostate();
}

void Coordinator::Accept(Yield yield) {
  while (true) {
    boost::system::error_code error;
    Tcp::socket socket(io_);
    acceptor_.async_accept(socket, yield[error]);
    if (error) {
      Log().Warn("failed to accept a connection from a VM: ", error.message());
      SleepFor(io_, kAdvanceInterval, yield);
      continue;
    }
    SpawnFiber(io_, "serve VM", [this, socket = std::move(socket)](Yield inner) mutable {
      Serve(std::move(socket), inner);
    });
  }
}

void Coordinator::Serve(Tcp::socket socket, Yield yield) {
  Session session;
  session.connection = FrameConnection::Make(std::move(socket), memory_);
  sessions_.insert(&session);
  std::string reason;
  const absl::Cleanup end = [&] { EndSession(session, reason); };
  while (true) {
    const auto frame = session.connection->Read(kSessionTimeout, yield);
    if (!frame) {
      reason = frame.error().ToString();
      return;
    }
    OnFrame(session, *frame);
  }
}

void Coordinator::EndSession(Session& session, const std::string& reason) {
  session.connection->Close();
  sessions_.erase(&session);
  RemoveMember(session);
  // The requests of the VM have ended with it, or it reports them to another coordinator.
  for (const auto& [service, ticket] : session.tickets) {
    if (queued_placements_.erase({service, ticket}) > 0) RefundTicket({service, ticket});
    charges_.erase({service, ticket});
    WithdrawOrigin(service, ticket);
    SchedulerFor(service).OnEnd(ticket, StreamEnd::kCancelled, clock_.Now());
  }
  LogFields fields;
  fields.Add("vm", session.member.instance.ToString())
      .Add("reason", reason)
      .Add("placed", static_cast<std::int64_t>(session.tickets.size()));
  Log().Event("vm_session_ended", fields);
}

void Coordinator::RemoveMember(const Session& session) {
  if (!session.reported) return;
  const std::string& vm = session.member.instance.vm;
  const bool has_other = std::any_of(sessions_.begin(), sessions_.end(), [&](const Session* other) {
    return other->reported && other->member.instance.vm == vm;
  });
  if (has_other) return;
  reporting_members_.Remove(vm);
  member_counter_.OnSessionEnded(vm, clock_.Now());
}

void Coordinator::OnFrame(Session& session, const Frame& frame) {
  const std::string& peer = session.connection->peer();
  const auto handle = [&](auto decoded, auto&& action) {
    if (auto* error = std::get_if<1>(&decoded)) {
      Log().Warn("malformed message, closing the session: ", error->ToString());
      session.connection->Close();
      return;
    }
    action(std::get<0>(decoded));
  };
  switch (frame.header.type) {
    case protocol::MessageType::FleetReport:
      handle(Capture<protocol::FleetReportT>(
                 [&] { return DecodeMessage<protocol::FleetReportT>(frame.payload, peer); }),
             [&](const auto& report) { OnReport(session, report); });
      break;
    case protocol::MessageType::PlaceStream:
      handle(Capture<protocol::PlaceStreamRequestT>(
                 [&] { return DecodeMessage<protocol::PlaceStreamRequestT>(frame.payload, peer); }),
             [&](const auto& request) { OnPlaceRequest(session, frame.header.call_id, request); });
      break;
    case protocol::MessageType::StreamProgress:
      handle(Capture<protocol::StreamProgressMessageT>([&] {
               return DecodeMessage<protocol::StreamProgressMessageT>(frame.payload, peer);
             }),
             [&](const auto& message) { OnProgress(session, message); });
      break;
    default:
      Log().Warn("unexpected message type ", static_cast<int>(frame.header.type), " from ", peer);
  }
}

void Coordinator::OnFirstReport(Session& session, const protocol::FleetReportT& report) {
  if (ReportingSessions() == 0) {
    // While no VM reported here, tokens were granted elsewhere, so the local levels are outdated.
    quota_.Reset();
    quota_.SetShare(0);
  }
  for (const auto& entry : report.levels) {
    const auto quota = FindQuota(view_, AccountFromWire(*entry));
    if (quota) quota_.CapInitialLevel(*quota, entry->tokens, clock_.Now());
  }
  session.reported = true;
  session.sent_catalog_version = report.catalog_version;
  member_counter_.OnSessionStarted(session.member.instance.vm, report.member_count, clock_.Now());
  TriggerStateBroadcast();
  UpdateQuotaShare();
  LogFields fields;
  fields.Add("vm", session.member.instance.ToString())
      .Add("sessions", static_cast<std::int64_t>(sessions_.size()))
      .Add("members", static_cast<std::int64_t>(MemberCount()))
      .Add("known_members", static_cast<std::int64_t>(report.member_count))
      .Add("levels", static_cast<std::int64_t>(report.levels.size()));
  Log().Event("vm_session_started", fields);
}

void Coordinator::OnReport(Session& session, const protocol::FleetReportT& report) {
  const absl::Time now = clock_.Now();
  session.member = FromWire(*report.sender);
  reporting_members_.Set(session.member);
  const absl::Time created_at = EarliestCreation(report);
  OnStoreReport(session, report, created_at);
  // Levels and charges below refer to these limits.
  for (const auto& limit : report.request_limits) {
    hooks_.on_request_limit(FromWire(*limit, now));
  }
  if (!session.reported) OnFirstReport(session, report);
  if (report.needs_servers) session.sent_replicas_version = 0;
  for (const auto& server : report.leaving_servers) hooks_.on_leaving_server(server);
  OnCrashReport(report, created_at);
  SettleSpent(report);
}

absl::Time Coordinator::EarliestCreation(const protocol::FleetReportT& report) const {
  const absl::Time now = clock_.Now();
  if (report.state_sent_ms == 0) return now;
  const absl::Time earliest =
      ClockFromWire(report.state_sent_ms) + absl::Milliseconds(report.state_held_ms);
  return std::min(earliest, now);
}

void Coordinator::OnStoreReport(Session& session, const protocol::FleetReportT& report,
                                absl::Time created_at) {
  session.store_contact = {report.store_era, created_at - absl::Milliseconds(report.store_age_ms)};
  for (const auto& departure : report.departures) hooks_.on_departure(FromWire(*departure));
  session.catalog_version = report.catalog_version;
  if (report.catalog_version <= CatalogVersion()) return;
  if (!report.catalog.empty()) {
    hooks_.on_catalog(report.catalog_version, {report.catalog.begin(), report.catalog.end()});
    return;
  }
  if (std::exchange(asked_catalog_version_, report.catalog_version) < report.catalog_version) {
    TriggerStateBroadcast();
  }
}

void Coordinator::OnCrashReport(const protocol::FleetReportT& report, absl::Time created_at) {
  const absl::Time now = clock_.Now();
  const std::uint64_t before = quarantine_.version();
  for (const auto& quarantined : report.quarantined) {
    (void)quarantine_.Adopt(FromWire(*quarantined, now), now);
  }
  for (const auto& crash : report.crashes) OnCrash(FromWire(*crash, created_at));
  for (const auto& served : report.served) {
    quarantine_.OnRequestServed(served->request, created_at - absl::Milliseconds(served->age_ms));
  }
  if (quarantine_.version() != before || !report.crashes.empty()) TriggerStateBroadcast();
}

void Coordinator::AdoptQuarantine(const QuarantinedTraits& quarantined) {
  if (quarantine_.Adopt(quarantined, clock_.Now())) TriggerStateBroadcast();
}

void Coordinator::OnCrash(const ServerCrash& crash) {
  const absl::Time proven = clock_.Now() - RequestQuarantine::kProvenAfter;
  for (const auto& [service, scheduler] : schedulers_) {
    scheduler.VisitBegun(proven, std::bind_front(&Coordinator::RecordServed, this));
  }
  internal::LogCrash(Log(), crash, quarantine_.OnCrash(crash));
}

bool Coordinator::RefusesPrompt(const StreamDemand& demand,
                                protocol::PlaceStreamReplyT& refusal) const {
  const absl::Duration left = quarantine_.TimeLeft(demand.shared_parts, clock_.Now());
  if (left <= absl::ZeroDuration()) return false;
  refusal.status = protocol::PlaceStreamStatus::Refused;
  refusal.reason = kQuarantinedReason;
  refusal.retry_after_ms = static_cast<std::uint32_t>(absl::ToInt64Milliseconds(left));
  return true;
}

StreamScheduler& Coordinator::SchedulerFor(const std::string& service) {
  const auto found = schedulers_.find(service);
  if (found != schedulers_.end()) return found->second;
  const StreamSchedulerOptions options{.share = 1.0, .request_quota = &quota_};
  auto& scheduler = schedulers_.try_emplace(service, options).first->second;
  const auto catalog = view_.catalog();
  const auto* configured = catalog ? catalog->FindService(service) : nullptr;
  if (configured != nullptr && configured->engine) {
    scheduler.SetEngines(*configured->engine, AdmittedEngines(service));
  }
  return scheduler;
}

void Coordinator::OnClusterChange() {
  const auto catalog = view_.catalog();
  if (!catalog) return;
  TriggerStateBroadcast();
  quota_.RetainServers(view_.replicas().ids());
  UpdateVersions(*catalog);
  gated_engines_.clear();
  for (auto& [service, scheduler] : schedulers_) {
    const auto* configured = catalog->FindService(service);
    if (configured == nullptr || !configured->engine) continue;
    scheduler.SetEngines(*configured->engine, AdmittedEngines(service));
  }
}

void Coordinator::OnPlaceRequest(Session& session, std::uint64_t call_id,
                                 const protocol::PlaceStreamRequestT& request) {
  const absl::Time now = clock_.Now();
  protocol::PlaceStreamReplyT refusal;
  if (request.service.empty()) {
    // The request only charges the quota. If it is admitted, the reply is a grant without engines.
    (void)ChargeQuota(request, refusal);
    SendReply(session, call_id, refusal);
    return;
  }
  StreamScheduler& scheduler = SchedulerFor(request.service);
  if (!request.running_on.empty()) {
    if (request.has_software_version) {
      versions_.Record(request.service, request.request_id, request.software_version,
                       request.running_on, now);
      if (request.streaming_ms > 0) versions_.OnBegun(request.service, request.request_id);
    }
    const auto ticket = scheduler.Adopt(DemandFromWire(request, now), request.running_on, now);
    session.tickets.insert({request.service, ticket});
    StreamDecision adopted;
    adopted.verdict = StreamVerdict::kGranted;
    adopted.ticket = ticket;
    adopted.decode = request.running_on;
    SendDecision(session, call_id, request.service, adopted);
    return;
  }
  StreamDemand demand = DemandFromWire(request, now);
  if (RefusesPrompt(demand, refusal) || !RequireOrigin(request, demand, refusal) ||
      !ChargeQuota(request, refusal)) {
    SendReply(session, call_id, refusal);
    return;
  }
  if (!demand.software_version) {
    demand.software_version = versions_.VersionToKeep(request.service, request.request_id);
  }
  const auto decision = scheduler.Place(demand, now);
  KeepOrRefund({request.service, decision.ticket}, {request.workspace, request.charge},
               decision.verdict);
  LogDecision(request.request_id, session.member.instance.vm, decision, view_.replicas().version(),
              scheduler.Describe(decision, now));
  RecordOrigin(request.service, request.request_id, decision);
  if (decision.verdict == StreamVerdict::kQueued) {
    queued_placements_[{request.service, decision.ticket}] = {&session, call_id,
                                                              request.request_id};
    session.tickets.insert({request.service, decision.ticket});
    if (!std::exchange(advancing_queue_, true)) {
      SpawnFiber(io_, "advance queued placements",
                 [this](Yield yield) { AdvanceQueuedPlacements(yield); });
    }
  }
  SendDecision(session, call_id, request.service, decision);
}

void Coordinator::SendDecision(Session& session, std::uint64_t call_id, const std::string& service,
                               const StreamDecision& decision) {
  protocol::PlaceStreamReplyT reply;
  reply.ticket = decision.ticket;
  reply.reason = decision.reason;
  switch (decision.verdict) {
    case StreamVerdict::kGranted:
      reply.status = protocol::PlaceStreamStatus::Granted;
      reply.prefill_server = decision.prefill.value_or("");
      reply.decode_server = decision.decode;
      if (const Replica* decode = view_.replicas().Find(decision.decode)) {
        reply.has_software_version = true;
        reply.software_version = decode->software_version;
      }
      reply.expected_ms = static_cast<std::uint32_t>(absl::ToInt64Milliseconds(decision.expected));
      session.tickets.insert({service, decision.ticket});
      break;
    case StreamVerdict::kQueued:
      reply.status = protocol::PlaceStreamStatus::Queued;
      break;
    case StreamVerdict::kRefused:
      reply.status = protocol::PlaceStreamStatus::Refused;
      reply.retry_after_ms =
          static_cast<std::uint32_t>(absl::ToInt64Milliseconds(decision.retry_after));
      session.tickets.erase({service, decision.ticket});
      break;
  }
  SendReply(session, call_id, reply);
}

void Coordinator::SendReply(Session& session, std::uint64_t call_id,
                            protocol::PlaceStreamReplyT& reply) {
  reply.sent_ms = ClockToWire(clock_.Now());
  session.connection->Send(protocol::MessageType::PlaceStream, call_id, reply);
}

void Coordinator::OnProgress(Session& session, const protocol::StreamProgressMessageT& message) {
  const absl::Time now = clock_.Now();
  StreamScheduler& scheduler = SchedulerFor(message.service);
  const auto end = [&](StreamEnd outcome) {
    const absl::Time proven =
        outcome == StreamEnd::kDone ? now : now - RequestQuarantine::kProvenAfter;
    scheduler.VisitBegun(message.ticket, proven, std::bind_front(&Coordinator::RecordServed, this));
    const TicketKey key{message.service, message.ticket};
    const bool waited = queued_placements_.erase(key) > 0;
    if (waited || message.grant_not_received) RefundTicket(key);
    charges_.erase(key);
    session.tickets.erase({message.service, message.ticket});
    scheduler.OnEnd(message.ticket, outcome, now);
  };
  switch (message.step) {
    case protocol::StreamStep::PrefillDone:
      scheduler.OnPrefillEnd(message.ticket, true, now);
      break;
    case protocol::StreamStep::PrefillFailed:
      scheduler.OnPrefillEnd(message.ticket, false, now);
      break;
    case protocol::StreamStep::FirstEvent:
      RecordBegin(message.service, message.ticket);
      scheduler.OnFirstEvent(message.ticket, now);
      break;
    case protocol::StreamStep::Done:
      end(StreamEnd::kDone);
      break;
    case protocol::StreamStep::Cancelled:
      WithdrawOrigin(message.service, message.ticket);
      end(StreamEnd::kCancelled);
      break;
    case protocol::StreamStep::Refused:
      end(StreamEnd::kRefused);
      break;
    case protocol::StreamStep::Failed:
      end(StreamEnd::kFailed);
      break;
    case protocol::StreamStep::CacheLost:
      end(StreamEnd::kCacheLost);
      break;
    case protocol::StreamStep::Gone:
      end(StreamEnd::kEngineReplaced);
      break;
  }
}

void Coordinator::AdvanceQueuedPlacements(Yield yield) {
  while (!queued_placements_.empty()) {
    SleepFor(io_, kAdvanceInterval, yield);
    for (auto& [service, scheduler] : schedulers_) {
      for (const auto& decision : scheduler.PlaceWaiting(clock_.Now())) {
        const auto found = queued_placements_.find({service, decision.ticket});
        if (found == queued_placements_.end()) continue;
        const QueuedPlacement queued = found->second;
        queued_placements_.erase(found);
        if (decision.verdict == StreamVerdict::kRefused) RefundTicket({service, decision.ticket});
        RecordOrigin(service, queued.request_id, decision);
        LogDecision(queued.request_id, queued.session->member.instance.vm, decision,
                    view_.replicas().version(), scheduler.Describe(decision, clock_.Now()));
        SendDecision(*queued.session, queued.call_id, service, decision);
      }
    }
  }
  advancing_queue_ = false;
}

}  // namespace marigoldquay
