// Sliding windows over the requests that a server got while it named a limit.
#include "request_limits.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>

#include "absl/strings/str_cat.h"

namespace marigoldquay::testing {
namespace {

constexpr absl::Duration kWindow = absl::Seconds(4);
// A VM may still send requests at its former pace for this long.
constexpr absl::Duration kReaction = absl::Milliseconds(500);
constexpr double kTolerance = 1.5;
constexpr double kSlack = 5;

/// Requests of one server since it began to name a limit.
class LimitWindow {
 public:
  /// Returns a text when the window that ends with this request holds too many.
  std::optional<std::string> Add(const ReplicaArrival& arrival) {
    if (!arrival.limit) {
      named_since_.reset();
      recent_.clear();
      return std::nullopt;
    }
    if (!named_since_) named_since_ = arrival.at;
    if (arrival.at < *named_since_ + kReaction) return std::nullopt;
    recent_.push_back(arrival);
    while (recent_.front().at <= arrival.at - kWindow) recent_.pop_front();
    if (arrival.at < *named_since_ + kLimitContact) return std::nullopt;
    double limit = 0;
    for (const auto& request : recent_) limit = std::max(limit, *request.limit);
    const double allowed = kTolerance * limit * absl::ToDoubleSeconds(kWindow) + kSlack;
    const auto count = static_cast<double>(recent_.size());
    if (count <= allowed) return std::nullopt;
    return absl::StrCat(arrival.replica, " with a limit of ", limit, " got ", count,
                        " requests in 4 s, allowed ", allowed, ", ",
                        absl::FormatDuration(arrival.at - *named_since_), " after naming it");
  }

 private:
  std::optional<absl::Time> named_since_;
  std::deque<ReplicaArrival> recent_;
};

}  // namespace

std::vector<std::string> CheckRequestLimits(const ReplicaLedger& seen,
                                            const std::vector<std::string>& excused) {
  const std::set<std::string> left_out(excused.begin(), excused.end());
  std::map<std::string, LimitWindow> windows;
  std::map<std::string, std::string> first_violation;
  for (const ReplicaArrival& arrival : seen.arrivals) {
    if (left_out.contains(arrival.request_id)) continue;
    const auto violation = windows[arrival.replica].Add(arrival);
    if (violation) first_violation.try_emplace(arrival.replica, *violation);
  }
  std::vector<std::string> violations;
  for (const auto& [replica, text] : first_violation) violations.push_back(text);
  return violations;
}

}  // namespace marigoldquay::testing
