// Service-level burn per workspace and target. The burn rate is the fraction of
// requests that missed the target divided by the error budget, so that 1 uses
// up the budget exactly.
#ifndef MARIGOLDQUAY_CONTROL_BURN_REPORT_H_
#define MARIGOLDQUAY_CONTROL_BURN_REPORT_H_

#include <boost/json.hpp>
#include <string>
#include <vector>

#include "marigoldquay/control/operator_backend.h"
#include "marigoldquay/core/burn_recorder.h"
#include "marigoldquay/core/types.h"

namespace marigoldquay {

/// Fraction of requests that must meet their target.
inline constexpr double kBurnObjective = 0.95;

/// Burn rate of good of total requests; 0 without requests.
double BurnRate(std::uint64_t good, std::uint64_t total);

/// How soon the budget will be gone, by the multi-window rule of the Site Reliability Workbook
/// (Beyer et al., 2018, chapter 5).
enum class AttentionLevel {
  kNone,
  /// 6 or more over 6 h and over 1 h.
  kSoon,
  /// 14.4 or more over 1 h and over 5 min.
  kNow,
};

struct BurnReportLine {
  WorkspaceId workspace;
  std::string target;
  /// 5 min, 1 h and 6 h.
  std::vector<BurnWindowCounts> windows;
  AttentionLevel level = AttentionLevel::kNone;

  bool operator==(const BurnReportLine&) const = default;
};

struct BurnReport {
  int vms_asked = 0;
  int vms_answered = 0;
  /// Most urgent first.
  std::vector<BurnReportLine> lines;

  /// One line that says who needs attention.
  std::string Attention() const;
  /// A table and the line of Attention.
  std::string ToText() const;
  boost::json::object ToJson() const;
};

/// Adds up the counts of all VMs.
BurnReport MakeBurnReport(const BurnAnswer& answer);

/// Counts of this VM in their wire form, for the Burn call.
std::vector<protocol::BurnSeriesT> ToWire(const std::vector<BurnCounts>& counts);

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_CONTROL_BURN_REPORT_H_
