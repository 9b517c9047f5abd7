// Threads around the cells' schedulers.
#include "marigoldquay/scheduling/scheduler_service.h"

#include <algorithm>
#include <boost/json.hpp>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "marigoldquay/core/logger.h"
#include "marigoldquay/core/metrics.h"
#include "placement_wire.h"

namespace marigoldquay {
namespace {

constexpr absl::Duration kRefreshInterval = absl::Milliseconds(250);
// How often a waiting call looks whether its caller has gone.
constexpr absl::Duration kCancelPoll = absl::Milliseconds(20);
// Upper bounds of what a peer may ask; beyond them arithmetic on costs loses its meaning.
constexpr TokenCount kMaxTokens = 10000000;

const Logger& Log() {
  static const Logger logger("sched");
  return logger;
}

Gauge& CellGauge(absl::string_view name, absl::string_view help, const PoolId& pool) {
  return MetricsRegistry::Global().gauge(name, help, {{"pool", pool}});
}

std::optional<std::string> InvalidField(const PlacementRequest& request) {
  const auto outside = [](TokenCount tokens) { return tokens < 0 || tokens > kMaxTokens; };
  if (outside(request.prompt_tokens)) {
    return absl::StrCat("prompt_tokens outside 0 to ", kMaxTokens);
  }
  if (outside(request.max_output_tokens)) {
    return absl::StrCat("max_output_tokens outside 0 to ", kMaxTokens);
  }
  return std::nullopt;
}

}  // namespace

std::string CellKey(absl::string_view pool) { return absl::StrCat("cell/", pool); }

struct SchedulerService::Cell {
  Cell(PoolId pool_id, const CellOptions& options)
      : pool(std::move(pool_id)), scheduler(pool, options, RandomId() >> 1) {}

  const PoolId pool;
  CellScheduler scheduler;
  // Decisions that their waiting calls have not fetched yet.
  std::map<std::uint64_t, Placement> decisions;
  std::set<std::uint64_t> waiting;
  std::vector<BackendServer> servers;
  absl::Time last_acquire = absl::InfinitePast();
  bool first = false;
};

SchedulerService::SchedulerService(SchedulerOptions options, const ConfigView& config,
                                   const MemberView& members, const LeavingServers& leaving,
                                   EngineReports& reports, const Clock& clock)
    : options_(std::move(options)),
      config_(config),
      members_(members),
      leaving_(leaving),
      reports_(reports),
      clock_(clock) {
  const PeriodicOptions poll_options{.interval = options_.poll_interval,
                                     .first_backoff = options_.poll_interval,
                                     .max_backoff = absl::Seconds(1),
                                     .workers = options_.poll_workers};
  polls_ = std::make_unique<PeriodicPool>(poll_options, clock_, [this](const std::string& id) {
    return PollEngine(id) ? TaskOutcome::kSucceeded : TaskOutcome::kFailed;
  });
  Refresh();
  ticker_ = std::thread([this] { Run(); });
}

SchedulerService::~SchedulerService() {
  polls_->Stop();
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    changed_.SignalAll();
    decided_.SignalAll();
  }
  ticker_.join();
}

bool SchedulerService::RanksFirst(absl::string_view pool) const {
  const auto ranked = members_.RankFor(CellKey(pool));
  return !ranked.empty() && ranked.front().instance == members_.self();
}

SchedulerService::Cell* SchedulerService::FindCell(absl::string_view pool) {
  const auto it = cells_.find(pool);
  return it == cells_.end() ? nullptr : it->second.get();
}

SchedulerService::Cell* SchedulerService::OpenCell(const PoolId& pool) {
  if (auto* cell = FindCell(pool)) return cell;
  {
    const auto configuration = config_.Read();
    const auto it = configuration->pools().find(pool);
    if (it == configuration->pools().end() || it->second.kind != PoolKind::kModel) return nullptr;
  }
  auto* cell =
      cells_.emplace(pool, std::make_unique<Cell>(pool, options_.cell)).first->second.get();
  RefreshCell(*cell);
  AssignPolls();
  return cell;
}

void SchedulerService::RefreshCell(Cell& cell) {
  Pool pool;
  cell.servers.clear();
  {
    const auto configuration = config_.Read();
    const auto it = configuration->pools().find(cell.pool);
    if (it != configuration->pools().end()) pool = it->second;
    for (const auto& [id, server] : configuration->backend_servers()) {
      if (server.pool == cell.pool) cell.servers.push_back(server);
    }
  }
  std::set<BackendServerId> leaving;
  for (const auto& server : cell.servers) {
    if (!leaving_.MayGetWork(server)) leaving.insert(server.id);
  }
  cell.scheduler.SetServers(pool, cell.servers, leaving, clock_.Now());
}

void SchedulerService::AssignPolls() {
  std::set<std::string> wanted;
  for (const auto& [pool, cell] : cells_) {
    for (const auto& server : cell->servers) wanted.insert(server.id);
  }
  polls_->Assign(wanted);
}

void SchedulerService::Refresh() {
  std::set<PoolId> model_pools;
  {
    const auto configuration = config_.Read();
    for (const auto& [id, pool] : configuration->pools()) {
      if (pool.kind == PoolKind::kModel) model_pools.insert(id);
    }
  }
  std::set<PoolId> first;
  for (const auto& pool : model_pools) {
    if (RanksFirst(pool)) first.insert(pool);
  }
  std::set<Instance> present;
  for (const auto& member : members_.members()) present.insert(member.instance);

  absl::MutexLock lock(&mutex_);
  const auto now = clock_.Now();
  next_refresh_ = now + kRefreshInterval;
  for (const auto& pool : first) OpenCell(pool);
  for (auto it = cells_.begin(); it != cells_.end();) {
    Cell& cell = *it->second;
    const bool was_first = std::exchange(cell.first, first.count(it->first) > 0);
    const bool wanted = cell.first || now - cell.last_acquire < options_.standby_time;
    // Calls that wait here are sent on to the VM that ranks first now.
    if (was_first && !cell.first) cell.scheduler.GiveUpQueue(now);
    if (!wanted || model_pools.count(it->first) == 0) {
      cell.scheduler.GiveUpQueue(now);
      Deliver(cell);
      if (cell.waiting.empty() && cell.scheduler.tickets() == 0) {
        it = cells_.erase(it);
        continue;
      }
    }
    RefreshCell(cell);
    for (const auto& instance : known_members_) {
      if (present.count(instance) == 0) cell.scheduler.InstanceGone(instance, now);
    }
    Deliver(cell);
    CellGauge("marigoldquay_sched_queued", "Requests that wait for a placement.", it->first)
        .Set(static_cast<std::int64_t>(cell.scheduler.queued()));
    CellGauge("marigoldquay_sched_tickets", "Placed requests that have not ended.", it->first)
        .Set(static_cast<std::int64_t>(cell.scheduler.tickets()));
    ++it;
  }
  known_members_ = std::move(present);
  AssignPolls();
}

void SchedulerService::Deliver(Cell& cell) {
  bool any = false;
  for (auto& decision : cell.scheduler.TakeDecisions()) {
    auto& placement = decision.placement;
    any = true;
    if (cell.waiting.count(placement.ticket) > 0) {
      placement.scheduler = members_.self().vm;
      cell.decisions[placement.ticket] = std::move(placement);
    }
  }
  if (any) decided_.SignalAll();
  changed_.Signal();
}

Placement SchedulerService::Acquire(const PlacementRequest& request, const Instance& holder,
                                    const std::function<bool()>& cancelled,
                                    absl::Duration timeout) {
  Placement placement{.pool = request.pool, .scheduler = members_.self().vm};
  if (auto field = InvalidField(request)) {
    placement.outcome = PlacementOutcome::kRefused;
    placement.message = std::move(*field);
    return placement;
  }
  absl::MutexLock lock(&mutex_);
  Cell* cell = OpenCell(request.pool);
  if (cell == nullptr || stopping_) {
    placement.message = "no such model pool, or stopping";
    return placement;
  }
  const auto deadline = clock_.Now() + timeout;
  cell->last_acquire = clock_.Now();
  const auto ticket = cell->scheduler.Enqueue(request, holder, clock_.Now());
  cell->waiting.insert(ticket);
  Deliver(*cell);
  while (cell->decisions.count(ticket) == 0) {
    const bool gone = stopping_ || clock_.Now() >= deadline || (cancelled && cancelled());
    if (gone) {
      cell->scheduler.Cancel(ticket, clock_.Now());
      Deliver(*cell);
      continue;
    }
    decided_.WaitWithTimeout(&mutex_, kCancelPoll);
  }
  placement = std::move(cell->decisions.extract(ticket).mapped());
  cell->waiting.erase(ticket);
  return placement;
}

void SchedulerService::PrefillDone(const PoolId& pool, std::uint64_t ticket,
                                   TokenCount cached_tokens, absl::Duration duration) {
  absl::MutexLock lock(&mutex_);
  Cell* cell = FindCell(pool);
  if (cell == nullptr) return;
  cell->scheduler.PrefillDone(ticket, cached_tokens, duration, clock_.Now());
  Deliver(*cell);
}

void SchedulerService::FirstToken(const PoolId& pool, std::uint64_t ticket,
                                  absl::Duration since_prefill_done) {
  absl::MutexLock lock(&mutex_);
  Cell* cell = FindCell(pool);
  if (cell == nullptr) return;
  cell->scheduler.FirstToken(ticket, since_prefill_done, clock_.Now());
  Deliver(*cell);
}

void SchedulerService::Release(const PoolId& pool, std::uint64_t ticket, PlacementEnd end,
                               TokenCount output_tokens, absl::Duration decode_duration) {
  absl::MutexLock lock(&mutex_);
  Cell* cell = FindCell(pool);
  if (cell == nullptr) return;
  cell->scheduler.Release(ticket, end, output_tokens, decode_duration, clock_.Now());
  Deliver(*cell);
}

bool SchedulerService::PollEngine(const BackendServerId& id) {
  std::optional<BackendServer> server;
  std::uint64_t from = 0;
  PoolId pool;
  {
    absl::MutexLock lock(&mutex_);
    for (const auto& [pool_id, cell] : cells_) {
      for (const auto& candidate : cell->servers) {
        if (candidate.id != id) continue;
        server = candidate;
        pool = pool_id;
        from = cell->scheduler.NextCacheSequence(id);
      }
    }
  }
  if (!server) return true;
  const auto load =
      Capture<LoadReport>([&] { return reports_.Load(*server, options_.poll_timeout); });
  const auto* report = std::get_if<0>(&load);
  const auto events = report == nullptr
                          ? std::variant<std::vector<CacheEvent>, Error>()
                          : Capture<std::vector<CacheEvent>>([&] {
                              return reports_.CacheEvents(*server, from, options_.poll_timeout);
                            });
  absl::MutexLock lock(&mutex_);
  Cell* cell = FindCell(pool);
  if (cell == nullptr) return true;
  if (report == nullptr) {
    Log().Debug("load of ", id, " not read: ", std::get<1>(load).ToString());
    cell->scheduler.OnReportFailed(id, clock_.Now());
  } else {
    cell->scheduler.OnLoadReport(id, *report, clock_.Now());
    // Cache events are a hint; without them placement goes on.
    if (const auto* list = std::get_if<0>(&events)) cell->scheduler.OnCacheEvents(id, *list);
  }
  Deliver(*cell);
  return report != nullptr;
}

void SchedulerService::Run() {
  while (true) {
    bool refresh = false;
    {
      absl::MutexLock lock(&mutex_);
      if (stopping_) return;
      const auto now = clock_.Now();
      auto next = next_refresh_;
      for (auto& [pool, cell] : cells_) next = std::min(next, cell->scheduler.NextTick(now));
      changed_.WaitWithTimeout(&mutex_,
                               std::clamp(next - now, absl::Milliseconds(1), kRefreshInterval));
      if (stopping_) return;
      const auto after = clock_.Now();
      for (auto& [pool, cell] : cells_) {
        cell->scheduler.Tick(after);
        if (!cell->scheduler.queued() && cell->decisions.empty()) continue;
        Deliver(*cell);
      }
      refresh = after >= next_refresh_;
    }
    if (refresh) Refresh();
  }
}

void SchedulerService::HandleAcquire(const RpcCall& call, ReplyWriter& reply) {
  HandleError(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(wire, DecodeMessage<protocol::AcquireRequestT>(call.payload, call.peer));
        const auto placement = Acquire(
            FromWire(wire), FromWire(*wire.sender), [&] { return reply.cancelled(); },
            call.deadline - SystemClock::Instance().Now());
        if (placement.granted() && reply.cancelled()) {
          Release(placement.pool, placement.ticket, PlacementEnd::kCancelled, 0,
                  absl::ZeroDuration());
          return Fail(ErrorCode::kCancelled, "acquire placement", call.peer, "caller is gone");
        }
        reply.Finish(EncodeMessage(ToWire(placement)));
        return {};
      },
      [&](const Error& error) { reply.FinishWithError(error); });
}

void SchedulerService::RegisterHandlers(RpcRegistry& registry) {
  registry.Register(
      protocol::MessageType::Acquire,
      [this](const RpcCall& call, ReplyWriter& reply) { HandleAcquire(call, reply); });
  RegisterHandler<protocol::ProgressRequestT>(
      registry, protocol::MessageType::Progress,
      [this](const protocol::ProgressRequestT& request, const RpcCall&) -> Result<protocol::AckT> {
        const auto duration = absl::Microseconds(request.duration_us);
        if (request.step == protocol::ProgressStep::PrefillDone) {
          PrefillDone(request.pool, request.ticket, request.cached_tokens, duration);
        } else {
          FirstToken(request.pool, request.ticket, duration);
        }
        return protocol::AckT();
      });
  RegisterHandler<protocol::ReleaseRequestT>(
      registry, protocol::MessageType::Release,
      [this](const protocol::ReleaseRequestT& request, const RpcCall&) -> Result<protocol::AckT> {
        // ReleaseCause and PlacementEnd have the same values in the same order.
        const auto cause =
            std::min(static_cast<int>(request.cause), static_cast<int>(PlacementEnd::kKvEvicted));
        Release(request.pool, request.ticket, static_cast<PlacementEnd>(cause),
                request.output_tokens, absl::Microseconds(request.decode_duration_us));
        return protocol::AckT();
      });
}

std::string SchedulerService::DescribeJson() const {
  absl::MutexLock lock(&mutex_);
  boost::json::object cells;
  for (const auto& [pool, cell] : cells_) {
    const auto& stats = cell->scheduler.stats();
    boost::json::object servers;
    for (const auto& [id, estimates] : cell->scheduler.Estimates(clock_.Now())) {
      servers[id] = {{"prefill_tokens_per_s", estimates.prefill_tokens_per_s},
                     {"decode_step_ms", absl::ToDoubleMilliseconds(estimates.decode_step)},
                     {"link_bytes_per_s", estimates.link_bytes_per_s},
                     {"free_slots", estimates.free_slots},
                     {"reserved_slots", estimates.reserved_slots},
                     {"ejected", estimates.ejected}};
    }
    cells[pool] = {{"first", cell->first},
                   {"queued", cell->scheduler.queued()},
                   {"tickets", cell->scheduler.tickets()},
                   {"granted", stats.granted},
                   {"refused", stats.refused},
                   {"unavailable", stats.unavailable},
                   {"engine_refused", stats.engine_refused},
                   {"prefill_tokens", stats.prefill_tokens},
                   {"wasted_prefill_tokens", stats.wasted_prefill_tokens},
                   {"servers", std::move(servers)}};
  }
  return boost::json::serialize(cells);
}

}  // namespace marigoldquay
