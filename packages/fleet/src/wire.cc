// Conversions between protocol messages and fleet types.
#include "wire.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace marigoldquay::internal {
namespace {

// Values of BackendEntry.role; other values leave the role unset.
constexpr std::uint8_t kWirePrefill = 1;
constexpr std::uint8_t kWireDecode = 2;
// Value of RequestLimit.per_second of a server without a limit.
constexpr double kWireNoLimit = -1;

}  // namespace

std::unique_ptr<protocol::FleetMemberT> ToWire(const FleetMember& member) {
  auto wire = std::make_unique<protocol::FleetMemberT>();
  wire->instance = marigoldquay::ToWire(member.instance);
  wire->started_unix_ms = member.started_unix_ms;
  wire->availability_zone = member.availability_zone;
  wire->inner_address = member.inner_address;
  wire->caller_address = member.caller_address;
  wire->capacity = static_cast<std::uint32_t>(member.capacity);
  wire->ready = member.ready;
  return wire;
}

FleetMember FromWire(const protocol::FleetMemberT& wire) {
  FleetMember member;
  member.instance = marigoldquay::FromWire(*wire.instance);
  member.started_unix_ms = wire.started_unix_ms;
  member.availability_zone = wire.availability_zone;
  member.inner_address = wire.inner_address;
  member.caller_address = wire.caller_address;
  member.capacity = static_cast<int>(wire.capacity);
  member.ready = wire.ready;
  return member;
}

std::unique_ptr<protocol::RequestLimitT> ToWire(const StatedRequestLimit& stated, absl::Time now) {
  auto wire = std::make_unique<protocol::RequestLimitT>();
  wire->server = stated.server;
  wire->started_unix_ms = stated.started_unix_ms;
  wire->per_second = stated.limit.per_second.value_or(kWireNoLimit);
  wire->age_ms = absl::ToInt64Milliseconds(now - stated.limit.stated_at);
  return wire;
}

StatedRequestLimit FromWire(const protocol::RequestLimitT& wire, absl::Time now) {
  StatedRequestLimit stated;
  stated.server = wire.server;
  stated.started_unix_ms = wire.started_unix_ms;
  if (wire.per_second >= 0) stated.limit.per_second = wire.per_second;
  stated.limit.stated_at = now - absl::Milliseconds(wire.age_ms);
  return stated;
}

void LogCrash(const Logger& logger, const ServerCrash& crash,
              const std::optional<QuarantinedTraits>& quarantined) {
  const auto in_hex = [](std::string* out, RequestTrait trait) {
    absl::StrAppend(out, absl::Hex(trait, absl::kZeroPad16));
  };
  LogFields fields;
  fields.Add("backend_server", crash.server)
      .Add("parts", absl::StrJoin(crash.parts, ",", in_hex))
      .Add("request", absl::StrCat(absl::Hex(crash.request, absl::kZeroPad16)))
      .Add("quarantined", quarantined ? absl::StrJoin(quarantined->traits, ",", in_hex) : "");
  logger.Event("backend_server_crash", fields, LogLevel::kWarn);
}

std::unique_ptr<protocol::ServerCrashT> ToWire(const ServerCrash& crash, absl::Time now) {
  auto wire = std::make_unique<protocol::ServerCrashT>();
  wire->server = crash.server;
  wire->parts = crash.parts;
  wire->request = crash.request;
  wire->age_ms = absl::ToInt64Milliseconds(now - crash.at);
  return wire;
}

ServerCrash FromWire(const protocol::ServerCrashT& wire, absl::Time now) {
  ServerCrash crash;
  crash.server = wire.server;
  crash.parts = wire.parts;
  crash.request = wire.request;
  crash.at = now - absl::Milliseconds(std::max<std::int64_t>(wire.age_ms, 0));
  return crash;
}

std::vector<std::unique_ptr<protocol::QuarantinedTraitsT>> ToWire(
    const RequestQuarantine& quarantine, absl::Time now) {
  std::vector<std::unique_ptr<protocol::QuarantinedTraitsT>> wires;
  for (const QuarantinedTraits& quarantined : quarantine.quarantined(now)) {
    auto wire = std::make_unique<protocol::QuarantinedTraitsT>();
    wire->traits = quarantined.traits;
    wire->left_ms = static_cast<std::uint32_t>(absl::ToInt64Milliseconds(quarantined.until - now));
    wires.push_back(std::move(wire));
  }
  return wires;
}

QuarantinedTraits FromWire(const protocol::QuarantinedTraitsT& wire, absl::Time now) {
  return {wire.traits, now + absl::Milliseconds(wire.left_ms)};
}

std::unique_ptr<protocol::ServerDepartureT> ToWire(const ServerDeparture& departure) {
  auto wire = std::make_unique<protocol::ServerDepartureT>();
  wire->server = departure.server;
  wire->started_unix_ms = departure.started_unix_ms;
  wire->sequence = departure.sequence;
  wire->removed = departure.removed;
  return wire;
}

ServerDeparture FromWire(const protocol::ServerDepartureT& wire) {
  return {wire.server, wire.started_unix_ms, wire.sequence, wire.removed};
}

std::unique_ptr<protocol::BackendEntryT> ToWire(const Replica& replica, absl::Time now) {
  auto wire = std::make_unique<protocol::BackendEntryT>();
  wire->id = replica.id;
  wire->service = replica.service;
  wire->address = replica.address;
  wire->availability_zone = replica.availability_zone;
  wire->slots = replica.slots;
  wire->draining = replica.draining;
  if (replica.role) wire->role = *replica.role == EngineRole::kPrefill ? kWirePrefill : kWireDecode;
  wire->started_unix_ms = replica.started_unix_ms;
  wire->software_version = replica.software_version;
  wire->sequence = replica.sequence;
  if (replica.request_limit.stated_at != absl::InfinitePast()) {
    wire->request_limit =
        ToWire(StatedRequestLimit{replica.id, replica.started_unix_ms, replica.request_limit}, now);
  }
  return wire;
}

Replica FromWire(const protocol::BackendEntryT& wire, absl::Time now) {
  Replica replica;
  replica.id = wire.id;
  replica.service = wire.service;
  replica.address = wire.address;
  replica.availability_zone = wire.availability_zone;
  replica.slots = wire.slots;
  replica.draining = wire.draining;
  replica.sequence = wire.sequence;
  if (wire.role == kWirePrefill) replica.role = EngineRole::kPrefill;
  if (wire.role == kWireDecode) replica.role = EngineRole::kDecode;
  replica.started_unix_ms = wire.started_unix_ms;
  replica.software_version = wire.software_version;
  if (wire.request_limit) replica.request_limit = FromWire(*wire.request_limit, now).limit;
  return replica;
}

std::unique_ptr<protocol::AccountTokensT> ToWire(const QuotaAccount& account, TokenCount tokens) {
  auto wire = std::make_unique<protocol::AccountTokensT>();
  wire->account = account.name;
  wire->tokens = tokens;
  wire->is_server = account.kind == QuotaAccount::Kind::kBackendServer;
  return wire;
}

QuotaAccount AccountFromWire(const protocol::AccountTokensT& wire) {
  const auto kind =
      wire.is_server ? QuotaAccount::Kind::kBackendServer : QuotaAccount::Kind::kWorkspace;
  return {kind, wire.account};
}

std::optional<AccountQuota> FindQuota(const ClusterView& view, const QuotaAccount& account) {
  if (account.kind == QuotaAccount::Kind::kBackendServer) {
    const Replica* server = view.replicas().Find(account.name);
    return server == nullptr ? std::nullopt : std::make_optional(QuotaOf(*server));
  }
  const auto catalog = view.catalog();
  const auto* workspace = catalog ? catalog->FindWorkspace(account.name) : nullptr;
  return workspace == nullptr ? std::nullopt : std::make_optional(QuotaOf(*workspace));
}

protocol::PlaceStreamRequestT ToWire(const StreamPlacementRequest& request, absl::Time now) {
  protocol::PlaceStreamRequestT wire;
  wire.request_id = request.demand.request;
  wire.service = request.service;
  wire.workspace = request.workspace;
  wire.charge = request.charge;
  wire.prompt_tokens = request.demand.prompt_tokens;
  wire.output_tokens = request.demand.output_tokens;
  wire.due_ms =
      static_cast<std::int32_t>(absl::ToInt64Milliseconds(request.demand.first_event_due - now));
  wire.give_up_ms =
      static_cast<std::int32_t>(absl::ToInt64Milliseconds(request.demand.caller_deadline - now));
  wire.priority = request.demand.priority;
  wire.availability_zone = request.demand.availability_zone;
  wire.excluded = request.demand.excluded;
  wire.parts = request.demand.shared_parts;
  wire.has_software_version = request.demand.software_version.has_value();
  wire.software_version = request.demand.software_version.value_or("");
  wire.is_take_up = request.resumes.has_value();
  wire.resumes = request.resumes.value_or("");
  if (request.resumes && request.taken_up_at <= now) {
    wire.take_up_age_ms =
        static_cast<std::uint32_t>(absl::ToInt64Milliseconds(now - request.taken_up_at));
  }
  return wire;
}

StreamDemand DemandFromWire(const protocol::PlaceStreamRequestT& wire, absl::Time now) {
  StreamDemand demand;
  demand.request = wire.request_id;
  demand.prompt_tokens = wire.prompt_tokens;
  demand.output_tokens = wire.output_tokens;
  demand.first_event_due = now + absl::Milliseconds(wire.due_ms);
  demand.caller_deadline = now + absl::Milliseconds(wire.give_up_ms);
  demand.priority = wire.priority;
  demand.availability_zone = wire.availability_zone;
  demand.excluded = wire.excluded;
  demand.shared_parts = wire.parts;
  if (wire.has_software_version) demand.software_version = wire.software_version;
  return demand;
}

}  // namespace marigoldquay::internal
