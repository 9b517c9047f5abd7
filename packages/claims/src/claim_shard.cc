// One claims stream: claims, runs, voids and outcomes.
#include "claim_shard.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "marigoldquay/core/logger.h"
#include "marigoldquay/core/metrics.h"
#include "marigoldquay/core/secret.h"
#include "wire.h"

namespace marigoldquay::internal {
namespace {

// The log is assumed to take 300 appends a second; claims may use three quarters of them.
constexpr double kClaimAppendsPerSecond = 225;
constexpr std::size_t kMaxBatchRecords = 64;
constexpr std::size_t kMaxBatchBytes = std::size_t{512} << 10;
constexpr auto kAppenderTick = absl::Milliseconds(100);
constexpr auto kFailedAppendPause = absl::Milliseconds(50);
// A released claim that has not been read by then is no longer expected to land.
constexpr auto kReleasedClaimMemory = absl::Minutes(10);
// Requests that may run in one shard at once; a body of each is held.
constexpr std::size_t kMaxActive = 1024;

const Logger& Log() {
  static const Logger logger("claim");
  return logger;
}

std::string RequestDigest(const OnceRequest& request) {
  return Sha256Hex(absl::StrCat(request.method, "\n", request.target, "\n", request.body));
}

OnceResult Unknown(std::string message) {
  OnceResult result;
  result.outcome = OnceOutcome::kUnknown;
  result.message = std::move(message);
  return result;
}

OnceResult FromOutcome(const ClaimOutcome& outcome) {
  if (!outcome.answered) return Unknown("the backend server's answer is not known");
  if (!outcome.body_kept) {
    return Unknown(absl::StrCat("the request has run and was answered with status ", outcome.status,
                                "; the body was too large to be kept"));
  }
  OnceResult result;
  result.outcome = OnceOutcome::kAnswered;
  result.status = outcome.status;
  result.headers = outcome.headers;
  result.body = outcome.body;
  return result;
}

ClaimOutcome ToOutcome(const DispatchResult& dispatched) {
  ClaimOutcome outcome;
  outcome.answered = dispatched.outcome == DispatchOutcome::kAnswered;
  if (!outcome.answered) return outcome;
  outcome.status = dispatched.status;
  outcome.headers = dispatched.headers;
  outcome.body_kept = dispatched.body.size() <= kMaxRecordedBody;
  if (outcome.body_kept) outcome.body = dispatched.body;
  return outcome;
}

}  // namespace

void AppendPacer::Wait() {
  absl::Time turn;
  {
    const std::scoped_lock lock(mutex_);
    const auto members = std::max<std::size_t>(1, members_.members().size());
    const auto interval = absl::Seconds(static_cast<double>(members) / kClaimAppendsPerSecond);
    turn = std::max(next_, clock_.Now());
    next_ = turn + interval;
  }
  absl::SleepFor(turn - clock_.Now());
}

ClaimShard::ClaimShard(int number, ShardContext context)
    : stream_(absl::StrCat("claims-", number)),
      context_(context),
      table_(context.options.window),
      last_use_(context.clock.Now()),
      appender_([this] { AppendLoop(); }) {
  TailerOptions options;
  options.stream = stream_;
  tailer_ = std::make_unique<StreamTailer>(options, context_.log, context_.clock, *this);
}

ClaimShard::~ClaimShard() {
  tailer_->Stop();
  {
    const std::scoped_lock lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  appender_.join();
}

OnceResult ClaimShard::Run(const OnceRequest& request, const std::string& key,
                           absl::Time deadline) {
  Lock lock(mutex_);
  last_use_ = context_.clock.Now();
  const auto digest = RequestDigest(request);
  if (!WaitFor(lock, std::min(deadline, last_use_ + context_.options.claim_timeout),
               [&] { return tail_read_; })) {
    return NotRun("the log cannot be read");
  }
  if (const auto found = active_.find(key); found != active_.end()) {
    const auto run = found->second;
    if (run->request_digest != digest) return {OnceOutcome::kBodyMismatch, 0, {}, "", {}, ""};
    return Follow(lock, run, deadline);
  }
  if (active_.size() >= kMaxActive) return NotRun("too many requests run at once");
  const auto run = std::make_shared<ActiveRun>();
  run->request_digest = digest;
  active_[key] = run;
  auto result = Lead(lock, *run, request, key, deadline);
  run->result = result;
  // A run whose outcome is not yet in the table stays, so that later requests join it.
  if (!unconfirmed_.contains(run->nonce) || voided_.contains(run->nonce)) active_.erase(key);
  changed_.notify_all();
  return result;
}

OnceResult ClaimShard::Lead(Lock& lock, ActiveRun& run, const OnceRequest& request,
                            const std::string& key, absl::Time deadline) {
  const auto give_up = std::min(deadline, context_.clock.Now() + context_.options.claim_timeout);
  while (true) {
    const auto* claim = table_.Find(key);
    const bool own =
        claim != nullptr && (claim->nonce == run.nonce || abandoned_.contains(claim->nonce));
    if (own && claim->request_digest == run.request_digest) {
      // The claim of this run, or one that an earlier request gave up without dispatching.
      if (claim->nonce != run.nonce && !run.nonce.empty()) {
        abandoned_[run.nonce] = {key, context_.clock.Now()};
      }
      run.nonce = claim->nonce;
      return Dispatch(lock, request, key, run.nonce, deadline);
    }
    if (claim != nullptr && !voided_.contains(claim->nonce)) {
      auto result = FromTable(lock, key, run.request_digest, deadline);
      if (result) {
        // A claim of this run that lost may win later, if the winner is voided before it lands.
        if (!run.nonce.empty()) abandoned_[run.nonce] = {key, context_.clock.Now()};
        return *result;
      }
    } else if (claim == nullptr && run.nonce.empty()) {
      run.nonce = RandomHexId();
      auto record = MakeRecord(ClaimRecordKind::kClaim, key, run.nonce);
      record.request_digest = run.request_digest;
      queue_.push_back(std::move(record));
      changed_.notify_all();
    }
    const auto seen = next_;
    if (!WaitFor(lock, give_up, [&] { return next_ != seen; })) {
      return GiveUp(run, key, "the log did not record the claim in time");
    }
  }
}

OnceResult ClaimShard::Dispatch(Lock& lock, const OnceRequest& request, const std::string& key,
                                const std::string& nonce, absl::Time deadline) {
  abandoned_.erase(nonce);
  lock.unlock();
  auto dispatched = context_.dispatcher.Dispatch(request, deadline - context_.clock.Now());
  lock.lock();
  if (dispatched.outcome == DispatchOutcome::kNotSent) {
    StartVoid(nonce, key);
    return NotRun("no backend server can be reached");
  }
  auto record = MakeRecord(ClaimRecordKind::kOutcome, key, nonce);
  record.outcome = ToOutcome(dispatched);
  Record(std::move(record));
  if (dispatched.outcome == DispatchOutcome::kUnknown) return Unknown(dispatched.message);
  // A caller that has its answer should find it recorded when another device asks.
  WaitFor(lock, context_.clock.Now() + context_.options.outcome_wait,
          [&] { return !unconfirmed_.contains(nonce); });
  OnceResult result;
  result.outcome = OnceOutcome::kAnswered;
  result.status = dispatched.status;
  result.headers = std::move(dispatched.headers);
  result.body = std::move(dispatched.body);
  return result;
}

OnceResult ClaimShard::Follow(Lock& lock, const ActiveRunPtr& run, absl::Time deadline) {
  if (!WaitFor(lock, deadline, [&] { return run->result.has_value(); })) {
    return Unknown("the request is still running");
  }
  return *run->result;
}

std::optional<OnceResult> ClaimShard::FromTable(Lock& lock, const std::string& key,
                                                const std::string& request_digest,
                                                absl::Time deadline) {
  const auto* found = table_.Find(key);
  if (found == nullptr) return std::nullopt;
  const auto claim = *found;
  if (claim.request_digest != request_digest) {
    return OnceResult{OnceOutcome::kBodyMismatch, 0, {}, "", {}, ""};
  }
  if (claim.outcome) return FromOutcome(*claim.outcome);
  if (claim.holder == context_.members.self() || !context_.members.IsMember(claim.holder)) {
    return Unknown("the VM that ran the request has failed");
  }
  return AskHolder(lock, claim, key, deadline);
}

OnceResult ClaimShard::AskHolder(Lock& lock, const ClaimState& claim, const std::string& key,
                                 absl::Time deadline) {
  const auto holder = context_.members.FindMember(claim.holder.vm);
  if (!holder) return Unknown("the VM that ran the request has failed");
  protocol::RunOnceRequestT wire;
  wire.sender = ToWire(context_.members.self());
  wire.idempotency_key = key;
  wire.lookup_only = true;
  CallOptions options;
  options.timeout = deadline - context_.clock.Now();
  options.cancelled = [&] { return !context_.members.IsMember(claim.holder); };
  lock.unlock();
  auto result = HandleError(
      [&]() -> Result<OnceResult> {
        BOOST_LEAF_AUTO(reply, CallPeer<protocol::RunOnceReplyT>(
                                   context_.rpc, holder->inner_address,
                                   protocol::MessageType::RunOnce, wire, options));
        return FromWireReply(reply);
      },
      [](const Error& error) {
        return Unknown(
            absl::StrCat("the VM that runs the request did not answer: ", error.ToString()));
      });
  lock.lock();
  return result;
}

OnceResult ClaimShard::Lookup(const std::string& key, absl::Time deadline) {
  Lock lock(mutex_);
  last_use_ = context_.clock.Now();
  if (const auto found = active_.find(key); found != active_.end()) {
    const auto run = found->second;
    return Follow(lock, run, deadline);
  }
  WaitFor(lock, deadline, [&] { return tail_read_; });
  const auto* claim = table_.Find(key);
  if (claim == nullptr) return Unknown("the claim is not known at its holder");
  if (claim->outcome) return FromOutcome(*claim->outcome);
  if (abandoned_.contains(claim->nonce) || voided_.contains(claim->nonce)) {
    return NotRun("the claim was given up");
  }
  return Unknown("the claim is not known at its holder");
}

OnceResult ClaimShard::GiveUp(const ActiveRun& run, const std::string& key, std::string message) {
  if (!run.nonce.empty()) {
    // A claim that was never sent cannot land.
    const auto queued = std::find_if(queue_.begin(), queue_.end(), [&](const ClaimRecord& record) {
      return record.nonce == run.nonce && record.kind == ClaimRecordKind::kClaim;
    });
    if (queued != queue_.end()) queue_.erase(queued);
    abandoned_[run.nonce] = {key, context_.clock.Now()};
  }
  Log().Info("gave up a request in ", stream_, ": ", message);
  return NotRun(std::move(message));
}

OnceResult ClaimShard::NotRun(std::string message) const {
  OnceResult result;
  result.outcome = OnceOutcome::kNotRun;
  result.retry_after = context_.options.retry_after;
  result.message = std::move(message);
  return result;
}

bool ClaimShard::WaitFor(Lock& lock, absl::Time deadline, const std::function<bool()>& condition) {
  // The clock may be a test's; a short wait bounds the difference to the condition variable's.
  constexpr auto kLongestWait = absl::Milliseconds(20);
  while (!condition()) {
    const auto left = deadline - context_.clock.Now();
    if (left <= absl::ZeroDuration() || stopping_) return false;
    changed_.wait_for(lock, absl::ToChronoNanoseconds(std::min(left, kLongestWait)));
  }
  return true;
}

void ClaimShard::Record(ClaimRecord record) {
  unconfirmed_[record.nonce] = {record, context_.clock.Now() + context_.options.append_retry};
  queue_.push_back(std::move(record));
  changed_.notify_all();
}

ClaimRecord ClaimShard::MakeRecord(ClaimRecordKind kind, const std::string& key,
                                   const std::string& nonce) const {
  ClaimRecord record;
  record.kind = kind;
  record.key = key;
  record.nonce = nonce;
  const auto* claim = table_.Find(key);
  // Void and outcome must name the holder that the claim names, also after this process has
  // joined again as another instance.
  record.holder =
      claim != nullptr && claim->nonce == nonce ? claim->holder : context_.members.self();
  return record;
}

void ClaimShard::StartVoid(const std::string& nonce, const std::string& key) {
  abandoned_.erase(nonce);
  voided_[nonce] = {key, context_.clock.Now()};
  Record(MakeRecord(ClaimRecordKind::kVoid, key, nonce));
}

bool ClaimShard::idle(absl::Time now) const {
  const std::scoped_lock lock(mutex_);
  return active_.empty() && unconfirmed_.empty() && queue_.empty() && abandoned_.empty() &&
         last_use_ + context_.options.idle_close < now;
}

int ClaimShard::running() const {
  const std::scoped_lock lock(mutex_);
  const auto unfinished = std::count_if(active_.begin(), active_.end(), [](const auto& entry) {
    return !entry.second->result.has_value();
  });
  return static_cast<int>(unfinished) + static_cast<int>(unconfirmed_.size());
}

Offset ClaimShard::next_offset() const {
  const std::scoped_lock lock(mutex_);
  return next_;
}

void ClaimShard::OnPage(const LogPage& page, absl::Time /*read_sent_at*/) {
  const std::scoped_lock lock(mutex_);
  int malformed = 0;
  next_ = std::max(next_, page.first_offset);
  for (const auto& record : page.records) {
    if (record.offset < next_) continue;
    next_ = record.offset + 1;
    ApplyBatch(ParseClaimBatch(record.data, malformed));
  }
  if (malformed > 0) Log().Warn(malformed, " malformed records in ", stream_);
  tail_read_ = tail_read_ || next_ >= page.next_offset;
  changed_.notify_all();
}

void ClaimShard::OnReadError(const Error& error) { Log().Debug(stream_, ": ", error.ToString()); }

void ClaimShard::ApplyBatch(const std::vector<ClaimRecord>& batch) {
  const auto now = context_.clock.Now();
  for (const auto& record : batch) {
    table_.Apply(record, now);
    if (record.kind == ClaimRecordKind::kClaim) {
      // A claim that was appended twice can land again behind its void.
      const auto* claim = table_.Find(record.key);
      if (claim != nullptr && voided_.contains(claim->nonce) &&
          !unconfirmed_.contains(claim->nonce)) {
        Record(MakeRecord(ClaimRecordKind::kVoid, record.key, claim->nonce));
      }
      continue;
    }
    if (unconfirmed_.erase(record.nonce) == 0) continue;
    const auto run = active_.find(record.key);
    if (run != active_.end() && run->second->nonce == record.nonce && run->second->result) {
      active_.erase(run);
    }
  }
}

void ClaimShard::AppendLoop() {
  Lock lock(mutex_);
  while (!stopping_) {
    changed_.wait_for(lock, absl::ToChronoMilliseconds(kAppenderTick),
                      [&] { return !queue_.empty() || stopping_; });
    QueueDueRecords();
    if (queue_.empty() || stopping_) continue;
    lock.unlock();
    context_.pacer.Wait();
    lock.lock();
    // Taken after the wait, so that the batch holds all that came meanwhile.
    const auto batch = TakeBatch();
    if (batch.empty()) continue;
    lock.unlock();
    const auto appended = Capture<Offset>([&] {
      return context_.log.Append(stream_, SerializeClaimBatch(batch),
                                 context_.options.append_timeout);
    });
    lock.lock();
    if (const auto* offset = std::get_if<Offset>(&appended)) {
      // Everything before the batch has been read, so it need not be read back.
      if (*offset == next_) {
        ++next_;
        ApplyBatch(batch);
        changed_.notify_all();
      }
      continue;
    }
    Log().Debug("append failed: ", std::get<Error>(appended).ToString());
    changed_.wait_for(lock, absl::ToChronoMilliseconds(kFailedAppendPause),
                      [&] { return stopping_; });
    RepeatClaims(batch);
  }
}

void ClaimShard::QueueDueRecords() {
  const auto now = context_.clock.Now();
  std::vector<std::pair<std::string, std::string>> due;
  for (const auto& [nonce, released] : abandoned_) {
    const auto* claim = table_.Find(released.key);
    const bool landed = claim != nullptr && claim->nonce == nonce;
    if (landed && released.since + context_.options.void_delay < now) {
      due.emplace_back(nonce, released.key);
    }
  }
  for (const auto& [nonce, key] : due) {
    if (!active_.contains(key)) StartVoid(nonce, key);
  }
  const auto expired = [&](const auto& entry) {
    return entry.second.since + kReleasedClaimMemory < now;
  };
  std::erase_if(abandoned_, expired);
  std::erase_if(voided_, [&](const auto& entry) {
    return expired(entry) && !unconfirmed_.contains(entry.first);
  });
  for (auto& [nonce, unconfirmed] : unconfirmed_) {
    if (unconfirmed.next_append > now) continue;
    unconfirmed.next_append = now + context_.options.append_retry;
    queue_.push_back(unconfirmed.record);
  }
}

std::vector<ClaimRecord> ClaimShard::TakeBatch() {
  std::vector<ClaimRecord> batch;
  std::size_t bytes = 0;
  while (!queue_.empty() && batch.size() < kMaxBatchRecords && bytes < kMaxBatchBytes) {
    bytes += queue_.front().outcome.body.size();
    batch.push_back(std::move(queue_.front()));
    queue_.pop_front();
  }
  return batch;
}

void ClaimShard::RepeatClaims(const std::vector<ClaimRecord>& batch) {
  // Voids and outcomes are repeated by QueueDueRecords. The same claim may land twice; the table
  // ignores the second.
  for (const auto& record : batch) {
    if (record.kind != ClaimRecordKind::kClaim) continue;
    const auto run = active_.find(record.key);
    const bool wanted = run != active_.end() && run->second->nonce == record.nonce &&
                        !run->second->result && table_.Find(record.key) == nullptr;
    if (wanted) queue_.push_back(record);
  }
}

}  // namespace marigoldquay::internal
