// Reports to the coordinator.
#include <algorithm>
#include <memory>
#include <utility>

#include "marigoldquay/fleet/coordinator_link.h"
#include "wire.h"

namespace marigoldquay {
namespace {

using internal::ToWire;

// Maximum time between two reports.
constexpr absl::Duration kMaxReportInterval = absl::Seconds(1);
constexpr absl::Duration kMaxStoreContactAge = absl::Seconds(1);
constexpr absl::Duration kMaxReportedAge = absl::Hours(1);
// States whose age is known less well make a VM read the store although the coordinator's data are
// recent.
constexpr absl::Duration kMaxClockUncertainty = absl::Milliseconds(150);

}  // namespace

void CoordinatorLink::SendReport() {
  if (!connection_) return;
  protocol::FleetReportT report;
  report.sender = ToWire(hooks_.self());
  last_report_time_ = clock_.Now();
  report.leaving_servers.assign(leaving_servers_.begin(), leaving_servers_.end());
  leaving_servers_.clear();
  report.needs_servers = std::exchange(needs_servers_, false);
  const auto catalog = view_.catalog();
  report.catalog_version = catalog ? catalog->version() : 0;
  for (const auto& [account, tokens] : balances_.TakeUnreported()) {
    report.spent.push_back(ToWire(account, tokens));
  }
  const bool first = std::exchange(reported_session_, session_) != session_;
  AddStoreReport(report, first);
  AddRequestLimits(report, first);
  AddCrashReport(report, first);
  if (first) {
    report.member_count = static_cast<std::uint32_t>(member_count_);
    for (const auto& [account, tokens] : balances_.levels()) {
      report.levels.push_back(ToWire(account, tokens));
    }
  }
  connection_->Send(protocol::MessageType::FleetReport, 0, report);
}

void CoordinatorLink::AddStoreReport(protocol::FleetReportT& report, bool first) {
  const absl::Time now = clock_.Now();
  const DataOrigin origin = hooks_.own_origin();
  const absl::Duration age = std::min(now - origin.read_at, kMaxReportedAge);
  report.store_era = origin.era;
  report.store_age_ms = static_cast<std::uint32_t>(absl::ToInt64Milliseconds(age));
  report.state_sent_ms = state_sent_ms_;
  if (state_sent_ms_ != 0) {
    report.state_held_ms =
        static_cast<std::uint32_t>(absl::ToInt64Milliseconds(now - state_arrived_at_));
  }
  if (std::exchange(sends_catalog_, false)) {
    const std::string& record = view_.catalog_record();
    report.catalog.assign(record.begin(), record.end());
  }
  if (!first) return;
  for (const ServerDeparture& departure : view_.replicas().departures()) {
    report.departures.push_back(ToWire(departure));
  }
}

void CoordinatorLink::ProbeClock() {
  if (!connection_ || FeedsOthers() || clock_probe_ != 0 || state_sent_ms_ == 0 ||
      peer_clock_.uncertainty() <= kMaxClockUncertainty) {
    return;
  }
  clock_probe_ = next_call_++;
  clock_probe_sent_at_ = clock_.Now();
  // Charges nothing.
  connection_->Send(protocol::MessageType::PlaceStream, clock_probe_,
                    protocol::PlaceStreamRequestT());
}

void CoordinatorLink::AddRequestLimits(protocol::FleetReportT& report, bool first) {
  if (!first && servers_with_new_limit_.empty()) return;
  for (const StatedRequestLimit& stated : view_.replicas().stated_limits()) {
    if (!first && !servers_with_new_limit_.contains(stated.server)) continue;
    report.request_limits.push_back(ToWire(stated, clock_.Now()));
  }
  servers_with_new_limit_.clear();
}

void CoordinatorLink::AddCrashReport(protocol::FleetReportT& report, bool first) {
  const absl::Time now = clock_.Now();
  const std::size_t count = first ? crashes_.size() : std::exchange(unreported_crashes_, 0);
  for (auto crash = crashes_.end() - static_cast<std::ptrdiff_t>(count); crash != crashes_.end();
       ++crash) {
    report.crashes.push_back(ToWire(*crash, now));
  }
  for (const auto& [request, served_at] : std::exchange(served_requests_, {})) {
    protocol::ServedRequestT served;
    served.request = request;
    served.age_ms = static_cast<std::uint32_t>(absl::ToInt64Milliseconds(now - served_at));
    report.served.push_back(std::make_unique<protocol::ServedRequestT>(served));
  }
  if (!first) return;
  unreported_crashes_ = 0;
  report.quarantined = ToWire(quarantine_, now);
}

void CoordinatorLink::OnRequestLimit(const BackendServerId& server) {
  servers_with_new_limit_.insert(server);
  // Other VMs send requests to the server meanwhile.
  SendReport();
}

bool CoordinatorLink::ReportIsDue() const {
  if (balances_.has_unreported() || !leaving_servers_.empty() || needs_servers_) return true;
  const absl::Time now = clock_.Now();
  const bool reaches_store = now - hooks_.own_origin().read_at < kMaxStoreContactAge;
  // A coordinator that has lost the store hands over to a VM that can reach it.
  if (reaches_store && now - feed_origin_.read_at >= kStandbyMaxFeedAge) return true;
  return now - last_report_time_ >= kMaxReportInterval;
}

void CoordinatorLink::RunReports(Yield yield) {
  while (true) {
    SleepFor(io_, report_interval_, yield);
    if (ReportIsDue()) SendReport();
    ProbeClock();
    ProbePreferredCoordinator();
  }
}

}  // namespace marigoldquay
