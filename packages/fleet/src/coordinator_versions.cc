// Coordinator: software versions that began the streams of a service.
#include <algorithm>

#include "marigoldquay/core/logger.h"
#include "marigoldquay/core/metrics.h"
#include "marigoldquay/fleet/coordinator.h"

namespace marigoldquay {
namespace {

// A caller comes back until its deadline, which the operator's timeout bounds. The rest is for
// streams that VMs with an older list of servers begin, and for clocks that differ.
constexpr absl::Duration kRecallSlack = absl::Seconds(10);
constexpr absl::Duration kMinRecall = absl::Seconds(30);
// Of routes without a timeout.
constexpr absl::Duration kUnlimitedRecall = absl::Seconds(60);
// An older list may name engines in an earlier start, so that the version of their streams is not
// certain.
constexpr absl::Duration kMaxRecordedListAge = absl::Milliseconds(1500);
constexpr absl::Duration kUnknownRetryAfter = absl::Milliseconds(500);
constexpr absl::Duration kNotYetRetryAfter = absl::Milliseconds(300);

const Logger& Log() {
  static const Logger logger("sched");
  return logger;
}

void CountTakeUp(const char* verdict) {
  MetricsRegistry::Global()
      .counter("marigoldquay_fleet_stream_take_ups_total",
               "Requests that take up a stream, by what is known of its software version.",
               {{"version", verdict}})
      .Increment();
}

absl::Duration RecallTimeOf(const CatalogContents& contents, const std::string& service) {
  absl::Duration longest = absl::ZeroDuration();
  for (const CatalogRoute& route : contents.routes) {
    const bool leads_there =
        std::any_of(route.services.begin(), route.services.end(),
                    [&](const auto& weighted) { return weighted.service == service; });
    if (leads_there && route.kind == RequestKind::kStream) {
      longest = std::max(longest, route.timeout);
    }
  }
  if (longest == absl::InfiniteDuration()) return kUnlimitedRecall;
  return std::max(longest + kRecallSlack, kMinRecall);
}

}  // namespace

void Coordinator::UpdateVersions(const Catalog& catalog) {
  for (const CatalogService& service : catalog.contents().services) {
    if (!service.engine) continue;
    versions_.SetRecallTime(service.name, RecallTimeOf(catalog.contents(), service.name));
    versions_.SetListed(service.name, view_.replicas().FindReady(service.name), clock_.Now());
  }
}

std::vector<Replica> Coordinator::AdmittedEngines(const std::string& service) {
  std::vector<Replica> engines = view_.replicas().FindReady(service);
  std::erase_if(engines, [&](const Replica& engine) {
    if (versions_.MayBegin(service, engine.software_version, clock_.Now())) return false;
    gated_engines_.insert(engine.id);
    return true;
  });
  return engines;
}

void Coordinator::OnVersionsAdmitted() {
  if (!gated_engines_.empty()) OnClusterChange();
}

bool Coordinator::RequireOrigin(const protocol::PlaceStreamRequestT& request, StreamDemand& demand,
                                protocol::PlaceStreamReplyT& refusal) {
  if (!request.is_take_up || demand.software_version) return true;
  NoteListRead();
  const absl::Time now = clock_.Now();
  const absl::Time taken_up_at = now - absl::Milliseconds(request.take_up_age_ms);
  const auto resolution = versions_.Resolve(request.service, request.resumes, taken_up_at, now);
  refusal.status = protocol::PlaceStreamStatus::Refused;
  switch (resolution.verdict) {
    case VersionResolution::Verdict::kKnown:
      demand.software_version = resolution.version;
      refusal.status = protocol::PlaceStreamStatus::Granted;
      CountTakeUp("known");
      return true;
    case VersionResolution::Verdict::kUnknown:
      refusal.reason = kUnknownOriginReason;
      refusal.retry_after_ms =
          static_cast<std::uint32_t>(absl::ToInt64Milliseconds(kUnknownRetryAfter));
      CountTakeUp("unknown");
      break;
    case VersionResolution::Verdict::kNotYet:
      refusal.reason =
          "the software versions in the store have not been read since the request came";
      refusal.provisional = true;
      refusal.retry_after_ms =
          static_cast<std::uint32_t>(absl::ToInt64Milliseconds(kNotYetRetryAfter));
      CountTakeUp("not_read_yet");
      break;
  }
  LogFields fields;
  fields.Add("request_id", request.request_id)
      .Add("resumes", request.resumes)
      .Add("service", request.service)
      .Add("reason", refusal.reason);
  Log().Event("take_up_refused", fields);
  return false;
}

void Coordinator::RecordOrigin(const std::string& service, const std::string& request_id,
                               const StreamDecision& decision) {
  if (decision.verdict != StreamVerdict::kGranted) return;
  const Replica* decode = view_.replicas().Find(decision.decode);
  if (decode == nullptr) return;
  // The engine may have started again at another version since.
  if (clock_.Now() - hooks_.servers_origin().read_at > kMaxRecordedListAge) return;
  versions_.Record(service, request_id, decode->software_version, decode->id, clock_.Now());
}

void Coordinator::RecordBegin(const std::string& service, std::uint64_t ticket) {
  const auto request = SchedulerFor(service).RequestOf(ticket);
  if (request) versions_.OnBegun(service, *request);
}

// A VM that got the grant too late has placed the request on its own, perhaps at another version.
void Coordinator::WithdrawOrigin(const std::string& service, std::uint64_t ticket) {
  const auto request = SchedulerFor(service).RequestWithoutEvents(ticket);
  if (request) versions_.Withdraw(service, *request);
}

}  // namespace marigoldquay
