// A relay in this process whose backend servers send the bytes that a test gives them.
#include "scripted_relay.h"

#include <sys/socket.h>

#include <algorithm>
#include <future>
#include <stdexcept>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace marigoldquay::testing {
namespace {

// Time for the router to read what precedes a reset, which discards bytes that are still unread.
constexpr absl::Duration kBeforeReset = absl::Milliseconds(2);

// Disconnecting a TCP socket this way sends RST.
void Reset(const StubConnection& connection) {
  sockaddr_in unspecified{};
  unspecified.sin_family = AF_UNSPEC;
  (void)connect(connection.fd(), reinterpret_cast<sockaddr*>(&unspecified), sizeof(unspecified));
}

CatalogRoute Route(const std::string& prefix, const std::string& service, RequestKind kind) {
  CatalogRoute route;
  route.name = prefix;
  route.host = "shop.example";
  route.path_prefix = prefix;
  route.kind = kind;
  route.timeout = absl::Seconds(5);
  route.latency_target = absl::Seconds(5);
  route.services = {{service, 1}};
  return route;
}

Replica Server(const std::string& id, const std::string& service, const Address& address) {
  Replica server;
  server.id = id;
  server.service = service;
  server.address = address;
  return server;
}

}  // namespace

void BreakingServer::Set(std::string bytes, Ending ending) {
  Set([this, bytes = std::move(bytes), ending](const StubConnection& connection) {
    std::string head = connection.ReadUntil("\r\n\r\n");
    {
      const std::scoped_lock lock(mutex_);
      last_head_ = std::move(head);
    }
    connection.Send(bytes);
    if (ending == Ending::kFin) return;
    absl::SleepFor(kBeforeReset);
    Reset(connection);
  });
}

void BreakingServer::Set(TcpStubServer::Script script) {
  const std::scoped_lock lock(mutex_);
  script_ = std::move(script);
}

void BreakingServer::Run(const StubConnection& connection) {
  // An earlier connection may still be in its script when the next one is set.
  TcpStubServer::Script script;
  {
    const std::scoped_lock lock(mutex_);
    script = script_;
  }
  script(connection);
}

std::string BreakingServer::last_head() const {
  const std::scoped_lock lock(mutex_);
  return last_head_;
}

PlacementOutcome FixedPlacer::Place(const StreamPlacementRequest& request,
                                    Cancellation& cancellation, Yield yield) {
  (void)cancellation;
  (void)yield;
  const auto& excluded = request.demand.excluded;
  for (const std::string engine : {"e1", "e2"}) {
    if (engine == "e2" && engines_ < 2) break;
    if (std::find(excluded.begin(), excluded.end(), engine) != excluded.end()) continue;
    StreamPlacement placement;
    placement.service = request.service;
    placement.decode = engine;
    if (prefills_) placement.prefill = "p1";
    return placement;
  }
  return PlacementRefusal{false, {}, "no other engine"};
}

void FixedPlacer::OnPrefillEnd(const StreamPlacement& placement, bool ok) {
  (void)placement;
  (void)ok;
}

void FixedPlacer::OnFirstEvent(const StreamPlacement& placement) { (void)placement; }

void FixedPlacer::OnEnd(const StreamPlacement& placement, StreamEnd end) {
  (void)placement;
  (void)end;
}

void NoCrashes::OnCrash(const ServerCrash& crash) { (void)crash; }

void NoCrashes::OnRequestServed(RequestFingerprint request) { (void)request; }

absl::Duration NoCrashes::QuarantineTimeLeft(std::span<const RequestTrait> traits) const {
  (void)traits;
  return absl::ZeroDuration();
}

QuotaDecision OpenQuota::Admit(const CatalogWorkspace& workspace, TokenCount tokens,
                               Cancellation& cancellation, Yield yield) {
  (void)workspace;
  (void)tokens;
  (void)cancellation;
  (void)yield;
  return {true, absl::ZeroDuration()};
}

void OpenQuota::Refund(const CatalogWorkspace& workspace, TokenCount tokens) {
  (void)workspace;
  (void)tokens;
}

QuotaDecision OpenQuota::AdmitRequest(const Replica& server, Cancellation& cancellation,
                                      Yield yield) {
  (void)server;
  (void)cancellation;
  (void)yield;
  return {true, absl::ZeroDuration()};
}

ScriptedRelay::ScriptedRelay()
    : connections_(io_, clock_),
      balancer_("z1", health_),
      budgets_(RetryBudgetLimits{}),
      handler_({io_, clock_, view_, dialect_, connections_, health_, balancer_, budgets_, placer_,
                crash_guard_, quota_, [] { return std::size_t{1}; },
                [this] { return clock_.Now(); }, [this] { return clock_.Now(); },
                [](const BackendServerId&) {}, [](const StatedRequestLimit&) {}}),
      listener_(io_, handler_, 100) {
  CatalogContents contents;
  contents.version = 1;
  contents.routes = {Route("/resumed/", "model", RequestKind::kStream),
                     Route("/once/", "model", RequestKind::kStream),
                     Route("/plain/", "plain", RequestKind::kNonIdempotent),
                     Route("/plain-stream/", "plain", RequestKind::kStream),
                     Route("/lookup/", "plain", RequestKind::kIdempotent)};
  contents.routes[0].resumable = true;
  contents.routes[0].max_attempts = 2;
  contents.services = {{"model", 0, EngineProfile{}}, {"plain", 0, std::nullopt}};
  view_.Apply(contents);
  view_.replicas().Upsert(Server("e1", "model", engine_.address()));
  view_.replicas().Upsert(Server("e2", "model", second_engine_.address()));
  view_.replicas().Upsert(Server("p1", "model", prefill_engine_.address()));
  view_.replicas().Upsert(Server("s1", "plain", plain_.address()));
  const auto started = listener_.Start("127.0.0.1:0");
  if (!started) throw std::runtime_error(started.error().ToString());
  url_ = "http://" + listener_.address();
  thread_ = std::thread([this] {
    const auto work = asio::make_work_guard(io_);
    io_.run();
  });
}

ScriptedRelay::~ScriptedRelay() {
  io_.stop();
  thread_.join();
}

ClientResponse ScriptedRelay::Call(const std::string& path, const std::string& bytes,
                                   Ending ending) {
  engine_.Set(bytes, ending);
  plain_.Set(bytes, ending);
  return Call(path);
}

ClientResponse ScriptedRelay::CallTwoEngines(const std::string& path, const std::string& first,
                                             const std::string& second, Ending ending) {
  placer_.set_engines(2);
  engine_.Set(first, Ending::kFin);
  second_engine_.Set(second, ending);
  return Call(path);
}

ClientResponse ScriptedRelay::CallWithPrefill(const std::string& path, const std::string& prefill,
                                              const std::string& bytes) {
  placer_.set_prefills(true);
  prefill_engine_.Set(prefill, Ending::kFin);
  engine_.Set(bytes, Ending::kFin);
  return Call(path);
}

void ScriptedRelay::Script(const TcpStubServer::Script& script) {
  engine_.Set(script);
  plain_.Set(script);
}

ClientResponse ScriptedRelay::Call(const std::string& path, const std::string& body) {
  ForgetFailures();
  ClientRequest request;
  request.url = url_ + path + "x";
  request.headers = {"Host: shop.example", absl::StrCat("Attempt-Id: ", kScriptedRequestId)};
  request.timeout = absl::Seconds(5);
  if (!body.empty()) request.method = "POST";
  request.body = body;
  return Fetch(request);
}

int ScriptedRelay::connections() const {
  return engine_.connections() + second_engine_.connections() + plain_.connections();
}

void ScriptedRelay::ForgetFailures() {
  std::promise<void> done;
  asio::post(io_, [&] {
    health_.Retain({});
    done.set_value();
  });
  done.get_future().wait();
}

}  // namespace marigoldquay::testing
