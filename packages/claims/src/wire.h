// Wire forms of requests and results of RunOnce.
#ifndef MARIGOLDQUAY_CLAIMS_SRC_WIRE_H_
#define MARIGOLDQUAY_CLAIMS_SRC_WIRE_H_

#include "marigoldquay/claims/run_once.h"
#include "marigoldquay/protocol/codec.h"

namespace marigoldquay::internal {

protocol::RunOnceRequestT ToWireRequest(const OnceRequest& request, const Instance& sender);
OnceRequest FromWireRequest(const protocol::RunOnceRequestT& wire);
protocol::RunOnceReplyT ToWireReply(const OnceResult& result);
OnceResult FromWireReply(const protocol::RunOnceReplyT& wire);

}  // namespace marigoldquay::internal

#endif  // MARIGOLDQUAY_CLAIMS_SRC_WIRE_H_
