// Cost of a model request for an engine.
#ifndef MARIGOLDQUAY_DISPATCH_SRC_STREAM_COST_H_
#define MARIGOLDQUAY_DISPATCH_SRC_STREAM_COST_H_

#include "marigoldquay/dispatch/stream_scheduler.h"

namespace marigoldquay::internal {

/// A decode engine prefills at half the speed of a prefill engine.
inline constexpr double kDecodePrefillFactor = 2.0;

/// Tokens in the KV memory when the stream is complete.
inline TokenCount Footprint(const StreamDemand& demand) {
  return demand.prompt_tokens + demand.output_tokens;
}

}  // namespace marigoldquay::internal

#endif  // MARIGOLDQUAY_DISPATCH_SRC_STREAM_COST_H_
