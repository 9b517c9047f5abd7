// Answers callers: finds the route and the workspace of a request, checks its
// quota and relays it to a backend server.
#ifndef MARIGOLDQUAY_RELAY_FRONT_HANDLER_H_
#define MARIGOLDQUAY_RELAY_FRONT_HANDLER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "marigoldquay/core/clock.h"
#include "marigoldquay/dispatch/replica_balancer.h"
#include "marigoldquay/dispatch/replica_health.h"
#include "marigoldquay/dispatch/retry_budget_window.h"
#include "marigoldquay/net/http_listener.h"
#include "marigoldquay/relay/backend_dialect.h"
#include "marigoldquay/relay/stream_placer.h"
#include "marigoldquay/routing/cluster_view.h"

namespace marigoldquay {

namespace internal {
struct RequestState;
}  // namespace internal

/// Retry budgets of all services on this VM. Not thread-safe.
class RetryBudgets {
 public:
  explicit RetryBudgets(RetryBudgetLimits limits) : limits_(limits) {}
  /// Applies to all services from now on.
  void SetLimits(RetryBudgetLimits limits);
  WindowedRetryBudget& Of(absl::string_view service);

 private:
  RetryBudgetLimits limits_;
  // Bounded by the services of the configuration.
  std::map<std::string, WindowedRetryBudget, std::less<>> budgets_;
};

/// What the relay works with; everything outlives the handler.
struct FrontContext {
  asio::io_context& io;
  const Clock& clock;
  const ClusterView& cluster;
  const BackendDialect& dialect;
  ConnectionPool& connections;
  ReplicaHealth& health;
  ReplicaBalancer& balancer;
  RetryBudgets& budgets;
  StreamPlacer& placer;
  QuotaGate& quota;
  /// VMs that share the connections which a backend server accepts.
  std::function<std::size_t()> member_count;
  /// A backend server has said that it is leaving.
  std::function<void(const BackendServerId&)> on_leaving_server;
};

/// Handler of the callers' address.
class FrontHandler final : public HttpHandler {
 public:
  explicit FrontHandler(FrontContext context) : context_(std::move(context)) {}

  void Handle(HttpRequest& request, HttpReplyWriter& reply, Cancellation& cancellation,
              Yield yield) override;
  ListenerLimits limits() const override;
  bool closing() const override { return closing_; }
  void OnRejected(unsigned status, absl::string_view reason) override;

  /// Rejects new streams, which would not end before the process does.
  void RejectStreams() { rejects_streams_ = true; }
  /// Closes each connection after its current answer.
  void CloseConnections() { closing_ = true; }

 private:
  void Relay(internal::RequestState& state, Yield yield);

  FrontContext context_;
  bool rejects_streams_ = false;
  bool closing_ = false;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_RELAY_FRONT_HANDLER_H_
