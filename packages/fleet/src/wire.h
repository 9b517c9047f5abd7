// Conversions between messages of the VM-to-VM (inner) protocol and the types of this package.
#ifndef MARIGOLDQUAY_FLEET_SRC_WIRE_H_
#define MARIGOLDQUAY_FLEET_SRC_WIRE_H_

#include <memory>

#include "marigoldquay/dispatch/stream_scheduler.h"
#include "marigoldquay/fleet/member.h"
#include "marigoldquay/protocol/codec.h"
#include "marigoldquay/relay/stream_placer.h"

namespace marigoldquay::internal {

std::unique_ptr<protocol::FleetMemberT> ToWire(const FleetMember& member);
FleetMember FromWire(const protocol::FleetMemberT& wire);

std::unique_ptr<protocol::BackendEntryT> ToWire(const Replica& replica);
Replica FromWire(const protocol::BackendEntryT& wire);

/// Sends deadlines as milliseconds relative to `now`.
protocol::PlaceStreamRequestT ToWire(const StreamPlacementRequest& request, absl::Time now);
/// Demand of a request that arrived at `now`; resolves its relative deadlines.
StreamDemand DemandFromWire(const protocol::PlaceStreamRequestT& wire, absl::Time now);

}  // namespace marigoldquay::internal

#endif  // MARIGOLDQUAY_FLEET_SRC_WIRE_H_
