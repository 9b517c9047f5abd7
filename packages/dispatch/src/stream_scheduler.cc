// Placement of model requests: which engines a demand gets, and when.
#include "marigoldquay/dispatch/stream_scheduler.h"

#include <algorithm>
#include <utility>

#include "stream_cost.h"

namespace marigoldquay {
namespace {

using internal::Footprint;
using internal::kDecodeReadFactor;

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
// A demand without room at an engine finds none there until a stream ends or some time has passed.
constexpr absl::Duration kRefusalMemory = absl::Milliseconds(20);

absl::Duration Milliseconds(double ms) { return absl::Milliseconds(ms); }

}  // namespace

double StreamScheduler::PeakTokens(const Engine& decode, const StreamDemand& demand,
                                   absl::Time now) const {
  // Times in ms from now.
  struct Stream {
    double prompt = 0;
    double output = 0;
    double first_event = 0;
    double end = 0;
  };
  const double soon = absl::ToDoubleMilliseconds(kFirstStep);
  const auto make = [&](const StreamDemand& of, double first_event) {
    const double length = decode.decode_ms_per_token * static_cast<double>(of.output_tokens);
    return Stream{static_cast<double>(of.prompt_tokens), static_cast<double>(of.output_tokens),
                  first_event, std::max(first_event + length, soon)};
  };
  std::vector<Stream> streams;
  streams.reserve(decode.streams.size() + 1);
  streams.push_back(make(demand, soon));
  for (const std::uint64_t ticket : decode.streams) {
    const Placed& placed = placed_.at(ticket);
    const double first = absl::ToDoubleMilliseconds(placed.first_event - now);
    streams.push_back(make(placed.demand, placed.started ? first : std::max(soon, first)));
  }
  // Memory only grows between two ends, so it peaks just before one of them.
  double peak = 0;
  for (const Stream& at : streams) {
    double tokens = 0;
    for (const Stream& stream : streams) {
      if (stream.end < at.end) continue;
      const double length = std::max(stream.end - stream.first_event, soon);
      const double done = std::clamp((at.end - stream.first_event) / length, 0.0, 1.0);
      tokens += stream.prompt + done * stream.output;
    }
    peak = std::max(peak, tokens);
  }
  return peak;
}

bool StreamScheduler::HasRoom(Engine& decode, const StreamDemand& demand, Urgency urgency,
                              absl::Time now) const {
  const double fill = (urgency == Urgency::kOnTime ? kOnTimeFill : kLateFill) * options_.share;
  const double slots = fill * std::max(decode.replica.slots, 1);
  const double memory = fill * static_cast<double>(profile_.kv_capacity);
  // An empty engine takes any demand that fits it as a whole.
  if (decode.running == 0) return Footprint(demand) <= profile_.kv_capacity;
  if (decode.running + 1 > slots) return false;
  auto& refused = decode.refused[static_cast<std::size_t>(urgency)];
  const bool as_large = demand.prompt_tokens >= refused.prompt_tokens &&
                        demand.output_tokens >= refused.output_tokens;
  if (as_large && now - refused.at < kRefusalMemory) return false;
  if (PeakTokens(decode, demand, now) <= memory) return true;
  refused = {demand.prompt_tokens, demand.output_tokens, now};
  return false;
}

double StreamScheduler::ReadMs(const Engine& engine, double factor, const StreamDemand& demand,
                               absl::Time now) const {
  const double backlog_ms = absl::ToDoubleMilliseconds(engine.read_until - now);
  const double read_ms = factor * engine.read_ms_per_token *
                         static_cast<double>(demand.prompt_tokens) / options_.share;
  return std::max(backlog_ms, 0.0) + read_ms;
}

std::vector<StreamScheduler::Reader> StreamScheduler::SoonestReaders(const StreamDemand& demand,
                                                                     Urgency urgency,
                                                                     absl::Time now) {
  std::vector<Reader> readers;
  for (auto& entry : engines_) {
    Engine& engine = entry.second;
    if (engine.replica.role != EngineRole::kPrefill || !Usable(engine, demand, now)) continue;
    if (urgency == Urgency::kLate && engine.read_until > now + kLateBacklog) continue;
    const double read_ms = ReadMs(engine, 1.0, demand, now);
    const auto known = std::find_if(readers.begin(), readers.end(), [&](const Reader& reader) {
      return reader.engine->replica.availability_zone == engine.replica.availability_zone;
    });
    if (known == readers.end()) {
      readers.push_back({&engine, read_ms});
    } else if (read_ms < known->read_ms) {
      *known = {&engine, read_ms};
    }
  }
  return readers;
}

std::optional<StreamScheduler::Candidate> StreamScheduler::BestReader(
    Engine& decode, const std::vector<Reader>& readers, const StreamDemand& demand, Urgency urgency,
    absl::Time now) const {
  const double first_step_ms = absl::ToDoubleMilliseconds(kFirstStep);
  const double due_ms = absl::ToDoubleMilliseconds(demand.due - now);
  const double running_ms = kRunningMs * decode.running;
  std::optional<Candidate> best;
  const auto consider = [&](Engine* prefill, double read_ms, double extra_ms) {
    const double first_event_ms = read_ms + first_step_ms;
    if (urgency == Urgency::kOnTime && first_event_ms > due_ms) return;
    const double cost_ms = first_event_ms + running_ms + extra_ms;
    if (!best || cost_ms < best->cost_ms) best = Candidate{prefill, &decode, read_ms, cost_ms};
  };
  if (urgency == Urgency::kOnTime || decode.read_until <= now + kLateBacklog) {
    consider(nullptr, ReadMs(decode, kDecodeReadFactor, demand, now), kReadAtDecodeMs);
  }
  for (const Reader& reader : readers) {
    const Replica& prefill = reader.engine->replica;
    const bool near = prefill.availability_zone == decode.replica.availability_zone;
    consider(reader.engine, reader.read_ms, near ? 0 : kOtherZoneMs);
  }
  return best;
}

std::optional<StreamScheduler::Candidate> StreamScheduler::Best(const StreamDemand& demand,
                                                                Urgency urgency, absl::Time now) {
  // Among the readers of one zone the soonest is the best for every decode engine.
  const std::vector<Reader> readers = SoonestReaders(demand, urgency, now);
  std::vector<Candidate> candidates;
  for (auto& [decode_id, decode] : engines_) {
    if (decode.replica.role != EngineRole::kDecode || !Usable(decode, demand, now)) continue;
    const auto best = BestReader(decode, readers, demand, urgency, now);
    if (best) candidates.push_back(*best);
  }
  // Room is the dearest question, so it is asked of the best engines first.
  const auto worse = [](const Candidate& a, const Candidate& b) {
    if (a.cost_ms != b.cost_ms) return a.cost_ms > b.cost_ms;
    return a.decode->replica.id > b.decode->replica.id;
  };
  std::make_heap(candidates.begin(), candidates.end(), worse);
  while (!candidates.empty()) {
    const Candidate& first = candidates.front();
    if (HasRoom(*first.decode, demand, urgency, now)) return first;
    std::pop_heap(candidates.begin(), candidates.end(), worse);
    candidates.pop_back();
  }
  return std::nullopt;
}

bool StreamScheduler::AnyRoom(const StreamDemand& demand, absl::Time now) {
  return std::any_of(engines_.begin(), engines_.end(), [&](auto& entry) {
    Engine& engine = entry.second;
    return engine.replica.role == EngineRole::kDecode &&
           HasRoom(engine, demand, Urgency::kOnTime, now);
  });
}

StreamScheduler::Outlook StreamScheduler::LookAhead() const {
  Outlook outlook;
  for (const auto& [id, engine] : engines_) {
    const double factor = engine.replica.role == EngineRole::kPrefill ? 1.0 : kDecodeReadFactor;
    outlook.soonest = std::min(outlook.soonest, engine.read_until);
    outlook.ms_per_token = std::min(outlook.ms_per_token, factor * engine.read_ms_per_token);
  }
  return outlook;
}

bool StreamScheduler::MayStart(const Outlook& outlook, const StreamDemand& demand,
                               absl::Time now) const {
  if (outlook.soonest <= now + kLateBacklog) return true;
  const double read_ms =
      outlook.ms_per_token * static_cast<double>(demand.prompt_tokens) / options_.share;
  return outlook.soonest + Milliseconds(read_ms) + kFirstStep <= demand.due;
}

StreamDecision StreamScheduler::Grant(std::uint64_t ticket, const StreamDemand& demand,
                                      const Candidate& candidate, absl::Time now) {
  Engine& reader = candidate.prefill != nullptr ? *candidate.prefill : *candidate.decode;
  const absl::Time read_by = now + Milliseconds(candidate.read_ms);
  const absl::Time first_event = read_by + kFirstStep;
  reader.read_until = read_by;
  if (candidate.prefill != nullptr) {
    prefill_ms_placed_ +=
        candidate.prefill->read_ms_per_token * static_cast<double>(demand.prompt_tokens);
  }
  candidate.decode->reserved += Footprint(demand);
  ++candidate.decode->running;
  candidate.decode->streams.push_back(ticket);
  candidate.decode->refused = {};

  StreamDecision decision;
  decision.verdict = StreamVerdict::kGranted;
  decision.ticket = ticket;
  if (candidate.prefill != nullptr) decision.prefill = candidate.prefill->replica.id;
  decision.decode = candidate.decode->replica.id;
  decision.expected = first_event - now;
  placed_[ticket] = {demand,          decision.prefill, decision.decode, now, read_by, first_event,
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

std::vector<StreamDecision> StreamScheduler::Advance(absl::Time now) {
  std::vector<StreamDecision> decisions;
  Outlook outlook = LookAhead();
  // Within a round room only shrinks, so demands as large as one without room need no search.
  std::optional<StreamDemand> without_room;
  for (const std::uint64_t ticket : WaitingOrder()) {
    const StreamDemand& demand = waiting_.at(ticket);
    const bool too_large = without_room && demand.prompt_tokens >= without_room->prompt_tokens &&
                           demand.output_tokens >= without_room->output_tokens;
    std::optional<Candidate> candidate;
    if (!too_large && MayStart(outlook, demand, now)) {
      candidate = Best(demand, Urgency::kOnTime, now);
      if (!candidate) candidate = Best(demand, Urgency::kLate, now);
      if (!candidate && !AnyRoom(demand, now)) without_room = demand;
    }
    const absl::Time first_event =
        candidate ? now + Milliseconds(candidate->read_ms) + kFirstStep : absl::InfiniteFuture();
    if (first_event + kGiveUpMargin <= demand.give_up) {
      decisions.push_back(Grant(ticket, demand, *candidate, now));
      waiting_.erase(ticket);
      outlook = LookAhead();
    } else if (now + kFirstStep + kGiveUpMargin > demand.give_up) {
      decisions.push_back(Refuse(ticket, "no capacity before its caller leaves", now));
      waiting_.erase(ticket);
    }
  }
  return decisions;
}

}  // namespace marigoldquay
