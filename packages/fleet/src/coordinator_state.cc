// What the coordinator tells the VMs that report to it.
#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

#include "absl/container/flat_hash_set.h"
#include "marigoldquay/fleet/coordinator.h"
#include "wire.h"

namespace marigoldquay {
namespace {

using internal::ToWire;

// Time between two states. With many VMs it grows, so that the coordinator's work does not, but
// stays well below the age at which VMs read the store themselves.
constexpr absl::Duration kStateInterval = absl::Milliseconds(250);
constexpr absl::Duration kStateIntervalPerSession = absl::Microseconds(1400);
constexpr absl::Duration kLongestStateInterval = absl::Milliseconds(500);
// Changes that come together are sent in one state.
constexpr absl::Duration kSoon = absl::Milliseconds(20);
// Bound on ages that are sent.
constexpr absl::Duration kOldest = absl::Hours(1);
// A coordinator that knows nothing newer than this hands over to a VM that reaches the store.
constexpr absl::Duration kStoreLost = absl::Milliseconds(1200);
constexpr absl::Duration kInContact = absl::Milliseconds(800);
// Bytes of one configuration that are sent to all VMs together; above it each VM reads the store.
constexpr std::size_t kMaxCatalogBytes = std::size_t{16} << 20;
constexpr std::size_t kMaxRecordBytes = std::size_t{256} * 1024;
// Whole lists of members that go out with one state, so that the answers to placements do not wait
// behind them.
constexpr int kWholeListsPerState = 40;

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
  absl::flat_hash_set<std::string> vms;
  for (const auto& member : source_.listed_members()) vms.insert(member.instance.vm);
  for (const auto& [vm, until] : departed_) vms.insert(vm);
  for (const auto& session : sessions_) {
    if (session->reported) vms.insert(session->member.instance.vm);
  }
  const std::size_t seen = std::max<std::size_t>(vms.size(), 1);
  if (source_.settled()) return seen;
  std::size_t known = 0;
  for (const auto& session : sessions_) known = std::max(known, session->known_members);
  return std::max(seen, known > 0 ? known : kAssumedMembers);
}

std::optional<FleetMember> Coordinator::Successor() const {
  std::vector<FleetMember> candidates = reporting_.Ranked();
  const auto& listed = source_.listed_members();
  candidates.insert(candidates.end(), listed.begin(), listed.end());
  for (const FleetMember& member : candidates) {
    if (member.instance.vm != self_.instance.vm) return member;
  }
  return std::nullopt;
}

std::optional<FleetMember> Coordinator::BestInContact() const {
  std::vector<FleetMember> reaching;
  for (const Session* session : sessions_) {
    const bool reaches = clock_.Now() - session->store_contact < kInContact;
    const bool other = session->member.instance.vm != self_.instance.vm;
    if (session->reported && reaches && other) reaching.push_back(session->member);
  }
  if (reaching.empty()) return std::nullopt;
  SortForCoordination(reaching);
  return reaching.front();
}

FleetMember Coordinator::Preferred() const {
  const auto followed = hooks_.followed();
  if (followed && followed->instance.vm != self_.instance.vm) return *followed;
  if (leaving_) return Successor().value_or(self_);
  const bool store_lost = clock_.Now() - hooks_.knowledge_time() > kStoreLost;
  return store_lost ? BestInContact().value_or(self_) : self_;
}

absl::Duration Coordinator::StateInterval() const {
  const auto sessions = static_cast<std::int64_t>(sessions_.size());
  return std::clamp(kStateIntervalPerSession * sessions, kStateInterval, kLongestStateInterval);
}

protocol::FleetStateT Coordinator::MakeState() {
  protocol::FleetStateT state;
  state.coordinator = ToWire(Preferred());
  state.member_count = static_cast<std::uint32_t>(MemberCount());
  state.interval_ms = static_cast<std::uint32_t>(absl::ToInt64Milliseconds(StateInterval()));
  const absl::Duration store_age = clock_.Now() - hooks_.knowledge_time();
  state.store_age_ms =
      static_cast<std::uint32_t>(absl::ToInt64Milliseconds(std::min(store_age, kOldest)));
  const auto catalog = view_.catalog();
  if (!catalog) return state;
  state.catalog_version = catalog->version();
  for (const auto& workspace : catalog->contents().workspaces) {
    if (!workspace.quota.limited()) continue;
    const auto level = quota_.Level(workspace, clock_.Now());
    if (level * 2 >= workspace.quota.burst) continue;
    auto entry = std::make_unique<protocol::WorkspaceTokensT>();
    entry->workspace = workspace.name;
    entry->tokens = level;
    state.balances.push_back(std::move(entry));
  }
  return state;
}

bool Coordinator::SendsCatalog() const {
  const std::size_t size = view_.catalog_record().size();
  return size > 0 && size <= kMaxRecordBytes && size * sessions_.size() <= kMaxCatalogBytes;
}

void Coordinator::AddMembers(std::uint64_t since, protocol::FleetStateT& state) const {
  const MemberChanges changes = reporting_.ChangesSince(since);
  state.whole_members = changes.whole;
  state.members.clear();
  for (const auto& member : changes.changed) state.members.push_back(ToWire(member));
  state.removed_members = changes.removed;
}

void Coordinator::AddReplicas(std::uint64_t since, protocol::FleetStateT& state) const {
  const auto changes = view_.replicas().ChangesSince(since);
  // A list that was never read leaves servers out.
  state.whole_servers = since == 0 && hooks_.knowledge_time() != absl::InfinitePast();
  state.backend_servers.clear();
  for (const Replica& replica : changes.updated) state.backend_servers.push_back(ToWire(replica));
  state.removed_servers = changes.removed;
}

void Coordinator::AddCatalog(std::uint64_t since, protocol::FleetStateT& state) const {
  state.catalog.clear();
  if (since >= state.catalog_version || !SendsCatalog()) return;
  const std::string& record = view_.catalog_record();
  state.catalog.assign(record.begin(), record.end());
}

void Coordinator::SendStateSoon() { state_timer_.cancel(); }

void Coordinator::SendStateToAll() {
  // Each coordinator hands out the part of the VMs that report to it, so that two of them at once
  // stay within the rates together.
  UpdateQuotaShare();
  auto state = MakeState();
  // VMs that were told the same get the same bytes.
  struct Told {
    std::uint64_t members = 0;
    std::uint64_t replicas = 0;
    std::uint64_t catalog = 0;
    bool operator<(const Told& other) const {
      return std::tie(members, replicas, catalog) <
             std::tie(other.members, other.replicas, other.catalog);
    }
  };
  std::map<Told, std::string> frames;
  int whole_lists = 0;
  for (Session* session : sessions_) {
    if (!session->reported) continue;
    const bool needs_list = session->sent_members == 0;
    const bool with_members = !needs_list || ++whole_lists <= kWholeListsPerState;
    const std::uint64_t members_since = with_members ? session->sent_members : reporting_.version();
    const Told told{members_since, session->sent_replicas, session->sent_catalog};
    auto& frame = frames[told];
    if (frame.empty()) {
      AddMembers(members_since, state);
      AddReplicas(told.replicas, state);
      AddCatalog(told.catalog, state);
      frame = FrameConnection::Encode(protocol::MessageType::FleetState, 0, state);
    }
    if (with_members) session->sent_members = reporting_.version();
    session->sent_replicas = view_.replicas().version();
    session->sent_catalog = state.catalog_version;
    session->connection->SendBytes(frame);
  }
}

void Coordinator::SendStates(Yield yield) {
  while (true) {
    state_timer_.expires_after(ToChrono(StateInterval()));
    boost::system::error_code woken;  // A cancelled wait means that a change is to be sent.
    state_timer_.async_wait(yield[woken]);
    if (woken) SleepFor(io_, kSoon, yield);
    const absl::Time now = clock_.Now();
    std::erase_if(departed_, [now](const auto& entry) { return entry.second < now; });
    if (!sessions_.empty()) SendStateToAll();
  }
}

}  // namespace marigoldquay
