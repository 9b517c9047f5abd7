// Knowledge about peers.
#include "marigoldquay/membership/peer_table.h"

#include <algorithm>
#include <iterator>

namespace marigoldquay {
namespace {

// Entries per second that reach a VM of a large set: 3 messages and 3 answers with 4 entries each.
constexpr double kEntriesPerSecondLarge = 24;
constexpr absl::Duration kMaxEntryAge = absl::Hours(1);

}  // namespace

void PeerTable::Sync(const MemberSet::Members& members, const Instance& self) {
  std::erase_if(peers_, [&](const auto& entry) {
    const auto found = members.find(entry.first);
    return found == members.end() || found->second.instance != entry.second.instance;
  });
  for (const auto& [vm, member] : members) {
    if (vm == self.vm || peers_.contains(vm)) continue;
    auto& peer = peers_[vm];
    peer.instance = member.instance;
    peer.alive_at = clock_.Now();
    peer.changed_at = clock_.Now();
  }
}

void PeerTable::Merge(const protocol::HeartbeatMessageT& message, absl::Time sent_after) {
  const auto sender = FromWire(*message.sender);
  const auto found = peers_.find(sender.vm);
  if (found != peers_.end() && found->second.instance == sender) {
    auto& peer = found->second;
    peer.alive_at = std::max(peer.alive_at, sent_after);
    if (message.epoch > peer.epoch || peer.epoch_named_at == absl::InfiniteFuture()) {
      peer.epoch = message.epoch;
      peer.epoch_named_at = clock_.Now();
    }
  }
  for (const auto& entry : message.peers) {
    const auto age = std::min(absl::Milliseconds(entry->age_ms), kMaxEntryAge);
    MergeEntry(FromWire(*entry->instance), entry->sequence, sent_after - age, entry->spare_capacity,
               entry->log_reachable, entry->draining);
  }
}

void PeerTable::MergeEntry(const Instance& instance, std::uint64_t sequence, absl::Time alive_at,
                           std::int32_t spare_capacity, bool log_reachable, bool draining) {
  const auto found = peers_.find(instance.vm);
  if (found == peers_.end() || found->second.instance != instance) return;
  auto& peer = found->second;
  if (sequence < peer.sequence) return;
  peer.alive_at = std::max(peer.alive_at, alive_at);
  if (sequence == peer.sequence) return;
  peer.sequence = sequence;
  if (peer.spare_capacity != spare_capacity || peer.log_reachable != log_reachable ||
      peer.draining != draining) {
    peer.changed_at = clock_.Now();
  }
  peer.spare_capacity = spare_capacity;
  peer.log_reachable = log_reachable;
  peer.draining = draining;
}

std::vector<std::unique_ptr<protocol::PeerStateT>> PeerTable::MakeEntries(
    const Instance& self, const LocalStatus& status) {
  std::vector<std::unique_ptr<protocol::PeerStateT>> entries;
  const auto limit = peers_.size() + 1 > kSmallSet ? kEntriesLarge : kEntriesSmall;
  const auto add = [&](const PeerInfo& peer, absl::Duration age) {
    auto entry = std::make_unique<protocol::PeerStateT>();
    entry->instance = ToWire(peer.instance);
    entry->age_ms = static_cast<std::uint32_t>(
        absl::ToInt64Milliseconds(std::clamp(age, absl::ZeroDuration(), kMaxEntryAge)));
    entry->sequence = peer.sequence;
    entry->spare_capacity = peer.spare_capacity;
    entry->log_reachable = peer.log_reachable;
    entry->draining = peer.draining;
    entries.push_back(std::move(entry));
  };
  PeerInfo own;
  own.instance = self;
  own.sequence = ++own_sequence_;
  own.spare_capacity = status.spare_capacity;
  own.log_reachable = status.log_reachable;
  own.draining = status.draining;
  add(own, absl::ZeroDuration());

  std::vector<const PeerInfo*> by_change;
  for (const auto& [vm, peer] : peers_) {
    if (peer.sequence > 0) by_change.push_back(&peer);
  }
  const auto changed = std::min(by_change.size(), (limit - 1) / 2);
  std::partial_sort(
      by_change.begin(), by_change.begin() + static_cast<std::ptrdiff_t>(changed), by_change.end(),
      [](const PeerInfo* a, const PeerInfo* b) { return a->changed_at > b->changed_at; });
  const auto now = clock_.Now();
  for (std::size_t i = 0; i < changed; ++i) add(*by_change[i], now - by_change[i]->alive_at);
  const auto rest = by_change.begin() + static_cast<std::ptrdiff_t>(changed);
  std::sort(rest, by_change.end(), [&](const PeerInfo* a, const PeerInfo* b) {
    const bool a_wraps = a->instance.vm <= turn_;
    const bool b_wraps = b->instance.vm <= turn_;
    return a_wraps != b_wraps ? b_wraps : a->instance.vm < b->instance.vm;
  });
  for (auto peer = rest; peer != by_change.end() && entries.size() < limit; ++peer) {
    add(**peer, now - (*peer)->alive_at);
    turn_ = (*peer)->instance.vm;
  }
  return entries;
}

const PeerInfo* PeerTable::Find(absl::string_view vm) const {
  const auto found = peers_.find(vm);
  return found == peers_.end() ? nullptr : &found->second;
}

absl::Duration PeerTable::Window() const {
  if (peers_.size() + 1 <= kSmallSet) return kAliveWindow;
  // Long enough to have heard of about 70% of a large set.
  return std::max(kAliveWindow,
                  absl::Seconds(1.2 * static_cast<double>(peers_.size()) / kEntriesPerSecondLarge));
}

bool PeerTable::Responsive(absl::string_view vm) const {
  const auto* peer = Find(vm);
  return peer == nullptr || clock_.Now() - peer->alive_at <= Window();
}

bool PeerTable::ReachesMajority(std::size_t member_count, bool self_is_member) const {
  const auto now = clock_.Now();
  const auto window = Window();
  const auto reached = std::count_if(peers_.begin(), peers_.end(), [&](const auto& entry) {
    return now - entry.second.alive_at <= window;
  });
  return (static_cast<std::size_t>(reached) + (self_is_member ? 1 : 0)) * 2 > member_count;
}

bool PeerTable::AllReachableSayLogDown(std::size_t member_count, bool self_is_member) const {
  const auto now = clock_.Now();
  std::size_t reached = self_is_member ? 1 : 0;
  for (const auto& [vm, peer] : peers_) {
    if (now - peer.alive_at > kAliveWindow) continue;
    if (peer.log_reachable) return false;
    ++reached;
  }
  return reached * 2 > member_count;
}

}  // namespace marigoldquay
