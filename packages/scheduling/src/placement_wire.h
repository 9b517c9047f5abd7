// Placement types in their wire form.
#ifndef MARIGOLDQUAY_SCHEDULING_SRC_PLACEMENT_WIRE_H_
#define MARIGOLDQUAY_SCHEDULING_SRC_PLACEMENT_WIRE_H_

#include <algorithm>
#include <cstdint>

#include "marigoldquay/protocol/codec.h"
#include "marigoldquay/scheduling/scheduler_client.h"

namespace marigoldquay {

inline std::uint32_t ToWireMs(absl::Duration duration) {
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(absl::ToInt64Milliseconds(duration), 0, UINT32_MAX));
}

inline std::uint64_t ToWireUs(absl::Duration duration) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, absl::ToInt64Microseconds(duration)));
}

inline protocol::AcquireRequestT ToWire(const PlacementRequest& request, const Instance& sender) {
  protocol::AcquireRequestT wire;
  wire.sender = ToWire(sender);
  wire.request_id = request.request_id;
  wire.workspace = request.workspace;
  wire.weight = static_cast<std::uint32_t>(std::max(1, request.weight));
  wire.pool = request.pool;
  wire.prompt_tokens = request.prompt_tokens;
  wire.max_output_tokens = request.max_output_tokens;
  wire.prefix_hash = request.prefix_hash;
  wire.first_token_budget_ms = ToWireMs(request.first_token_budget);
  wire.serve_late = request.serve_late;
  wire.priority = request.priority;
  wire.excluded = request.excluded;
  return wire;
}

inline PlacementRequest FromWire(const protocol::AcquireRequestT& wire) {
  return {.request_id = wire.request_id,
          .workspace = wire.workspace,
          .weight = static_cast<std::int32_t>(std::clamp<std::uint32_t>(wire.weight, 1, 1000)),
          .pool = wire.pool,
          .prompt_tokens = wire.prompt_tokens,
          .max_output_tokens = wire.max_output_tokens,
          .prefix_hash = wire.prefix_hash,
          .first_token_budget = absl::Milliseconds(wire.first_token_budget_ms),
          .serve_late = wire.serve_late,
          .priority = wire.priority,
          .excluded = wire.excluded};
}

inline protocol::AcquireReplyT ToWire(const Placement& placement) {
  protocol::AcquireReplyT wire;
  switch (placement.outcome) {
    case PlacementOutcome::kGranted:
      wire.status = protocol::AcquireStatus::Granted;
      break;
    case PlacementOutcome::kRefused:
      wire.status = protocol::AcquireStatus::Refused;
      break;
    case PlacementOutcome::kUnavailable:
    case PlacementOutcome::kCancelled:
      wire.status = protocol::AcquireStatus::NoBackendServer;
      break;
  }
  wire.ticket = placement.ticket;
  wire.prefill_server = placement.prefill_server;
  wire.decode_server = placement.decode_server;
  wire.retry_after_ms = ToWireMs(placement.retry_after);
  wire.message = placement.message;
  return wire;
}

inline Placement FromWire(const protocol::AcquireReplyT& wire, const PoolId& pool,
                          const VmId& scheduler) {
  Placement placement{.ticket = wire.ticket,
                      .pool = pool,
                      .prefill_server = wire.prefill_server,
                      .decode_server = wire.decode_server,
                      .scheduler = scheduler,
                      .retry_after = absl::Milliseconds(wire.retry_after_ms),
                      .message = wire.message};
  if (wire.status == protocol::AcquireStatus::Granted) {
    placement.outcome = PlacementOutcome::kGranted;
  } else if (wire.status == protocol::AcquireStatus::Refused) {
    placement.outcome = PlacementOutcome::kRefused;
  }
  return placement;
}

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_SCHEDULING_SRC_PLACEMENT_WIRE_H_
