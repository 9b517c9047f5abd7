// Judges the record of a trial of a large fleet.
#include "large_fleet.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace marigoldquay::testing {
namespace {

// Callers give up after this; what ends later was not closed by the VM.
constexpr absl::Duration kCallerTime = absl::Seconds(4);

std::size_t CountBetween(const std::vector<absl::Time>& sorted, absl::Time after, absl::Time to) {
  const auto first = std::upper_bound(sorted.begin(), sorted.end(), after);
  const auto last = std::upper_bound(sorted.begin(), sorted.end(), to);
  return first < last ? static_cast<std::size_t>(std::distance(first, last)) : 0;
}

std::string Text(absl::Time time) {
  return absl::FormatTime("%H:%M:%E3S", time, absl::UTCTimeZone());
}

void Observe(Latest& latest, absl::Duration lateness, const std::string& what) {
  if (lateness <= latest.lateness) return;
  latest = {lateness, what};
}

class Judgement {
 public:
  Judgement(const FleetRecord& record, const FaultLog& faults) : record_(record), faults_(faults) {
    for (const FleetCall& call : record_.calls) by_id_[call.id] = &call;
    for (const ReplicaArrival& arrival : record_.seen.arrivals) arrived_.insert(arrival.request_id);
  }

  FleetVerdict Judge() {
    for (const FleetCall& call : record_.calls) JudgeCall(call);
    JudgeDrain();
    JudgeBudget(true);
    JudgeBudget(false);
    JudgeQuota();
    return verdict_;
  }

 private:
  bool InTouch(const FleetCall& call, absl::Time to) const {
    return !faults_.Touches(call.vm, call.sent, to, record_.bounds.contact);
  }

  void JudgeCall(const FleetCall& call) {
    ++verdict_.calls;
    if (call.status == 200 && call.whole) ++verdict_.served;
    if (call.status == 429) ++verdict_.limited;
    if (call.status == 503) ++verdict_.unavailable;
    if (!call.whole) JudgeUnanswered(call);
    const bool refused = call.status == 401 || call.status == 403 || call.status == 404;
    if (refused) JudgeRefusal(call);
    if (call.status == 200) JudgeServed(call);
  }

  void JudgeUnanswered(const FleetCall& call) {
    ++verdict_.unanswered;
    const bool gave_up = call.ended - call.sent >= kCallerTime;
    if (!gave_up && arrived_.contains(call.id) && InTouch(call, call.ended)) ++verdict_.lost;
  }

  void JudgeRefusal(const FleetCall& call) {
    const absl::Time allowed = std::max(call.route->added, call.key->added);
    const absl::Time dropped = std::min(call.route->drop_sent, call.key->drop_sent);
    if (call.ended >= dropped) return;
    if (allowed == absl::InfinitePast()) {
      ++verdict_.refused_always_allowed;
      return;
    }
    if (!InTouch(call, call.ended)) return;
    const absl::Duration lateness = call.sent - allowed;
    Observe(verdict_.latest_refusal, lateness,
            absl::StrCat("vm-", call.vm, " ", call.status, " ", call.route->name, " ",
                         Text(call.sent)));
    if (lateness > record_.bounds.apply) ++verdict_.late_refusals;
  }

  void JudgeServed(const FleetCall& call) {
    const absl::Time dropped = std::min(call.route->dropped, call.key->dropped);
    if (dropped == absl::InfiniteFuture() || !InTouch(call, call.ended)) return;
    const absl::Duration lateness = call.sent - dropped;
    Observe(verdict_.latest_served, lateness,
            absl::StrCat("vm-", call.vm, " ", call.route->name, " ", Text(call.sent)));
    if (lateness > record_.bounds.apply) ++verdict_.late_served;
  }

  void JudgeDrain() {
    for (const ReplicaArrival& arrival : record_.seen.arrivals) {
      const auto call = by_id_.find(arrival.request_id);
      if (call == by_id_.end() || !InTouch(*call->second, arrival.at)) continue;
      for (const LeftServer& left : record_.left) {
        if (left.id != arrival.replica || arrival.at >= left.back) continue;
        const absl::Duration lateness = arrival.at - left.acknowledged;
        Observe(verdict_.latest_drained, lateness,
                absl::StrCat("vm-", call->second->vm, " ", left.id, " ", Text(arrival.at)));
        if (lateness > record_.bounds.drain) ++verdict_.late_drained;
      }
    }
  }

  // Arrivals beyond the first of each request; the first one that only has the prompt read is free.
  std::vector<const ReplicaArrival*> Repeats(bool plain) const {
    std::vector<const ReplicaArrival*> repeats;
    std::set<std::pair<std::string, bool>> first;
    for (const ReplicaArrival& arrival : record_.seen.arrivals) {
      if (absl::StartsWith(arrival.replica, record_.plain_prefix) != plain) continue;
      if (!first.emplace(arrival.request_id, arrival.prefill).second) repeats.push_back(&arrival);
    }
    return repeats;
  }

  void JudgeBudget(bool plain) {
    const FleetBounds& bounds = record_.bounds;
    std::vector<absl::Time> sent;
    for (const FleetCall& call : record_.calls) {
      if ((call.route->service == "desk") == plain) sent.push_back(call.sent);
    }
    std::sort(sent.begin(), sent.end());
    std::vector<absl::Time> repeats;
    for (const ReplicaArrival* repeat : Repeats(plain)) repeats.push_back(repeat->at);
    for (const absl::Time end : repeats) {
      const absl::Time begin = end - bounds.budget_window;
      const auto extra = static_cast<double>(CountBetween(repeats, begin, end));
      std::size_t requests = 0;
      for (const double shift : {0.0, 0.5, 1.0}) {
        const absl::Duration back = shift * bounds.budget_window;
        requests = std::max(requests, CountBetween(sent, begin - back, end - back));
      }
      const double allowed =
          bounds.budget_ratio * static_cast<double>(requests) + bounds.budget_burst;
      if (extra / allowed <= verdict_.budget_used) continue;
      verdict_.budget_used = extra / allowed;
      verdict_.budget_detail = absl::StrCat(plain ? "desk " : "model ", extra, " of ", allowed,
                                            " until ", Text(end), DescribeRepeats(plain, end));
    }
  }

  // Who sent the repeats of a window, and how many of them only had the prompt read.
  std::string DescribeRepeats(bool plain, absl::Time end) const {
    std::size_t prefills = 0;
    std::map<int, int> of_vm;
    for (const ReplicaArrival* repeat : Repeats(plain)) {
      if (repeat->at > end || repeat->at <= end - record_.bounds.budget_window) continue;
      prefills += repeat->prefill ? 1 : 0;
      const auto call = by_id_.find(repeat->request_id);
      if (call != by_id_.end()) ++of_vm[call->second->vm];
    }
    int most = 0;
    for (const auto& [vm, count] : of_vm) most = std::max(most, count);
    return absl::StrCat(", prefill ", prefills, ", by ", of_vm.size(), " VMs, at most ", most);
  }

  // Sent and started times of the runs of each limited workspace.
  std::map<std::string, std::vector<std::pair<absl::Time, absl::Time>>> LimitedRuns() const {
    std::map<std::string, std::vector<std::pair<absl::Time, absl::Time>>> runs;
    for (const ReplicaRun& run : record_.seen.runs) {
      const auto call = by_id_.find(run.request_id);
      if (call == by_id_.end() || call->second->limited_workspace.empty()) continue;
      runs[call->second->limited_workspace].emplace_back(call->second->sent, run.started);
    }
    return runs;
  }

  void JudgeQuota() {
    constexpr double kTokensPerCall = 100;
    const FleetBounds& bounds = record_.bounds;
    const double window = absl::ToDoubleSeconds(bounds.quota_window);
    const double allowed =
        (bounds.quota_rate * window + bounds.quota_burst) * (1 + bounds.quota_tolerance) +
        bounds.quota_slack;
    for (auto& [workspace, runs] : LimitedRuns()) {
      std::vector<std::pair<absl::Time, absl::Time>> sorted = runs;
      std::sort(sorted.begin(), sorted.end());
      for (std::size_t i = 0; i < sorted.size(); ++i) {
        const absl::Time end = sorted[i].first + bounds.quota_window;
        double tokens = 0;
        for (std::size_t j = i; j < sorted.size() && sorted[j].first <= end; ++j) {
          if (sorted[j].second <= end) tokens += kTokensPerCall;
        }
        verdict_.quota_used = std::max(verdict_.quota_used, tokens / allowed);
      }
    }
  }

  const FleetRecord& record_;
  const FaultLog& faults_;
  std::map<std::string, const FleetCall*> by_id_;
  std::set<std::string> arrived_;
  FleetVerdict verdict_;
};

}  // namespace

void FaultLog::Begin(int vm) {
  const std::lock_guard lock(mutex_);
  faults_.push_back({vm, absl::Now()});
}

void FaultLog::End(int vm) {
  const std::lock_guard lock(mutex_);
  for (Fault& fault : faults_) {
    if (fault.vm == vm) fault.to = std::min(fault.to, absl::Now());
  }
}

void FaultLog::Add(int vm, absl::Time from, absl::Time to) {
  const std::lock_guard lock(mutex_);
  faults_.push_back({vm, from, to});
}

bool FaultLog::Touches(int vm, absl::Time from, absl::Time to, absl::Duration contact) const {
  const std::lock_guard lock(mutex_);
  return std::any_of(faults_.begin(), faults_.end(), [&](const Fault& fault) {
    return fault.vm == vm && fault.from <= to && from <= fault.to + contact;
  });
}

std::size_t FaultLog::size() const {
  const std::lock_guard lock(mutex_);
  return faults_.size();
}

std::string FleetVerdict::ToString() const {
  return absl::StrCat("calls ", calls, ", served ", served, ", 429 ", limited, ", 503 ",
                      unavailable, ", unanswered ", unanswered, "; CONFIG refused ", late_refusals,
                      ", served ", late_served, "; DENIED always allowed ", refused_always_allowed,
                      "; DRAIN ", late_drained, "; LOST ", lost, "; BUDGET ", budget_used, " (",
                      budget_detail, "), QUOTA ", quota_used, " of the bound; latest refusal ",
                      absl::FormatDuration(latest_refusal.lateness), " ", latest_refusal.what,
                      "; latest served ", absl::FormatDuration(latest_served.lateness), " ",
                      latest_served.what, "; latest drained ",
                      absl::FormatDuration(latest_drained.lateness), " ", latest_drained.what);
}

FleetVerdict Judge(const FleetRecord& record, const FaultLog& faults) {
  return Judgement(record, faults).Judge();
}

}  // namespace marigoldquay::testing
