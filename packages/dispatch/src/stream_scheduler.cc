// Placement of model requests: choice of engines, admission and the wait queue.
#include "marigoldquay/dispatch/stream_scheduler.h"

#include <algorithm>
#include <utility>

#include "stream_cost.h"

namespace marigoldquay {
namespace {

using internal::Footprint;
using internal::kDecodePrefillFactor;

// Time from the end of the prefill until the caller receives the first event.
constexpr absl::Duration kFirstDecodeStep = absl::Milliseconds(90);
// Each running stream slows down the other streams of its engine.
constexpr double kPerStreamPenaltyMs = 4.0;
// Transferring a KV cache to another availability zone costs link time and money.
constexpr double kCrossZonePenaltyMs = 40.0;
// A prefill on a decode engine delays the streams that run there.
constexpr double kPrefillOnDecodePenaltyMs = 150.0;
// Fractions of the KV cache and the slots that may be filled; the rest absorbs underestimates.
constexpr double kOnTimeFillFraction = 0.97;
constexpr double kLateFillFraction = 0.85;
// Late demands are placed only on engines whose prefill backlog is at most this long.
constexpr absl::Duration kMaxLateBacklog = absl::Milliseconds(60);
// Reserved before the deadline of the caller for the network round trip.
constexpr absl::Duration kCallerDeadlineMargin = absl::Milliseconds(300);
constexpr absl::Duration kMinRetryAfter = absl::Milliseconds(300);
constexpr std::size_t kMaxWaiting = 400;
// A demand that did not fit into an engine is not checked there again for this time, unless a
// stream starts or ends.
constexpr absl::Duration kRefusalLifetime = absl::Milliseconds(20);

constexpr char kNoEngineOfVersion[] =
    "no decode engine has the software version that began the stream";

absl::Duration Milliseconds(double ms) { return absl::Milliseconds(ms); }

}  // namespace

double StreamScheduler::PeakTokens(const Engine& decode, const StreamDemand& demand,
                                   absl::Time now) const {
  // Times are in ms from now.
  struct Stream {
    double prompt = 0;
    double output = 0;
    double first_event = 0;
    double end = 0;
  };
  const double first_step_ms = absl::ToDoubleMilliseconds(kFirstDecodeStep);
  const auto make_stream = [&](const StreamDemand& source, double first_event) {
    const double duration_ms =
        decode.decode_ms_per_token * static_cast<double>(source.output_tokens);
    return Stream{static_cast<double>(source.prompt_tokens),
                  static_cast<double>(source.output_tokens), first_event,
                  std::max(first_event + duration_ms, first_step_ms)};
  };
  std::vector<Stream> streams;
  streams.reserve(decode.streams.size() + 1);
  streams.push_back(make_stream(demand, first_step_ms));
  for (const std::uint64_t ticket : decode.streams) {
    const PlacedStream& placed = placed_.at(ticket);
    const double first_event_ms = absl::ToDoubleMilliseconds(placed.first_event - now);
    streams.push_back(make_stream(
        placed.demand, placed.started ? first_event_ms : std::max(first_step_ms, first_event_ms)));
  }
  // Memory use only grows between the ends of streams, so it peaks just before one of them.
  double peak = 0;
  for (const Stream& ending : streams) {
    double tokens = 0;
    for (const Stream& stream : streams) {
      if (stream.end < ending.end) continue;
      const double duration_ms = std::max(stream.end - stream.first_event, first_step_ms);
      const double generated =
          std::clamp((ending.end - stream.first_event) / duration_ms, 0.0, 1.0);
      tokens += stream.prompt + generated * stream.output;
    }
    peak = std::max(peak, tokens);
  }
  return peak;
}

bool StreamScheduler::HasCapacity(Engine& decode, const StreamDemand& demand, Urgency urgency,
                                  absl::Time now) const {
  const double fill =
      (urgency == Urgency::kOnTime ? kOnTimeFillFraction : kLateFillFraction) * options_.share;
  const double slots = fill * std::max(decode.replica.slots, 1);
  const double memory = fill * static_cast<double>(profile_.kv_capacity);
  // An idle engine accepts any demand that fits into its memory, regardless of the fill limits.
  if (decode.running == 0) return Footprint(demand) <= profile_.kv_capacity;
  if (decode.running + 1 > slots) return false;
  auto& last_refusal = decode.last_refusal[static_cast<std::size_t>(urgency)];
  const bool at_least_as_large = demand.prompt_tokens >= last_refusal.prompt_tokens &&
                                 demand.output_tokens >= last_refusal.output_tokens;
  if (at_least_as_large && now - last_refusal.refused_at < kRefusalLifetime) return false;
  if (PeakTokens(decode, demand, now) <= memory) return true;
  last_refusal = {demand.prompt_tokens, demand.output_tokens, now};
  return false;
}

double StreamScheduler::PrefillMs(const Engine& engine, double factor, const StreamDemand& demand,
                                  absl::Time now) const {
  const double backlog_ms = absl::ToDoubleMilliseconds(engine.prefill_busy_until - now);
  const double prefill_ms = factor * engine.prefill_ms_per_token *
                            static_cast<double>(demand.prompt_tokens) / options_.share;
  return std::max(backlog_ms, 0.0) + prefill_ms;
}

std::vector<StreamScheduler::PrefillOption> StreamScheduler::EarliestPrefillOptions(
    const StreamDemand& demand, Urgency urgency, absl::Time now) {
  std::vector<PrefillOption> prefill_options;
  for (auto& entry : engines_) {
    Engine& engine = entry.second;
    if (engine.replica.role != EngineRole::kPrefill || !IsUsable(engine, demand, now)) continue;
    if (!AcceptsRequest(engine, now)) continue;
    if (urgency == Urgency::kLate && engine.prefill_busy_until > now + kMaxLateBacklog) continue;
    const double prefill_ms = PrefillMs(engine, 1.0, demand, now);
    const auto existing = std::find_if(
        prefill_options.begin(), prefill_options.end(), [&](const PrefillOption& option) {
          return option.engine->replica.availability_zone == engine.replica.availability_zone;
        });
    if (existing == prefill_options.end()) {
      prefill_options.push_back({&engine, prefill_ms});
    } else if (prefill_ms < existing->prefill_ms) {
      *existing = {&engine, prefill_ms};
    }
  }
  return prefill_options;
}

std::optional<StreamScheduler::Candidate> StreamScheduler::BestPrefillOption(
    Engine& decode, const std::vector<PrefillOption>& prefill_options, const StreamDemand& demand,
    Urgency urgency, absl::Time now) const {
  const double first_step_ms = absl::ToDoubleMilliseconds(kFirstDecodeStep);
  const double due_ms = absl::ToDoubleMilliseconds(demand.first_event_due - now);
  const double load_penalty_ms = kPerStreamPenaltyMs * decode.running;
  std::optional<Candidate> best;
  const auto consider_option = [&](Engine* prefill, double prefill_ms, double penalty_ms) {
    const double first_event_ms = prefill_ms + first_step_ms;
    if (urgency == Urgency::kOnTime && first_event_ms > due_ms) return;
    const double cost_ms = first_event_ms + load_penalty_ms + penalty_ms;
    if (!best || cost_ms < best->cost_ms) best = Candidate{prefill, &decode, prefill_ms, cost_ms};
  };
  if (urgency == Urgency::kOnTime || decode.prefill_busy_until <= now + kMaxLateBacklog) {
    consider_option(nullptr, PrefillMs(decode, kDecodePrefillFactor, demand, now),
                    kPrefillOnDecodePenaltyMs);
  }
  for (const PrefillOption& option : prefill_options) {
    const Replica& prefill = option.engine->replica;
    const bool same_zone = prefill.availability_zone == decode.replica.availability_zone;
    consider_option(option.engine, option.prefill_ms, same_zone ? 0 : kCrossZonePenaltyMs);
  }
  return best;
}

std::optional<StreamScheduler::Candidate> StreamScheduler::FindBestCandidate(
    const StreamDemand& demand, Urgency urgency, absl::Time now) {
  // Within one availability zone, the earliest option is the best one for every decode engine.
  const std::vector<PrefillOption> prefill_options = EarliestPrefillOptions(demand, urgency, now);
  std::vector<Candidate> candidates;
  for (auto& [decode_id, decode] : engines_) {
    if (decode.replica.role != EngineRole::kDecode || !IsUsable(decode, demand, now)) continue;
    if (!AcceptsRequest(decode, now)) continue;
    const auto best = BestPrefillOption(decode, prefill_options, demand, urgency, now);
    if (best) candidates.push_back(*best);
  }
  // The capacity check is the most expensive step, so candidates are checked in order of cost.
  const auto costs_more = [](const Candidate& a, const Candidate& b) {
    if (a.cost_ms != b.cost_ms) return a.cost_ms > b.cost_ms;
    return a.decode->replica.id > b.decode->replica.id;
  };
  std::make_heap(candidates.begin(), candidates.end(), costs_more);
  while (!candidates.empty()) {
    const Candidate& cheapest = candidates.front();
    if (HasCapacity(*cheapest.decode, demand, urgency, now)) return cheapest;
    std::pop_heap(candidates.begin(), candidates.end(), costs_more);
    candidates.pop_back();
  }
  return std::nullopt;
}

bool StreamScheduler::AnyDecodeHasCapacity(const StreamDemand& demand, absl::Time now) {
  return std::any_of(engines_.begin(), engines_.end(), [&](auto& entry) {
    Engine& engine = entry.second;
    return engine.replica.role == EngineRole::kDecode && HasRequiredVersion(engine, demand) &&
           AcceptsRequest(engine, now) && HasCapacity(engine, demand, Urgency::kOnTime, now);
  });
}

StreamScheduler::EngineBounds StreamScheduler::ComputeEngineBounds() const {
  EngineBounds bounds;
  for (const auto& [id, engine] : engines_) {
    const double factor = engine.replica.role == EngineRole::kPrefill ? 1.0 : kDecodePrefillFactor;
    bounds.earliest_idle = std::min(bounds.earliest_idle, engine.prefill_busy_until);
    bounds.min_ms_per_token =
        std::min(bounds.min_ms_per_token, factor * engine.prefill_ms_per_token);
  }
  return bounds;
}

bool StreamScheduler::MayStart(const EngineBounds& bounds, const StreamDemand& demand,
                               absl::Time now) const {
  if (bounds.earliest_idle <= now + kMaxLateBacklog) return true;
  const double prefill_ms =
      bounds.min_ms_per_token * static_cast<double>(demand.prompt_tokens) / options_.share;
  return bounds.earliest_idle + Milliseconds(prefill_ms) + kFirstDecodeStep <=
         demand.first_event_due;
}

StreamDecision StreamScheduler::Grant(std::uint64_t ticket, const StreamDemand& demand,
                                      const Candidate& candidate, absl::Time now) {
  Engine& prefill_engine = candidate.prefill != nullptr ? *candidate.prefill : *candidate.decode;
  const absl::Time prefill_done_at = now + Milliseconds(candidate.prefill_ms);
  const absl::Time first_event = prefill_done_at + kFirstDecodeStep;
  prefill_engine.prefill_busy_until = prefill_done_at;
  if (candidate.prefill != nullptr) {
    prefill_ms_placed_ +=
        candidate.prefill->prefill_ms_per_token * static_cast<double>(demand.prompt_tokens);
  }
  if (candidate.prefill != nullptr) ChargeRequest(*candidate.prefill, now);
  ChargeRequest(*candidate.decode, now);
  candidate.decode->reserved += Footprint(demand);
  ++candidate.decode->running;
  candidate.decode->streams.push_back(ticket);
  candidate.decode->last_refusal = {};

  StreamDecision decision;
  decision.verdict = StreamVerdict::kGranted;
  decision.ticket = ticket;
  if (candidate.prefill != nullptr) decision.prefill = candidate.prefill->replica.id;
  decision.decode = candidate.decode->replica.id;
  decision.expected = first_event - now;
  placed_[ticket] = {demand,
                     decision.prefill,
                     decision.decode,
                     now,
                     prefill_done_at,
                     first_event,
                     /*prefilling=*/true};
  return decision;
}

absl::Duration StreamScheduler::WaitingPrefillTime() const {
  double tokens_per_ms = 0;
  for (const auto& [id, engine] : engines_) {
    const double factor = engine.replica.role == EngineRole::kPrefill ? 1.0 : kDecodePrefillFactor;
    tokens_per_ms += options_.share / (factor * engine.prefill_ms_per_token);
  }
  if (tokens_per_ms <= 0) return absl::InfiniteDuration();
  TokenCount tokens = 0;
  for (const auto& [ticket, demand] : waiting_) tokens += demand.prompt_tokens;
  return Milliseconds(static_cast<double>(tokens) / tokens_per_ms);
}

StreamDecision StreamScheduler::Refuse(std::uint64_t ticket, std::string reason, absl::Time now,
                                       absl::Duration min_wait) const {
  StreamDecision decision;
  decision.verdict = StreamVerdict::kRefused;
  decision.ticket = ticket;
  decision.reason = std::move(reason);
  absl::Time soonest = absl::InfiniteFuture();
  for (const auto& [id, engine] : engines_) soonest = std::min(soonest, engine.prefill_busy_until);
  absl::Duration wait = kMinRetryAfter + std::max(soonest - now, absl::ZeroDuration());
  if (!waiting_.empty()) wait += WaitingPrefillTime();
  wait = std::max(wait, min_wait);
  // Spreads the retries of callers that are refused together, by an amount derived from the ticket.
  const double spread = static_cast<double>(ticket % 8) / 8.0;
  decision.retry_after = std::min(wait, absl::Seconds(5)) * (1.0 + 0.5 * spread);
  return decision;
}

StreamDecision StreamScheduler::Place(const StreamDemand& demand, absl::Time now) {
  const std::uint64_t ticket = next_ticket_++;
  if (Footprint(demand) > profile_.kv_capacity) {
    return Refuse(ticket, "request exceeds the KV memory of an engine", now);
  }
  const auto candidate = FindBestCandidate(demand, Urgency::kOnTime, now);
  if (candidate) return Grant(ticket, demand, *candidate, now);
  const bool has_decode = std::any_of(engines_.begin(), engines_.end(), [&](const auto& entry) {
    return entry.second.replica.role == EngineRole::kDecode && IsUsable(entry.second, demand, now);
  });
  if (!has_decode) {
    const bool other_version = demand.software_version && !HasDecodeEngine(demand);
    return Refuse(ticket, other_version ? kNoEngineOfVersion : "no usable decode engine", now);
  }
  if (waiting_.size() >= kMaxWaiting) return Refuse(ticket, "wait queue is full", now);
  const absl::Duration wait = std::max(WaitingPrefillTime(), WaitingRequestTime(demand, now));
  if (now + wait + kFirstDecodeStep + kCallerDeadlineMargin > demand.caller_deadline) {
    return Refuse(ticket, "cannot be served before the caller gives up", now, wait);
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
  placed_[ticket] = {demand, std::nullopt, decode, now, now, now, /*prefilling=*/false};
  placed_[ticket].started = true;
  placed_[ticket].adopted = true;
  Engine* engine = Find(decode);
  if (engine != nullptr) {
    engine->reserved += Footprint(demand);
    ++engine->running;
    engine->streams.push_back(ticket);
  }
  return ticket;
}

std::vector<std::uint64_t> StreamScheduler::WaitingOrder() const {
  std::vector<std::uint64_t> order;
  for (const auto& [ticket, demand] : waiting_) order.push_back(ticket);
  std::stable_sort(order.begin(), order.end(), [&](std::uint64_t a, std::uint64_t b) {
    return waiting_.at(a).priority < waiting_.at(b).priority;
  });
  return order;
}

std::vector<StreamDecision> StreamScheduler::PlaceWaiting(absl::Time now) {
  std::vector<StreamDecision> decisions;
  EngineBounds bounds = ComputeEngineBounds();
  // Capacity only shrinks within a round, so a demand at least as large as one that found no
  // capacity on engines of any version needs no search.
  std::optional<StreamDemand> smallest_without_capacity;
  for (const std::uint64_t ticket : WaitingOrder()) {
    const StreamDemand& demand = waiting_.at(ticket);
    const bool known_without_capacity =
        smallest_without_capacity &&
        demand.prompt_tokens >= smallest_without_capacity->prompt_tokens &&
        demand.output_tokens >= smallest_without_capacity->output_tokens;
    std::optional<Candidate> candidate;
    if (!known_without_capacity && MayStart(bounds, demand, now)) {
      candidate = FindBestCandidate(demand, Urgency::kOnTime, now);
      if (!candidate) candidate = FindBestCandidate(demand, Urgency::kLate, now);
      const bool any_version = !demand.software_version;
      if (!candidate && any_version && !AnyDecodeHasCapacity(demand, now)) {
        smallest_without_capacity = demand;
      }
    }
    const absl::Time first_event =
        candidate ? now + Milliseconds(candidate->prefill_ms) + kFirstDecodeStep
                  : absl::InfiniteFuture();
    if (first_event + kCallerDeadlineMargin <= demand.caller_deadline) {
      decisions.push_back(Grant(ticket, demand, *candidate, now));
      waiting_.erase(ticket);
      bounds = ComputeEngineBounds();
    } else if (demand.software_version && !HasDecodeEngine(demand)) {
      decisions.push_back(Refuse(ticket, kNoEngineOfVersion, now));
      waiting_.erase(ticket);
    } else if (now + kFirstDecodeStep + kCallerDeadlineMargin > demand.caller_deadline) {
      decisions.push_back(Refuse(ticket, "no capacity before the caller's deadline", now));
      waiting_.erase(ticket);
    }
  }
  return decisions;
}

void StreamScheduler::VisitBegun(
    absl::Time before, const std::function<void(const StreamDemand&, absl::Time)>& visit) const {
  for (const auto& [ticket, placed] : placed_) VisitBegun(ticket, before, visit);
}

void StreamScheduler::VisitBegun(
    std::uint64_t ticket, absl::Time before,
    const std::function<void(const StreamDemand&, absl::Time)>& visit) const {
  const auto found = placed_.find(ticket);
  if (found == placed_.end()) return;
  const PlacedStream& placed = found->second;
  if (placed.started && !placed.adopted && placed.first_event < before) {
    visit(placed.demand, placed.first_event);
  }
}

std::optional<RequestId> StreamScheduler::RequestOf(std::uint64_t ticket) const {
  const auto found = placed_.find(ticket);
  if (found == placed_.end()) return std::nullopt;
  return found->second.demand.request;
}

std::optional<RequestId> StreamScheduler::RequestWithoutEvents(std::uint64_t ticket) const {
  const auto found = placed_.find(ticket);
  if (found == placed_.end()) return std::nullopt;
  const PlacedStream& placed = found->second;
  if (placed.started || placed.adopted) return std::nullopt;
  return placed.demand.request;
}

}  // namespace marigoldquay
