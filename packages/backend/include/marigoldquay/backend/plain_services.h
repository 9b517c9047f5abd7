// Requests to plain services: idempotent ones with retries at other servers, and
// the dispatch of non-idempotent ones.
#ifndef MARIGOLDQUAY_BACKEND_PLAIN_SERVICES_H_
#define MARIGOLDQUAY_BACKEND_PLAIN_SERVICES_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "marigoldquay/backend/retry_budget.h"
#include "marigoldquay/claims/run_once.h"
#include "marigoldquay/config/config_view.h"
#include "marigoldquay/core/clock.h"
#include "marigoldquay/core/error.h"
#include "marigoldquay/scheduling/leaving_servers.h"
#include "marigoldquay/scheduling/server_health.h"
#include "marigoldquay/transport/http_client.h"

namespace marigoldquay {

/// An idempotent request as the caller sent it; it is filtered before it is forwarded.
struct PlainRequest {
  RequestId request_id;
  WorkspaceId workspace;
  PoolId pool;
  std::string method;
  /// Path and query.
  std::string target;
  HttpHeaders headers;
  std::string body;
  /// Empty when the caller sent none.
  std::string idempotency_key;
  /// Text of the caller's key, which no server may receive; empty on public routes.
  std::string key_text;
};

/// Thread-safe.
class PlainClient {
 public:
  virtual ~PlainClient() = default;

  /// The service's answer with any status, or: kInvalidArgument when a field contains the key,
  /// kNotSent when not one byte of the request left, else as HttpClient.
  virtual Result<HttpResponse> Perform(const PlainRequest& request, absl::Duration timeout,
                                       const std::function<bool()>& cancelled) = 0;
};

/// Chooses among the servers of a pool by health and requests in flight. The references must
/// outlive it.
class PlainServices final : public PlainClient, public OnceDispatcher {
 public:
  PlainServices(HttpClient& http, const ConfigView& config, const LeavingServers& leaving,
                const Clock& clock, RetryBudget& budget);

  Result<HttpResponse> Perform(const PlainRequest& request, absl::Duration timeout,
                               const std::function<bool()>& cancelled) override;
  DispatchResult Dispatch(const OnceRequest& request, absl::Duration timeout) override;

 private:
  struct ServerState {
    ServerHealth health;
    int outstanding = 0;
  };

  struct Choice {
    BackendServer server;
    // Whether there are further servers to try after this one.
    bool has_others = false;
  };

  std::optional<Choice> Choose(const PoolId& pool, const std::set<BackendServerId>& tried);
  Result<HttpResponse> Attempt(const BackendServer& server, HttpRequest request,
                               const HttpOptions& options);
  void RecordEnd(const BackendServerId& id, std::optional<bool> success);

  HttpClient& http_;
  const ConfigView& config_;
  const LeavingServers& leaving_;
  const Clock& clock_;
  RetryBudget& budget_;
  absl::Mutex mutex_;
  // Only servers that are configured; pruned when it outgrows them.
  std::map<BackendServerId, ServerState> states_ ABSL_GUARDED_BY(mutex_);
  // Rotates the choice among servers that are equally good.
  std::size_t next_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_BACKEND_PLAIN_SERVICES_H_
