// State of the engines of a scheduler: list, speed estimates, suspensions and load.
#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/strings/str_cat.h"
#include "marigoldquay/dispatch/stream_scheduler.h"
#include "stream_cost.h"

namespace marigoldquay {
namespace {

using internal::Footprint;
using internal::kDecodePrefillFactor;

// Assumed prefill time per prompt token before the first prefill ends, in ms.
constexpr double kDefaultPrefillMsPerToken = 0.02;
// Assumed time between two tokens of a stream before the first stream ends, in ms.
constexpr double kDefaultDecodeMsPerToken = 1.0;
constexpr double kMinDecodeMsPerToken = 0.1;
constexpr double kMaxDecodeMsPerToken = 100.0;
constexpr double kMinPrefillMsPerToken = 0.002;
constexpr double kMaxPrefillMsPerToken = 0.4;
// Weight of the newest sample in the speed estimates.
constexpr double kLearningRate = 0.25;
// Suspension after a failure, multiplied by the number of failures up to kMaxSuspensionSteps.
constexpr absl::Duration kSuspension = absl::Seconds(1);
constexpr int kMaxSuspensionSteps = 3;
// An engine that refused a request as full is likely to have capacity again within a few events.
constexpr absl::Duration kFullSuspension = absl::Milliseconds(150);
// An engine that another instance has replaced stays in the list until its entry expires.
constexpr absl::Duration kReplacedSuspension = absl::Seconds(10);
// A decode engine counts as stalled when at least this many of its streams are overdue by this
// time and it has sent no event since.
constexpr int kStalledStreams = 2;
constexpr absl::Duration kStalledOverdue = absl::Milliseconds(700);

absl::Duration Milliseconds(double ms) { return absl::Milliseconds(ms); }

}  // namespace

void StreamScheduler::SetEngines(const EngineProfile& profile, std::span<const Replica> replicas) {
  profile_ = profile;
  Engines next;
  for (const Replica& replica : replicas) {
    if (!replica.role) continue;
    Engine engine;
    const auto found = engines_.find(replica.id);
    // An engine that was restarted or has changed its role has lost its earlier state.
    const bool same = found != engines_.end() && found->second.replica.role == replica.role &&
                      found->second.replica.started_unix_ms == replica.started_unix_ms;
    if (same) engine = found->second;
    engine.replica = replica;
    if (engine.prefill_ms_per_token <= 0) engine.prefill_ms_per_token = kDefaultPrefillMsPerToken;
    if (engine.decode_ms_per_token <= 0) engine.decode_ms_per_token = kDefaultDecodeMsPerToken;
    engine.streams.clear();
    next.emplace(replica.id, std::move(engine));
  }
  engines_ = std::move(next);
  for (const auto& [ticket, placed] : placed_) {
    Engine* engine = Find(placed.decode);
    if (engine != nullptr) engine->streams.push_back(ticket);
  }
}

StreamScheduler::Engine* StreamScheduler::Find(absl::string_view id) {
  const auto found = engines_.find(id);
  return found == engines_.end() ? nullptr : &found->second;
}

TokenCount StreamScheduler::reserved_tokens(absl::string_view engine) const {
  const auto found = engines_.find(engine);
  return found == engines_.end() ? 0 : found->second.reserved;
}

bool StreamScheduler::IsStalled(const Engine& decode, absl::Time now) const {
  const absl::Time overdue_before = now - kStalledOverdue;
  const bool eligible =
      decode.replica.role == EngineRole::kDecode && decode.running >= kStalledStreams;
  if (!eligible || decode.last_activity > overdue_before) return false;
  const auto& streams = decode.streams;
  const auto count = std::count_if(streams.begin(), streams.end(), [&](std::uint64_t ticket) {
    const PlacedStream& placed = placed_.at(ticket);
    return !placed.started && placed.first_event < overdue_before;
  });
  return count >= kStalledStreams;
}

bool StreamScheduler::HasRequiredVersion(const Engine& engine, const StreamDemand& demand) {
  return engine.replica.role != EngineRole::kDecode || !demand.software_version ||
         engine.replica.software_version == *demand.software_version;
}

bool StreamScheduler::HasDecodeEngine(const StreamDemand& demand) const {
  return std::any_of(engines_.begin(), engines_.end(), [&](const auto& entry) {
    return entry.second.replica.role == EngineRole::kDecode &&
           HasRequiredVersion(entry.second, demand);
  });
}

bool StreamScheduler::AllSuspended(EngineRole role, const StreamDemand& demand,
                                   absl::Time now) const {
  return std::all_of(engines_.begin(), engines_.end(), [&](const auto& entry) {
    const Engine& engine = entry.second;
    return engine.replica.role != role || !HasRequiredVersion(engine, demand) ||
           now < engine.suspended_until || IsStalled(engine, now);
  });
}

bool StreamScheduler::IsUsable(const Engine& engine, const StreamDemand& demand,
                               absl::Time now) const {
  if (!HasRequiredVersion(engine, demand)) return false;
  // Suspensions never empty a pool: if all engines of a role are suspended, all are usable.
  const bool suspended = now < engine.suspended_until || IsStalled(engine, now);
  if (suspended && !AllSuspended(*engine.replica.role, demand, now)) return false;
  const auto& excluded = demand.excluded;
  return std::find(excluded.begin(), excluded.end(), engine.replica.id) == excluded.end();
}

bool StreamScheduler::AcceptsRequest(const Engine& engine, absl::Time now) const {
  if (options_.request_quota == nullptr || !engine.replica.request_limit.per_second) return true;
  return options_.request_quota->CanAdmit(QuotaOf(engine.replica), kRequestCost, now);
}

void StreamScheduler::ChargeRequest(const Engine& engine, absl::Time now) const {
  if (options_.request_quota == nullptr || !engine.replica.request_limit.per_second) return;
  options_.request_quota->Charge(QuotaOf(engine.replica), kRequestCost, now);
}

absl::Duration StreamScheduler::WaitingRequestTime(const StreamDemand& demand,
                                                   absl::Time now) const {
  if (options_.request_quota == nullptr) return absl::ZeroDuration();
  double rate = 0;
  double level = 0;
  for (const auto& [id, engine] : engines_) {
    if (engine.replica.role != EngineRole::kDecode || !IsUsable(engine, demand, now)) continue;
    const AccountQuota quota = QuotaOf(engine.replica);
    if (!quota.limited()) return absl::ZeroDuration();
    rate += options_.share * static_cast<double>(quota.rate);
    level += static_cast<double>(options_.request_quota->Level(quota, now));
  }
  if (rate <= 0) return absl::ZeroDuration();
  const double cost = static_cast<double>(kRequestCost) * static_cast<double>(waiting_.size() + 1);
  return absl::Seconds(std::max(0.0, cost - level) / rate);
}

void StreamScheduler::UpdateDecodeSpeed(Engine& engine, const PlacedStream& placed,
                                        absl::Time now) const {
  if (placed.demand.output_tokens <= 0) return;
  // A stream may end before its token limit, so this is the time per requested token.
  const double ms = absl::ToDoubleMilliseconds(now - placed.first_event) /
                    static_cast<double>(placed.demand.output_tokens);
  engine.decode_ms_per_token += kLearningRate * (ms - engine.decode_ms_per_token);
  engine.decode_ms_per_token =
      std::clamp(engine.decode_ms_per_token, kMinDecodeMsPerToken, kMaxDecodeMsPerToken);
}

void StreamScheduler::UpdatePrefillSpeed(Engine& engine, const PlacedStream& placed,
                                         absl::Time now) {
  const double expected = absl::ToDoubleMilliseconds(placed.prefill_done_at - placed.placed_at);
  const double actual = absl::ToDoubleMilliseconds(now - placed.placed_at);
  if (expected <= 0) return;
  const double ratio = std::clamp(actual / expected, 0.5, 2.0);
  engine.prefill_ms_per_token =
      std::clamp(engine.prefill_ms_per_token * std::pow(ratio, kLearningRate),
                 kMinPrefillMsPerToken, kMaxPrefillMsPerToken);
  // Remaining prefill backlog at the updated speed.
  TokenCount pending = 0;
  for (const auto& [ticket, peer] : placed_) {
    if (peer.prefilling && peer.prefill == engine.replica.id) pending += peer.demand.prompt_tokens;
  }
  engine.prefill_busy_until = now + Milliseconds(engine.prefill_ms_per_token *
                                                 static_cast<double>(pending) / options_.share);
}

void StreamScheduler::Suspend(Engine& engine, absl::Duration step, absl::Time now) {
  engine.failures = std::min(engine.failures + 1, kMaxSuspensionSteps);
  engine.suspended_until = now + step * engine.failures;
}

std::string StreamScheduler::Describe(const StreamDecision& decision, absl::Time now) const {
  std::string text = absl::StrCat("running ", placed_.size(), " waiting ", waiting_.size());
  const auto decode = engines_.find(decision.decode);
  if (decode != engines_.end()) {
    absl::StrAppend(&text, " decode ", decode->second.running, "/", decode->second.reserved);
  }
  const auto prefill = engines_.find(decision.prefill.value_or(""));
  if (prefill != engines_.end()) {
    const absl::Duration backlog =
        std::max(prefill->second.prefill_busy_until - now, absl::ZeroDuration());
    absl::StrAppend(&text, " prefill ", absl::ToInt64Milliseconds(backlog), "ms");
  }
  return text;
}

ServiceLoad StreamScheduler::TakeLoad(absl::Time now) {
  ServiceLoad load;
  for (const auto& [id, engine] : engines_) {
    if (now < engine.suspended_until) continue;
    EngineLoad entry{id, *engine.replica.role, engine.replica.availability_zone, engine.running, 0};
    if (entry.role == EngineRole::kDecode && profile_.kv_capacity > 0) {
      entry.kv_utilization =
          static_cast<double>(engine.reserved) / static_cast<double>(profile_.kv_capacity);
    }
    load.engines.push_back(std::move(entry));
  }
  load.waiting = waiting_.size();
  const double elapsed_ms = absl::ToDoubleMilliseconds(now - load_taken_);
  if (load_taken_ != absl::InfinitePast() && elapsed_ms > 0) {
    load.prefill_load = prefill_ms_placed_ / elapsed_ms;
  }
  prefill_ms_placed_ = 0;
  load_taken_ = now;
  return load;
}

void StreamScheduler::OnRoleChangeAccepted(absl::string_view engine, absl::Time until) {
  Engine* found = Find(engine);
  if (found != nullptr) found->suspended_until = std::max(found->suspended_until, until);
}

void StreamScheduler::OnPrefillEnd(std::uint64_t ticket, bool ok, absl::Time now) {
  const auto found = placed_.find(ticket);
  if (found == placed_.end() || !found->second.prefilling || !found->second.prefill) return;
  found->second.prefilling = false;
  Engine* engine = Find(*found->second.prefill);
  if (engine == nullptr) return;
  if (ok) {
    engine->failures = 0;
    UpdatePrefillSpeed(*engine, found->second, now);
  } else {
    Suspend(*engine, kSuspension, now);
  }
}

void StreamScheduler::OnFirstEvent(std::uint64_t ticket, absl::Time now) {
  const auto found = placed_.find(ticket);
  if (found == placed_.end()) return;
  found->second.prefilling = false;
  found->second.started = true;
  found->second.first_event = now;
  Engine* engine = Find(found->second.decode);
  if (engine == nullptr) return;
  engine->failures = 0;
  engine->last_activity = now;
  engine->last_refusal = {};
}

void StreamScheduler::OnEnd(std::uint64_t ticket, StreamEnd end, absl::Time now) {
  waiting_.erase(ticket);
  const auto found = placed_.find(ticket);
  if (found == placed_.end()) return;
  const PlacedStream placed = std::move(found->second);
  placed_.erase(found);
  Engine* decode = Find(placed.decode);
  if (decode != nullptr) {
    std::erase(decode->streams, ticket);
    decode->last_refusal = {};
    decode->reserved = std::max<TokenCount>(0, decode->reserved - Footprint(placed.demand));
    decode->running = std::max(0, decode->running - 1);
    if (end == StreamEnd::kDone) decode->last_activity = now;
    if (end == StreamEnd::kDone && placed.started) UpdateDecodeSpeed(*decode, placed, now);
    // The caller gave up on an engine that did not send its first event in time.
    const bool unanswered = !placed.started && placed.first_event < now - kStalledOverdue;
    if (end == StreamEnd::kCancelled && unanswered && decode->last_activity < placed.first_event) {
      Suspend(*decode, kSuspension, now);
    }
    if (end == StreamEnd::kFailed) Suspend(*decode, kSuspension, now);
    if (end == StreamEnd::kRefused) Suspend(*decode, kFullSuspension, now);
    if (end == StreamEnd::kEngineReplaced) decode->suspended_until = now + kReplacedSuspension;
  }
  Engine* prefill = placed.prefill ? Find(*placed.prefill) : nullptr;
  if (end == StreamEnd::kCacheLost && prefill != nullptr) Suspend(*prefill, kSuspension, now);
  if (!placed.prefilling) return;
  // The prefill is cancelled, so its remaining time is released.
  Engine* prefill_engine = placed.prefill ? Find(*placed.prefill) : decode;
  if (prefill_engine == nullptr || prefill_engine->prefill_busy_until <= now) return;
  const double factor = placed.prefill ? 1.0 : kDecodePrefillFactor;
  const double unfinished_ms = factor * prefill_engine->prefill_ms_per_token *
                               static_cast<double>(placed.demand.prompt_tokens) / options_.share;
  prefill_engine->prefill_busy_until =
      std::max(now, prefill_engine->prefill_busy_until - Milliseconds(unfinished_ms));
}

}  // namespace marigoldquay
