// A front handler whose backend servers, placements and quotas are stand-ins in the same process.
#ifndef MARIGOLDQUAY_RELAY_TESTS_FRONT_FIXTURE_H_
#define MARIGOLDQUAY_RELAY_TESTS_FRONT_FIXTURE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "marigoldquay/core/clock.h"
#include "marigoldquay/relay/front_handler.h"

namespace marigoldquay::testing {

/// Reads the key from the field "Key" and the stream to take up from "Resumes", and marks prefills
/// with "Stage".
class PlainDialect final : public BackendDialect {
 public:
  ErrorOr<RequestMetadata> DecodeRequestMetadata(const HttpRequest& request) const override {
    RequestMetadata metadata;
    metadata.id = "r1";
    metadata.key = std::string(ToAbsl(request["Key"]));
    if (request.count("Resumes") > 0) metadata.resumes = std::string(ToAbsl(request["Resumes"]));
    return metadata;
  }
  ForwardedRequest MakeBackendRequest(const HttpRequest& request,
                                      const BackendCall& call) const override {
    ForwardedRequest forwarded(request.method(), request.target(), 11);
    forwarded.set(http::field::host, "backend");
    if (call.prefill_only) forwarded.set("Stage", "prefill");
    forwarded.body() = {request.body().data(), request.body().size()};
    forwarded.prepare_payload();
    return forwarded;
  }
  BackendResponse DecodeResponse(unsigned status, const HttpFields& fields) const override {
    (void)fields;
    BackendResponse response;
    response.successful = status == 200;
    response.not_executed = status == 421;
    response.has_signature = true;
    return response;
  }
  HttpFields MakeCallerFields(const HttpFields& fields) const override {
    (void)fields;
    return {};
  }
  ErrorOr<PrefillHandle> DecodePrefill(const HttpReply& reply,
                                       const Address& engine) const override {
    (void)engine;
    return PrefillHandle{reply.body};
  }
  std::string MakeKvSource(const Address& engine, const PrefillHandle& prefill) const override {
    return engine + "/" + prefill.handle;
  }
  HttpRequest MakePrefillRelease(const PrefillHandle& prefill,
                                 const Address& engine) const override {
    (void)engine;
    return {http::verb::delete_, "/release/" + prefill.handle, 11};
  }
  HttpRequest MakeStartQuery(const Replica& server) const override {
    HttpRequest request(http::verb::get, "/start", 11);
    request.set(http::field::host, server.address);
    return request;
  }
  std::optional<std::int64_t> DecodeStart(const HttpReply& reply) const override {
    std::int64_t started = 0;
    return absl::SimpleAtoi(reply.body, &started) ? std::make_optional(started) : std::nullopt;
  }
  HttpRequest MakeRoleOrder(const RoleOrder& order) const override {
    (void)order;
    return {};
  }
  RoleOrderOutcome DecodeRoleOrder(const HttpReply& reply) const override {
    (void)reply;
    return RoleOrderOutcome::kRejected;
  }
};

/// What an AnsweringServer does with a request.
enum class ServerBehavior {
  kAnswers,
  /// Answers 421, without running it.
  kRejects,
  /// Runs it and breaks the connection without an answer.
  kLosesResponse,
  /// Breaks the connection after the first event.
  kBreaksOff,
};

/// A backend server that does the same with each request, at once.
class AnsweringServer final : public HttpHandler {
 public:
  explicit AnsweringServer(asio::io_context& io) : listener_(io, *this, 10) {
    (void)listener_.Start("127.0.0.1:0");
  }
  void Handle(HttpRequest& request, HttpReplyWriter& reply, Cancellation& cancellation,
              Yield yield) override {
    (void)request;
    (void)cancellation;
    ++requests_;
    switch (behavior_) {
      case ServerBehavior::kAnswers:
        (void)reply.SendReply(200, EventStreamFields(), kEvent, yield);
        return;
      case ServerBehavior::kRejects:
        (void)reply.SendReply(421, {}, "", yield);
        return;
      case ServerBehavior::kLosesResponse:
        reply.Abort();
        return;
      case ServerBehavior::kBreaksOff:
        (void)reply.Begin(200, EventStreamFields(), std::nullopt, yield);
        (void)reply.Append(kEvent, yield);
        reply.Abort();
        return;
    }
  }
  void set_behavior(ServerBehavior behavior) { behavior_ = behavior; }
  Address address() const { return listener_.address(); }
  int requests() const { return requests_; }

 private:
  static constexpr char kEvent[] = "id: 1\ndata: x\n\n";

  static HttpFields EventStreamFields() {
    HttpFields fields;
    fields.set(http::field::content_type, "text/event-stream");
    return fields;
  }

  HttpListener listener_;
  ServerBehavior behavior_ = ServerBehavior::kAnswers;
  int requests_ = 0;
};

/// Grants each placement of `placements` in turn and refuses after that; admits all requests.
class ScriptedPlacer final : public StreamPlacer, public CrashGuard, public QuotaGate {
 public:
  explicit ScriptedPlacer(asio::io_context& io) : io_(io) {}

  PlacementOutcome Place(const StreamPlacementRequest& request, Cancellation& cancellation,
                         Yield yield) override {
    (void)request;
    on_place();
    const absl::Time until = SystemClock::Instance().Now() + wait;
    while (SystemClock::Instance().Now() < until && !cancellation.cancelled()) {
      SleepFor(io_, absl::Milliseconds(5), yield);
    }
    if (placements.empty()) return PlacementRefusal{false, absl::Seconds(1), "none"};
    const StreamPlacement placement = placements.front();
    placements.erase(placements.begin());
    return placement;
  }
  void OnPrefillEnd(const StreamPlacement& placement, bool ok) override {
    (void)placement;
    (void)ok;
  }
  void OnFirstEvent(const StreamPlacement& placement) override { (void)placement; }
  void OnEnd(const StreamPlacement& placement, StreamEnd end) override {
    (void)placement;
    ends.push_back(end);
  }
  void OnCrash(const ServerCrash& crash) override { (void)crash; }
  void OnRequestServed(RequestFingerprint request) override { (void)request; }
  absl::Duration QuarantineTimeLeft(std::span<const RequestTrait> traits) const override {
    (void)traits;
    return absl::ZeroDuration();
  }
  QuotaDecision Admit(const CatalogWorkspace& workspace, TokenCount tokens,
                      Cancellation& cancellation, Yield yield) override {
    (void)workspace;
    (void)tokens;
    (void)cancellation;
    (void)yield;
    return {true, absl::ZeroDuration()};
  }
  void Refund(const CatalogWorkspace& workspace, TokenCount tokens) override {
    (void)workspace;
    refunded += tokens;
  }
  QuotaDecision AdmitRequest(const Replica& server, Cancellation& cancellation,
                             Yield yield) override {
    (void)server;
    (void)cancellation;
    (void)yield;
    return {true, absl::ZeroDuration()};
  }

  std::function<void()> on_place = [] {};
  // Time for which each request waits, unless it is cancelled.
  absl::Duration wait = absl::ZeroDuration();
  std::vector<StreamPlacement> placements;
  std::vector<StreamEnd> ends;
  TokenCount refunded = 0;

 private:
  asio::io_context& io_;
};

/// Keeps the response for the test.
class RecordedReply final : public HttpReplyWriter {
 public:
  ErrorOrVoid SendReply(unsigned status, const HttpFields& fields, std::string body,
                        Yield yield) override {
    (void)yield;
    status_ = status;
    fields_ = fields;
    body_ = std::move(body);
    return std::monostate();
  }
  ErrorOrVoid Begin(unsigned status, const HttpFields& fields, std::optional<std::uint64_t> length,
                    Yield yield) override {
    (void)length;
    return SendReply(status, fields, "", yield);
  }
  ErrorOrVoid Append(absl::string_view chunk, Yield yield) override {
    (void)yield;
    body_.append(chunk.data(), chunk.size());
    return std::monostate();
  }
  ErrorOrVoid Finish(Yield yield) override {
    (void)yield;
    return std::monostate();
  }
  void Abort() override {
    status_ = 0;
    aborted_ = true;
  }
  void CloseAfterReply() override {}
  bool started() const override { return status_ != 0; }

  unsigned status() const { return status_; }
  bool aborted() const { return aborted_; }
  std::string field(http::field name) const { return std::string(ToAbsl(fields_[name])); }

 private:
  unsigned status_ = 0;
  bool aborted_ = false;
  HttpFields fields_;
  std::string body_;
};

/// Routes of host "shop.example": /plain/ of the service "desk" with the servers s1 and s2, /model/
/// of the service "model" with the engines p1 and d1. Requests need the key "key-1".
class FrontFixture {
 public:
  FrontFixture() {
    contents.version = 1;
    contents.requires_keys = true;
    contents.services = {{"desk", 0, std::nullopt}, {"model", 0, EngineProfile{}}};
    contents.routes = {MakeRoute("/plain/", RequestKind::kIdempotent, "desk"),
                       MakeRoute("/plain-stream/", RequestKind::kStream, "desk"),
                       MakeRoute("/model/", RequestKind::kStream, "model")};
    contents.workspaces = {{"w1", {"key-1"}, std::nullopt, {}}};
    view.Apply(contents);
    for (const char* id : {"s1", "s2"}) AddServer(id, "desk", std::nullopt);
    AddServer("p1", "model", EngineRole::kPrefill);
    AddServer("d1", "model", EngineRole::kDecode);
  }

  /// Handles one request; `meanwhile` runs when the handler waits for the first time.
  RecordedReply Call(
      const std::string& path, const std::string& key = "key-1",
      const std::function<void()>& meanwhile = [] {}) {
    RecordedReply reply;
    bool done = false;
    SpawnFiber(io, "caller", [&](Yield yield) {
      HttpRequest request(http::verb::post, path, 11, "body");
      request.set(http::field::host, "shop.example");
      request.set("Key", key);
      if (resumes) request.set("Resumes", *resumes);
      Cancellation cancellation;
      asio::post(io, meanwhile);
      front.Handle(request, reply, cancellation, yield);
      done = true;
    });
    // Idle connections would keep run() waiting.
    while (!done) io.run_one();
    return reply;
  }
  /// Puts the next configuration in force, which adds the route /new/ and the key "key-2".
  void AddRouteAndKey() {
    ++contents.version;
    contents.routes.push_back(MakeRoute("/new/", RequestKind::kIdempotent, "desk"));
    contents.workspaces.push_back({"w2", {"key-2"}, std::nullopt, {}});
    view.Apply(contents);
  }
  /// Lists the server as started again at another software version.
  void StartAgainAt(const std::string& id, const std::string& version) {
    Replica replica = *view.replicas().Find(id);
    ++replica.started_unix_ms;
    replica.software_version = version;
    view.replicas().Upsert(replica);
  }
  int RequestsAt(const std::string& id) const { return servers.at(id)->requests(); }

  asio::io_context io;
  SystemClock clock;
  ClusterView view;
  CatalogContents contents;
  absl::Time catalog_confirmed_at = clock.Now();
  // When the list of servers was read; unset for a list that is always the newest one.
  std::optional<absl::Time> servers_read_at;
  // Named by the requests of Call.
  std::optional<RequestId> resumes;
  ScriptedPlacer placer{io};
  std::map<std::string, std::unique_ptr<AnsweringServer>> servers;

 private:
  static CatalogRoute MakeRoute(const std::string& prefix, RequestKind kind,
                                const std::string& service) {
    CatalogRoute route;
    route.name = prefix;
    route.host = "shop.example";
    route.path_prefix = prefix;
    route.kind = kind;
    route.timeout = absl::Seconds(5);
    route.latency_target = absl::Seconds(1);
    route.max_attempts = 2;
    route.services = {{service, 1}};
    return route;
  }
  void AddServer(const std::string& id, const std::string& service,
                 std::optional<EngineRole> role) {
    servers[id] = std::make_unique<AnsweringServer>(io);
    Replica replica;
    replica.id = id;
    replica.service = service;
    replica.address = servers[id]->address();
    replica.role = role;
    view.replicas().Upsert(replica);
  }

  ConnectionPool connections_{io, clock};
  PlainDialect dialect_;
  ReplicaHealth health_;
  ReplicaBalancer balancer_{"", health_};
  RetryBudgets budgets_{{.ratio = 1, .burst = 10}};

 public:
  FrontHandler front{{io, clock, view, dialect_, connections_, health_, balancer_, budgets_, placer,
                      placer, placer, [] { return std::size_t{1}; },
                      [this] { return catalog_confirmed_at; },
                      [this] { return servers_read_at.value_or(clock.Now()); },
                      [](const BackendServerId&) {}, [](const StatedRequestLimit&) {}}};
};

}  // namespace marigoldquay::testing

#endif  // MARIGOLDQUAY_RELAY_TESTS_FRONT_FIXTURE_H_
