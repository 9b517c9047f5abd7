// Followers of the configuration and of the list of backend servers.
#include "marigoldquay/fleet/followers.h"

#include <algorithm>
#include <utility>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include "marigoldquay/core/logger.h"
#include "marigoldquay/core/metrics.h"

namespace marigoldquay {
namespace {

const Logger& Log() {
  static const Logger logger("config");
  return logger;
}

// Duration of a long poll. A dead connection is detected after this wait plus the timeout of the
// call, well within the 2 s in which a configuration has to take effect once the store is reachable
// again.
constexpr absl::Duration kCatalogWait = absl::Milliseconds(1000);
// Pause before a stale read is repeated.
constexpr absl::Duration kStaleReadPause = absl::Milliseconds(150);
// Maximum pause after failures. VMs that follow a feed learn from it that the store is back, and
// the rest of the 2 s bound on a configuration change is enough for the read.
constexpr absl::Duration kMaxRetryPause = absl::Milliseconds(1600);
constexpr absl::Duration kMaxFeedingRetryPause = absl::Milliseconds(250);
// A VM that feeds others reads more often, as the others learn of changes one state later.
constexpr absl::Duration kFeedingCatalogWait = absl::Milliseconds(400);
constexpr absl::Duration kFeedingReplicaPoll = absl::Milliseconds(350);
// Maximum interval at which a VM checks whether its feed is still fresh, as the session may end.
// The end of the feed's freshness is not waited past: 270 VMs that lose their feed together have
// 0.6 s for the read, on a small part of a core each.
constexpr absl::Duration kFeedCheck = absl::Milliseconds(200);
// A draining server must be detected well within the 2 s in which it may still get requests.
constexpr absl::Duration kReplicaPoll = absl::Milliseconds(1000);
// Entries that expired while the store was unavailable reappear within this time if the server is
// alive.
constexpr absl::Duration kReappearanceGrace = absl::Milliseconds(2200);
// By this time after the store came back from a copy, it has dropped the entries of the copy whose
// servers do not write any more: three heartbeats, which settings may make several seconds long.
constexpr absl::Duration kOutdatedListTime = absl::Seconds(15);

// Reasons that are remembered, so that each is logged once.
constexpr std::size_t kMaxLoggedSkips = 100;

void LogSkipped(absl::string_view event, const std::string& reason) {
  Log().Event(event, LogFields().Add("reason", reason), LogLevel::kWarn);
}

void CountSkippedEntry() {
  MetricsRegistry::Global()
      .counter("marigoldquay_fleet_backend_server_entries_skipped_total",
               "Entries of the list of backend servers that name no server to use.")
      .Increment();
}

absl::Duration FeedCheckDelay(const FeedMonitor& feed) {
  return std::clamp(feed.FeedFreshFor(), absl::Milliseconds(1), kFeedCheck);
}

absl::Duration MaxRetryPause(const FeedMonitor& feed) {
  return feed.FeedsOthers() ? kMaxFeedingRetryPause : kMaxRetryPause;
}

}  // namespace

void CatalogFollower::LogStoreContact(bool reachable, const std::string& detail) {
  if (std::exchange(store_reachable_, reachable) == reachable) return;
  LogFields fields;
  fields.Add("dependency", "store").Add("detail", detail);
  Log().Event(reachable ? "dependency_regained" : "dependency_lost", fields, LogLevel::kWarn);
}

void CatalogFollower::Apply(CatalogUpdate update, absl::string_view source) {
  for (const std::string& reason : update.skipped) LogSkipped("configuration_skipped", reason);
  if (!update.catalog) return;
  const std::uint64_t version = update.catalog->version;
  const std::uint64_t before = view_.catalog() ? view_.catalog()->version() : 0;
  const bool applied = view_.Apply(std::move(*update.catalog), std::move(update.record));
  if (!applied && version == before) return;
  LogFields fields;
  fields.Add("version", version)
      .Add("version_before", before)
      .Add("source", source)
      .Add("outcome", applied ? "in force" : "older than the configuration in force");
  Log().Event("configuration", fields);
  if (applied) on_change_();
}

void CatalogFollower::OnVersionAnnounced(std::uint64_t version, const std::string& record,
                                         const DataOrigin& origin) {
  const std::uint64_t known_version = view_.catalog() ? view_.catalog()->version() : 0;
  if (version > known_version && !record.empty()) {
    auto contents = store_.DecodeCatalog(record);
    if (contents) {
      // The log offset that follows this version is unknown.
      next_.reset();
      Apply({std::move(*contents), record, {}, {}}, "coordinator");
    } else {
      LogSkipped("configuration_skipped", contents.error().ToString());
    }
  }
  const bool is_later = version > announced_version_;
  announced_version_ = std::max(announced_version_, version);
  // A new coordinator may have an older version than the one before it.
  if (view_.catalog() && view_.catalog()->version() >= announced_version_) {
    confirmed_ = std::max(confirmed_, origin);
  }
  if (is_later) wake_timer_.cancel();
}

absl::Duration CatalogFollower::CurrentMaxRetryPause() const {
  // Another VM has read a newer version, so the store is likely reachable: retry quickly.
  const std::uint64_t version = view_.catalog() ? view_.catalog()->version() : 0;
  return announced_version_ > version ? RetryDelay::kInitialDelay : MaxRetryPause(feed_);
}

bool CatalogFollower::FollowsFeed() const { return view_.catalog() && feed_.FeedIsFresh(); }

absl::Duration CatalogFollower::NextWait() const {
  // The feed announces only versions that are in the store already, so the read need not wait.
  if (FollowsFeed()) return absl::ZeroDuration();
  // The time at which a waiting read was answered with a change is not known, so another read
  // confirms the change.
  if (change_unconfirmed_) return absl::ZeroDuration();
  return feed_.FeedsOthers() ? kFeedingCatalogWait : kCatalogWait;
}

ErrorOr<CatalogUpdate> CatalogFollower::ReadNext(Yield yield) {
  const absl::Time started = clock_.Now();
  const absl::Duration wait = next_ ? NextWait() : absl::ZeroDuration();
  auto update = next_ ? store_.AwaitCatalog(*next_, wait, yield) : store_.ReadNewestCatalog(yield);
  if (!update) return update;
  const bool changed = update->catalog.has_value();
  // The store answers after the start of the read; an empty answer is given when the wait is over.
  // When the answer arrived says nothing: it may have been under way or in the socket for long.
  const bool waited = !changed && clock_.Now() - started >= wait;
  origin_ = {update->next.era, waited ? started + wait : started};
  change_unconfirmed_ = changed && wait > absl::ZeroDuration();
  return update;
}

void CatalogFollower::Run(Yield yield) {
  while (true) {
    if (FollowsFeed() && announced_version_ <= view_.catalog()->version()) {
      wake_timer_.expires_after(ToChrono(FeedCheckDelay(feed_)));
      boost::system::error_code ignored;  // Set when OnVersionAnnounced cancels the wait.
      wake_timer_.async_wait(yield[ignored]);
      continue;
    }
    const absl::Time started = clock_.Now();
    auto update = ReadNext(yield);
    if (update) {
      retry_delay_.Reset();
      LogStoreContact(true, "");
      const bool has_update = update->catalog.has_value();
      const bool has_catalog = has_update || view_.catalog() != nullptr;
      next_ = update->next;
      Apply(std::move(*update), "store");
      // A stale read lacks the version that the feed has announced.
      const bool newest = view_.catalog() && view_.catalog()->version() >= announced_version_;
      if (newest) confirmed_ = std::max(confirmed_, origin_);
      if (!has_catalog) next_.reset();
      // A stale read, without the version that the feed announced, is repeated after a pause.
      if (!has_catalog || (!has_update && FollowsFeed())) SleepFor(io_, kStaleReadPause, yield);
      continue;
    }
    // Discarded records were replaced by a newer full configuration, and offsets of an earlier era
    // name other records now.
    if (update.error().code == ErrorCode::kNotFound) next_.reset();
    LogStoreContact(update.error().code == ErrorCode::kNotFound, update.error().ToString());
    SleepFor(io_, retry_delay_.Next(CurrentMaxRetryPause(), clock_.Now() - started), yield);
  }
}

void ReplicaFollower::OnEra(StoreEra era) {
  if (era <= era_) return;
  const bool returned = std::exchange(era_, era) != 0;
  if (!returned) return;
  store_returned_at_ = clock_.Now();
  outdated_until_ = clock_.Now() + kOutdatedListTime;
  Log().Event("store_returned_from_copy", LogFields().Add("era", era), LogLevel::kWarn);
}

void ReplicaFollower::Set(const Replica& replica, absl::string_view source) {
  if (!view_.replicas().Upsert(replica, ListMayBeOutdated())) return;
  constexpr absl::string_view kRoles[] = {"prefill", "decode"};
  LogFields fields;
  fields.Add("backend_server", replica.id)
      .Add("service", replica.service)
      .Add("address", replica.address)
      .Add("availability_zone", replica.availability_zone)
      .Add("role", replica.role ? kRoles[static_cast<int>(*replica.role)] : "")
      .Add("draining", replica.draining)
      .Add("limit_per_second", replica.request_limit.per_second
                                   ? absl::StrCat(*replica.request_limit.per_second)
                                   : "none")
      .Add("source", source);
  Log().Event("backend_server", fields);
}

void ReplicaFollower::ApplyFeed(const ReplicaChanges& changes, bool is_full, StoreEra era) {
  OnEra(era);
  if (!is_full && changes.updated.empty() && changes.removed.empty()) return;
  Apply({changes.updated, changes.removed, {}, {}}, is_full, "coordinator");
}

void ReplicaFollower::Apply(const ReplicaUpdate& update, bool is_full_list,
                            absl::string_view source) {
  auto& table = view_.replicas();
  const std::uint64_t before = table.version();
  absl::flat_hash_set<BackendServerId> listed;
  for (const Replica& replica : update.listed) {
    listed.insert(replica.id);
    removal_times_.erase(replica.id);
    Set(replica, source);
  }
  for (const std::string& reason : update.skipped) {
    CountSkippedEntry();
    // The entry may be written again with each heartbeat of its writer.
    if (logged_skips_.size() >= kMaxLoggedSkips) logged_skips_.clear();
    if (logged_skips_.insert(reason).second) LogSkipped("backend_server_entry_skipped", reason);
  }
  std::vector<BackendServerId> missing = update.removed;
  if (is_full_list) {
    for (const auto& id : table.ids()) {
      if (!listed.contains(id)) missing.push_back(id);
    }
  }
  const absl::Time removal_time = std::max(clock_.Now(), store_returned_at_ + kReappearanceGrace);
  for (const auto& id : missing) removal_times_.try_emplace(id, removal_time);
  RemoveExpired();
  if (table.version() != before) on_change_();
}

void ReplicaFollower::RemoveExpired() {
  const absl::Time now = clock_.Now();
  for (auto entry = removal_times_.begin(); entry != removal_times_.end();) {
    if (now < entry->second) {
      ++entry;
      continue;
    }
    if (view_.replicas().Remove(entry->first)) {
      Log().Event("backend_server_gone", LogFields().Add("backend_server", entry->first));
    }
    entry = removal_times_.erase(entry);
  }
}

void ReplicaFollower::ReadOnce(Yield yield) {
  const bool is_full_list = !next_;
  const absl::Time started = clock_.Now();
  const auto update =
      is_full_list ? store_.ListReplicas(yield) : store_.ReadReplicaChanges(*next_, yield);
  if (update) {
    // The answer may have been under way for long.
    origin_ = {update->next.era, started};
    retry_delay_.Reset();
    if (std::exchange(store_unavailable_, false)) store_returned_at_ = clock_.Now();
    OnEra(update->next.era);
    next_ = update->next;
    Apply(*update, is_full_list, "store");
    SleepFor(io_, feed_.FeedsOthers() ? kFeedingReplicaPoll : kReplicaPoll, yield);
    return;
  }
  // When the history was discarded or the era has ended, the full list is read without a pause.
  if (update.error().code == ErrorCode::kNotFound) {
    next_.reset();
    return;
  }
  if (!std::exchange(store_unavailable_, true)) {
    Log().Event("backend_server_list_unavailable",
                LogFields().Add("detail", update.error().ToString()), LogLevel::kWarn);
  }
  SleepFor(io_, retry_delay_.Next(MaxRetryPause(feed_), clock_.Now() - started), yield);
}

void ReplicaFollower::Run(Yield yield) {
  while (true) {
    if (outdated_until_ != absl::InfinitePast() && !ListMayBeOutdated()) {
      outdated_until_ = absl::InfinitePast();
      // Entries that were ignored as outdated hold now.
      next_.reset();
      feed_.RequestFullServerList();
    }
    if (!feed_.FeedIsFresh()) {
      reads_store_ = true;
      ReadOnce(yield);
      continue;
    }
    if (std::exchange(reads_store_, false)) {
      // From now on the coordinator decides which servers are removed.
      removal_times_.clear();
      feed_.RequestFullServerList();
    }
    // The offset becomes outdated while the feed is followed.
    next_.reset();
    store_unavailable_ = false;
    RemoveExpired();
    SleepFor(io_, FeedCheckDelay(feed_), yield);
  }
}

}  // namespace marigoldquay
