// Calls to model engines for one completion, as the request path sees them.
#ifndef MARIGOLDQUAY_BACKEND_ENGINE_CLIENT_H_
#define MARIGOLDQUAY_BACKEND_ENGINE_CLIENT_H_

#include <functional>
#include <memory>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "marigoldquay/config/objects.h"
#include "marigoldquay/core/error.h"
#include "marigoldquay/core/types.h"

namespace marigoldquay {

struct PrefillRequest {
  RequestId request_id;
  std::string model;
  std::string prompt;
  TokenCount prompt_tokens = 0;
  std::int32_t priority = 0;
};

struct PrefillResult {
  std::string handle;
  TokenCount prompt_tokens = 0;
  TokenCount cached_tokens = 0;
};

struct DecodeRequest {
  RequestId request_id;
  std::string model;
  Address prefill_address;
  std::string handle;
  TokenCount prompt_tokens = 0;
  TokenCount max_tokens = 0;
  /// First token to generate; above 0 when a broken stream is resumed.
  std::int64_t from_token = 0;
};

struct DecodeResult {
  std::string finish_reason;
  TokenCount output_tokens = 0;
};

/// Thread-safe. Error codes: kResourceExhausted when the engine has no room, kNotFound when the
/// prefill's result is gone, kConflict when the request was cancelled before, else as HttpClient.
class EngineClient {
 public:
  virtual ~EngineClient() = default;

  virtual Result<PrefillResult> Prefill(const BackendServer& server, const PrefillRequest& request,
                                        absl::Duration timeout,
                                        const std::function<bool()>& cancelled) = 0;

  /// Passes each token with its index to `on_token`, in order and without gaps; `on_token` returns
  /// false to stop. Succeeds only when the engine said that the answer is complete.
  virtual Result<DecodeResult> Decode(
      const BackendServer& server, const DecodeRequest& request, absl::Duration silence_timeout,
      const std::function<bool()>& cancelled,
      const std::function<bool(std::int64_t index, absl::string_view token)>& on_token) = 0;
};

/// Frees what a request may hold at engines. Thread-safe.
class HoldReleaser {
 public:
  virtual ~HoldReleaser() = default;
  /// Cancels the request at the server in the background and retries until the server confirms or
  /// is gone from the configuration. Every way in which a request can end calls this for each
  /// server that it was sent to.
  virtual void Release(const BackendServer& server, const RequestId& request_id) = 0;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_BACKEND_ENGINE_CLIENT_H_
