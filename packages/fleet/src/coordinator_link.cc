// Session with the coordinator.
#include "marigoldquay/fleet/coordinator_link.h"

#include <algorithm>
#include <random>
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
constexpr std::int64_t kSilentIntervals = 2;
constexpr absl::Duration kSilentSlack = absl::Milliseconds(400);
// The feed of a VM that may be the next coordinator; it has to know early whether it reaches the
// store.
constexpr absl::Duration kOldestFeedOfStandby = absl::Milliseconds(1100);
// Least age at which the others read the store themselves, and the time that such a read needs.
constexpr absl::Duration kLeastOldestFeed = absl::Milliseconds(1400);
constexpr absl::Duration kOwnReadTime = absl::Milliseconds(600);
// VMs that are ready to coordinate next.
constexpr std::size_t kStandbys = 4;
// VMs that stay in the store's list, for VMs that start.
constexpr std::size_t kAnnounced = 8;
// VMs without a coordinator look for one among those that they know for so long, with a random part
// of the same length, before they read the list.
constexpr absl::Duration kListDelay = absl::Milliseconds(1000);
// Longest time between two reports.
constexpr absl::Duration kReportInterval = absl::Seconds(1);
constexpr absl::Duration kFreshList = absl::Seconds(3);
constexpr absl::Duration kFreshContact = absl::Seconds(1);
constexpr absl::Duration kOldest = absl::Hours(1);

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
                                 CoordinatorLinkHooks hooks)
    : io_(io),
      clock_(clock),
      view_(view),
      source_(source),
      feed_(feed),
      hooks_(std::move(hooks)),
      started_(clock.Now()),
      spread_(RandomFraction()),
      session_ended_(started_),
      silent_since_(started_) {}

bool CoordinatorLink::FeedsOthers() const {
  return connected() && coordinator_.instance.vm == hooks_.self().instance.vm;
}

absl::Duration CoordinatorLink::OldestFeed() const {
  if (rank_ && *rank_ <= kStandbys) return kOldestFeedOfStandby;
  const absl::Duration least = std::max(kLeastOldestFeed, feed_bound_ / 2);
  const absl::Duration most = std::max(least, feed_bound_ - kOwnReadTime);
  return least + (most - least) * spread_;
}

bool CoordinatorLink::FeedIsFresh() const {
  return connected() && !FeedsOthers() && clock_.Now() - feed_time_ < OldestFeed();
}

std::optional<FleetMember> CoordinatorLink::confirmed_coordinator() const {
  if (!connected() || !confirmed_) return std::nullopt;
  return coordinator_;
}

bool CoordinatorLink::NeedsList() const {
  if (connected()) return false;
  return members_.size() == 0 || clock_.Now() - session_ended_ > kListDelay * (1 + spread_);
}

bool CoordinatorLink::Announces() const { return !connected() || !rank_ || *rank_ < kAnnounced; }

bool CoordinatorLink::CoolingDown(const Address& address) const {
  const auto found = cooling_down_until_.find(address);
  return found != cooling_down_until_.end() && clock_.Now() < found->second;
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
  if (!list_read && clock_.Now() < started_ + kFirstListWait) return std::nullopt;
  for (const FleetMember& member : Candidates()) {
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
  confirmed_ = false;
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
    // The session was moved to another coordinator meanwhile.
    if (connection != connection_) continue;
    if (!frame) {
      why = frame.error().ToString();
      break;
    }
    last_frame_ = clock_.Now();
    silent_ = false;
    OnFrame(*frame);
  }
  EndSession(why);
}

void CoordinatorLink::WakeCalls() {
  for (auto& [id, call] : calls_) {
    call->session_ended = true;
    call->wake.cancel();
  }
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
  session_ended_ = clock_.Now();
  probing_ = false;
  BecomeSilent();
  WakeCalls();
}

void CoordinatorLink::ReplaceConnection(FrameConnectionPtr connection, const FleetMember& peer) {
  const auto previous = std::exchange(connection_, nullptr);
  WakeCalls();
  StartSession(std::move(connection), peer);
  last_switch_ = clock_.Now();
  // Ends the read that waits for the previous coordinator.
  previous->Close();
}

void CoordinatorLink::SwitchTo(const FleetMember& preferred) {
  if (CoolingDown(preferred.inner_address) || std::exchange(switching_, true)) return;
  // The session goes on while the connection is made.
  SpawnFiber(io_, "switch coordinator", [this, preferred](Yield yield) {
    auto connection =
        FrameConnection::Connect(io_, preferred.inner_address, kConnectTimeout, yield);
    switching_ = false;
    if (connection && connection_) {
      ReplaceConnection(std::move(*connection), preferred);
      return;
    }
    probing_ = false;
    cooling_down_until_[preferred.inner_address] = clock_.Now() + kCoolDown;
  });
}

void CoordinatorLink::ProbeBetterCoordinator() {
  const bool fresh = clock_.Now() - source_.read_at() < kFreshList;
  if (!FeedsOthers() || !fresh || probing_) return;
  const FleetMember& first = source_.listed_members().front();
  if (first.instance.vm == coordinator_.instance.vm || CoolingDown(first.inner_address)) return;
  std::vector<FleetMember> both = {first, hooks_.self()};
  SortByCoordinatorPriority(both);
  if (both.front().instance.vm != first.instance.vm) return;
  // One that reports here does not coordinate.
  if (hooks_.reports_here(first.instance.vm)) return;
  probing_ = true;
  SwitchTo(first);
}

void CoordinatorLink::OnFrame(const Frame& frame) {
  const std::string peer = coordinator_.instance.vm;
  if (frame.header.type == protocol::MessageType::FleetState) {
    auto state = Capture<protocol::FleetStateT>(
        [&] { return DecodeMessage<protocol::FleetStateT>(frame.payload, peer); });
    if (auto* error = std::get_if<1>(&state)) {
      Log().Warn("malformed state: ", error->ToString());
      return;
    }
    OnState(std::get<0>(state));
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

void CoordinatorLink::TakeMembers(const protocol::FleetStateT& state) {
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

void CoordinatorLink::TakeFeed(const protocol::FleetStateT& state) {
  if (FeedsOthers()) return;
  ReplicaChanges changes;
  for (const auto& entry : state.backend_servers) changes.updated.push_back(FromWire(*entry));
  changes.removed = state.removed_servers;
  feed_.OnReplicaChanges(changes, state.whole_servers);
  feed_.OnCatalog(state.catalog_version, std::string(state.catalog.begin(), state.catalog.end()));
  // What was known does not become older when a new coordinator knows less.
  feed_time_ = std::max(feed_time_, clock_.Now() - absl::Milliseconds(state.store_age_ms));
}

void CoordinatorLink::FollowWord(const FleetMember& preferred) {
  if (preferred.instance.vm == coordinator_.instance.vm) {
    confirmed_ = true;
    probing_ = false;
    return;
  }
  if (probing_) cooling_down_until_[coordinator_.inner_address] = clock_.Now() + kCoolDown;
  if (probing_ || clock_.Now() - last_switch_ >= kSwitchPause) SwitchTo(preferred);
}

void CoordinatorLink::OnState(const protocol::FleetStateT& state) {
  TakeMembers(state);
  member_count_ = state.member_count;
  report_interval_ = absl::Milliseconds(std::max<std::uint32_t>(state.interval_ms, 50));
  balances_.clear();
  for (const auto& entry : state.balances) balances_[entry->workspace] = entry->tokens;
  // What was admitted since the last report is not in the levels yet.
  spent_since_state_ = spent_;
  TakeFeed(state);
  FollowWord(FromWire(*state.coordinator));
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
  report.sender = ToWire(hooks_.self());
  last_report_ = clock_.Now();
  const absl::Duration store_age = std::min(clock_.Now() - hooks_.store_contact(), kOldest);
  report.store_age_ms = static_cast<std::uint32_t>(absl::ToInt64Milliseconds(store_age));
  report.leaving_servers.assign(leaving_servers_.begin(), leaving_servers_.end());
  leaving_servers_.clear();
  report.needs_servers = std::exchange(needs_servers_, false);
  const auto catalog = view_.catalog();
  report.catalog_version = catalog ? catalog->version() : 0;
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

bool CoordinatorLink::ReportIsDue() const {
  if (!spent_.empty() || !leaving_servers_.empty() || needs_servers_) return true;
  const absl::Time now = clock_.Now();
  const bool reaches_store = now - hooks_.store_contact() < kFreshContact;
  // A coordinator that has lost the store hands over to a VM that reaches it.
  if (reaches_store && now - feed_time_ >= kOldestFeedOfStandby) return true;
  return now - last_report_ >= kReportInterval;
}

void CoordinatorLink::RunReports(Yield yield) {
  while (true) {
    SleepFor(io_, report_interval_, yield);
    if (ReportIsDue()) ReportNow();
    ProbeBetterCoordinator();
  }
}

std::vector<FleetMember> CoordinatorLink::members() const {
  const FleetMember self = hooks_.self();
  std::vector<FleetMember> members = {self};
  // Without a session the last list is still the best guess; callers skip addresses that fail.
  for (const FleetMember& member : members_.MembersByPriority()) {
    if (member.instance.vm != self.instance.vm) members.push_back(member);
  }
  return members;
}

}  // namespace marigoldquay
