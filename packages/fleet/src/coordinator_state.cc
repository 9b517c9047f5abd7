// Coordinator: fleet state that is broadcast to the VMs that report to it.
#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

#include "marigoldquay/dispatch/quota_balances.h"
#include "marigoldquay/fleet/coordinator.h"
#include "marigoldquay/fleet/peer_clock.h"
#include "wire.h"

namespace marigoldquay {
namespace {

using internal::ToWire;

// Interval between two states. It grows with the number of VMs to limit the coordinator's load, but
// stays well below the feed age at which VMs read the store themselves.
constexpr absl::Duration kMinStateInterval = absl::Milliseconds(250);
constexpr absl::Duration kStateIntervalPerSession = absl::Microseconds(1400);
constexpr absl::Duration kMaxStateInterval = absl::Milliseconds(500);
// Changes within this time are sent in one state.
constexpr absl::Duration kBatchDelay = absl::Milliseconds(20);
// Upper bound of the ages that are sent.
constexpr absl::Duration kMaxReportedAge = absl::Hours(1);
// A coordinator whose store data is older than this hands over to a VM that reaches the store.
constexpr absl::Duration kStoreLostAfter = absl::Milliseconds(1200);
constexpr absl::Duration kMaxStoreContactAge = absl::Milliseconds(800);
// Total bytes sent for one configuration to all VMs; above it each VM reads the store.
constexpr std::size_t kMaxTotalCatalogBytes = std::size_t{16} << 20;
constexpr std::size_t kMaxRecordBytes = std::size_t{256} * 1024;
// Number of sessions that get the full member list with one state. Limited so that replies to
// placements are not delayed behind the lists.
constexpr int kMaxFullListsPerState = 40;

}  // namespace

std::size_t Coordinator::ReportingSessions() const {
  return static_cast<std::size_t>(
      std::count_if(sessions_.begin(), sessions_.end(),
                    [](const Session* session) { return session->reported; }));
}

void Coordinator::UpdateQuotaShare() {
  quota_.SetShare(static_cast<double>(ReportingSessions()) / static_cast<double>(MemberCount()));
}

std::size_t Coordinator::MemberCount() const {
  const std::size_t known = KnownMemberCount();
  return known > 0 ? known : kAssumedMemberCount;
}

std::size_t Coordinator::KnownMemberCount() const {
  return member_counter_.Count(source_.listed_members(), source_.settled(), clock_.Now());
}

std::optional<FleetMember> Coordinator::Successor() const {
  std::vector<FleetMember> candidates = reporting_members_.MembersByPriority();
  const auto& listed = source_.listed_members();
  candidates.insert(candidates.end(), listed.begin(), listed.end());
  for (const FleetMember& member : candidates) {
    if (member.instance.vm != self_.instance.vm) return member;
  }
  return std::nullopt;
}

std::optional<FleetMember> Coordinator::BestMemberWithStoreContact() const {
  std::vector<FleetMember> in_contact;
  for (const Session* session : sessions_) {
    const bool has_contact = clock_.Now() - session->store_contact.read_at < kMaxStoreContactAge &&
                             session->store_contact.era >= hooks_.data_origin().era;
    const bool other = session->member.instance.vm != self_.instance.vm;
    if (session->reported && has_contact && other) in_contact.push_back(session->member);
  }
  if (in_contact.empty()) return std::nullopt;
  SortByCoordinatorPriority(in_contact);
  return in_contact.front();
}

FleetMember Coordinator::PreferredCoordinator() const {
  const auto followed_member = hooks_.followed_member();
  if (followed_member && followed_member->instance.vm != self_.instance.vm) return *followed_member;
  if (leaving_) return Successor().value_or(self_);
  const bool store_lost = clock_.Now() - hooks_.data_origin().read_at > kStoreLostAfter;
  return store_lost ? BestMemberWithStoreContact().value_or(self_) : self_;
}

absl::Duration Coordinator::StateInterval() const {
  const auto sessions = static_cast<std::int64_t>(sessions_.size());
  return std::clamp(kStateIntervalPerSession * sessions, kMinStateInterval, kMaxStateInterval);
}

protocol::FleetStateT Coordinator::BuildState() {
  protocol::FleetStateT state;
  state.coordinator = ToWire(PreferredCoordinator());
  state.member_count = static_cast<std::uint32_t>(KnownMemberCount());
  state.interval_ms = static_cast<std::uint32_t>(absl::ToInt64Milliseconds(StateInterval()));
  const DataOrigin origin = hooks_.data_origin();
  const absl::Duration store_age = clock_.Now() - origin.read_at;
  state.store_era = origin.era;
  state.sent_ms = ClockToWire(clock_.Now());
  state.store_age_ms =
      static_cast<std::uint32_t>(absl::ToInt64Milliseconds(std::min(store_age, kMaxReportedAge)));
  state.suspected_requests = quarantine_.suspects();
  state.catalog_source = CatalogSource();
  const auto catalog = view_.catalog();
  if (!catalog) return state;
  state.catalog_version = catalog->version();
  for (const auto& workspace : catalog->contents().workspaces) {
    if (workspace.quota.limited()) AddBalance(QuotaOf(workspace), state);
  }
  for (const Replica& server : view_.replicas().FindLimited()) {
    AddBalance(QuotaOf(server), state);
  }
  return state;
}

void Coordinator::AddBalance(const AccountQuota& quota, protocol::FleetStateT& state) {
  if (!quota.limited()) return;
  const TokenCount level = quota_.Level(quota, clock_.Now());
  if (QuotaBalances::IsOmitted(quota, level)) return;
  state.balances.push_back(ToWire(quota.account, level));
}

std::uint64_t Coordinator::CatalogVersion() const {
  const auto catalog = view_.catalog();
  return catalog ? catalog->version() : 0;
}

VmId Coordinator::CatalogSource() const {
  std::uint64_t newest = CatalogVersion();
  VmId source;
  for (const Session* session : sessions_) {
    if (!session->reported || session->catalog_version <= newest) continue;
    newest = session->catalog_version;
    source = session->member.instance.vm;
  }
  return source;
}

bool Coordinator::SendsCatalog() const {
  const std::size_t size = view_.catalog_record().size();
  return size > 0 && size <= kMaxRecordBytes && size * sessions_.size() <= kMaxTotalCatalogBytes;
}

void Coordinator::AddMembers(std::uint64_t since, protocol::FleetStateT& state) const {
  const MemberChanges changes = reporting_members_.ChangesSince(since);
  state.whole_members = changes.is_full;
  state.members.clear();
  for (const auto& member : changes.changed) state.members.push_back(ToWire(member));
  state.removed_members = changes.removed;
}

void Coordinator::AddReplicas(std::uint64_t since, protocol::FleetStateT& state) const {
  const auto changes = view_.replicas().ChangesSince(since);
  // Before the first read of the store the list is incomplete.
  state.whole_servers = since == 0 && hooks_.data_origin().read_at != absl::InfinitePast();
  state.backend_servers.clear();
  for (const Replica& replica : changes.updated) {
    state.backend_servers.push_back(ToWire(replica, clock_.Now()));
  }
  state.removed_servers = changes.removed;
}

void Coordinator::AddCatalog(std::uint64_t since, protocol::FleetStateT& state) const {
  state.catalog.clear();
  if (since >= state.catalog_version || !SendsCatalog()) return;
  const std::string& record = view_.catalog_record();
  state.catalog.assign(record.begin(), record.end());
}

void Coordinator::AddQuarantines(std::uint64_t since, protocol::FleetStateT& state) const {
  state.quarantined.clear();
  if (since < quarantine_.version()) state.quarantined = ToWire(quarantine_, clock_.Now());
}

void Coordinator::TriggerStateBroadcast() { state_timer_.cancel(); }

void Coordinator::BroadcastState() {
  // Each coordinator grants only the share of the VMs that report to it, so that two concurrent
  // coordinators stay within the rates together.
  UpdateQuotaShare();
  auto state = BuildState();
  // VMs that were last sent the same versions share one encoded frame.
  struct SentVersions {
    std::uint64_t members = 0;
    std::uint64_t replicas = 0;
    std::uint64_t catalog = 0;
    std::uint64_t quarantine = 0;
    bool operator<(const SentVersions& other) const {
      return std::tie(members, replicas, catalog, quarantine) <
             std::tie(other.members, other.replicas, other.catalog, other.quarantine);
    }
  };
  std::map<SentVersions, std::string> frames;
  int full_lists = 0;
  for (Session* session : sessions_) {
    if (!session->reported) continue;
    const bool needs_list = session->sent_members_version == 0;
    const bool with_members = !needs_list || ++full_lists <= kMaxFullListsPerState;
    const std::uint64_t members_since =
        with_members ? session->sent_members_version : reporting_members_.version();
    const SentVersions sent_versions{members_since, session->sent_replicas_version,
                                     session->sent_catalog_version,
                                     session->sent_quarantine_version};
    auto& frame = frames[sent_versions];
    if (frame.empty()) {
      AddMembers(members_since, state);
      AddReplicas(sent_versions.replicas, state);
      AddCatalog(sent_versions.catalog, state);
      AddQuarantines(sent_versions.quarantine, state);
      frame = FrameConnection::Encode(protocol::MessageType::FleetState, 0, state);
    }
    if (with_members) session->sent_members_version = reporting_members_.version();
    session->sent_replicas_version = view_.replicas().version();
    session->sent_catalog_version = state.catalog_version;
    session->sent_quarantine_version = quarantine_.version();
    session->connection->SendBytes(frame);
  }
}

void Coordinator::RunStateBroadcasts(Yield yield) {
  while (true) {
    state_timer_.expires_after(ToChrono(StateInterval()));
    boost::system::error_code woken;  // Set when TriggerStateBroadcast cancels the wait.
    state_timer_.async_wait(yield[woken]);
    if (woken) SleepFor(io_, kBatchDelay, yield);
    if (!sessions_.empty()) BroadcastState();
  }
}

}  // namespace marigoldquay
