// Updates and queries of the table of backend servers.
#include "marigoldquay/routing/replica_table.h"

#include <algorithm>
#include <utility>

namespace marigoldquay {
namespace {

// Well above the number of removals between two reports to a VM.
constexpr std::size_t kMaxRecentRemovals = 2000;
// The limits that were stated last are kept.
constexpr std::size_t kMaxStatedLimits = 500;

// Whether `stated` replaces `known`. The first statement of a number of requests is kept, so that
// repetitions are no change.
bool Replaces(const RequestLimit& stated, const RequestLimit& known) {
  return stated.per_second != known.per_second && stated.stated_at > known.stated_at;
}

// Whether the entries of two instances, or of one, can be put in order.
bool AreComparable(std::int64_t first, std::int64_t second) { return first > 0 && second > 0; }

}  // namespace

bool ReplicaTable::IsOutdated(const Replica& replica, bool may_be_outdated) const {
  const auto found = replicas_.find(replica.id);
  if (found != replicas_.end()) {
    const Replica& known = found->second;
    if (!AreComparable(replica.started_unix_ms, known.started_unix_ms)) return false;
    if (replica.started_unix_ms != known.started_unix_ms) {
      return replica.started_unix_ms < known.started_unix_ms;
    }
    return AreComparable(replica.sequence, known.sequence) && replica.sequence < known.sequence;
  }
  return std::any_of(
      removed_servers_.begin(), removed_servers_.end(), [&](const ServerDeparture& removed) {
        if (removed.server != replica.id) return false;
        if (!AreComparable(replica.started_unix_ms, removed.started_unix_ms)) {
          return may_be_outdated && replica.sequence <= removed.sequence;
        }
        if (replica.started_unix_ms != removed.started_unix_ms) {
          return may_be_outdated && replica.started_unix_ms < removed.started_unix_ms;
        }
        return replica.sequence < removed.sequence ||
               (may_be_outdated && replica.sequence == removed.sequence);
      });
}

void ReplicaTable::RecordRemoval(const Replica& replica) {
  removed_servers_.push_back({replica.id, replica.started_unix_ms, replica.sequence, true});
  if (removed_servers_.size() > kMaxDepartures) removed_servers_.pop_front();
}

bool ReplicaTable::Apply(const ServerDeparture& departure) {
  const auto found = replicas_.find(departure.server);
  if (found == replicas_.end()) {
    Replica replica;
    replica.id = departure.server;
    replica.started_unix_ms = departure.started_unix_ms;
    replica.sequence = departure.sequence;
    if (departure.removed && !IsOutdated(replica, true)) RecordRemoval(replica);
    return false;
  }
  const Replica& known = found->second;
  if (known.started_unix_ms != departure.started_unix_ms) return false;
  if (!departure.removed) return MarkDraining(departure.server);
  if (!AreComparable(known.sequence, departure.sequence)) return false;
  return known.sequence <= departure.sequence && Remove(departure.server);
}

std::vector<ServerDeparture> ReplicaTable::departures() const {
  std::vector<ServerDeparture> departures(removed_servers_.begin(), removed_servers_.end());
  for (const auto& [id, replica] : replicas_) {
    if (!replica.draining) continue;
    departures.push_back({id, replica.started_unix_ms, replica.sequence, false});
  }
  return departures;
}

bool ReplicaTable::Upsert(Replica replica, bool may_be_outdated) {
  if (IsOutdated(replica, may_be_outdated)) return false;
  // The latest instance owns the address. The entry of an earlier instance may not have expired
  // yet.
  const auto owner = id_by_address_.find(replica.address);
  if (owner != id_by_address_.end() && owner->second != replica.id) {
    const auto previous = replicas_.find(owner->second);
    if (previous->second.started_unix_ms > replica.started_unix_ms) return false;
    Erase(previous);
  }
  const auto found = replicas_.find(replica.id);
  if (found != replicas_.end()) {
    const Replica& current = found->second;
    const bool same_start = current.started_unix_ms == replica.started_unix_ms;
    replica.draining = replica.draining || (same_start && current.draining);
  }
  replica.request_limit =
      UpdateStatedLimit({replica.id, replica.started_unix_ms, replica.request_limit});
  if (found != replicas_.end()) {
    Replica& current = found->second;
    // Each heartbeat has a number of its own, which is no change.
    current.sequence = replica.sequence;
    if (current == replica) return false;
    if (current.address != replica.address) id_by_address_.erase(current.address);
  }
  std::erase_if(removed_servers_,
                [&](const auto& removed) { return removed.server == replica.id; });
  id_by_address_[replica.address] = replica.id;
  version_by_id_[replica.id] = ++version_;
  replicas_.insert_or_assign(replica.id, replica);
  return true;
}

bool ReplicaTable::MarkDraining(absl::string_view id) {
  const auto found = replicas_.find(id);
  if (found == replicas_.end() || found->second.draining) return false;
  found->second.draining = true;
  version_by_id_[found->first] = ++version_;
  return true;
}

RequestLimit ReplicaTable::UpdateStatedLimit(const StatedRequestLimit& stated) {
  const auto found = stated_limits_.find(stated.server);
  if (found != stated_limits_.end()) {
    const StatedRequestLimit& known = found->second;
    const bool same_start = known.started_unix_ms == stated.started_unix_ms;
    if (same_start && !Replaces(stated.limit, known.limit)) return known.limit;
    if (known.started_unix_ms > stated.started_unix_ms) return stated.limit;
  }
  const bool has_stated = stated.limit.stated_at != absl::InfinitePast();
  if (!has_stated) return stated.limit;
  stated_limits_[stated.server] = stated;
  if (stated_limits_.size() > kMaxStatedLimits) {
    const auto stated_before = [](const auto& a, const auto& b) {
      return a.second.limit.stated_at < b.second.limit.stated_at;
    };
    stated_limits_.erase(
        std::min_element(stated_limits_.begin(), stated_limits_.end(), stated_before));
  }
  return stated.limit;
}

bool ReplicaTable::SetRequestLimit(const StatedRequestLimit& stated) {
  const auto found = replicas_.find(stated.server);
  if (found == replicas_.end()) {
    UpdateStatedLimit(stated);
    return false;
  }
  Replica& replica = found->second;
  if (replica.started_unix_ms != stated.started_unix_ms) return false;
  if (!Replaces(stated.limit, replica.request_limit)) return false;
  replica.request_limit = UpdateStatedLimit(stated);
  version_by_id_[replica.id] = ++version_;
  return true;
}

void ReplicaTable::Erase(std::map<BackendServerId, Replica, std::less<>>::iterator entry) {
  recent_removals_.push_back({++version_, entry->first});
  if (recent_removals_.size() > kMaxRecentRemovals) recent_removals_.pop_front();
  version_by_id_.erase(entry->first);
  id_by_address_.erase(entry->second.address);
  replicas_.erase(entry);
}

ReplicaChanges ReplicaTable::ChangesSince(std::uint64_t version) const {
  ReplicaChanges changes;
  for (const auto& [id, changed_at] : version_by_id_) {
    if (changed_at > version) changes.updated.push_back(replicas_.at(id));
  }
  for (const Removal& removal : recent_removals_) {
    const bool listed_again = replicas_.contains(removal.id);
    if (removal.version > version && !listed_again) changes.removed.push_back(removal.id);
  }
  return changes;
}

bool ReplicaTable::Remove(absl::string_view id) {
  const auto found = replicas_.find(id);
  if (found == replicas_.end()) return false;
  RecordRemoval(found->second);
  Erase(found);
  return true;
}

std::vector<BackendServerId> ReplicaTable::ids() const {
  std::vector<BackendServerId> ids;
  for (const auto& [id, replica] : replicas_) ids.push_back(id);
  return ids;
}

const Replica* ReplicaTable::Find(absl::string_view id) const {
  const auto found = replicas_.find(id);
  return found == replicas_.end() ? nullptr : &found->second;
}

std::vector<StatedRequestLimit> ReplicaTable::stated_limits() const {
  std::vector<StatedRequestLimit> limits;
  for (const auto& [id, stated] : stated_limits_) limits.push_back(stated);
  return limits;
}

std::vector<Replica> ReplicaTable::FindLimited() const {
  std::vector<Replica> limited;
  for (const auto& [id, replica] : replicas_) {
    if (replica.request_limit.per_second) limited.push_back(replica);
  }
  return limited;
}

std::vector<Replica> ReplicaTable::FindReady(absl::string_view service) const {
  std::vector<Replica> ready;
  for (const auto& [id, replica] : replicas_) {
    if (replica.service == service && !replica.draining) ready.push_back(replica);
  }
  return ready;
}

}  // namespace marigoldquay
