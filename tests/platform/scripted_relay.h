// A relay in this process whose backend servers send the bytes that a test gives them.
#ifndef MARIGOLDQUAY_TESTS_PLATFORM_SCRIPTED_RELAY_H_
#define MARIGOLDQUAY_TESTS_PLATFORM_SCRIPTED_RELAY_H_

#include <mutex>
#include <string>
#include <thread>
#include <utility>

#include "marigoldquay/platform/header_dialect.h"
#include "marigoldquay/relay/front_handler.h"
#include "tcp_stub_server.h"
#include "test_http.h"

namespace marigoldquay::testing {

/// How a backend server ends its connection.
enum class Ending { kFin, kRst };

/// Id of every request to a ScriptedRelay.
inline constexpr char kScriptedRequestId[] = "request-1";

/// A backend server that ends its responses as the test says.
class BreakingServer {
 public:
  BreakingServer() : server_([this](const StubConnection& connection) { Run(connection); }) {}

  /// Answers each request with `bytes` and then ends the connection.
  void Set(std::string bytes, Ending ending);
  void Set(TcpStubServer::Script script);
  const Address& address() const { return server_.address(); }
  int connections() const { return server_.connections(); }
  /// Head of the last request that was answered with set bytes.
  std::string last_head() const;

 private:
  void Run(const StubConnection& connection);

  // Guards the script and the head.
  mutable std::mutex mutex_;
  TcpStubServer::Script script_ = [](const StubConnection&) {};
  std::string last_head_;
  TcpStubServer server_;
};

/// Places every request on the engine e1, and on e2 when that one has failed and there are two.
class FixedPlacer final : public StreamPlacer {
 public:
  PlacementOutcome Place(const StreamPlacementRequest& request, Cancellation& cancellation,
                         Yield yield) override;
  void OnPrefillEnd(const StreamPlacement& placement, bool ok) override;
  void OnFirstEvent(const StreamPlacement& placement) override;
  void OnEnd(const StreamPlacement& placement, StreamEnd end) override;

  void set_engines(std::size_t engines) { engines_ = engines; }
  /// Whether the engine p1 reads the prompts.
  void set_prefills(bool prefills) { prefills_ = prefills; }

 private:
  std::size_t engines_ = 1;
  bool prefills_ = false;
};

class NoCrashes final : public CrashGuard {
 public:
  void OnCrash(const ServerCrash& crash) override;
  void OnRequestServed(RequestFingerprint request) override;
  absl::Duration QuarantineTimeLeft(std::span<const RequestTrait> traits) const override;
};

class OpenQuota final : public QuotaGate {
 public:
  QuotaDecision Admit(const CatalogWorkspace& workspace, TokenCount tokens,
                      Cancellation& cancellation, Yield yield) override;
  void Refund(const CatalogWorkspace& workspace, TokenCount tokens) override;
  QuotaDecision AdmitRequest(const Replica& server, Cancellation& cancellation,
                             Yield yield) override;
};

/// A relay with one engine or two, one for prefills and one plain server, all of them breaking
/// servers. Routes: /resumed/ and /once/ lead to the engines, /plain/, /plain-stream/ and /lookup/
/// to the plain server. Only /resumed/ and /lookup/ may run more than once.
class ScriptedRelay {
 public:
  ScriptedRelay();
  ~ScriptedRelay();
  ScriptedRelay(const ScriptedRelay&) = delete;
  ScriptedRelay& operator=(const ScriptedRelay&) = delete;

  /// What the caller gets when the backend server sends `bytes` and then ends the connection.
  ClientResponse Call(const std::string& path, const std::string& bytes, Ending ending);
  /// What the caller gets when the first engine breaks its stream off after `first` and the second
  /// one sends `second` and then ends the connection.
  ClientResponse CallTwoEngines(const std::string& path, const std::string& first,
                                const std::string& second, Ending ending);
  /// What the caller gets when the engine p1 answers the prefill with `prefill` and the engine e1
  /// the request with `bytes`.
  ClientResponse CallWithPrefill(const std::string& path, const std::string& prefill,
                                 const std::string& bytes);
  /// Sets what the backend servers do with each connection.
  void Script(const TcpStubServer::Script& script);
  ClientResponse Call(const std::string& path, const std::string& body = "");
  /// Head of the last request to the engine e2; empty when there was none.
  std::string head_at_second_engine() const { return second_engine_.last_head(); }
  /// Connections that the plain server and the engines e1 and e2 have got.
  int connections() const;

 private:
  // Otherwise the servers get no requests for a while after each failure.
  void ForgetFailures();

  BreakingServer engine_;
  BreakingServer second_engine_;
  BreakingServer prefill_engine_;
  BreakingServer plain_;
  asio::io_context io_;
  const Clock& clock_ = SystemClock::Instance();
  ClusterView view_;
  platform::HeaderDialect dialect_;
  ConnectionPool connections_;
  ReplicaHealth health_;
  ReplicaBalancer balancer_;
  RetryBudgets budgets_;
  FixedPlacer placer_;
  NoCrashes crash_guard_;
  OpenQuota quota_;
  FrontHandler handler_;
  HttpListener listener_;
  std::string url_;
  std::thread thread_;
};

}  // namespace marigoldquay::testing

#endif  // MARIGOLDQUAY_TESTS_PLATFORM_SCRIPTED_RELAY_H_
