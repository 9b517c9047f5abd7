// The platform's list of backend servers.
#include "marigoldquay/routing/replica_table.h"

#include <utility>

namespace marigoldquay {
namespace {

// Far more than are removed between two reports to a VM.
constexpr std::size_t kMaxRemovals = 2000;

}  // namespace

bool ReplicaTable::Set(Replica replica) {
  // An address belongs to its latest start; the entry of an earlier one has not lapsed yet.
  const auto owner = by_address_.find(replica.address);
  if (owner != by_address_.end() && owner->second != replica.id) {
    const auto other = replicas_.find(owner->second);
    if (other->second.started_unix_ms > replica.started_unix_ms) return false;
    Erase(other);
  }
  const auto found = replicas_.find(replica.id);
  if (found != replicas_.end()) {
    const Replica& known = found->second;
    const bool same_start = known.started_unix_ms == replica.started_unix_ms;
    replica.draining = replica.draining || (same_start && known.draining);
    if (known == replica) return false;
    if (known.address != replica.address) by_address_.erase(known.address);
  }
  by_address_[replica.address] = replica.id;
  changed_[replica.id] = ++version_;
  replicas_.insert_or_assign(replica.id, replica);
  return true;
}

bool ReplicaTable::MarkDraining(absl::string_view id) {
  const auto found = replicas_.find(id);
  if (found == replicas_.end() || found->second.draining) return false;
  found->second.draining = true;
  changed_[found->first] = ++version_;
  return true;
}

void ReplicaTable::Erase(std::map<BackendServerId, Replica, std::less<>>::iterator entry) {
  removals_.push_back({++version_, entry->first});
  if (removals_.size() > kMaxRemovals) removals_.pop_front();
  changed_.erase(entry->first);
  by_address_.erase(entry->second.address);
  replicas_.erase(entry);
}

ReplicaChanges ReplicaTable::ChangesSince(std::uint64_t version) const {
  ReplicaChanges changes;
  for (const auto& [id, changed_at] : changed_) {
    if (changed_at > version) changes.listed.push_back(replicas_.at(id));
  }
  for (const Removal& removal : removals_) {
    const bool back = replicas_.contains(removal.id);
    if (removal.version > version && !back) changes.removed.push_back(removal.id);
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

std::vector<Replica> ReplicaTable::Ready(absl::string_view service) const {
  std::vector<Replica> ready;
  for (const auto& [id, replica] : replicas_) {
    if (replica.service == service && !replica.draining) ready.push_back(replica);
  }
  return ready;
}

}  // namespace marigoldquay
