// Wire forms of requests and results of RunOnce.
#ifndef MARIGOLDQUAY_CLAIMS_SRC_WIRE_H_
#define MARIGOLDQUAY_CLAIMS_SRC_WIRE_H_

#include <cstdint>

#include "marigoldquay/claims/run_once.h"
#include "marigoldquay/protocol/codec.h"

namespace marigoldquay::internal {

/// retry_after_ms of a NoClaim reply: how long ago the responder closed the shard, by which time
/// the log held all that it had run. This value when it has not closed the shard since it started,
/// or has read the whole stream again.
inline constexpr std::uint32_t kNeverRan = 0xFFFFFFFF;

protocol::RunOnceRequestT ToWireRequest(const OnceRequest& request, const Instance& sender);
OnceRequest FromWireRequest(const protocol::RunOnceRequestT& wire);
protocol::RunOnceReplyT ToWireReply(const OnceResult& result);
OnceResult FromWireReply(const protocol::RunOnceReplyT& wire);

}  // namespace marigoldquay::internal

#endif  // MARIGOLDQUAY_CLAIMS_SRC_WIRE_H_
