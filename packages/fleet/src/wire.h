// Conversions between messages of the VM-to-VM (inner) protocol and the types of this package.
#ifndef MARIGOLDQUAY_FLEET_SRC_WIRE_H_
#define MARIGOLDQUAY_FLEET_SRC_WIRE_H_

#include <memory>
#include <optional>
#include <vector>

#include "marigoldquay/core/logger.h"
#include "marigoldquay/dispatch/quota_account.h"
#include "marigoldquay/dispatch/request_quarantine.h"
#include "marigoldquay/dispatch/stream_scheduler.h"
#include "marigoldquay/fleet/member.h"
#include "marigoldquay/protocol/codec.h"
#include "marigoldquay/relay/stream_placer.h"
#include "marigoldquay/routing/cluster_view.h"

namespace marigoldquay::internal {

std::unique_ptr<protocol::FleetMemberT> ToWire(const FleetMember& member);
FleetMember FromWire(const protocol::FleetMemberT& wire);

/// Times are sent as ages relative to `now`.
std::unique_ptr<protocol::RequestLimitT> ToWire(const StatedRequestLimit& stated, absl::Time now);
StatedRequestLimit FromWire(const protocol::RequestLimitT& wire, absl::Time now);

/// Logs a crash under a request, and the quarantine that begins because of it.
void LogCrash(const Logger& logger, const ServerCrash& crash,
              const std::optional<QuarantinedTraits>& quarantined);

std::unique_ptr<protocol::ServerCrashT> ToWire(const ServerCrash& crash, absl::Time now);
ServerCrash FromWire(const protocol::ServerCrashT& wire, absl::Time now);
std::vector<std::unique_ptr<protocol::QuarantinedTraitsT>> ToWire(
    const RequestQuarantine& quarantine, absl::Time now);
QuarantinedTraits FromWire(const protocol::QuarantinedTraitsT& wire, absl::Time now);
std::unique_ptr<protocol::ServerDepartureT> ToWire(const ServerDeparture& departure);
ServerDeparture FromWire(const protocol::ServerDepartureT& wire);
std::unique_ptr<protocol::BackendEntryT> ToWire(const Replica& replica, absl::Time now);
Replica FromWire(const protocol::BackendEntryT& wire, absl::Time now);

std::unique_ptr<protocol::AccountTokensT> ToWire(const QuotaAccount& account, TokenCount tokens);
QuotaAccount AccountFromWire(const protocol::AccountTokensT& wire);
/// Quota of the account in the configuration or the list of backend servers; nullopt when unknown.
std::optional<AccountQuota> FindQuota(const ClusterView& view, const QuotaAccount& account);

/// Sends deadlines as milliseconds relative to `now`.
protocol::PlaceStreamRequestT ToWire(const StreamPlacementRequest& request, absl::Time now);
/// Demand of a request that arrived at `now`; resolves its relative deadlines.
StreamDemand DemandFromWire(const protocol::PlaceStreamRequestT& wire, absl::Time now);

}  // namespace marigoldquay::internal

#endif  // MARIGOLDQUAY_FLEET_SRC_WIRE_H_
