// Updates and queries of the table of backend servers.
#include "marigoldquay/routing/replica_table.h"

#include <utility>

namespace marigoldquay {
namespace {

// Well above the number of removals between two reports to a VM.
constexpr std::size_t kMaxRecentRemovals = 2000;

// Whether `stated` replaces `known`. The first statement of a number of requests is kept, so that
// repetitions are no change.
bool Replaces(const RequestLimit& stated, const RequestLimit& known) {
  return stated.per_second != known.per_second && stated.stated_at > known.stated_at;
}

}  // namespace

bool ReplicaTable::Upsert(Replica replica) {
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
    if (same_start && !Replaces(replica.request_limit, current.request_limit)) {
      replica.request_limit = current.request_limit;
    }
    if (current == replica) return false;
    if (current.address != replica.address) id_by_address_.erase(current.address);
  }
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

bool ReplicaTable::SetRequestLimit(absl::string_view id, const RequestLimit& limit) {
  const auto found = replicas_.find(id);
  if (found == replicas_.end() || !Replaces(limit, found->second.request_limit)) return false;
  found->second.request_limit = limit;
  version_by_id_[found->first] = ++version_;
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

std::vector<Replica> ReplicaTable::FindWithStatedLimit() const {
  std::vector<Replica> found;
  for (const auto& [id, replica] : replicas_) {
    if (replica.request_limit.stated_at != absl::InfinitePast()) found.push_back(replica);
  }
  return found;
}

std::vector<Replica> ReplicaTable::FindReady(absl::string_view service) const {
  std::vector<Replica> ready;
  for (const auto& [id, replica] : replicas_) {
    if (replica.service == service && !replica.draining) ready.push_back(replica);
  }
  return ready;
}

}  // namespace marigoldquay
