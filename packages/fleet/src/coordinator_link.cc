// Session with the coordinator.
#include "marigoldquay/fleet/coordinator_link.h"

#include <algorithm>
#include <utility>

#include "marigoldquay/core/logger.h"
#include "wire.h"

namespace marigoldquay {
namespace {

using internal::FromWire;
using internal::ToWire;

constexpr absl::Duration kConnectTimeout = absl::Milliseconds(250);
// Coordinators whose lists of members differ send the VMs to each other until both have read the
// same list.
constexpr absl::Duration kSwitchPause = absl::Seconds(2);
constexpr absl::Duration kNoCandidatePause = absl::Milliseconds(50);
// For so long a VM that has just started waits for the list before it coordinates itself.
constexpr absl::Duration kFirstListWait = absl::Milliseconds(500);
constexpr absl::Duration kCoolDown = absl::Seconds(3);
// Silence of so many report intervals ends a session.
constexpr std::int64_t kSilentIntervals = 3;
// A feed that is older than this no longer holds the bounds on configuration and draining servers.
constexpr absl::Duration kFreshFeed = absl::Milliseconds(1400);
constexpr absl::Duration kSilentSlack = absl::Milliseconds(300);

const Logger& Log() {
  static const Logger logger("member");
  return logger;
}

}  // namespace

CoordinatorLink::CoordinatorLink(asio::io_context& io, const Clock& clock, const ClusterView& view,
                                 const MemberSource& source, FeedSink& feed,
                                 std::function<FleetMember()> self)
    : io_(io),
      clock_(clock),
      view_(view),
      source_(source),
      feed_(feed),
      self_(std::move(self)),
      started_(clock.Now()) {}

bool CoordinatorLink::FeedsOthers() const {
  return connected() && coordinator_.instance == self_().instance;
}

bool CoordinatorLink::FeedIsFresh() const {
  return connected() && !FeedsOthers() && clock_.Now() - feed_time_ < kFreshFeed;
}

bool CoordinatorLink::CoolingDown(const Address& address) const {
  const auto found = cooling_down_until_.find(address);
  return found != cooling_down_until_.end() && clock_.Now() < found->second;
}

std::optional<FleetMember> CoordinatorLink::ChooseCoordinator() const {
  const bool list_read = source_.read_at() != absl::InfinitePast();
  if (!list_read && clock_.Now() < started_ + kFirstListWait) return std::nullopt;
  for (const FleetMember& member : source_.listed_members()) {
    if (!CoolingDown(member.inner_address)) return member;
  }
  return std::nullopt;
}

void CoordinatorLink::Run(Yield yield) {
  while (true) {
    const auto candidate = ChooseCoordinator();
    if (!candidate) {
      SleepFor(io_, kNoCandidatePause, yield);
      continue;
    }
    auto connection =
        FrameConnection::Connect(io_, candidate->inner_address, kConnectTimeout, yield);
    if (!connection) {
      cooling_down_until_[candidate->inner_address] = clock_.Now() + kCoolDown;
      Log().Event("coordinator_unreachable", LogFields()
                                                 .Add("vm", candidate->instance.ToString())
                                                 .Add("detail", connection.error().ToString()));
      continue;
    }
    StartSession(std::move(*connection), *candidate);
    ServeSession(yield);
  }
}

void CoordinatorLink::StartSession(FrameConnectionPtr connection, const FleetMember& peer) {
  connection_ = std::move(connection);
  coordinator_ = peer;
  ++session_;
  silent_ = false;
  last_frame_ = clock_.Now();
  Log().Event("coordinator_session",
              LogFields().Add("vm", peer.instance.ToString()).Add("session", session_));
  ReportNow();
  // The new coordinator has to know what runs already.
  unclaimed_.clear();
  for (auto& [id, active] : active_) {
    if (active.local) continue;
    StreamPlacementRequest request;
    request.service = active.service;
    request.demand = active.demand;
    auto message = ToWire(request, clock_.Now());
    message.running_on = active.decode;
    const std::uint64_t call_id = next_call_++;
    unclaimed_[call_id] = {active.service, id};
    connection_->Send(protocol::MessageType::PlaceStream, call_id, message);
  }
}

void CoordinatorLink::ServeSession(Yield yield) {
  std::string why;
  while (connection_) {
    const auto connection = connection_;
    const absl::Duration timeout = report_interval_ * kSilentIntervals + kSilentSlack;
    const auto frame = connection->Read(timeout, yield);
    if (!frame) {
      why = frame.error().ToString();
      break;
    }
    last_frame_ = clock_.Now();
    silent_ = false;
    OnFrame(*frame, yield);
  }
  EndSession(why);
}

void CoordinatorLink::EndSession(const std::string& why) {
  Log().Event("coordinator_session_ended",
              LogFields()
                  .Add("vm", coordinator_.instance.ToString())
                  .Add("reason", why)
                  .Add("running", static_cast<std::int64_t>(active_.size())));
  cooling_down_until_[coordinator_.inner_address] = clock_.Now() + kCoolDown;
  if (connection_) connection_->Close();
  connection_ = nullptr;
  BecomeSilent();
  for (auto& [id, call] : calls_) {
    call->session_ended = true;
    call->wake.cancel();
  }
}

bool CoordinatorLink::TrySwitch(const FleetMember& preferred, Yield yield) {
  if (CoolingDown(preferred.inner_address)) return false;
  auto connection = FrameConnection::Connect(io_, preferred.inner_address, kConnectTimeout, yield);
  if (!connection) {
    cooling_down_until_[preferred.inner_address] = clock_.Now() + kCoolDown;
    return false;
  }
  const auto previous = std::exchange(connection_, nullptr);
  previous->Close();
  for (auto& [id, call] : calls_) {
    call->session_ended = true;
    call->wake.cancel();
  }
  StartSession(std::move(*connection), preferred);
  last_switch_ = clock_.Now();
  return true;
}

void CoordinatorLink::OnFrame(const Frame& frame, Yield yield) {
  const std::string peer = coordinator_.instance.vm;
  if (frame.header.type == protocol::MessageType::FleetState) {
    auto state = Capture<protocol::FleetStateT>(
        [&] { return DecodeMessage<protocol::FleetStateT>(frame.payload, peer); });
    if (auto* error = std::get_if<1>(&state)) {
      Log().Warn("malformed state: ", error->ToString());
      return;
    }
    OnState(std::get<0>(state), yield);
    return;
  }
  if (frame.header.type == protocol::MessageType::PlaceStream) {
    auto reply = Capture<protocol::PlaceStreamReplyT>(
        [&] { return DecodeMessage<protocol::PlaceStreamReplyT>(frame.payload, peer); });
    if (auto* error = std::get_if<1>(&reply)) {
      Log().Warn("malformed placement: ", error->ToString());
      return;
    }
    OnReply(frame.header.call_id, std::get<0>(reply));
    return;
  }
  Log().Warn("unexpected message type ", static_cast<int>(frame.header.type), " from ", peer);
}

void CoordinatorLink::OnState(const protocol::FleetStateT& state, Yield yield) {
  if (state.has_members) {
    members_.clear();
    for (const auto& member : state.members) members_.push_back(FromWire(*member));
  }
  member_count_ = state.member_count;
  report_interval_ = absl::Milliseconds(std::max<std::uint32_t>(state.interval_ms, 50));
  balances_.clear();
  for (const auto& entry : state.balances) balances_[entry->workspace] = entry->tokens;
  // What was admitted since the last report is not in the levels yet.
  spent_since_state_ = spent_;
  if (!FeedsOthers()) {
    ReplicaChanges changes;
    for (const auto& entry : state.backend_servers) changes.listed.push_back(FromWire(*entry));
    changes.removed = state.removed_servers;
    feed_.OnReplicaChanges(changes);
    feed_.OnCatalogVersion(state.catalog_version);
    feed_time_ = clock_.Now() - absl::Milliseconds(state.store_age_ms);
  }
  const FleetMember preferred = FromWire(*state.coordinator);
  if (preferred.instance == coordinator_.instance) return;
  if (clock_.Now() - last_switch_ >= kSwitchPause) TrySwitch(preferred, yield);
}

void CoordinatorLink::OnReply(std::uint64_t call_id, const protocol::PlaceStreamReplyT& reply) {
  const auto found = calls_.find(call_id);
  if (found != calls_.end()) {
    found->second->replies.push_back(reply);
    found->second->wake.cancel();
    return;
  }
  const auto pending = unclaimed_.find(call_id);
  if (pending == unclaimed_.end()) return;
  const Unclaimed unclaimed = pending->second;
  unclaimed_.erase(pending);
  const auto active = active_.find(unclaimed.placement);
  if (active != active_.end()) {
    active->second.ticket = reply.ticket;
    active->second.session = session_;
    return;
  }
  const bool reserved = reply.status == protocol::PlaceStreamStatus::Granted ||
                        reply.status == protocol::PlaceStreamStatus::Queued;
  if (reserved) SendProgress(unclaimed.service, reply.ticket, protocol::StreamStep::Cancelled);
}

void CoordinatorLink::SendProgress(const std::string& service, std::uint64_t ticket,
                                   protocol::StreamStep step) {
  if (!connection_) return;
  protocol::StreamProgressMessageT message;
  message.service = service;
  message.ticket = ticket;
  message.step = step;
  connection_->Send(protocol::MessageType::StreamProgress, 0, message);
}

void CoordinatorLink::ReportNow() {
  if (!connection_) return;
  protocol::FleetReportT report;
  report.sender = ToWire(self_());
  for (const auto& [workspace, tokens] : spent_) {
    auto entry = std::make_unique<protocol::WorkspaceTokensT>();
    entry->workspace = workspace;
    entry->tokens = tokens;
    report.spent.push_back(std::move(entry));
  }
  spent_.clear();
  if (std::exchange(reported_session_, session_) != session_) {
    report.member_count = static_cast<std::uint32_t>(member_count_);
    for (const auto& [workspace, tokens] : balances_) {
      auto entry = std::make_unique<protocol::WorkspaceTokensT>();
      entry->workspace = workspace;
      entry->tokens = tokens;
      report.levels.push_back(std::move(entry));
    }
  }
  connection_->Send(protocol::MessageType::FleetReport, 0, report);
}

void CoordinatorLink::RunReports(Yield yield) {
  while (true) {
    SleepFor(io_, report_interval_, yield);
    ReportNow();
  }
}

std::vector<FleetMember> CoordinatorLink::members() const {
  const FleetMember self = self_();
  std::vector<FleetMember> members = {self};
  // Without a session the last list is still the best guess; callers skip addresses that fail.
  for (const FleetMember& member : members_) {
    if (member.instance.vm != self.instance.vm) members.push_back(member);
  }
  return members;
}

}  // namespace marigoldquay
