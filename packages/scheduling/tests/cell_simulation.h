// Discrete-event simulation of engines around a CellScheduler, for property tests
// and for comparing options and policies in one run.
#ifndef MARIGOLDQUAY_SCHEDULING_TESTS_CELL_SIMULATION_H_
#define MARIGOLDQUAY_SCHEDULING_TESTS_CELL_SIMULATION_H_

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "marigoldquay/scheduling/cell_scheduler.h"

namespace marigoldquay::testing {

struct SimWorkspace {
  WorkspaceId id;
  std::int32_t weight = 1;
  double requests_per_s = 1;
};

struct SimConfig {
  CellOptions options;
  int prefill_servers = 4;
  int decode_servers = 5;
  int slots = 20;
  absl::Duration decode_step = absl::Milliseconds(30);
  double prefill_tokens_per_s = 30000;
  double link_bytes_per_s = 10e9;
  int min_prompt = 500;
  int max_prompt = 6000;
  int min_output = 20;
  int max_output = 120;
  /// Share of requests that stop before their maximum output.
  double early_stop = 0.5;
  absl::Duration first_token_budget = absl::Milliseconds(430);
  bool serve_late = false;
  absl::Duration length = absl::Seconds(20);
  absl::Duration report_lag = absl::Milliseconds(300);
  std::vector<SimWorkspace> workspaces;
  std::uint64_t seed = 1;
};

struct SimCounts {
  int offered = 0;
  int decided = 0;
  int refused = 0;
  int served = 0;
  /// First token within its budget.
  int good = 0;
  double good_cost = 0;
};

class CellSimulation {
 public:
  explicit CellSimulation(SimConfig config)
      : config_(std::move(config)),
        random_(config_.seed),
        cell_("pool", config_.options, 1000),
        now_(absl::UnixEpoch() + absl::Hours(1)) {
    std::vector<BackendServer> servers;
    for (int i = 0; i < config_.prefill_servers + config_.decode_servers; ++i) {
      const bool prefill = i < config_.prefill_servers;
      const auto id = absl::StrCat(prefill ? "p" : "d", i);
      servers.push_back({.id = id,
                         .role = prefill ? BackendRole::kPrefill : BackendRole::kDecode,
                         .link_bytes_per_s = static_cast<std::int64_t>(config_.link_bytes_per_s)});
      // Servers differ in speed by up to a factor of two.
      engines_[id] = {.prefill = prefill,
                      .speed = 1 + 0.5 * std::uniform_real_distribution<>(-0.67, 0.67)(random_)};
    }
    cell_.SetServers({}, servers, {}, now_);
  }

  void Run() {
    const auto end = now_ + config_.length;
    for (const auto& [id, engine] : engines_) Poll(id, end);
    for (const auto& workspace : config_.workspaces) Arrive(workspace, end);
    ScheduleTick(end + absl::Seconds(120));
    while (!events_.empty()) {
      const auto event = events_.top();
      events_.pop();
      now_ = event.at;
      event.run();
      HandleDecisions();
      for (const auto& [id, estimates] : cell_.Estimates(now_)) {
        max_reserved = std::max(max_reserved, estimates.reserved_slots);
      }
      if (now_ > end && live_ == 0) break;
    }
  }

  std::map<WorkspaceId, SimCounts> counts;
  /// Decode calls that found no free slot.
  int decode_rejections = 0;
  int decided_twice = 0;
  int max_reserved = 0;
  CellScheduler& cell() { return cell_; }
  int total(int SimCounts::*field) const {
    int sum = 0;
    for (const auto& [id, count] : counts) sum += count.*field;
    return sum;
  }

 private:
  struct Engine {
    bool prefill = false;
    double speed = 1;
    absl::Time busy_until = absl::InfinitePast();
    absl::Time link_until = absl::InfinitePast();
    int queue = 0;
    int slots_used = 0;
  };
  struct Event {
    absl::Time at;
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::tie(other.at, other.order) < std::tie(at, order);
    }
  };
  struct Job {
    PlacementRequest request;
    absl::Time arrived;
    int output = 0;
    int attempts = 0;
  };
  // One way between entry VM, scheduler and engine.
  static constexpr absl::Duration kHop = absl::Microseconds(1500);

  void After(absl::Duration delay, std::function<void()> run) {
    events_.push({now_ + delay, next_order_++, std::move(run)});
  }
  int Uniform(int low, int high) { return std::uniform_int_distribution<>(low, high)(random_); }

  void ScheduleTick(absl::Time end) {
    if (now_ > end) return;
    After(cell_.NextTick(now_) - now_, [this, end] {
      cell_.Tick(now_);
      ScheduleTick(end);
    });
  }

  void Poll(const std::string& id, absl::Time end) {
    const auto& engine = engines_[id];
    const LoadReport report{.slots = engine.prefill ? 0 : config_.slots,
                            .slots_used = engine.slots_used,
                            .queue = engine.queue};
    const bool first = polled_.insert(id).second;
    After(first ? absl::ZeroDuration() : config_.report_lag,
          [this, id, report] { cell_.OnLoadReport(id, report, now_); });
    if (now_ < end) After(absl::Milliseconds(250), [this, id, end] { Poll(id, end); });
  }

  void Arrive(const SimWorkspace& workspace, absl::Time end) {
    const auto gap =
        absl::Seconds(std::exponential_distribution<>(workspace.requests_per_s)(random_));
    if (now_ + gap > end) return;
    After(gap, [this, workspace, end] {
      Job job{.arrived = now_};
      job.request = {.request_id = absl::StrCat("r", next_request_++),
                     .workspace = workspace.id,
                     .weight = workspace.weight,
                     .pool = "pool",
                     .prompt_tokens = Uniform(config_.min_prompt, config_.max_prompt),
                     .max_output_tokens = Uniform(config_.min_output, config_.max_output),
                     .first_token_budget = config_.first_token_budget,
                     .serve_late = config_.serve_late};
      job.output = static_cast<int>(job.request.max_output_tokens);
      if (std::bernoulli_distribution(config_.early_stop)(random_)) {
        job.output = std::max(1, Uniform(job.output / 4, job.output));
      }
      ++counts[workspace.id].offered;
      ++live_;
      Submit(std::move(job));
      Arrive(workspace, end);
    });
  }

  void Submit(Job job) {
    job.request.first_token_budget = job.arrived + config_.first_token_budget - now_;
    ++job.attempts;
    const auto request = job.request;
    const auto ticket = cell_.Enqueue(request, {"vm", 1}, now_);
    jobs_[ticket] = std::move(job);
  }

  void HandleDecisions() {
    for (auto decisions = cell_.TakeDecisions(); !decisions.empty();
         decisions = cell_.TakeDecisions()) {
      for (const auto& decision : decisions) Handle(decision.placement);
    }
  }

  void Handle(const Placement& placement) {
    const auto job = jobs_.find(placement.ticket);
    if (job == jobs_.end() || !decided_.insert(placement.ticket).second) {
      ++decided_twice;
      return;
    }
    auto& count = counts[job->second.request.workspace];
    ++count.decided;
    if (!placement.granted()) {
      ++count.refused;
      --live_;
      return;
    }
    After(kHop * 2, [this, placement] { StartPrefill(placement); });
  }

  void StartPrefill(const Placement& placement) {
    auto& engine = engines_[placement.prefill_server];
    const auto sent = now_;
    const auto& request = jobs_[placement.ticket].request;
    const auto work =
        absl::Milliseconds(5) +
        absl::Seconds(request.prompt_tokens / (config_.prefill_tokens_per_s * engine.speed));
    engine.busy_until = std::max(engine.busy_until, now_) + work;
    ++engine.queue;
    After(engine.busy_until - now_ + kHop, [this, placement, sent, &engine] {
      --engine.queue;
      cell_.PrefillDone(placement.ticket, 0, now_ - sent, now_);
      StartDecode(placement);
    });
  }

  void StartDecode(const Placement& placement) {
    auto& source = engines_[placement.prefill_server];
    auto& engine = engines_[placement.decode_server];
    const Job job = jobs_[placement.ticket];
    if (engine.slots_used >= config_.slots) {
      ++decode_rejections;
      cell_.Release(placement.ticket, PlacementEnd::kEngineRefused, 0, absl::ZeroDuration(), now_);
      if (job.attempts < 3) {
        Submit(job);
      } else {
        --live_;
      }
      return;
    }
    ++engine.slots_used;
    const auto transfer = absl::Seconds(
        job.request.prompt_tokens * config_.options.kv_bytes_per_token / config_.link_bytes_per_s);
    const auto start = std::max({source.link_until, engine.link_until, now_});
    source.link_until = engine.link_until = start + transfer;
    const auto step = config_.decode_step / engine.speed;
    const auto first = start + transfer + step - now_ + kHop;
    After(first, [this, placement, first, job] {
      cell_.FirstToken(placement.ticket, first, now_);
      if (now_ - job.arrived > config_.first_token_budget) return;
      auto& count = counts[job.request.workspace];
      ++count.good;
      count.good_cost += config_.options.prefill_cost * job.request.prompt_tokens + job.output;
    });
    const auto rest = step * (job.output - 1);
    After(first + rest, [this, placement, rest, job, &engine] {
      --engine.slots_used;
      --live_;
      ++counts[job.request.workspace].served;
      cell_.Release(placement.ticket, PlacementEnd::kDone, job.output, rest, now_);
    });
  }

  const SimConfig config_;
  std::mt19937_64 random_;
  CellScheduler cell_;
  absl::Time now_;
  std::priority_queue<Event> events_;
  std::uint64_t next_order_ = 0;
  std::map<std::string, Engine> engines_;
  std::map<std::uint64_t, Job> jobs_;
  std::set<std::uint64_t> decided_;
  std::set<std::string> polled_;
  int next_request_ = 0;
  int live_ = 0;
};

}  // namespace marigoldquay::testing

#endif  // MARIGOLDQUAY_SCHEDULING_TESTS_CELL_SIMULATION_H_
