// Placement of model requests.
#include "marigoldquay/dispatch/stream_scheduler.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/strings/str_cat.h"

namespace marigoldquay {
namespace {

// Reading speed before any prefill was seen, in ms per prompt token.
constexpr double kDefaultReadMsPerToken = 0.02;
// Time between two tokens of a stream before any stream has ended, in ms.
constexpr double kDefaultDecodeMsPerToken = 1.0;
constexpr double kMinDecodeMsPerToken = 0.1;
constexpr double kMaxDecodeMsPerToken = 100.0;
constexpr double kMinReadMsPerToken = 0.002;
constexpr double kMaxReadMsPerToken = 0.4;
// A decode engine reads prompts at half the speed of a prefill engine.
constexpr double kDecodeReadFactor = 2.0;
// From the end of the prefill to the first event at the caller.
constexpr absl::Duration kFirstStep = absl::Milliseconds(90);
// Each running stream slows the others of its engine.
constexpr double kRunningMs = 4.0;
// Moving a KV cache to another availability zone costs link time and money.
constexpr double kOtherZoneMs = 40.0;
// Reading a prompt at a decode engine delays the streams that run there.
constexpr double kReadAtDecodeMs = 150.0;
// Share of the KV cache and the slots that demands fill; the rest absorbs estimates that are low.
constexpr double kOnTimeFill = 0.97;
constexpr double kLateFill = 0.85;
// Waiting demands start only when an engine is about to run out of prompts.
constexpr absl::Duration kLateBacklog = absl::Milliseconds(60);
// Kept free before the caller's own limit, for the way there and back.
constexpr absl::Duration kGiveUpMargin = absl::Milliseconds(300);
constexpr absl::Duration kMinRetryAfter = absl::Milliseconds(300);
constexpr std::size_t kMaxWaiting = 400;
constexpr double kLearningRate = 0.25;
constexpr absl::Duration kSuspension = absl::Seconds(1);
constexpr int kMaxSuspensionSteps = 3;
// An engine that is full has room again within some events.
constexpr absl::Duration kFullSuspension = absl::Milliseconds(150);
// An engine that was replaced by another start stays in the list until its entry lapses.
constexpr absl::Duration kGoneSuspension = absl::Seconds(10);
// A decode engine is silent when so many streams are overdue by so much since its last event.
constexpr int kSilentStreams = 2;
constexpr absl::Duration kSilentOverdue = absl::Milliseconds(700);

absl::Duration Milliseconds(double ms) { return absl::Milliseconds(ms); }

TokenCount Footprint(const StreamDemand& demand) {
  return demand.prompt_tokens + demand.output_tokens;
}

}  // namespace

void StreamScheduler::SetEngines(const EngineProfile& profile, std::span<const Replica> replicas) {
  profile_ = profile;
  Engines next;
  for (const Replica& replica : replicas) {
    if (!replica.role) continue;
    Engine engine;
    const auto found = engines_.find(replica.id);
    // An engine that was started again or has changed its role knows nothing of before.
    const bool same = found != engines_.end() && found->second.replica.role == replica.role &&
                      found->second.replica.started_unix_ms == replica.started_unix_ms;
    if (same) engine = found->second;
    engine.replica = replica;
    if (engine.read_ms_per_token <= 0) engine.read_ms_per_token = kDefaultReadMsPerToken;
    if (engine.decode_ms_per_token <= 0) engine.decode_ms_per_token = kDefaultDecodeMsPerToken;
    next.emplace(replica.id, std::move(engine));
  }
  engines_ = std::move(next);
}

StreamScheduler::Engine* StreamScheduler::Find(absl::string_view id) {
  const auto found = engines_.find(id);
  return found == engines_.end() ? nullptr : &found->second;
}

TokenCount StreamScheduler::reserved_tokens(absl::string_view engine) const {
  const auto found = engines_.find(engine);
  return found == engines_.end() ? 0 : found->second.reserved;
}

bool StreamScheduler::IsSilent(const Engine& decode, absl::Time now) const {
  const absl::Time overdue = now - kSilentOverdue;
  if (decode.last_sign > overdue) return false;
  const auto count = std::count_if(placed_.begin(), placed_.end(), [&](const auto& entry) {
    const Placed& placed = entry.second;
    return !placed.started && placed.decode == decode.replica.id && placed.first_event < overdue;
  });
  return count >= kSilentStreams;
}

bool StreamScheduler::AllSuspended(EngineRole role, absl::Time now) const {
  return std::all_of(engines_.begin(), engines_.end(), [&](const auto& entry) {
    const Engine& engine = entry.second;
    return engine.replica.role != role || now < engine.suspended_until || IsSilent(engine, now);
  });
}

bool StreamScheduler::Usable(const Engine& engine, const StreamDemand& demand,
                             absl::Time now) const {
  // A pool never becomes empty by suspensions.
  const bool suspended = now < engine.suspended_until || IsSilent(engine, now);
  if (suspended && !AllSuspended(*engine.replica.role, now)) return false;
  const auto& excluded = demand.excluded;
  return std::find(excluded.begin(), excluded.end(), engine.replica.id) == excluded.end();
}

absl::Duration StreamScheduler::DecodeTime(const Engine& decode, const StreamDemand& demand) const {
  return Milliseconds(decode.decode_ms_per_token * static_cast<double>(demand.output_tokens));
}

double StreamScheduler::PeakTokens(const Engine& decode, const StreamDemand& demand,
                                   absl::Time now) const {
  struct Stream {
    const StreamDemand* demand;
    absl::Time first_event;
    absl::Time end;
  };
  std::vector<Stream> streams;
  const absl::Time soon = now + kFirstStep;
  streams.push_back({&demand, soon, soon + DecodeTime(decode, demand)});
  for (const auto& [ticket, placed] : placed_) {
    if (placed.decode != decode.replica.id) continue;
    const absl::Time first =
        placed.started ? placed.first_event : std::max(soon, placed.first_event);
    const absl::Time end = std::max(first + DecodeTime(decode, placed.demand), soon);
    streams.push_back({&placed.demand, first, end});
  }
  // Memory only grows between two ends, so it peaks just before one of them.
  double peak = 0;
  for (const Stream& at : streams) {
    double tokens = 0;
    for (const Stream& stream : streams) {
      if (stream.end < at.end) continue;
      const absl::Duration length = std::max(stream.end - stream.first_event, kFirstStep);
      const double done =
          std::clamp(absl::FDivDuration(at.end - stream.first_event, length), 0.0, 1.0);
      tokens += static_cast<double>(stream.demand->prompt_tokens) +
                done * static_cast<double>(stream.demand->output_tokens);
    }
    peak = std::max(peak, tokens);
  }
  return peak;
}

bool StreamScheduler::HasRoom(const Engine& decode, const StreamDemand& demand, Urgency urgency,
                              absl::Time now) const {
  const double fill = (urgency == Urgency::kOnTime ? kOnTimeFill : kLateFill) * options_.share;
  const double slots = fill * std::max(decode.replica.slots, 1);
  const double memory = fill * static_cast<double>(profile_.kv_capacity);
  // An empty engine takes any demand that fits it as a whole.
  if (decode.running == 0) return Footprint(demand) <= profile_.kv_capacity;
  if (decode.running + 1 > slots) return false;
  return PeakTokens(decode, demand, now) <= memory;
}

StreamScheduler::Candidate StreamScheduler::ReadApart(Engine& prefill, Engine& decode,
                                                      const StreamDemand& demand,
                                                      absl::Time now) const {
  Candidate candidate{&prefill, &decode, {}, {}, 0};
  const absl::Time start = std::max(now, prefill.read_until);
  const double read_ms =
      prefill.read_ms_per_token * static_cast<double>(demand.prompt_tokens) / options_.share;
  candidate.read_by = start + Milliseconds(read_ms);
  candidate.first_event = candidate.read_by + kFirstStep;
  candidate.cost_ms = absl::ToDoubleMilliseconds(candidate.first_event - now);
  candidate.cost_ms += kRunningMs * decode.running;
  if (prefill.replica.availability_zone != decode.replica.availability_zone) {
    candidate.cost_ms += kOtherZoneMs;
  }
  return candidate;
}

StreamScheduler::Candidate StreamScheduler::ReadAtDecode(Engine& decode, const StreamDemand& demand,
                                                         absl::Time now) const {
  Candidate candidate{nullptr, &decode, {}, {}, 0};
  const absl::Time start = std::max(now, decode.read_until);
  const double read_ms = kDecodeReadFactor * decode.read_ms_per_token *
                         static_cast<double>(demand.prompt_tokens) / options_.share;
  candidate.read_by = start + Milliseconds(read_ms);
  candidate.first_event = candidate.read_by + kFirstStep;
  candidate.cost_ms = absl::ToDoubleMilliseconds(candidate.first_event - now);
  candidate.cost_ms += kRunningMs * decode.running + kReadAtDecodeMs;
  return candidate;
}

std::optional<StreamScheduler::Candidate> StreamScheduler::Best(const StreamDemand& demand,
                                                                Urgency urgency, absl::Time now) {
  std::optional<Candidate> best;
  const auto consider = [&](const Candidate& candidate) {
    if (urgency == Urgency::kOnTime && candidate.first_event > demand.due) return;
    if (!best || candidate.cost_ms < best->cost_ms) best = candidate;
  };
  for (auto& [decode_id, decode] : engines_) {
    if (decode.replica.role != EngineRole::kDecode) continue;
    if (!Usable(decode, demand, now) || !HasRoom(decode, demand, urgency, now)) continue;
    const bool decode_reads_soon = decode.read_until <= now + kLateBacklog;
    if (urgency == Urgency::kOnTime || decode_reads_soon) {
      consider(ReadAtDecode(decode, demand, now));
    }
    for (auto& [prefill_id, prefill] : engines_) {
      if (prefill.replica.role != EngineRole::kPrefill || !Usable(prefill, demand, now)) continue;
      const bool reads_soon = prefill.read_until <= now + kLateBacklog;
      if (urgency == Urgency::kOnTime || reads_soon) {
        consider(ReadApart(prefill, decode, demand, now));
      }
    }
  }
  return best;
}

StreamDecision StreamScheduler::Grant(std::uint64_t ticket, const StreamDemand& demand,
                                      const Candidate& candidate, absl::Time now) {
  Engine& reader = candidate.prefill != nullptr ? *candidate.prefill : *candidate.decode;
  reader.read_until = candidate.read_by;
  if (candidate.prefill != nullptr) {
    prefill_ms_placed_ +=
        candidate.prefill->read_ms_per_token * static_cast<double>(demand.prompt_tokens);
  }
  candidate.decode->reserved += Footprint(demand);
  ++candidate.decode->running;

  StreamDecision decision;
  decision.verdict = StreamVerdict::kGranted;
  decision.ticket = ticket;
  if (candidate.prefill != nullptr) decision.prefill = candidate.prefill->replica.id;
  decision.decode = candidate.decode->replica.id;
  decision.expected = candidate.first_event - now;
  placed_[ticket] = {demand,
                     decision.prefill,
                     decision.decode,
                     now,
                     candidate.read_by,
                     candidate.first_event,
                     /*reading=*/true};
  return decision;
}

absl::Duration StreamScheduler::WaitingWork() const {
  double readers = 0;
  for (const auto& [id, engine] : engines_) {
    const double factor = engine.replica.role == EngineRole::kPrefill ? 1.0 : kDecodeReadFactor;
    readers += options_.share / (factor * engine.read_ms_per_token);
  }
  if (readers <= 0) return absl::InfiniteDuration();
  TokenCount tokens = 0;
  for (const auto& [ticket, demand] : waiting_) tokens += demand.prompt_tokens;
  return Milliseconds(static_cast<double>(tokens) / readers);
}

StreamDecision StreamScheduler::Refuse(std::uint64_t ticket, std::string reason,
                                       absl::Time now) const {
  StreamDecision decision;
  decision.verdict = StreamVerdict::kRefused;
  decision.ticket = ticket;
  decision.reason = std::move(reason);
  absl::Time soonest = absl::InfiniteFuture();
  for (const auto& [id, engine] : engines_) soonest = std::min(soonest, engine.read_until);
  absl::Duration wait = kMinRetryAfter + std::max(soonest - now, absl::ZeroDuration());
  if (!waiting_.empty()) wait += WaitingWork();
  // Spreads the return of callers that are refused together, by a part that the ticket decides.
  const double spread = static_cast<double>(ticket % 8) / 8.0;
  decision.retry_after = std::min(wait, absl::Seconds(5)) * (1.0 + 0.5 * spread);
  return decision;
}

StreamDecision StreamScheduler::Place(const StreamDemand& demand, absl::Time now) {
  const std::uint64_t ticket = next_ticket_++;
  if (Footprint(demand) > profile_.kv_capacity) {
    return Refuse(ticket, "larger than an engine's memory", now);
  }
  const auto candidate = Best(demand, Urgency::kOnTime, now);
  if (candidate) return Grant(ticket, demand, *candidate, now);
  const bool has_decode = std::any_of(engines_.begin(), engines_.end(), [&](const auto& entry) {
    return entry.second.replica.role == EngineRole::kDecode && Usable(entry.second, demand, now);
  });
  if (!has_decode) return Refuse(ticket, "no decode engine", now);
  if (waiting_.size() >= kMaxWaiting) return Refuse(ticket, "too many waiting", now);
  if (now + WaitingWork() + kFirstStep + kGiveUpMargin > demand.give_up) {
    return Refuse(ticket, "cannot be served before its caller leaves", now);
  }
  waiting_.emplace(ticket, demand);
  StreamDecision decision;
  decision.verdict = StreamVerdict::kQueued;
  decision.ticket = ticket;
  return decision;
}

std::uint64_t StreamScheduler::Adopt(const StreamDemand& demand, const BackendServerId& decode,
                                     absl::Time now) {
  const std::uint64_t ticket = next_ticket_++;
  placed_[ticket] = {demand, std::nullopt, decode, now, now, now, /*reading=*/false};
  placed_[ticket].started = true;
  Engine* engine = Find(decode);
  if (engine != nullptr) {
    engine->reserved += Footprint(demand);
    ++engine->running;
  }
  return ticket;
}

std::vector<StreamDecision> StreamScheduler::Advance(absl::Time now) {
  std::vector<StreamDecision> decisions;
  std::vector<std::uint64_t> order;
  for (const auto& [ticket, demand] : waiting_) order.push_back(ticket);
  std::stable_sort(order.begin(), order.end(), [&](std::uint64_t a, std::uint64_t b) {
    return waiting_.at(a).priority < waiting_.at(b).priority;
  });
  for (const std::uint64_t ticket : order) {
    const StreamDemand demand = waiting_.at(ticket);
    auto candidate = Best(demand, Urgency::kOnTime, now);
    if (!candidate) candidate = Best(demand, Urgency::kLate, now);
    if (candidate && candidate->first_event + kGiveUpMargin <= demand.give_up) {
      decisions.push_back(Grant(ticket, demand, *candidate, now));
      waiting_.erase(ticket);
    } else if (now + kFirstStep + kGiveUpMargin > demand.give_up) {
      decisions.push_back(Refuse(ticket, "no capacity before its caller leaves", now));
      waiting_.erase(ticket);
    }
  }
  return decisions;
}

void StreamScheduler::LearnDecodeSpeed(Engine& engine, const Placed& placed, absl::Time now) const {
  if (placed.demand.output_tokens <= 0) return;
  // Streams may end before their most tokens, so this is the time per token that was asked for.
  const double ms = absl::ToDoubleMilliseconds(now - placed.first_event) /
                    static_cast<double>(placed.demand.output_tokens);
  engine.decode_ms_per_token += kLearningRate * (ms - engine.decode_ms_per_token);
  engine.decode_ms_per_token =
      std::clamp(engine.decode_ms_per_token, kMinDecodeMsPerToken, kMaxDecodeMsPerToken);
}

void StreamScheduler::LearnReadSpeed(Engine& engine, const Placed& placed, absl::Time now) {
  const double expected = absl::ToDoubleMilliseconds(placed.read_by - placed.placed_at);
  const double actual = absl::ToDoubleMilliseconds(now - placed.placed_at);
  if (expected <= 0) return;
  const double ratio = std::clamp(actual / expected, 0.5, 2.0);
  engine.read_ms_per_token = std::clamp(engine.read_ms_per_token * std::pow(ratio, kLearningRate),
                                        kMinReadMsPerToken, kMaxReadMsPerToken);
  // What it still has to read, at the speed that is now assumed.
  TokenCount pending = 0;
  for (const auto& [ticket, other] : placed_) {
    if (other.reading && other.prefill == engine.replica.id) pending += other.demand.prompt_tokens;
  }
  engine.read_until =
      now + Milliseconds(engine.read_ms_per_token * static_cast<double>(pending) / options_.share);
}

void StreamScheduler::Suspend(Engine& engine, absl::Duration step, absl::Time now) {
  engine.failures = std::min(engine.failures + 1, kMaxSuspensionSteps);
  engine.suspended_until = now + step * engine.failures;
}

std::string StreamScheduler::Describe(absl::Time now) const {
  std::string text;
  for (const auto& [id, engine] : engines_) {
    const absl::Duration backlog = std::max(engine.read_until - now, absl::ZeroDuration());
    absl::StrAppend(&text, text.empty() ? "" : " ", id,
                    engine.replica.role == EngineRole::kPrefill ? " p " : " d ", engine.running,
                    "/", engine.reserved, "/", absl::ToInt64Milliseconds(backlog), "ms",
                    now < engine.suspended_until ? "!" : "", IsSilent(engine, now) ? "?" : "");
  }
  return text;
}

ServiceLoad StreamScheduler::TakeLoad(absl::Time now) {
  ServiceLoad load;
  for (const auto& [id, engine] : engines_) {
    if (now < engine.suspended_until) continue;
    EngineLoad entry{id, *engine.replica.role, engine.replica.availability_zone, engine.running, 0};
    if (entry.role == EngineRole::kDecode && profile_.kv_capacity > 0) {
      entry.memory_fill =
          static_cast<double>(engine.reserved) / static_cast<double>(profile_.kv_capacity);
    }
    load.engines.push_back(std::move(entry));
  }
  load.waiting = waiting_.size();
  const double elapsed_ms = absl::ToDoubleMilliseconds(now - load_taken_);
  if (load_taken_ != absl::InfinitePast() && elapsed_ms > 0) {
    load.prefill_work = prefill_ms_placed_ / elapsed_ms;
  }
  prefill_ms_placed_ = 0;
  load_taken_ = now;
  return load;
}

void StreamScheduler::OnRoleOrdered(absl::string_view engine, absl::Time until) {
  Engine* found = Find(engine);
  if (found != nullptr) found->suspended_until = std::max(found->suspended_until, until);
}

void StreamScheduler::OnPrefillEnd(std::uint64_t ticket, bool ok, absl::Time now) {
  const auto found = placed_.find(ticket);
  if (found == placed_.end() || !found->second.reading || !found->second.prefill) return;
  found->second.reading = false;
  Engine* engine = Find(*found->second.prefill);
  if (engine == nullptr) return;
  if (ok) {
    engine->failures = 0;
    LearnReadSpeed(*engine, found->second, now);
  } else {
    Suspend(*engine, kSuspension, now);
  }
}

void StreamScheduler::OnFirstEvent(std::uint64_t ticket, absl::Time now) {
  const auto found = placed_.find(ticket);
  if (found == placed_.end()) return;
  found->second.reading = false;
  found->second.started = true;
  found->second.first_event = now;
  Engine* engine = Find(found->second.decode);
  if (engine == nullptr) return;
  engine->failures = 0;
  engine->last_sign = now;
}

void StreamScheduler::OnEnd(std::uint64_t ticket, StreamEnd end, absl::Time now) {
  waiting_.erase(ticket);
  const auto found = placed_.find(ticket);
  if (found == placed_.end()) return;
  const Placed placed = std::move(found->second);
  placed_.erase(found);
  Engine* decode = Find(placed.decode);
  if (decode != nullptr) {
    decode->reserved = std::max<TokenCount>(0, decode->reserved - Footprint(placed.demand));
    decode->running = std::max(0, decode->running - 1);
    if (end == StreamEnd::kDone) decode->last_sign = now;
    if (end == StreamEnd::kDone && placed.started) LearnDecodeSpeed(*decode, placed, now);
    // The caller left an engine that had not answered in time.
    const bool unanswered = !placed.started && placed.first_event < now - kSilentOverdue;
    if (end == StreamEnd::kCancelled && unanswered && decode->last_sign < placed.first_event) {
      Suspend(*decode, kSuspension, now);
    }
    if (end == StreamEnd::kFailed) Suspend(*decode, kSuspension, now);
    if (end == StreamEnd::kRefused) Suspend(*decode, kFullSuspension, now);
    if (end == StreamEnd::kGone) decode->suspended_until = now + kGoneSuspension;
  }
  Engine* prefill = placed.prefill ? Find(*placed.prefill) : nullptr;
  if (end == StreamEnd::kCacheLost && prefill != nullptr) Suspend(*prefill, kSuspension, now);
  if (!placed.reading) return;
  // Its prompt is no longer to be read.
  Engine* reader = placed.prefill ? Find(*placed.prefill) : decode;
  if (reader == nullptr || reader->read_until <= now) return;
  const double factor = placed.prefill ? 1.0 : kDecodeReadFactor;
  const double unread_ms = factor * reader->read_ms_per_token *
                           static_cast<double>(placed.demand.prompt_tokens) / options_.share;
  reader->read_until = std::max(now, reader->read_until - Milliseconds(unread_ms));
}

}  // namespace marigoldquay
