// Events of a cell.
#include "marigoldquay/scheduling/cell_scheduler.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "cell_state.h"
#include "marigoldquay/core/logger.h"

namespace marigoldquay {
namespace {

constexpr absl::Duration kMinRetryAfter = absl::Milliseconds(100);
constexpr absl::Duration kMaxRetryAfter = absl::Seconds(30);
// How long an engine that refused a request gets nothing more; about one poll of its load.
constexpr absl::Duration kFullTime = absl::Milliseconds(100);
constexpr absl::Duration kReturnTime = absl::Seconds(5);
constexpr std::size_t kMaxReturning = 4096;
constexpr std::size_t kMaxWorkspaceShares = 30000;
constexpr absl::Duration kTickInterval = absl::Milliseconds(250);
// A prefill or first token that takes this much longer than predicted is an outlier.
constexpr double kOutlierFactor = 3;
constexpr absl::Duration kOutlierSlack = absl::Milliseconds(300);
// Shorter prompts and outputs say little about speed: fixed parts dominate.
constexpr TokenCount kMinPromptSample = 200;
constexpr TokenCount kMinOutputSample = 8;
// The tokens of a prompt that the prefix hash covers.
constexpr TokenCount kPrefixTokens = 2000;
// Variation of the decode speed that a predicted end allows for.
constexpr double kDecodeSpeedSlack = 1.25;
constexpr double kMeanGain = 0.05;

const Logger& Log() {
  static const Logger logger("sched");
  return logger;
}

absl::Duration ClampRetry(absl::Duration wait) {
  return std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
}

void UpdateMean(double& mean, double sample) {
  mean = mean == 0 ? sample : mean + kMeanGain * (sample - mean);
}

}  // namespace

CellScheduler::CellScheduler(PoolId pool, CellOptions options, std::uint64_t first_ticket)
    : pool_(std::move(pool)),
      options_(std::move(options)),
      baseline_(MakeBaselinePolicy(options_.policy, first_ticket)),
      servers_(std::make_unique<Servers>()),
      next_ticket_(first_ticket),
      on_time_(options_.queue),
      late_(options_.queue) {}

CellScheduler::~CellScheduler() = default;

std::uint64_t CellScheduler::Enqueue(const PlacementRequest& request, const Instance& holder,
                                     absl::Time now) {
  QueuedRequest queued{.ticket = next_ticket_++,
                       .request = request,
                       .holder = holder,
                       .enqueued = now,
                       .deadline = now + request.first_token_budget};
  queued.cost =
      options_.prefill_cost * static_cast<double>(request.prompt_tokens) + ExpectedOutput(request);
  const auto ticket = queued.ticket;
  const auto returning = returning_.find(request.request_id);
  const bool front = returning != returning_.end() && returning->second > now;
  if (returning != returning_.end()) returning_.erase(returning);
  const auto why_never = WhyNever(request);
  if (!why_never.empty()) {
    Refuse(queued,
           servers_->by_id.empty() ? PlacementOutcome::kUnavailable : PlacementOutcome::kRefused,
           absl::ZeroDuration(), why_never);
  } else if (baseline_) {
    PlaceAtOnce(queued, now);
  } else {
    const auto best_case = BestCase(request);
    // A request whose engine refused it goes first, so nothing is ahead of it.
    const auto wait = front ? absl::ZeroDuration() : PredictWait(queued, on_time_, now);
    const auto excess = now + wait + best_case - queued.deadline;
    if (excess > absl::ZeroDuration()) {
      OnMissedTarget(queued, excess, now);
    } else if (on_time_.Push(queued, front)) {
      latest_starts_.emplace(queued.deadline - best_case, ticket);
    } else {
      Refuse(queued, PlacementOutcome::kRefused, ClampRetry(wait), "queue is full");
    }
  }
  Pump(now);
  return ticket;
}

// `excess` is how much too late the first token would come.
void CellScheduler::OnMissedTarget(const QueuedRequest& request, absl::Duration excess,
                                   absl::Time now) {
  if (!request.request.serve_late) {
    Refuse(request, PlacementOutcome::kRefused, ClampRetry(excess),
           "the first token cannot come in time");
    return;
  }
  const auto wait = PredictWait(request, late_, now);
  if (now + wait - request.enqueued > options_.max_late_wait) {
    Refuse(request, PlacementOutcome::kRefused, ClampRetry(wait), "too many requests wait");
  } else if (!late_.Push(request)) {
    Refuse(request, PlacementOutcome::kRefused, ClampRetry(wait), "queue is full");
  }
}

void CellScheduler::PlaceAtOnce(const QueuedRequest& request, absl::Time now) {
  std::vector<ServerStatus> statuses;
  for (const auto& [id, server] : servers_->by_id) {
    const auto& excluded = request.request.excluded;
    if (!server.Usable(now) || std::count(excluded.begin(), excluded.end(), id) > 0) continue;
    statuses.push_back({.id = id,
                        .can_prefill = server.RoleAllows(BackendRole::kPrefill),
                        .can_decode = server.RoleAllows(BackendRole::kDecode),
                        .outstanding_prefills = static_cast<int>(server.prefill_count()),
                        .outstanding_decodes = static_cast<int>(server.decode_count()),
                        .reported_queue = server.report()->queue,
                        .reported_slots_used = server.report()->slots_used});
  }
  const auto choice = baseline_->Choose(statuses);
  if (!choice) {
    Refuse(request, PlacementOutcome::kUnavailable, kMinRetryAfter, "no usable backend server");
    return;
  }
  Plan plan;
  plan.prefill = servers_->Find(choice->prefill_server);
  plan.decode = servers_->Find(choice->decode_server);
  plan.uncached_tokens = request.request.prompt_tokens;
  plan.prefill_time = PrefillTime(plan.uncached_tokens, plan.prefill->prefill_s_per_token.value());
  plan.prefill_end = plan.prefill->PrefillFreeAt(now) + plan.prefill_time;
  plan.link_start = plan.prefill_end;
  Grant(request, plan, now);
}

void CellScheduler::Decide(const QueuedRequest& request, Placement placement) {
  placement.ticket = request.ticket;
  placement.pool = pool_;
  decisions_.push_back({request.request.request_id, request.holder, std::move(placement)});
}

void CellScheduler::Refuse(const QueuedRequest& request, PlacementOutcome outcome,
                           absl::Duration retry_after, std::string message) {
  ++(outcome == PlacementOutcome::kUnavailable ? stats_.unavailable : stats_.refused);
  Decide(request, {.outcome = outcome, .retry_after = retry_after, .message = std::move(message)});
}

void CellScheduler::Grant(const QueuedRequest& request, const Plan& plan, absl::Time now) {
  CellServer& prefill = *plan.prefill;
  CellServer& decode = *plan.decode;
  const auto& asked = request.request;
  prefill.health.OnStart(now);
  if (&prefill != &decode) decode.health.OnStart(now);
  prefill.AddPrefill(request.ticket, plan.prefill_time, Pieces(asked.prompt_tokens), now);
  decode.AddDecode(request.ticket, Pieces(asked.prompt_tokens + asked.max_output_tokens));
  if (&prefill != &decode) {
    prefill.link.Reserve(request.ticket, plan.link_start, plan.transfer);
    decode.link.Reserve(request.ticket, plan.link_start, plan.transfer);
  }
  // Covers a grant whose answer was lost: then no progress ever comes.
  const auto prefill_limit = plan.prefill_end + 10 * plan.prefill_time + absl::Seconds(10);
  tickets_[request.ticket] = {.queued = request,
                              .prefill_server = prefill.config().id,
                              .decode_server = decode.config().id,
                              .granted_at = now,
                              .predicted_prefill = plan.prefill_time,
                              .transfer = plan.transfer,
                              .link_wait = plan.link_start - plan.prefill_end,
                              .uncached_tokens = plan.uncached_tokens,
                              .expires = prefill_limit};
  ++stats_.granted;
  if (plan.predicted_slot) ++stats_.granted_on_prediction;
  Decide(request, {.outcome = PlacementOutcome::kGranted,
                   .prefill_server = prefill.config().id,
                   .decode_server = decode.config().id});
}

void CellScheduler::Cancel(std::uint64_t ticket, absl::Time now) {
  auto queued = on_time_.Remove(ticket);
  if (!queued) queued = late_.Remove(ticket);
  if (queued) {
    Decide(*queued, {.outcome = PlacementOutcome::kCancelled, .message = "caller is gone"});
  } else {
    Release(ticket, PlacementEnd::kCancelled, 0, absl::ZeroDuration(), now);
  }
  Pump(now);
}

void CellScheduler::PrefillDone(std::uint64_t number, TokenCount cached_tokens,
                                absl::Duration duration, absl::Time now) {
  const auto it = tickets_.find(number);
  if (it == tickets_.end() || it->second.phase != Ticket::Phase::kPrefill) return;
  Ticket& ticket = it->second;
  const auto& request = ticket.queued.request;
  ticket.phase = Ticket::Phase::kTransfer;
  ticket.prefill_done_at = now;
  ticket.uncached_tokens = std::max<TokenCount>(0, request.prompt_tokens - cached_tokens);
  stats_.prefill_tokens += ticket.uncached_tokens;
  const auto decode_limit = absl::Seconds(10 * options_.prior_decode_step / absl::Seconds(1) *
                                          static_cast<double>(request.max_output_tokens)) +
                            absl::Seconds(60);
  ticket.expires = now + decode_limit;
  if (auto* server = servers_->Find(ticket.prefill_server)) {
    const auto ran = std::min(server->EndPrefill(number, now).value_or(duration), duration);
    if (ticket.uncached_tokens >= kMinPromptSample) {
      server->prefill_s_per_token.Observe(
          std::max(1e-9, absl::ToDoubleSeconds(ran - kPrefillOverhead) / ticket.uncached_tokens));
    }
    if (!ticket.slow && ran > kOutlierFactor * ticket.predicted_prefill + kOutlierSlack) {
      server->health.OnFailure(now);
    } else if (!ticket.slow) {
      server->health.OnSuccess();
    }
    if (request.prefix_hash != 0) server->prefixes.Add(request.prefix_hash, kPrefixTokens);
  }
  auto* decode = servers_->Find(ticket.decode_server);
  if (decode != nullptr) {
    decode->SetDecodeRunning(number, now);
    decode->SetLatestEnd(number, absl::InfiniteFuture());
  }
  auto* prefill = servers_->Find(ticket.prefill_server);
  if (decode != nullptr && prefill != nullptr && decode != prefill) {
    // The transfer starts now, earlier or later than planned.
    prefill->link.Reserve(number, now, ticket.transfer);
    decode->link.Reserve(number, now, ticket.transfer);
  }
  Pump(now);
}

void CellScheduler::FirstToken(std::uint64_t number, absl::Duration since_prefill_done,
                               absl::Time now) {
  const auto it = tickets_.find(number);
  if (it == tickets_.end() || it->second.phase == Ticket::Phase::kDecode) return;
  if (it->second.phase == Ticket::Phase::kPrefill) {
    // Its PrefillDone was lost or comes later.
    PrefillDone(number, 0, now - it->second.granted_at, now);
  }
  Ticket& ticket = tickets_.find(number)->second;
  ticket.phase = Ticket::Phase::kDecode;
  ticket.first_token_at = now;
  auto* prefill = servers_->Find(ticket.prefill_server);
  auto* decode = servers_->Find(ticket.decode_server);
  if (prefill != nullptr) {
    prefill->EndResult(number);
    prefill->link.Release(number);
  }
  if (decode == nullptr) return;
  decode->link.Release(number);
  const double step = decode->decode_s_per_token.value();
  const auto& request = ticket.queued.request;
  if (decode->decode_s_per_token.samples() >= kMinOutputSample) {
    decode->SetLatestEnd(number,
                         now + absl::Seconds(kDecodeSpeedSlack * step *
                                             static_cast<double>(request.max_output_tokens)));
  }
  if (prefill != nullptr && prefill != decode && request.prompt_tokens >= kMinPromptSample) {
    const double transfer = absl::ToDoubleSeconds(since_prefill_done - ticket.link_wait) - step;
    const double bytes = static_cast<double>(request.prompt_tokens) * options_.kv_bytes_per_token;
    // The slower link decided how long it took.
    auto& slower = decode->link_s_per_byte.value() > prefill->link_s_per_byte.value()
                       ? decode->link_s_per_byte
                       : prefill->link_s_per_byte;
    if (transfer > 0 && bytes > 0) slower.Observe(transfer / bytes);
  }
  Pump(now);
}

void CellScheduler::ObserveDecode(Ticket& ticket, PlacementEnd end, TokenCount output_tokens,
                                  absl::Duration decode_duration, absl::Time now) {
  const auto& request = ticket.queued.request;
  auto* decode = servers_->Find(ticket.decode_server);
  if (end == PlacementEnd::kDone && request.max_output_tokens > 0) {
    if (output_share_.size() >= kMaxWorkspaceShares) output_share_.clear();
    UpdateMean(
        output_share_[request.workspace],
        std::clamp(static_cast<double>(output_tokens) / request.max_output_tokens, 0.01, 1.0));
  }
  if (end == PlacementEnd::kDone) {
    UpdateMean(mean_hold_s_, absl::ToDoubleSeconds(now - ticket.granted_at));
  }
  if (decode == nullptr) return;
  if (end == PlacementEnd::kDecodeFailed) {
    decode->health.OnFailure(now);
    return;
  }
  if (end != PlacementEnd::kDone) {
    decode->health.OnNeutral();
    return;
  }
  auto& estimate = decode->decode_s_per_token;
  if (output_tokens >= kMinOutputSample && decode_duration > absl::ZeroDuration()) {
    const double step =
        absl::ToDoubleSeconds(decode_duration) / static_cast<double>(output_tokens - 1);
    const bool outlier =
        estimate.samples() >= kMinOutputSample && step > kOutlierFactor * estimate.value() + 0.01;
    estimate.Observe(step);
    if (outlier) {
      decode->health.OnFailure(now);
      return;
    }
  }
  decode->health.OnSuccess();
}

void CellScheduler::Release(std::uint64_t number, PlacementEnd end, TokenCount output_tokens,
                            absl::Duration decode_duration, absl::Time now) {
  const auto it = tickets_.find(number);
  if (it == tickets_.end()) return;
  Ticket& ticket = it->second;
  const auto& request = ticket.queued.request;
  auto* prefill = servers_->Find(ticket.prefill_server);
  auto* decode = servers_->Find(ticket.decode_server);
  const bool in_prefill = ticket.phase == Ticket::Phase::kPrefill;
  if (end == PlacementEnd::kEngineRefused) {
    ++stats_.engine_refused;
    if (in_prefill && prefill != nullptr) prefill->prefill_full_until = now + kFullTime;
    if (!in_prefill && decode != nullptr) decode->decode_full_until = now + kFullTime;
    on_time_.Refund(request.workspace, ticket.queued.cost);
    std::erase_if(returning_, [&](const auto& entry) { return entry.second <= now; });
    if (returning_.size() < kMaxReturning) returning_[request.request_id] = now + kReturnTime;
  }
  if (prefill != nullptr) {
    if (end == PlacementEnd::kPrefillFailed) {
      prefill->health.OnFailure(now);
    } else if (in_prefill) {
      prefill->health.OnNeutral();
    }
  }
  // A prefill after which no token came was in vain, whatever the reason.
  if (ticket.phase == Ticket::Phase::kTransfer) {
    stats_.wasted_prefill_tokens += ticket.uncached_tokens;
  }
  ObserveDecode(ticket, end, output_tokens, decode_duration, now);
  EndTicket(number, ticket, now);
  tickets_.erase(it);
  Pump(now);
}

// Frees all that the ticket has reserved.
void CellScheduler::EndTicket(std::uint64_t number, Ticket& ticket, absl::Time now) {
  if (auto* prefill = servers_->Find(ticket.prefill_server)) {
    prefill->EndPrefill(number, now);
    prefill->EndResult(number);
    prefill->link.Release(number);
  }
  if (auto* decode = servers_->Find(ticket.decode_server)) {
    decode->EndDecode(number, now);
    decode->link.Release(number);
  }
}

void CellScheduler::OnLoadReport(absl::string_view id, const LoadReport& report, absl::Time now) {
  auto* server = servers_->Find(id);
  if (server == nullptr) return;
  server->OnReport(report, now);
  Pump(now);
}

void CellScheduler::OnReportFailed(absl::string_view id, absl::Time now) {
  if (auto* server = servers_->Find(id)) server->OnReportFailed();
  Pump(now);
}

void CellScheduler::OnCacheEvents(absl::string_view id, const std::vector<CacheEvent>& events) {
  auto* server = servers_->Find(id);
  if (server != nullptr && !server->prefixes.Apply(events)) {
    Log().Debug("cache events of ", id, " have a gap; its prefix index starts anew");
  }
}

std::uint64_t CellScheduler::NextCacheSequence(absl::string_view id) const {
  const auto* server = servers_->Find(id);
  return server == nullptr ? 0 : server->prefixes.next_sequence();
}

void CellScheduler::SetServers(const Pool& pool, const std::vector<BackendServer>& servers,
                               const std::set<BackendServerId>& leaving, absl::Time now) {
  targets_ = pool;
  std::set<BackendServerId> present;
  for (const auto& config : servers) {
    present.insert(config.id);
    auto [it, added] = servers_->by_id.try_emplace(config.id, config, options_.health);
    CellServer& server = it->second;
    server.set_config(config);
    server.may_get_work = config.state == BackendState::kActive && leaving.count(config.id) == 0;
    server.prefill_s_per_token.set_prior(1 / options_.prior_prefill_tokens_per_s);
    server.decode_s_per_token.set_prior(absl::ToDoubleSeconds(options_.prior_decode_step));
    const auto link = static_cast<double>(config.link_bytes_per_s);
    server.link_s_per_byte.set_prior(1 / (link > 0 ? link : options_.prior_link_bytes_per_s));
  }
  std::erase_if(servers_->by_id,
                [&](const auto& entry) { return present.count(entry.first) == 0; });
  // Requests that no remaining server can run are not kept until their deadline.
  std::vector<std::pair<std::uint64_t, std::string>> impossible;
  for (const auto* queue : {&on_time_, &late_}) {
    queue->ForEach([&](const QueuedRequest& queued) {
      auto why = WhyNever(queued.request);
      if (!why.empty()) impossible.emplace_back(queued.ticket, std::move(why));
    });
  }
  for (auto& [ticket, why] : impossible) {
    auto queued = on_time_.Remove(ticket);
    if (!queued) queued = late_.Remove(ticket);
    Refuse(*queued, PlacementOutcome::kUnavailable, kMinRetryAfter, std::move(why));
  }
  Pump(now);
}

void CellScheduler::InstanceGone(const Instance& instance, absl::Time now) {
  std::vector<std::uint64_t> gone;
  for (const auto* queue : {&on_time_, &late_}) {
    queue->ForEach([&](const QueuedRequest& queued) {
      if (queued.holder == instance) gone.push_back(queued.ticket);
    });
  }
  for (const auto ticket : gone) {
    auto queued = on_time_.Remove(ticket);
    if (!queued) queued = late_.Remove(ticket);
    Decide(*queued, {.outcome = PlacementOutcome::kCancelled, .message = "holder is gone"});
  }
  for (auto& [number, ticket] : tickets_) {
    if (ticket.queued.holder != instance) continue;
    ticket.expires = std::min(ticket.expires, now + options_.dead_holder_hold);
  }
  Pump(now);
}

void CellScheduler::GiveUpQueue(absl::Time now) {
  std::vector<std::uint64_t> waiting;
  for (const auto* queue : {&on_time_, &late_}) {
    queue->ForEach([&](const QueuedRequest& queued) { waiting.push_back(queued.ticket); });
  }
  for (const auto ticket : waiting) {
    auto queued = on_time_.Remove(ticket);
    if (!queued) queued = late_.Remove(ticket);
    Refuse(*queued, PlacementOutcome::kUnavailable, absl::ZeroDuration(),
           "another VM schedules this cell");
  }
  Pump(now);
}

void CellScheduler::Tick(absl::Time now) {
  ExpireTickets(now);
  ExpirePrefills(now);
  Pump(now);
}

void CellScheduler::ExpireTickets(absl::Time now) {
  for (auto it = tickets_.begin(); it != tickets_.end();) {
    auto current = it++;
    if (current->second.expires > now) continue;
    ++stats_.expired_tickets;
    EndTicket(current->first, current->second, now);
    tickets_.erase(current);
  }
}

// Counts a prefill that runs far longer than predicted as a failure before it ends, so that a
// frozen server gets nothing more.
void CellScheduler::ExpirePrefills(absl::Time now) {
  for (auto& [id, server] : servers_->by_id) {
    if (server.prefills().empty()) continue;
    const auto& first = server.prefills().front();
    if (now - first.started <= kOutlierFactor * first.predicted + kOutlierSlack) continue;
    const auto it = tickets_.find(first.ticket);
    if (it == tickets_.end() || it->second.slow) continue;
    it->second.slow = true;
    server.health.OnFailure(now);
  }
}

void CellScheduler::ExpireQueued(absl::Time now) {
  while (!latest_starts_.empty() && latest_starts_.begin()->first < now) {
    const auto ticket = latest_starts_.begin()->second;
    latest_starts_.erase(latest_starts_.begin());
    const auto* queued = on_time_.Find(ticket);
    if (queued == nullptr) continue;
    const auto latest_start = queued->deadline - BestCase(queued->request);
    if (latest_start >= now) {
      // Servers have become faster than was assumed.
      latest_starts_.emplace(latest_start, ticket);
      continue;
    }
    const auto request = *on_time_.Remove(ticket);
    const auto wait = PredictWait(request, on_time_, now);
    OnMissedTarget(request, std::max(wait, now - latest_start), now);
  }
  std::vector<std::uint64_t> overdue;
  late_.ForEach([&](const QueuedRequest& queued) {
    if (now - queued.enqueued > options_.max_late_wait) overdue.push_back(queued.ticket);
  });
  for (const auto ticket : overdue) {
    const auto queued = late_.Remove(ticket);
    Refuse(*queued, PlacementOutcome::kRefused, ClampRetry(PredictWait(*queued, late_, now)),
           "waited too long");
  }
}

void CellScheduler::ServeQueue(FairQueue& queue, bool late, absl::Time now) {
  std::optional<Plan> plan;
  while (const auto served = queue.ServeOne([&](const QueuedRequest& queued) {
    plan = FindPlan(queued, late, now);
    return plan.has_value();
  })) {
    Grant(*served, *plan, now);
  }
}

void CellScheduler::Pump(absl::Time now) {
  ExpireQueued(now);
  ServeQueue(on_time_, false, now);
  // A late request would take what a waiting one needs to meet its target.
  if (!on_time_.empty()) return;
  latest_starts_.clear();
  ServeQueue(late_, true, now);
}

std::vector<PlacementDecision> CellScheduler::TakeDecisions() {
  return std::exchange(decisions_, {});
}

absl::Time CellScheduler::NextTick(absl::Time now) const {
  auto next = now + kTickInterval;
  if (queued() == 0) return next;
  if (!latest_starts_.empty()) next = std::min(next, latest_starts_.begin()->first);
  for (const auto& [id, server] : servers_->by_id) {
    const auto free_at = server.PrefillFreeAt(now) - options_.lookahead;
    if (free_at > now) next = std::min(next, free_at);
  }
  return std::max(next, now + absl::Milliseconds(1));
}

std::map<BackendServerId, ServerEstimates> CellScheduler::Estimates(absl::Time now) const {
  std::map<BackendServerId, ServerEstimates> estimates;
  for (const auto& [id, server] : servers_->by_id) {
    estimates[id] = {.prefill_tokens_per_s = 1 / server.prefill_s_per_token.value(),
                     .decode_step = absl::Seconds(server.decode_s_per_token.value()),
                     .link_bytes_per_s = 1 / server.link_s_per_byte.value(),
                     .free_slots = server.FreeSlots(now),
                     .reserved_slots = static_cast<int>(server.decode_count()),
                     .ejected = server.health.ejected()};
  }
  return estimates;
}

}  // namespace marigoldquay
