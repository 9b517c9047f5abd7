#include "report.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace marigoldquay::bench {
namespace {

constexpr double kMiB = 1 << 20;

// Collects the requests of one workspace, or of all.
struct Collector {
  ServiceReport report;
  std::vector<double> first_token_ms;
  std::vector<double> gaps_ms;

  void Add(const Profile& profile, const OfflineBound& bound, const PlannedRequest& request,
           const RequestRecord& record) {
    const double cost = static_cast<double>(request.prompt_tokens) * bound.prefill_cost +
                        static_cast<double>(request.output_tokens);
    ++report.offered;
    if (request.within_rate) {
      ++report.offered_within_rate;
      report.demand_cost += cost;
    }
    if (record.tokens > 0) {
      first_token_ms.push_back(absl::ToDoubleMilliseconds(record.first_token));
    }
    gaps_ms.insert(gaps_ms.end(), record.gaps_ms.begin(), record.gaps_ms.end());
    if (!record.complete()) {
      ++report.causes[record.cause];
      const bool refused = record.status != 0 && record.status != 200;
      if (refused && request.within_rate) {
        ++report.refused_within_rate;
        if (record.cause == "over_rate") ++report.refused_within_rate_by_quota;
      }
      return;
    }
    ++report.completed;
    const auto gaps = static_cast<double>(std::max<std::int64_t>(1, record.tokens - 1));
    const double mean_gap =
        absl::ToDoubleMilliseconds(record.last_token - record.first_token) / gaps;
    if (absl::ToDoubleMilliseconds(record.first_token) > profile.first_token_ms ||
        mean_gap > profile.between_tokens_ms) {
      return;
    }
    ++report.good;
    report.good_tokens_per_s += static_cast<double>(request.output_tokens);
    report.good_cost += cost;
  }

  ServiceReport Finish(double seconds) {
    report.good_requests_per_s = static_cast<double>(report.good) / seconds;
    report.good_tokens_per_s /= seconds;
    report.first_token_ms = PercentilesOf(std::move(first_token_ms));
    report.gap_ms = PercentilesOf(std::move(gaps_ms));
    return std::move(report);
  }
};

// Weighted max-min fair shares of `capacity`: nobody gets more than its demand, and what one does
// not need goes to the others by weight.
std::vector<double> FairShares(const std::vector<ServiceReport>& workspaces, double capacity) {
  std::vector<double> shares(workspaces.size(), 0);
  std::vector<bool> satisfied(workspaces.size(), false);
  for (bool changed = true; changed;) {
    changed = false;
    double weights = 0;
    double left = capacity;
    for (std::size_t i = 0; i < workspaces.size(); ++i) {
      if (satisfied[i]) left -= shares[i];
      if (!satisfied[i]) weights += workspaces[i].weight;
    }
    for (std::size_t i = 0; i < workspaces.size(); ++i) {
      if (satisfied[i]) continue;
      shares[i] = left * workspaces[i].weight / weights;
      if (shares[i] < workspaces[i].demand_cost) continue;
      shares[i] = workspaces[i].demand_cost;
      satisfied[i] = changed = true;
    }
  }
  return shares;
}

void MeasureFairness(const OfflineBound& bound, double seconds, RunReport& report) {
  const std::vector<double> shares = FairShares(report.workspaces, report.total.good_cost);
  const double bound_cost =
      bound.requests_per_s * seconds *
      (bound.mean_prompt_tokens * bound.prefill_cost + bound.mean_output_tokens);
  const std::vector<double> bound_shares = FairShares(report.workspaces, bound_cost);
  // Without a share, a workspace that wanted something got nothing of it.
  const auto part = [](const ServiceReport& workspace, double whole) {
    if (whole > 0) return workspace.good_cost / whole;
    return workspace.demand_cost > 0 ? 0.0 : 1.0;
  };
  report.worst_share = report.worst_share_of_bound = std::numeric_limits<double>::infinity();
  for (std::size_t i = 0; i < report.workspaces.size(); ++i) {
    ServiceReport& workspace = report.workspaces[i];
    workspace.fair_cost = shares[i];
    workspace.fair_share = part(workspace, shares[i]);
    workspace.fair_share_of_bound = part(workspace, bound_shares[i]);
    report.worst_share_of_bound =
        std::min(report.worst_share_of_bound, workspace.fair_share_of_bound);
    if (workspace.fair_share >= report.worst_share) continue;
    report.worst_share = workspace.fair_share;
    report.worst_workspace = workspace.workspace;
  }
}

void MeasureRefusals(const WorkspaceId& excessive, RunReport& report) {
  double offered = 0;
  double refused = 0;
  double by_quota = 0;
  for (const ServiceReport& workspace : report.workspaces) {
    if (workspace.workspace == excessive) continue;
    offered += static_cast<double>(workspace.offered_within_rate);
    refused += static_cast<double>(workspace.refused_within_rate);
    by_quota += static_cast<double>(workspace.refused_within_rate_by_quota);
  }
  if (offered == 0) return;
  report.refused_within_rate = refused / offered;
  report.refused_by_quota = by_quota / offered;
}

// Part of the prefill work whose result was not used. The engines count cancelled results without
// their tokens, which are taken as average ones.
double WastedPrefill(const EngineCounts& engines) {
  if (engines.prefill_tokens == 0) return 0;
  const double mean =
      static_cast<double>(engines.prefill_tokens) / static_cast<double>(engines.prefills);
  return (static_cast<double>(engines.wasted_prefill_tokens) +
          mean * static_cast<double>(engines.cancelled_prefills)) /
         static_cast<double>(engines.prefill_tokens);
}

boost::json::object ToJson(const Percentiles& percentiles) {
  return {{"p50", percentiles.p50}, {"p95", percentiles.p95}, {"p99", percentiles.p99}};
}

boost::json::object ToJson(const OfflineBound& bound) {
  return {{"requests_per_s", bound.requests_per_s},
          {"output_tokens_per_s", bound.output_tokens_per_s},
          {"decode_requests_per_s", bound.decode},
          {"prefill_requests_per_s", bound.prefill},
          {"link_requests_per_s", bound.link},
          {"mean_prompt_tokens", bound.mean_prompt_tokens},
          {"mean_output_tokens", bound.mean_output_tokens},
          {"prefill_cost", bound.prefill_cost}};
}

boost::json::object ToJson(const ServiceReport& report) {
  boost::json::object causes;
  for (const auto& [cause, count] : report.causes) causes[cause] = count;
  return {{"workspace", report.workspace},
          {"weight", report.weight},
          {"offered", report.offered},
          {"offered_within_rate", report.offered_within_rate},
          {"completed", report.completed},
          {"good", report.good},
          {"goodput_requests_per_s", report.good_requests_per_s},
          {"goodput_tokens_per_s", report.good_tokens_per_s},
          {"fair_share", report.fair_share},
          {"fair_share_of_bound", report.fair_share_of_bound},
          {"refused_within_rate", report.refused_within_rate},
          {"refused_within_rate_by_quota", report.refused_within_rate_by_quota},
          {"causes", std::move(causes)},
          {"first_token_ms", ToJson(report.first_token_ms)},
          {"between_tokens_ms", ToJson(report.gap_ms)}};
}

template <class T>
boost::json::value OrNull(const std::optional<T>& value) {
  return value ? boost::json::value(*value) : boost::json::value(nullptr);
}

std::string CausesText(const ServiceReport& report) {
  std::string text;
  for (const auto& [cause, count] : report.causes) absl::StrAppend(&text, " ", cause, "=", count);
  return text.empty() ? " none" : text;
}

std::string Row(const ServiceReport& report) {
  return absl::StrFormat(
      "%-9s %6d %7d %6d %6d %8.2f %9.1f %6.2f %8.2f %8d %8d %7.0f %7.0f %7.0f %6.1f %6.1f\n",
      report.workspace, report.weight, report.offered, report.completed, report.good,
      report.good_requests_per_s, report.good_tokens_per_s, report.fair_share,
      report.fair_share_of_bound, report.refused_within_rate, report.refused_within_rate_by_quota,
      report.first_token_ms.p50, report.first_token_ms.p95, report.first_token_ms.p99,
      report.gap_ms.p50, report.gap_ms.p95);
}

}  // namespace

Percentiles PercentilesOf(std::vector<double> values) {
  if (values.empty()) return {};
  std::sort(values.begin(), values.end());
  const auto at = [&](double part) {
    const auto rank =
        static_cast<std::size_t>(std::ceil(part * static_cast<double>(values.size())));
    return values[std::max<std::size_t>(rank, 1) - 1];
  };
  return {at(0.5), at(0.95), at(0.99)};
}

RunReport Measure(const RunData& data) {
  RunReport report;
  const OfflineBound& bound = data.workload.bound;
  const double seconds = absl::ToDoubleSeconds(data.length - data.warmup);
  Collector total;
  total.report.workspace = "total";
  std::vector<Collector> collectors(data.profile.workspaces.size());
  for (std::size_t i = 0; i < collectors.size(); ++i) {
    collectors[i].report.workspace = data.profile.workspaces[i].id;
    collectors[i].report.weight = data.profile.workspaces[i].weight;
  }
  std::vector<double> lags;
  for (std::size_t i = 0; i < data.records.size(); ++i) {
    const PlannedRequest& request = data.workload.requests[i];
    if (request.at < data.warmup) continue;
    total.Add(data.profile, bound, request, data.records[i]);
    collectors[request.workspace].Add(data.profile, bound, request, data.records[i]);
    lags.push_back(absl::ToDoubleMilliseconds(data.records[i].start_lag));
  }
  report.profile = data.profile.name;
  report.seconds = seconds;
  report.bound = bound;
  report.total = total.Finish(seconds);
  for (Collector& collector : collectors) report.workspaces.push_back(collector.Finish(seconds));
  report.goodput_of_bound = report.total.good_requests_per_s / bound.requests_per_s;
  MeasureFairness(bound, seconds, report);
  report.wasted_prefill = WastedPrefill(data.engines);
  MeasureRefusals(data.has_excess ? data.profile.excessive_workspace : "", report);
  report.engines = data.engines;
  report.daemons = data.daemons;
  report.client_lag_ms = PercentilesOf(std::move(lags)).p99;
  return report;
}

const std::vector<Measurement>& ComparedMeasurements() {
  static const auto* const measurements = new std::vector<Measurement>{
      {"goodput_of_bound", "Goodput / offline bound",
       [](const RunReport& report) { return report.goodput_of_bound; }, 0.9},
      {"wasted_prefill", "Wasted prefill / prefill work",
       [](const RunReport& report) { return report.wasted_prefill; }, 0.01},
      {"worst_share", "Worst workspace / fair share",
       [](const RunReport& report) { return report.worst_share; }, 0.9},
      {"refused_within_rate", "Refused / requests within rate",
       [](const RunReport& report) { return report.refused_within_rate; }, 0},
      {"refused_by_quota", "Refused by quota / within rate",
       [](const RunReport& report) { return report.refused_by_quota; }, -1},
      {"worst_share_of_bound", "Worst workspace / fair share of bound",
       [](const RunReport& report) { return report.worst_share_of_bound; }, -1},
      {"goodput_requests_per_s", "Goodput, requests/s",
       [](const RunReport& report) { return report.total.good_requests_per_s; }, -1},
      {"goodput_tokens_per_s", "Goodput, tokens/s",
       [](const RunReport& report) { return report.total.good_tokens_per_s; }, -1},
      {"first_token_p95_ms", "First token p95, ms",
       [](const RunReport& report) { return report.total.first_token_ms.p95; }, -1},
      {"between_tokens_p95_ms", "Between tokens p95, ms",
       [](const RunReport& report) { return report.total.gap_ms.p95; }, -1},
      {"daemon_cpu_seconds", "Daemons' processor seconds",
       [](const RunReport& report) { return report.daemons.usage.cpu_seconds; }, -1}};
  return *measurements;
}

boost::json::object ToJson(const RunReport& report) {
  boost::json::array workspaces;
  for (const ServiceReport& workspace : report.workspaces) workspaces.push_back(ToJson(workspace));
  return {{"profile", report.profile},
          {"variant", report.variant},
          {"fault", report.fault},
          {"load", report.load},
          {"seed", report.seed},
          {"time_scale", report.time_scale},
          {"excess", report.excess},
          {"seconds", report.seconds},
          {"offline_bound", ToJson(report.bound)},
          {"goodput_of_bound", report.goodput_of_bound},
          {"wasted_prefill", report.wasted_prefill},
          {"worst_workspace", report.worst_workspace},
          {"worst_share", report.worst_share},
          {"worst_share_of_bound", report.worst_share_of_bound},
          {"refused_within_rate", report.refused_within_rate},
          {"refused_within_rate_by_quota", report.refused_by_quota},
          {"total", ToJson(report.total)},
          {"workspaces", std::move(workspaces)},
          {"engines",
           {{"prefills", report.engines.prefills},
            {"prefill_tokens", report.engines.prefill_tokens},
            {"wasted_prefills", report.engines.wasted_prefills},
            {"wasted_prefill_tokens", report.engines.wasted_prefill_tokens},
            {"cancelled_prefills", report.engines.cancelled_prefills},
            {"refusals", report.engines.refusals},
            {"decodes", report.engines.decodes},
            {"held_pieces_at_end", report.engines.held_pieces}}},
          {"daemons",
           {{"cpu_seconds", report.daemons.usage.cpu_seconds},
            {"resident_mib", static_cast<double>(report.daemons.usage.resident_bytes) / kMiB},
            {"max_resident_mib", static_cast<double>(report.daemons.max_resident_bytes) / kMiB},
            {"threads", report.daemons.usage.threads},
            {"inner_calls", OrNull(report.daemons.inner_calls)},
            {"inner_bytes", OrNull(report.daemons.inner_bytes)}}},
          {"machine_busy", report.machine_busy},
          {"client_lag_p99_ms", report.client_lag_ms}};
}

std::string ToText(const RunReport& report) {
  const OfflineBound& bound = report.bound;
  std::string text = absl::StrFormat(
      "%s, %s, load %.2f of the bound, excess %.1f, fault %s, seed %d, time scale %.2f, %.1f s\n"
      "offline bound %.1f requests/s, %.0f output tokens/s (decode %.1f, prefill %.1f, links %.1f; "
      "mean prompt %.0f, mean output %.0f tokens)\n",
      report.profile, report.variant, report.load, report.excess, report.fault, report.seed,
      report.time_scale, report.seconds, bound.requests_per_s, bound.output_tokens_per_s,
      bound.decode, bound.prefill, bound.link, bound.mean_prompt_tokens, bound.mean_output_tokens);
  absl::StrAppendFormat(&text, "%-9s %6s %7s %6s %6s %8s %9s %6s %8s %8s %8s %7s %7s %7s %6s %6s\n",
                        "workspace", "weight", "offered", "done", "good", "good/s", "tokens/s",
                        "share", "of bound", "ref.in", "by quota", "ft p50", "ft p95", "ft p99",
                        "gap50", "gap95");
  for (const ServiceReport& workspace : report.workspaces) text += Row(workspace);
  text += Row(report.total);
  absl::StrAppendFormat(
      &text,
      "goodput %.3f of the bound; wasted prefill %.4f; worst workspace %s gets %.2f of its fair "
      "share; refused within rate %.4f, by quota %.4f (excessive workspace not counted)\nnot "
      "completed:%s\n",
      report.goodput_of_bound, report.wasted_prefill, report.worst_workspace, report.worst_share,
      report.refused_within_rate, report.refused_by_quota, CausesText(report.total));
  const DaemonCounts& daemons = report.daemons;
  absl::StrAppendFormat(
      &text, "daemons: %.2f processor s, %.1f MiB resident (largest %.1f), %d threads",
      daemons.usage.cpu_seconds, static_cast<double>(daemons.usage.resident_bytes) / kMiB,
      static_cast<double>(daemons.max_resident_bytes) / kMiB, daemons.usage.threads);
  if (daemons.inner_calls) absl::StrAppend(&text, ", ", *daemons.inner_calls, " inner calls");
  if (daemons.inner_bytes) absl::StrAppend(&text, ", ", *daemons.inner_bytes, " inner bytes");
  absl::StrAppendFormat(&text,
                        "\nengines: %d prefills, %d refusals, %d blocks held at the end; machine "
                        "busy %.0f%%; requests started late by %.1f ms (p99)\n",
                        report.engines.prefills, report.engines.refusals,
                        report.engines.held_pieces, report.machine_busy * 100,
                        report.client_lag_ms);
  return text;
}

}  // namespace marigoldquay::bench
