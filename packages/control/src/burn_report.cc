// Burn rates and who needs attention.
#include "marigoldquay/control/burn_report.h"

#include <algorithm>
#include <array>
#include <map>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace marigoldquay {
namespace {

constexpr std::array<absl::Duration, 3> kWindows = {absl::Minutes(5), absl::Hours(1),
                                                    absl::Hours(6)};
constexpr std::array<const char*, 3> kWindowNames = {"5 min", "1 h", "6 h"};
// Budget of 30 days used within the long window: 2% in 1 h, 5% in 6 h.
constexpr double kNowBurn = 14.4;
constexpr double kSoonBurn = 6;
// A single slow request of a quiet workspace would already burn at the highest rate.
constexpr std::uint64_t kMinMissed = 5;
constexpr std::size_t kMaxNamed = 5;

double BurnRate(const BurnWindowCounts& counts) {
  return marigoldquay::BurnRate(counts.good, counts.total);
}

std::uint64_t Missed(const BurnWindowCounts& counts) { return counts.total - counts.good; }

AttentionLevel LevelOf(const std::vector<BurnWindowCounts>& windows) {
  const BurnWindowCounts& five_minutes = windows[0];
  const BurnWindowCounts& hour = windows[1];
  const BurnWindowCounts& six_hours = windows[2];
  if (BurnRate(hour) >= kNowBurn && BurnRate(five_minutes) >= kNowBurn &&
      Missed(hour) >= kMinMissed) {
    return AttentionLevel::kNow;
  }
  if (BurnRate(six_hours) >= kSoonBurn && BurnRate(hour) >= kSoonBurn &&
      Missed(six_hours) >= kMinMissed) {
    return AttentionLevel::kSoon;
  }
  return AttentionLevel::kNone;
}

const char* LevelName(AttentionLevel level) {
  switch (level) {
    case AttentionLevel::kNow:
      return "now";
    case AttentionLevel::kSoon:
      return "soon";
    case AttentionLevel::kNone:
      break;
  }
  return "none";
}

std::string Describe(const BurnReportLine& line) {
  std::string text =
      absl::StrCat(line.workspace, " ", line.target, " ", LevelName(line.level), " (burn");
  for (std::size_t i = 0; i < kWindows.size(); ++i) {
    absl::StrAppend(&text, i == 0 ? " " : ", ",
                    absl::StrFormat("%.1f over %s", BurnRate(line.windows[i]), kWindowNames[i]));
  }
  return text + ")";
}

}  // namespace

double BurnRate(std::uint64_t good, std::uint64_t total) {
  if (total == 0 || good >= total) return 0;
  return static_cast<double>(total - good) / static_cast<double>(total) / (1 - kBurnObjective);
}

BurnReport MakeBurnReport(const BurnAnswer& answer) {
  std::map<std::pair<WorkspaceId, std::string>, std::vector<BurnWindowCounts>> sums;
  for (const protocol::BurnSeriesT& series : answer.series) {
    auto& windows = sums[{series.workspace, series.target}];
    if (windows.empty()) {
      for (const absl::Duration window : kWindows) windows.push_back({window, 0, 0});
    }
    for (const auto& counts : series.windows) {
      if (!counts) continue;
      for (BurnWindowCounts& sum : windows) {
        if (sum.window != absl::Seconds(counts->window_s)) continue;
        sum.total += counts->total;
        sum.good += std::min(counts->good, counts->total);
      }
    }
  }
  BurnReport report{answer.vms_asked, answer.vms_answered, {}};
  for (auto& [key, windows] : sums) {
    const AttentionLevel level = LevelOf(windows);
    report.lines.push_back({key.first, key.second, std::move(windows), level});
  }
  std::stable_sort(report.lines.begin(), report.lines.end(), [](const auto& a, const auto& b) {
    return std::pair(a.level, BurnRate(a.windows[1])) > std::pair(b.level, BurnRate(b.windows[1]));
  });
  return report;
}

std::string BurnReport::Attention() const {
  std::string text = "needs attention: ";
  std::size_t named = 0;
  std::size_t urgent = 0;
  for (const BurnReportLine& line : lines) {
    if (line.level == AttentionLevel::kNone) continue;
    if (++urgent > kMaxNamed) continue;
    absl::StrAppend(&text, named++ == 0 ? "" : "; ", Describe(line));
  }
  if (urgent == 0) text += "nobody";
  if (urgent > kMaxNamed) absl::StrAppend(&text, "; and ", urgent - kMaxNamed, " more");
  if (vms_answered < vms_asked) {
    absl::StrAppend(&text, "; counts of ", vms_asked - vms_answered, " of ", vms_asked,
                    " VMs are missing");
  }
  return text;
}

std::string BurnReport::ToText() const {
  std::string text = absl::StrFormat("%-24s %-16s %8s %8s %8s %10s  %s\n", "workspace", "target",
                                     "5 min", "1 h", "6 h", "requests", "attention");
  for (const BurnReportLine& line : lines) {
    absl::StrAppendFormat(&text, "%-24s %-16s %8.1f %8.1f %8.1f %10d  %s\n", line.workspace,
                          line.target, BurnRate(line.windows[0]), BurnRate(line.windows[1]),
                          BurnRate(line.windows[2]), line.windows[2].total, LevelName(line.level));
  }
  return absl::StrCat(text, Attention(), "\n");
}

boost::json::object BurnReport::ToJson() const {
  boost::json::array series;
  for (const BurnReportLine& line : lines) {
    boost::json::array windows;
    for (const BurnWindowCounts& counts : line.windows) {
      windows.push_back({{"window_s", absl::ToInt64Seconds(counts.window)},
                         {"good", counts.good},
                         {"total", counts.total},
                         {"burn", BurnRate(counts)}});
    }
    series.push_back({{"workspace", line.workspace},
                      {"target", line.target},
                      {"windows", std::move(windows)},
                      {"level", LevelName(line.level)}});
  }
  return {{"objective", kBurnObjective},
          {"vms_asked", vms_asked},
          {"vms_answered", vms_answered},
          {"series", std::move(series)},
          {"attention", Attention()}};
}

std::vector<protocol::BurnSeriesT> ToWire(const std::vector<BurnCounts>& counts) {
  std::vector<protocol::BurnSeriesT> all;
  for (const BurnCounts& entry : counts) {
    protocol::BurnSeriesT series;
    series.workspace = entry.workspace;
    series.target = entry.target;
    for (const BurnWindowCounts& window : entry.windows) {
      auto wire = std::make_unique<protocol::BurnWindowT>();
      wire->window_s = static_cast<std::uint32_t>(absl::ToInt64Seconds(window.window));
      wire->good = window.good;
      wire->total = window.total;
      series.windows.push_back(std::move(wire));
    }
    all.push_back(std::move(series));
  }
  return all;
}

}  // namespace marigoldquay
