// Thread-safe store of the configuration.
#include "marigoldquay/config/config_store.h"

#include <algorithm>
#include <limits>

#include "marigoldquay/core/logger.h"
#include "marigoldquay/core/metrics.h"

namespace marigoldquay {
namespace {

constexpr std::int64_t kNoEvidence = std::numeric_limits<std::int64_t>::min();
// Real time between two looks at the clock while waiting for a record.
constexpr absl::Duration kWaitSlice = absl::Milliseconds(20);

const Logger& Log() {
  static const Logger logger("config");
  return logger;
}

Gauge& RevisionGauge() {
  static Gauge& gauge =
      MetricsRegistry::Global().gauge("config_revision", "Revision of the configuration.");
  return gauge;
}

Gauge& PendingGauge() {
  static Gauge& gauge =
      MetricsRegistry::Global().gauge("config_pending_plans", "Plans that may be confirmed.");
  return gauge;
}

Counter& MalformedCounter() {
  static Counter& counter = MetricsRegistry::Global().counter(
      "config_malformed_records_total", "Malformed records skipped in the config stream.");
  return counter;
}

}  // namespace

void ConfigStore::ObservedReplay::Apply(Offset offset, absl::string_view data) {
  const auto applied = replay_.ApplyRecord(offset, data);
  store_.mutex_.AssertHeld();
  store_.Observe(applied);
  if (applied.outcome == ApplyOutcome::kMalformed) {
    Log().Warn("record ", offset, " is malformed and skipped: ", applied.reason);
  }
}

bool ConfigStore::ObservedReplay::LoadSnapshot(Offset next, const std::string& text) {
  if (!replay_.LoadSnapshot(next, text)) {
    Log().Error("snapshot of offset ", next, " cannot be read");
    return false;
  }
  store_.mutex_.AssertHeld();
  store_.changes_since_snapshot_ = 0;
  Log().Info("loaded snapshot of offset ", next);
  return true;
}

ConfigStore::ConfigStore(const Clock& clock)
    : clock_(clock),
      state_(*this),
      replica_(std::string(kConfigStream), state_),
      snapshot_seen_at_(clock.Now()),
      cell_(std::make_unique<Configuration>()),
      evidence_at_(kNoEvidence) {}

bool ConfigStore::current() const {
  if (evidence_age() <= kEvidenceValidity) return true;
  return agreement_ != nullptr && agreement_->AllReachableSayLogDown();
}

Offset ConfigStore::next_offset() const {
  absl::MutexLock lock(&mutex_);
  return replica_.wanted_offset();
}

void ConfigStore::OnPage(const LogPage& page, absl::Time read_sent_at) {
  log_failing_ = false;
  bool at_tail = false;
  {
    absl::MutexLock lock(&mutex_);
    at_tail = replica_.TakePage(page);
    if (at_tail) tail_read_ = true;
  }
  Publish();
  // Only now do readers see what the page has brought.
  if (at_tail) AddEvidence(read_sent_at);
}

void ConfigStore::OnReadError(const Error& error) {
  if (!log_failing_.exchange(true)) {
    Log().Warn("the log cannot be read, the configuration stays as it is: ", error.ToString());
  }
}

bool ConfigStore::Serves(absl::string_view stream) const {
  absl::MutexLock lock(&mutex_);
  return replica_.Serves(stream);
}

protocol::FetchRecordsReplyT ConfigStore::Serve(const protocol::FetchRecordsRequestT& request) {
  absl::MutexLock lock(&mutex_);
  return replica_.Serve(request);
}

protocol::FetchRecordsRequestT ConfigStore::NextRequest() const {
  absl::MutexLock lock(&mutex_);
  return replica_.NextRequest();
}

bool ConfigStore::TakeReply(const protocol::FetchRecordsRequestT& request,
                            const protocol::FetchRecordsReplyT& reply) {
  bool more = false;
  {
    absl::MutexLock lock(&mutex_);
    more = replica_.TakeReply(request, reply);
  }
  Publish();
  return more;
}

void ConfigStore::OnPeerEvidence(Offset peer_next, absl::Duration age, absl::Time call_sent_at) {
  // The peer's answer left after the call was sent, so its evidence is at least this new.
  const auto at = call_sent_at - age;
  absl::MutexLock lock(&mutex_);
  if (peer_next <= applied_offset()) {
    AddEvidence(at);
  } else if (at > awaited_evidence_) {
    awaited_next_ = peer_next;
    awaited_evidence_ = at;
  }
}

void ConfigStore::AddEvidence(absl::Time at) {
  const auto nanos = absl::ToUnixNanos(at);
  auto known = evidence_at_.load();
  while (nanos > known && !evidence_at_.compare_exchange_weak(known, nanos)) {
  }
}

absl::Duration ConfigStore::evidence_age() const {
  const auto nanos = evidence_at_.load(std::memory_order_acquire);
  if (nanos == kNoEvidence) return absl::InfiniteDuration();
  return clock_.Now() - absl::FromUnixNanos(nanos);
}

bool ConfigStore::log_reachable() const { return !log_failing_; }

bool ConfigStore::tail_was_read() const {
  absl::MutexLock lock(&mutex_);
  return tail_read_;
}

void ConfigStore::Observe(const Applied& applied) {
  if (applied.outcome == ApplyOutcome::kMalformed) MalformedCounter().Increment();
  if (applied.outcome == ApplyOutcome::kConfirmed) ++changes_since_snapshot_;
  if (applied.ends_snapshot) {
    changes_since_snapshot_ = 0;
    snapshot_seen_at_ = clock_.Now();
  }
  if (applied.nonce.empty() || !outcomes_.emplace(applied.nonce, applied).second) return;
  outcome_order_.push_back(applied.nonce);
  if (outcome_order_.size() > kMaxOutcomes) {
    outcomes_.erase(outcome_order_.front());
    outcome_order_.pop_front();
  }
}

void ConfigStore::Publish() {
  Offset revision = 0;
  {
    absl::MutexLock publishing(&publish_mutex_);
    std::unique_ptr<Configuration> changed;
    Offset next = 0;
    {
      absl::MutexLock lock(&mutex_);
      const auto& replay = state_.replay();
      next = replay.next_offset();
      revision = replay.revision();
      PendingGauge().Set(static_cast<std::int64_t>(replay.pending().size()));
      if (revision != revision_.load()) {
        changed = std::make_unique<Configuration>(ToConfiguration(replay.tables(), revision));
      }
    }
    const bool is_changed = changed != nullptr;
    if (is_changed) {
      cell_.Replace(std::move(changed));
      revision_.store(revision, std::memory_order_release);
      RevisionGauge().Set(static_cast<std::int64_t>(revision));
    }
    // Peers and evidence refer to what readers see, so the offset moves after the cell.
    applied_.store(next, std::memory_order_release);
    {
      absl::MutexLock lock(&mutex_);
      if (next >= awaited_next_ && awaited_evidence_ != absl::InfinitePast()) {
        AddEvidence(awaited_evidence_);
        awaited_evidence_ = absl::InfinitePast();
      }
      applied_changed_.SignalAll();
    }
    if (!is_changed) return;
  }
  for (const auto& listener : listeners_) listener(revision);
}

std::optional<Applied> ConfigStore::WaitForNonce(const std::string& nonce,
                                                 absl::Time deadline) const {
  absl::MutexLock lock(&mutex_);
  while (true) {
    const auto found = outcomes_.find(nonce);
    // The record counts once readers see its effect.
    if (found != outcomes_.end() && found->second.revision <= revision_.load()) {
      return found->second;
    }
    if (clock_.Now() >= deadline) return std::nullopt;
    applied_changed_.WaitWithTimeout(&mutex_, kWaitSlice);
  }
}

std::vector<PendingPlan> ConfigStore::pending_plans() const {
  absl::MutexLock lock(&mutex_);
  const auto& pending = state_.replay().pending();
  return {pending.begin(), pending.end()};
}

std::string ConfigStore::StateDigest() const {
  absl::MutexLock lock(&mutex_);
  return state_.replay().StateDigest();
}

std::vector<SnapshotPart> ConfigStore::MakeSnapshot() const {
  absl::MutexLock lock(&mutex_);
  return SplitSnapshot(state_.SnapshotText(), state_.next_offset());
}

std::int64_t ConfigStore::changes_since_snapshot() const {
  absl::MutexLock lock(&mutex_);
  return changes_since_snapshot_;
}

absl::Duration ConfigStore::time_since_snapshot() const {
  absl::MutexLock lock(&mutex_);
  return clock_.Now() - snapshot_seen_at_;
}

}  // namespace marigoldquay
