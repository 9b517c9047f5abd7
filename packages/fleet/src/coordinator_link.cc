// Coordinator selection, sessions and state messages.
#include "marigoldquay/fleet/coordinator_link.h"

#include <algorithm>
#include <random>
#include <utility>

#include "marigoldquay/core/logger.h"
#include "wire.h"

namespace marigoldquay {
namespace {

using internal::AccountFromWire;
using internal::FromWire;
using internal::ToWire;

constexpr absl::Duration kConnectTimeout = absl::Milliseconds(250);
// Minimum time between two switches. Coordinators whose member lists differ redirect VMs to each
// other until both have read the same list.
constexpr absl::Duration kMinSwitchInterval = absl::Seconds(2);
constexpr absl::Duration kNoCandidateRetryDelay = absl::Milliseconds(50);
// Time that a VM waits for the member list after its start before it becomes coordinator itself.
constexpr absl::Duration kInitialListWait = absl::Milliseconds(500);
constexpr absl::Duration kBackoff = absl::Seconds(3);
// A session ends when no frame arrives for this many report intervals plus the slack.
constexpr std::int64_t kSessionTimeoutIntervals = 2;
constexpr absl::Duration kSessionTimeoutSlack = absl::Milliseconds(400);
// Lower bound of the maximum feed age on the other VMs, and the time that a read of the store
// takes.
constexpr absl::Duration kLeastMaxFeedAge = absl::Milliseconds(1400);
constexpr absl::Duration kStoreReadTime = absl::Milliseconds(600);
// Number of VMs that stand by to become the coordinator.
constexpr std::size_t kStandbyCount = 4;
// Number of VMs that stay announced in the store, so that starting VMs can find them.
constexpr std::size_t kAnnouncedCount = 8;
// A VM without a coordinator tries the members that it knows for this time, plus a random part of
// up to the same length, before it reads the list from the store.
constexpr absl::Duration kListReadDelay = absl::Milliseconds(1000);
constexpr absl::Duration kMaxListAge = absl::Seconds(3);

double RandomFraction() {
  static std::mt19937_64 generator{std::random_device{}()};
  return std::uniform_real_distribution<double>(0.0, 1.0)(generator);
}

const Logger& Log() {
  static const Logger logger("member");
  return logger;
}

}  // namespace

CoordinatorLink::CoordinatorLink(asio::io_context& io, const Clock& clock, const ClusterView& view,
                                 const MemberSource& source, FeedSink& feed,
                                 CoordinatorLinkHooks hooks, MemoryBudget& memory)
    : io_(io),
      clock_(clock),
      view_(view),
      source_(source),
      feed_(feed),
      hooks_(std::move(hooks)),
      memory_(memory),
      start_time_(clock.Now()),
      jitter_(RandomFraction()),
      session_end_time_(start_time_),
      unresponsive_since_(start_time_) {}

bool CoordinatorLink::FeedsOthers() const {
  return connected() && coordinator_.instance.vm == hooks_.self().instance.vm;
}

absl::Duration CoordinatorLink::MaxFeedAge() const {
  if (rank_ && *rank_ <= kStandbyCount) return kStandbyMaxFeedAge;
  const absl::Duration least = std::max(kLeastMaxFeedAge, max_feed_delay_ / 2);
  const absl::Duration most = std::max(least, max_feed_delay_ - kStoreReadTime);
  return least + (most - least) * jitter_;
}

absl::Duration CoordinatorLink::FeedFreshFor() const {
  const bool follows = connected() && !FeedsOthers() && feed_origin_.era >= hooks_.store_era();
  if (!follows) return absl::ZeroDuration();
  return feed_origin_.read_at + MaxFeedAge() - clock_.Now();
}

std::optional<FleetMember> CoordinatorLink::confirmed_coordinator() const {
  if (!connected() || !coordinator_confirmed_) return std::nullopt;
  return coordinator_;
}

bool CoordinatorLink::NeedsMemberList() const {
  if (connected()) return false;
  const bool knows_others = members_.size() > 1;
  return !knows_others || clock_.Now() - session_end_time_ > kListReadDelay * (1 + jitter_);
}

bool CoordinatorLink::ShouldAnnounce() const {
  return !connected() || !rank_ || *rank_ < kAnnouncedCount;
}

bool CoordinatorLink::InBackoff(const Address& address) const {
  const auto found = backoff_until_.find(address);
  return found != backoff_until_.end() && clock_.Now() < found->second;
}

std::vector<FleetMember> CoordinatorLink::Candidates() const {
  std::vector<FleetMember> candidates = members_.MembersByPriority();
  for (const FleetMember& member : source_.listed_members()) {
    if (!members_.contains(member.instance.vm)) candidates.push_back(member);
  }
  SortByCoordinatorPriority(candidates);
  return candidates;
}

std::optional<FleetMember> CoordinatorLink::ChooseCoordinator() const {
  const bool list_read = source_.read_at() != absl::InfinitePast() || members_.size() > 0;
  if (!list_read && clock_.Now() < start_time_ + kInitialListWait) return std::nullopt;
  for (const FleetMember& member : Candidates()) {
    if (!InBackoff(member.inner_address)) return member;
  }
  return std::nullopt;
}

void CoordinatorLink::Run(Yield yield) {
  while (true) {
    const auto candidate = ChooseCoordinator();
    if (!candidate) {
      SleepFor(io_, kNoCandidateRetryDelay, yield);
      continue;
    }
    auto connection =
        FrameConnection::Connect(io_, candidate->inner_address, kConnectTimeout, memory_, yield);
    if (!connection) {
      backoff_until_[candidate->inner_address] = clock_.Now() + kBackoff;
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
  coordinator_confirmed_ = false;
  ++session_;
  session_start_time_ = clock_.Now();
  coordinator_unresponsive_ = false;
  last_frame_time_ = clock_.Now();
  peer_clock_ = PeerClock();
  state_sent_ms_ = 0;
  clock_probe_ = 0;
  sent_catalog_version_ = 0;
  Log().Event("coordinator_session",
              LogFields().Add("vm", peer.instance.ToString()).Add("session", session_));
  SendReport();
  // Register the running placements with the new coordinator.
  detached_calls_.clear();
  for (auto& [id, active] : active_placements_) {
    if (active.local) continue;
    StreamPlacementRequest request;
    request.service = active.service;
    request.demand = active.demand;
    request.demand.software_version = active.software_version;
    auto message = ToWire(request, clock_.Now());
    message.running_on = active.decode;
    if (active.first_event <= clock_.Now()) {
      const absl::Duration streaming = clock_.Now() - active.first_event;
      message.streaming_ms = static_cast<std::uint32_t>(
          std::max<std::int64_t>(absl::ToInt64Milliseconds(streaming), 1));
    }
    const std::uint64_t call_id = next_call_++;
    detached_calls_[call_id] = {active.service, id};
    connection_->Send(protocol::MessageType::PlaceStream, call_id, message);
  }
}

void CoordinatorLink::ServeSession(Yield yield) {
  std::string end_reason;
  while (connection_) {
    const auto connection = connection_;
    const absl::Duration timeout =
        report_interval_ * kSessionTimeoutIntervals + kSessionTimeoutSlack;
    const auto frame = connection->Read(timeout, yield);
    // The session has been switched to another coordinator during the read.
    if (connection != connection_) continue;
    if (!frame) {
      end_reason = frame.error().ToString();
      break;
    }
    last_frame_time_ = clock_.Now();
    coordinator_unresponsive_ = false;
    OnFrame(*frame);
  }
  EndSession(end_reason);
}

void CoordinatorLink::WakeCalls() {
  for (auto& [id, call] : calls_) {
    call->session_ended = true;
    call->wake_timer.cancel();
  }
}

void CoordinatorLink::EndSession(const std::string& end_reason) {
  Log().Event("coordinator_session_ended",
              LogFields()
                  .Add("vm", coordinator_.instance.ToString())
                  .Add("reason", end_reason)
                  .Add("running", static_cast<std::int64_t>(active_placements_.size())));
  backoff_until_[coordinator_.inner_address] = clock_.Now() + kBackoff;
  if (connection_) connection_->Close();
  connection_ = nullptr;
  session_end_time_ = clock_.Now();
  probing_ = false;
  MarkCoordinatorUnresponsive();
  WakeCalls();
}

void CoordinatorLink::ReplaceConnection(FrameConnectionPtr connection, const FleetMember& peer) {
  const auto previous = std::exchange(connection_, nullptr);
  WakeCalls();
  StartSession(std::move(connection), peer);
  last_switch_time_ = clock_.Now();
  // Cancels the pending read from the previous coordinator.
  previous->Close();
}

void CoordinatorLink::SwitchTo(const FleetMember& preferred) {
  if (InBackoff(preferred.inner_address) || std::exchange(switching_, true)) return;
  // The current session continues while the new connection is established.
  SpawnFiber(io_, "switch coordinator", [this, preferred](Yield yield) {
    auto connection =
        FrameConnection::Connect(io_, preferred.inner_address, kConnectTimeout, memory_, yield);
    switching_ = false;
    if (connection && connection_) {
      ReplaceConnection(std::move(*connection), preferred);
      return;
    }
    probing_ = false;
    backoff_until_[preferred.inner_address] = clock_.Now() + kBackoff;
  });
}

void CoordinatorLink::ProbePreferredCoordinator() {
  const bool fresh = clock_.Now() - source_.read_at() < kMaxListAge;
  if (!FeedsOthers() || !fresh || probing_) return;
  const FleetMember& first = source_.listed_members().front();
  if (first.instance.vm == coordinator_.instance.vm || InBackoff(first.inner_address)) return;
  std::vector<FleetMember> both = {first, hooks_.self()};
  SortByCoordinatorPriority(both);
  if (both.front().instance.vm != first.instance.vm) return;
  // A VM that reports to this one is not a coordinator.
  if (hooks_.reports_to_this_vm(first.instance.vm)) return;
  probing_ = true;
  SwitchTo(first);
}

void CoordinatorLink::OnFrame(const Frame& frame) {
  const std::string peer = coordinator_.instance.vm;
  if (frame.header.type == protocol::MessageType::FleetState) {
    auto state = Capture<protocol::FleetStateT>(
        [&] { return DecodeMessage<protocol::FleetStateT>(frame.payload, peer); });
    if (auto* error = std::get_if<1>(&state)) {
      Log().Warn("malformed fleet state message: ", error->ToString());
      return;
    }
    OnState(std::get<0>(state));
    return;
  }
  if (frame.header.type == protocol::MessageType::PlaceStream) {
    auto reply = Capture<protocol::PlaceStreamReplyT>(
        [&] { return DecodeMessage<protocol::PlaceStreamReplyT>(frame.payload, peer); });
    if (auto* error = std::get_if<1>(&reply)) {
      Log().Warn("malformed placement reply: ", error->ToString());
      return;
    }
    OnReply(frame.header.call_id, std::get<0>(reply));
    return;
  }
  Log().Warn("unexpected message type ", static_cast<int>(frame.header.type), " from ", peer);
}

void CoordinatorLink::ApplyMembers(const protocol::FleetStateT& state) {
  MemberChanges changes;
  changes.is_full = state.whole_members;
  for (const auto& member : state.members) changes.changed.push_back(FromWire(*member));
  changes.removed = state.removed_members;
  if (!changes.is_full && changes.changed.empty() && changes.removed.empty()) return;
  members_.Apply(changes);
  rank_.reset();
  const auto ranked = members_.MembersByPriority();
  for (std::size_t i = 0; i < ranked.size(); ++i) {
    if (ranked[i].instance.vm == hooks_.self().instance.vm) rank_ = i;
  }
}

absl::Time CoordinatorLink::EarliestSend(const protocol::FleetStateT& state) {
  if (FeedsOthers()) return clock_.Now();
  if (state_sent_ms_ == 0) {
    // The first state of a session follows the first report.
    peer_clock_.OnAnswer(session_start_time_, ClockFromWire(state.sent_ms));
  }
  state_sent_ms_ = state.sent_ms;
  state_arrived_at_ = clock_.Now();
  return peer_clock_.OnMessage(ClockFromWire(state.sent_ms), state_arrived_at_);
}

void CoordinatorLink::ApplyFeed(const protocol::FleetStateT& state, absl::Time sent_at) {
  if (FeedsOthers()) return;
  ReplicaChanges changes;
  for (const auto& entry : state.backend_servers) {
    changes.updated.push_back(FromWire(*entry, clock_.Now()));
  }
  changes.removed = state.removed_servers;
  feed_.OnReplicaChanges(changes, state.whole_servers, state.store_era);
  const DataOrigin origin{state.store_era, sent_at - absl::Milliseconds(state.store_age_ms)};
  // A new coordinator may have older data.
  feed_origin_ = std::max(feed_origin_, origin);
  feed_.OnCatalog(state.catalog_version, std::string(state.catalog.begin(), state.catalog.end()),
                  origin);
  if (state.catalog_source == hooks_.self().instance.vm) SendCatalog(state.catalog_version);
}

void CoordinatorLink::SendCatalog(std::uint64_t known_version) {
  const auto catalog = view_.catalog();
  if (!catalog) return;
  const std::uint64_t version = catalog->version();
  if (version <= std::max(known_version, sent_catalog_version_)) return;
  sent_catalog_version_ = version;
  sends_catalog_ = true;
  SendReport();
}

void CoordinatorLink::FollowRedirect(const FleetMember& preferred) {
  if (preferred.instance.vm == coordinator_.instance.vm) {
    coordinator_confirmed_ = true;
    probing_ = false;
    return;
  }
  if (probing_) backoff_until_[coordinator_.inner_address] = clock_.Now() + kBackoff;
  if (probing_ || clock_.Now() - last_switch_time_ >= kMinSwitchInterval) SwitchTo(preferred);
}

void CoordinatorLink::OnState(const protocol::FleetStateT& state) {
  ApplyMembers(state);
  if (state.member_count > 0) member_count_ = state.member_count;
  report_interval_ = absl::Milliseconds(std::max<std::uint32_t>(state.interval_ms, 50));
  AccountLevels levels;
  for (const auto& entry : state.balances) levels[AccountFromWire(*entry)] = entry->tokens;
  balances_.Update(std::move(levels), clock_.Now());
  for (const auto& quarantined : state.quarantined) {
    (void)quarantine_.Adopt(FromWire(*quarantined, clock_.Now()), clock_.Now());
  }
  suspected_requests_ = state.suspected_requests;
  const absl::Time sent_at = EarliestSend(state);
  ApplyFeed(state, sent_at);
  feed_.OnMemberCount(state.member_count, sent_at);
  FollowRedirect(FromWire(*state.coordinator));
}

void CoordinatorLink::OnReply(std::uint64_t call_id, const protocol::PlaceStreamReplyT& reply) {
  if (call_id == clock_probe_ && clock_probe_ != 0) {
    clock_probe_ = 0;
    peer_clock_.OnAnswer(clock_probe_sent_at_, ClockFromWire(reply.sent_ms));
    return;
  }
  const auto found = calls_.find(call_id);
  if (found != calls_.end()) {
    peer_clock_.OnAnswer(found->second->sent_at, ClockFromWire(reply.sent_ms));
    found->second->replies.push_back(reply);
    found->second->wake_timer.cancel();
    return;
  }
  const auto pending = detached_calls_.find(call_id);
  if (pending == detached_calls_.end()) return;
  const DetachedCall detached = pending->second;
  detached_calls_.erase(pending);
  const auto active = active_placements_.find(detached.placement);
  if (active != active_placements_.end()) {
    active->second.ticket = reply.ticket;
    active->second.session = session_;
    return;
  }
  const bool reserved = reply.status == protocol::PlaceStreamStatus::Granted ||
                        reply.status == protocol::PlaceStreamStatus::Queued;
  if (reserved) SendWithdrawal(detached.service, reply.ticket);
}

void CoordinatorLink::SendWithdrawal(const std::string& service, std::uint64_t ticket) {
  if (!connection_) return;
  protocol::StreamProgressMessageT message;
  message.service = service;
  message.ticket = ticket;
  message.step = protocol::StreamStep::Cancelled;
  message.grant_not_received = true;
  connection_->Send(protocol::MessageType::StreamProgress, 0, message);
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

std::vector<FleetMember> CoordinatorLink::members() const {
  const FleetMember self = hooks_.self();
  std::vector<FleetMember> members = {self};
  // Without a session the last list is the best estimate; callers skip addresses that fail.
  for (const FleetMember& member : members_.MembersByPriority()) {
    if (member.instance.vm != self.instance.vm) members.push_back(member);
  }
  return members;
}

}  // namespace marigoldquay
