// Scheduling calls to other VMs.
#include "marigoldquay/scheduling/rpc_scheduler_client.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "marigoldquay/core/logger.h"
#include "marigoldquay/core/metrics.h"
#include "placement_wire.h"

namespace marigoldquay {
namespace {

const Logger& Log() {
  static const Logger logger("sched");
  return logger;
}

Counter& DroppedReports() {
  static Counter& counter = MetricsRegistry::Global().counter(
      "marigoldquay_sched_reports_dropped_total",
      "Progress and release reports that were not delivered to a scheduler.");
  return counter;
}

}  // namespace

RpcSchedulerClient::RpcSchedulerClient(SchedulerService& local, RpcClient& rpc,
                                       const MemberView& members, const Clock& clock,
                                       SchedulerClientOptions options)
    : local_(local),
      rpc_(rpc),
      members_(members),
      clock_(clock),
      options_(options),
      pool_({.interval = absl::ZeroDuration(), .max_backoff = absl::Milliseconds(500)}, clock,
            [this](const std::string& vm) { return Drain(vm); }) {}

RpcSchedulerClient::~RpcSchedulerClient() { pool_.Stop(); }

Placement RpcSchedulerClient::Acquire(const PlacementRequest& request,
                                      const std::function<bool()>& cancelled) {
  const auto start = clock_.Now();
  const auto patience = request.serve_late
                            ? std::max(options_.max_late_wait, request.first_token_budget)
                            : request.first_token_budget;
  Placement placement{.pool = request.pool, .message = "no scheduler answered"};
  int asked = 0;
  for (const auto& member : members_.RankFor(CellKey(request.pool))) {
    const auto elapsed = clock_.Now() - start;
    if (++asked > options_.max_schedulers || elapsed > patience) break;
    if (cancelled && cancelled()) {
      placement.outcome = PlacementOutcome::kCancelled;
      return placement;
    }
    auto remaining = request;
    remaining.first_token_budget =
        std::max(request.first_token_budget - elapsed, absl::ZeroDuration());
    const auto timeout = patience - elapsed + options_.call_slack;
    if (member.instance == members_.self()) {
      placement = local_.Acquire(remaining, members_.self(), cancelled, timeout);
      // Unavailable here means that another VM schedules this cell or that it has no servers.
      if (placement.outcome != PlacementOutcome::kUnavailable) return placement;
      continue;
    }
    bool try_next = false;
    placement = AskRemote(member, remaining, timeout, cancelled, try_next);
    if (!try_next) return placement;
  }
  return placement;
}

Placement RpcSchedulerClient::AskRemote(const Member& member, const PlacementRequest& request,
                                        absl::Duration timeout,
                                        const std::function<bool()>& cancelled, bool& try_next) {
  const auto& vm = member.instance.vm;
  bool lost = false;
  // The request waits in the scheduler's queue for most of this call, so a scheduler that dies
  // without closing the connection is noticed by its missing heartbeats.
  const auto stop = [&] {
    if (cancelled && cancelled()) return true;
    lost = !members_.IsMember(member.instance) || !members_.health(vm).responsive;
    return lost;
  };
  const auto call = [&]() -> Result<Placement> {
    BOOST_LEAF_AUTO(reply,
                    CallPeer<protocol::AcquireReplyT>(
                        rpc_, member.inner_address, protocol::MessageType::Acquire,
                        ToWire(request, members_.self()), {.timeout = timeout, .cancelled = stop}));
    return FromWire(reply, request.pool, vm);
  };
  return HandleError(
      [&]() -> Result<Placement> {
        BOOST_LEAF_AUTO(placement, call());
        try_next = placement.outcome == PlacementOutcome::kUnavailable;
        return placement;
      },
      [&](const Error& error) {
        Placement failed{.pool = request.pool, .scheduler = vm, .message = error.ToString()};
        if (error.code == ErrorCode::kCancelled && !lost) {
          failed.outcome = PlacementOutcome::kCancelled;
        } else {
          try_next = true;
          Log().Info("request ", request.request_id, " not placed by ", vm, ": ", error.ToString());
        }
        return failed;
      });
}

void RpcSchedulerClient::PrefillDone(const Placement& placement, TokenCount cached_tokens,
                                     absl::Duration duration) {
  if (placement.scheduler == members_.self().vm) {
    local_.PrefillDone(placement.pool, placement.ticket, cached_tokens, duration);
    return;
  }
  protocol::ProgressRequestT report;
  report.ticket = placement.ticket;
  report.pool = placement.pool;
  report.step = protocol::ProgressStep::PrefillDone;
  report.cached_tokens = cached_tokens;
  report.duration_us = ToWireUs(duration);
  Enqueue(placement.scheduler, protocol::MessageType::Progress, EncodeMessage(report));
}

void RpcSchedulerClient::FirstToken(const Placement& placement, absl::Duration since_prefill_done) {
  if (placement.scheduler == members_.self().vm) {
    local_.FirstToken(placement.pool, placement.ticket, since_prefill_done);
    return;
  }
  protocol::ProgressRequestT report;
  report.ticket = placement.ticket;
  report.pool = placement.pool;
  report.step = protocol::ProgressStep::FirstToken;
  report.duration_us = ToWireUs(since_prefill_done);
  Enqueue(placement.scheduler, protocol::MessageType::Progress, EncodeMessage(report));
}

void RpcSchedulerClient::Release(const Placement& placement, PlacementEnd end,
                                 TokenCount output_tokens, absl::Duration decode_duration) {
  if (!placement.granted()) return;
  if (placement.scheduler == members_.self().vm) {
    local_.Release(placement.pool, placement.ticket, end, output_tokens, decode_duration);
    return;
  }
  protocol::ReleaseRequestT report;
  report.ticket = placement.ticket;
  report.pool = placement.pool;
  report.cause = static_cast<protocol::ReleaseCause>(end);
  report.output_tokens = output_tokens;
  report.decode_duration_us = ToWireUs(decode_duration);
  Enqueue(placement.scheduler, protocol::MessageType::Release, EncodeMessage(report));
}

void RpcSchedulerClient::Enqueue(const VmId& vm, protocol::MessageType type, std::string payload) {
  {
    absl::MutexLock lock(&mutex_);
    if (pending_ >= options_.max_reports) {
      DroppedReports().Increment();
      return;
    }
    reports_[vm].push_back({clock_.Now() + options_.report_lifetime, type, std::move(payload)});
    ++pending_;
  }
  pool_.Add(vm);
}

TaskOutcome RpcSchedulerClient::Drain(const VmId& vm) {
  while (true) {
    Report report;
    const auto member = members_.FindMember(vm);
    {
      absl::MutexLock lock(&mutex_);
      auto& queue = reports_[vm];
      // A scheduler that is gone has lost its tickets; its successor learns from load reports.
      while (!queue.empty() && (!member || queue.front().expires <= clock_.Now())) {
        queue.pop_front();
        --pending_;
        DroppedReports().Increment();
      }
      if (queue.empty()) {
        reports_.erase(vm);
        return TaskOutcome::kFinished;
      }
      report = queue.front();
    }
    const bool delivered = HandleError(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(rpc_.Call(member->inner_address, report.type, report.payload,
                                     {.timeout = options_.report_timeout}));
          return true;
        },
        [&](const Error& error) {
          Log().Debug("report to ", vm, " not delivered: ", error.ToString());
          // Any other error is the scheduler's answer; sending again would not change it.
          return error.code != ErrorCode::kNotSent && error.code != ErrorCode::kTimeout &&
                 error.code != ErrorCode::kUnavailable;
        });
    if (!delivered) return TaskOutcome::kFailed;
    absl::MutexLock lock(&mutex_);
    reports_[vm].pop_front();
    --pending_;
  }
}

bool RpcSchedulerClient::WaitIdle(absl::Duration timeout) const {
  absl::MutexLock lock(&mutex_);
  return mutex_.AwaitWithTimeout(absl::Condition(this, &RpcSchedulerClient::Idle), timeout);
}

}  // namespace marigoldquay
