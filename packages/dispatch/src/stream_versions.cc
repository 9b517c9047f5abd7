// Versions that began streams: table of requests and history of each service.
#include "marigoldquay/dispatch/stream_versions.h"

#include <algorithm>
#include <utility>

#include "marigoldquay/core/rendezvous.h"

namespace marigoldquay {

StreamKey StreamKeyOf(absl::string_view request_id) { return StableHash(request_id); }

void StreamVersions::SetListed(const std::string& service, std::span<const Replica> engines,
                               absl::Time now) {
  Service& known = services_[service];
  std::set<SoftwareVersion> versions;
  for (const Replica& engine : engines) {
    versions.insert(engine.software_version);
    known.first_listed.try_emplace(engine.software_version, now);
    const EngineStart start{engine.started_unix_ms, engine.software_version, now};
    const auto [entry, is_new] = known.engines.try_emplace(engine.id, start);
    const EngineStart last = std::exchange(entry->second, start);
    const bool replaced =
        last.started_unix_ms != start.started_unix_ms && last.version != start.version;
    if (!is_new && replaced) MarkUnknown(known, engine.id);
  }
  if (versions.empty()) return;
  std::erase_if(known.engines,
                [&](const auto& entry) { return now - entry.second.listed_at > known.recall; });
  std::erase_if(known.first_listed,
                [&](const auto& entry) { return !versions.contains(entry.first); });
  if (known.versions == versions) return;
  const bool first_list = known.versions.empty();
  const bool never_changed =
      first_list && loaded_ && bootstrap_ && !known.has_record && versions.size() == 1;
  if (!first_list) known.last_change = now;
  known.versions = std::move(versions);
  known.since = never_changed ? absl::InfinitePast() : now;
}

void StreamVersions::OnListRead(absl::Time asked_at) {
  if (asked_at <= list_read_at_) return;
  const absl::Time last = std::exchange(list_read_at_, asked_at);
  if (asked_at - last <= kMaxListGap) return;
  read_without_gap_since_ = asked_at;
  if (last == absl::InfinitePast()) return;
  had_gap_ = true;
  loaded_ = false;
  // Otherwise a record that the store has lost since would still count.
  for (auto& [name, service] : services_) service.has_record = false;
}

void StreamVersions::DropOldest(Service& service) {
  const Change oldest = service.changes.front();
  service.changes.pop_front();
  const auto found = service.streams.find(oldest.stream);
  if (found != service.streams.end() && found->second.recorded_at <= oldest.at) {
    service.streams.erase(found);
  }
}

void StreamVersions::Put(Service& service, StreamKey stream, Entry entry) {
  service.changes.push_back({stream, entry.recorded_at});
  service.streams[stream] = std::move(entry);
  if (service.changes.size() > kMaxRecords) DropOldest(service);
}

void StreamVersions::Record(const std::string& service, const RequestId& request,
                            const SoftwareVersion& version, const BackendServerId& engine,
                            absl::Time now) {
  if (request.empty()) return;
  Service& known = services_[service];
  const StreamKey stream = StreamKeyOf(request);
  const auto last = known.streams.find(stream);
  // A stream that is placed again goes on at the version that began it.
  const bool begun =
      last != known.streams.end() && last->second.begun && last->second.version == version;
  Put(known, stream, {version, engine, now, "", begun});
  known.unsaved.push_back(stream);
  if (known.unsaved.size() > kMaxRecords) known.unsaved.pop_front();
}

void StreamVersions::OnBegun(const std::string& service, const RequestId& request) {
  Service& known = services_[service];
  const auto found = known.streams.find(StreamKeyOf(request));
  if (found != known.streams.end()) found->second.begun = true;
}

void StreamVersions::Withdraw(const std::string& service, const RequestId& request) {
  Service& known = services_[service];
  const StreamKey stream = StreamKeyOf(request);
  const auto found = known.streams.find(stream);
  if (found == known.streams.end()) return;
  found->second.version.reset();
  found->second.writer.clear();
  known.unsaved.push_back(stream);
  if (known.unsaved.size() > kMaxRecords) known.unsaved.pop_front();
}

std::optional<SoftwareVersion> StreamVersions::VersionToKeep(const std::string& service,
                                                             const RequestId& request) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return std::nullopt;
  const Service& known = found->second;
  const auto stream = known.streams.find(StreamKeyOf(request));
  if (stream == known.streams.end() || !stream->second.version) return std::nullopt;
  const bool is_listed = known.versions.contains(*stream->second.version);
  return is_listed ? stream->second.version : std::nullopt;
}

void StreamVersions::MarkUnknown(Service& service, const BackendServerId& engine) {
  for (auto& [stream, entry] : service.streams) {
    if (entry.engine != engine || !entry.version) continue;
    entry.version.reset();
    entry.writer.clear();
    service.unsaved.push_back(stream);
  }
  while (service.unsaved.size() > kMaxRecords) service.unsaved.pop_front();
}

bool StreamVersions::HasSoleVersion(const Service& service, absl::Time now) const {
  // Before the store's records are read, only what this VM has seen itself counts.
  const absl::Time since =
      loaded_ ? service.since : std::max(service.since, read_without_gap_since_);
  return service.versions.size() == 1 && now - since >= service.recall;
}

VersionResolution StreamVersions::Resolve(const std::string& service, const RequestId& request,
                                          absl::Time taken_up_at, absl::Time now) const {
  using Verdict = VersionResolution::Verdict;
  const auto found = services_.find(service);
  if (found == services_.end()) return {loaded_ ? Verdict::kUnknown : Verdict::kNotYet, ""};
  const Service& known = found->second;
  const auto stream = known.streams.find(StreamKeyOf(request));
  if (!request.empty() && stream != known.streams.end()) {
    const Entry& entry = stream->second;
    if (!entry.version) return {Verdict::kUnknown, ""};
    if (entry.begun) return {Verdict::kKnown, *entry.version};
  }
  const bool has_sole = HasSoleVersion(known, now);
  if (has_sole && list_read_at_ >= taken_up_at) return {Verdict::kKnown, *known.versions.begin()};
  return {has_sole || !loaded_ ? Verdict::kNotYet : Verdict::kUnknown, ""};
}

bool StreamVersions::MayBegin(const std::string& service, const SoftwareVersion& version,
                              absl::Time now) const {
  const auto found = services_.find(service);
  if (found == services_.end() || !found->second.saved) return true;
  const Service& known = found->second;
  const auto& saved = known.saved->versions;
  if (saved.contains(version)) return true;
  const bool has_other =
      std::any_of(known.versions.begin(), known.versions.end(),
                  [&](const SoftwareVersion& listed) { return saved.contains(listed); });
  const auto first = known.first_listed.find(version);
  return !has_other || first == known.first_listed.end() || now - first->second >= kMaxGateTime;
}

void StreamVersions::LoadHistory(const VersionHistory& history, bool is_current, absl::Time now) {
  Service& known = services_[history.service];
  known.has_record = true;
  if (known.versions.empty()) known.versions = history.versions;
  // A version that came or went since the record was written may have begun streams meanwhile.
  const bool holds = is_current && known.versions == history.versions;
  known.since = holds ? std::max(history.since, known.last_change) : now;
  if (is_current) known.saved = history;
}

void StreamVersions::LoadOrigins(const StreamOrigins& origins, absl::string_view own_writer,
                                 absl::Time now) {
  Service& known = services_[origins.service];
  if (now - origins.recorded_at > known.recall) return;
  const std::string writer(origins.writer == own_writer ? "" : origins.writer);
  for (const StreamOrigin& origin : origins.streams) {
    Entry entry{origin.version, "", origins.recorded_at, writer, /*begun=*/true};
    const auto found = known.streams.find(origin.stream);
    if (found != known.streams.end() && found->second.writer.empty() && writer.empty()) continue;
    // One writer corrects itself. Two that disagree have no order.
    const bool conflict = found != known.streams.end() && found->second.writer != writer &&
                          found->second.version != origin.version;
    if (conflict) entry.version.reset();
    Put(known, origin.stream, std::move(entry));
  }
}

void StreamVersions::FinishLoading(bool bootstrap, absl::Time now) {
  for (auto& [name, service] : services_) {
    if (service.has_record) continue;
    const bool never_changed = bootstrap && !had_gap_ && service.versions.size() == 1;
    service.since = never_changed ? service.last_change : now;
  }
  loaded_ = true;
  bootstrap_ = bootstrap;
}

void StreamVersions::Unload() {
  loaded_ = false;
  for (auto& [name, service] : services_) {
    service.saved.reset();
    service.has_record = false;
  }
}

void StreamVersions::OnStoreRestored() {
  for (auto& [name, service] : services_) {
    service.saved.reset();
    service.unsaved.clear();
    for (const Change& change : service.changes) service.unsaved.push_back(change.stream);
  }
}

std::vector<VersionHistory> StreamVersions::UnsavedHistories() const {
  std::vector<VersionHistory> histories;
  for (const auto& [name, service] : services_) {
    if (service.versions.empty()) continue;
    const VersionHistory history{name, service.versions, service.since};
    if (service.saved != history) histories.push_back(history);
  }
  return histories;
}

void StreamVersions::OnHistorySaved(const VersionHistory& history) {
  services_[history.service].saved = history;
}

StreamOrigins StreamVersions::UnsavedOrigins(const std::string& service, std::size_t most,
                                             absl::Time now) const {
  StreamOrigins origins;
  origins.service = service;
  origins.recorded_at = now;
  const auto found = services_.find(service);
  if (found == services_.end() || HasSoleVersion(found->second, now)) return origins;
  const Service& known = found->second;
  for (const StreamKey stream : known.unsaved) {
    if (origins.streams.size() >= most) break;
    const auto entry = known.streams.find(stream);
    // Those that have expired are listed as well, so that the caller can count them.
    const bool expired = entry == known.streams.end();
    origins.streams.push_back({stream, expired ? std::nullopt : entry->second.version});
  }
  return origins;
}

void StreamVersions::OnOriginsSaved(const std::string& service, std::size_t count) {
  auto& unsaved = services_[service].unsaved;
  const std::size_t saved = std::min(count, unsaved.size());
  unsaved.erase(unsaved.begin(), unsaved.begin() + static_cast<std::ptrdiff_t>(saved));
}

std::vector<std::string> StreamVersions::services() const {
  std::vector<std::string> names;
  for (const auto& [name, service] : services_) names.push_back(name);
  return names;
}

std::size_t StreamVersions::stream_count() const {
  std::size_t count = 0;
  for (const auto& [name, service] : services_) count += service.streams.size();
  return count;
}

void StreamVersions::Expire(absl::Time now) {
  for (auto& [name, service] : services_) {
    auto& changes = service.changes;
    while (!changes.empty() && now - changes.front().at > service.recall) DropOldest(service);
    auto& unsaved = service.unsaved;
    while (!unsaved.empty() && !service.streams.contains(unsaved.front())) unsaved.pop_front();
  }
}

}  // namespace marigoldquay
