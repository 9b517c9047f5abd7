// Sends the prompt of a model request to a prefill engine, and frees a KV cache that no decode
// engine has fetched.
#ifndef MARIGOLDQUAY_RELAY_SRC_PREFILL_EXCHANGE_H_
#define MARIGOLDQUAY_RELAY_SRC_PREFILL_EXCHANGE_H_

#include <memory>

#include "marigoldquay/dispatch/retry_budget_window.h"
#include "request_state.h"

namespace marigoldquay::internal {

/// A KV cache held by a prefill engine until the decode engine fetches it.
struct PendingKvCache {
  Address engine;
  PrefillHandle prefill;
};

/// The prefills of one model request, which run one at a time.
class PrefillExchange {
 public:
  PrefillExchange(RequestState& state, WindowedRetryBudget& budget)
      : state_(state), budget_(budget) {}

  /// Has the prefill engine of the placement process the prompt, and reports the end to the placer
  /// unless the request is cancelled. Returns null when the prefill failed; the decode engine then
  /// processes the prompt itself.
  std::unique_ptr<PendingKvCache> Run(const StreamPlacement& placement, Yield yield);

 private:
  ErrorOr<PrefillHandle> Send(const Replica& engine, const StreamPlacement& placement, Yield yield);
  // Reads the reply to the prefill, behind extra responses to earlier requests of a connection that
  // is not fresh.
  ErrorOr<HttpReply> ReadOwnReply(HttpConnection& connection, bool fresh, absl::Duration timeout,
                                  Yield yield) const;
  // The first prefill that an engine accepts belongs to the first attempt; any other one is a
  // retry.
  void CountPrefill(bool accepted);

  RequestState& state_;
  WindowedRetryBudget& budget_;
  bool accepted_ = false;
};

/// Frees the KV cache, if there is one, without delaying the request.
void ReleaseKvCache(const RequestState& state, std::unique_ptr<PendingKvCache> cache);

}  // namespace marigoldquay::internal

#endif  // MARIGOLDQUAY_RELAY_SRC_PREFILL_EXCHANGE_H_
