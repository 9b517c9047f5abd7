// HTTP handler for callers: resolves the route and the workspace of a request,
// enforces the quota and relays the request to a backend server.
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
class PlannedStop;
struct RequestState;
}  // namespace internal

/// Retry budgets of this VM, one per service. Not thread-safe.
class RetryBudgets {
 public:
  explicit RetryBudgets(RetryBudgetLimits limits) : limits_(limits) {}
  /// Changes the limits of all services, including those that already have a budget.
  void SetLimits(RetryBudgetLimits limits);
  /// Returns the budget of the service, which is created on first use.
  WindowedRetryBudget& ForService(absl::string_view service);
  /// Brings the counters of retries up to date.
  void UpdateMetrics() const;

 private:
  RetryBudgetLimits limits_;
  // At most one entry for each service of the configuration.
  std::map<std::string, WindowedRetryBudget, std::less<>> budgets_;
};

/// Dependencies of the relay. All referenced objects must outlive the handler.
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
  CrashGuard& crash_guard;
  QuotaGate& quota;
  /// Number of VMs that share the connection limit of a backend server.
  std::function<std::size_t()> member_count;
  /// When the configuration in `cluster` was last known to be the newest one of the store, by a
  /// read of this VM or through the coordinator; InfinitePast before that.
  std::function<absl::Time()> catalog_confirmed_at;
  /// When the list of backend servers in `cluster` was asked for at the store, by this VM or by the
  /// coordinator; InfinitePast before that.
  std::function<absl::Time()> servers_read_at;
  /// Called when a backend server announces that it is shutting down.
  std::function<void(const BackendServerId&)> on_draining_server;
  /// Called with the request limit that a response states, or that it no longer states one.
  std::function<void(const StatedRequestLimit&)> on_request_limit;
};

/// Handles the requests received at the callers' address.
class FrontHandler final : public HttpHandler {
 public:
  explicit FrontHandler(FrontContext context);
  ~FrontHandler() override;

  void Handle(HttpRequest& request, HttpReplyWriter& reply, Cancellation& cancellation,
              Yield yield) override;
  ListenerLimits limits() const override;
  bool closing() const override { return closing_; }
  void OnRejected(unsigned status, absl::string_view reason) override;

  /// Requests that the configuration does not allow are refused as such only while it was confirmed
  /// within `age`; after that a newer one may allow them, and they are answered 503.
  void SetMaxCatalogAge(absl::Duration age) { max_catalog_age_ = age; }
  /// Rejects requests that may take longer than until `exit_time`, when the process exits: those
  /// that arrive from now on, and those that wait for their first engine.
  void RejectRequestsBeyond(absl::Time exit_time);
  /// Answers all requests that wait for an engine, now or later, as the process exits.
  void EndWaits();
  /// Closes each connection after its current response.
  void CloseConnections() { closing_ = true; }

 private:
  // Looks up route, workspace and service; sends an error and returns false when one is missing.
  bool Resolve(internal::RequestState& state, Yield yield);
  // Sends the error of a request that the configuration does not allow.
  void Refuse(internal::RequestState& state, unsigned status, absl::string_view reason,
              Yield yield);
  void Relay(internal::RequestState& state, Yield yield);

  FrontContext context_;
  absl::Duration max_catalog_age_ = absl::InfiniteDuration();
  const std::unique_ptr<internal::PlannedStop> stop_;
  bool closing_ = false;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_RELAY_FRONT_HANDLER_H_
