// Responses that a backend server breaks off, relayed in this process: the response ends after each
// of its bytes in turn, once with FIN and once with RST.
#include <arpa/inet.h>
#include <sys/socket.h>

#include <boost/test/unit_test.hpp>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "marigoldquay/platform/header_dialect.h"
#include "marigoldquay/relay/front_handler.h"
#include "tcp_stub_server.h"
#include "test_http.h"

namespace marigoldquay::testing {
namespace {

enum class Ending { kFin, kRst };

constexpr char kRequestId[] = "request-1";
constexpr char kEvents[] = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
// Time for the router to read what precedes a reset, which discards bytes that are still unread.
constexpr absl::Duration kBeforeReset = absl::Milliseconds(2);

std::string Head(absl::string_view length) {
  return absl::StrCat("HTTP/1.1 200 OK\r\nAttempt-Id: ", kRequestId,
                      "\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\n", length,
                      "\r\n");
}

std::string Unframed() { return absl::StrCat(Head(""), kEvents); }
std::string WithLength() {
  const absl::string_view events = kEvents;
  return absl::StrCat(Head(absl::StrCat("Content-Length: ", events.size(), "\r\n")), events);
}
std::string Chunked() {
  const absl::string_view events = kEvents;
  return absl::StrCat(Head("Transfer-Encoding: chunked\r\n"), absl::Hex(events.size()), "\r\n",
                      events, "\r\n0\r\n\r\n");
}

// Disconnecting a TCP socket this way sends RST.
void Reset(const StubConnection& connection) {
  sockaddr_in unspecified{};
  unspecified.sin_family = AF_UNSPEC;
  (void)connect(connection.fd(), reinterpret_cast<sockaddr*>(&unspecified), sizeof(unspecified));
}

/// A backend server that ends its responses as the test says.
class BreakingServer {
 public:
  BreakingServer() : server_([this](const StubConnection& connection) { script_(connection); }) {}

  void Set(std::string bytes, Ending ending) {
    script_ = [bytes = std::move(bytes), ending](const StubConnection& connection) {
      connection.ReadUntil("\r\n\r\n");
      connection.Send(bytes);
      if (ending == Ending::kFin) return;
      absl::SleepFor(kBeforeReset);
      Reset(connection);
    };
  }
  void Set(TcpStubServer::Script script) { script_ = std::move(script); }
  const Address& address() const { return server_.address(); }

 private:
  TcpStubServer::Script script_ = [](const StubConnection&) {};
  TcpStubServer server_;
};

/// Places every request on the engine e1, and on e2 when that one has failed and there are two.
class FixedPlacer final : public StreamPlacer {
 public:
  PlacementOutcome Place(const StreamPlacementRequest& request, Cancellation& cancellation,
                         Yield yield) override {
    (void)cancellation;
    (void)yield;
    const auto& excluded = request.demand.excluded;
    for (const std::string engine : {"e1", "e2"}) {
      if (engine == "e2" && engines_ < 2) break;
      if (std::find(excluded.begin(), excluded.end(), engine) != excluded.end()) continue;
      StreamPlacement placement;
      placement.service = request.service;
      placement.decode = engine;
      return placement;
    }
    return PlacementRefusal{false, {}, "no other engine"};
  }
  void set_engines(std::size_t engines) { engines_ = engines; }
  void OnPrefillEnd(const StreamPlacement& placement, bool ok) override {
    (void)placement;
    (void)ok;
  }
  void OnFirstEvent(const StreamPlacement& placement) override { (void)placement; }
  void OnEnd(const StreamPlacement& placement, StreamEnd end) override {
    (void)placement;
    (void)end;
  }

 private:
  std::size_t engines_ = 1;
};

class NoCrashes final : public CrashGuard {
 public:
  void OnCrash(const ServerCrash& crash) override { (void)crash; }
  void OnRequestServed(RequestFingerprint request) override { (void)request; }
  absl::Duration QuarantineTimeLeft(std::span<const RequestTrait> traits) const override {
    (void)traits;
    return absl::ZeroDuration();
  }
};

class OpenQuota final : public QuotaGate {
 public:
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
    (void)tokens;
  }
  QuotaDecision AdmitRequest(const Replica& server, Cancellation& cancellation,
                             Yield yield) override {
    (void)server;
    (void)cancellation;
    (void)yield;
    return {true, absl::ZeroDuration()};
  }
};

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

/// A relay with one engine or two and one plain server, all of them breaking servers. Routes:
/// /resumed/ and /once/ lead to the engines, /plain/, /plain-stream/ and /lookup/ to the plain
/// server.
class Relay {
 public:
  Relay()
      : connections_(io_, clock_),
        balancer_("z1", health_),
        budgets_(RetryBudgetLimits{}),
        handler_({io_, clock_, view_, dialect_, connections_, health_, balancer_, budgets_, placer_,
                  crash_guard_, quota_, [] { return std::size_t{1}; },
                  [this] { return clock_.Now(); }, [](const BackendServerId&) {},
                  [](const StatedRequestLimit&) {}}),
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
    view_.replicas().Upsert(Server("s1", "plain", plain_.address()));
    const auto started = listener_.Start("127.0.0.1:0");
    BOOST_REQUIRE(started.ok());
    url_ = "http://" + listener_.address();
    thread_ = std::thread([this] {
      const auto work = asio::make_work_guard(io_);
      io_.run();
    });
  }
  ~Relay() {
    io_.stop();
    thread_.join();
  }
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  /// What the caller gets when the backend server sends `bytes` and then ends the connection.
  ClientResponse Call(const std::string& path, const std::string& bytes, Ending ending) {
    engine_.Set(bytes, ending);
    plain_.Set(bytes, ending);
    return Call(path);
  }
  /// What the caller gets when the first engine breaks its stream off after `first` and the second
  /// one sends `second` and then ends the connection.
  ClientResponse CallTwoEngines(const std::string& path, const std::string& first,
                                const std::string& second, Ending ending) {
    placer_.set_engines(2);
    engine_.Set(first, Ending::kFin);
    second_engine_.Set(second, ending);
    return Call(path);
  }
  /// Sets what the backend servers do with each connection.
  void Script(const TcpStubServer::Script& script) {
    engine_.Set(script);
    plain_.Set(script);
  }
  ClientResponse Call(const std::string& path) {
    ForgetFailures();
    ClientRequest request;
    request.url = url_ + path + "x";
    request.headers = {"Host: shop.example", absl::StrCat("Attempt-Id: ", kRequestId)};
    request.timeout = absl::Seconds(5);
    return Fetch(request);
  }

 private:
  // Otherwise the servers get no requests for a while after each failure.
  void ForgetFailures() {
    std::promise<void> done;
    asio::post(io_, [&] {
      health_.Retain({});
      done.set_value();
    });
    done.get_future().wait();
  }

  static Replica Server(const std::string& id, const std::string& service, const Address& address) {
    Replica server;
    server.id = id;
    server.service = service;
    server.address = address;
    return server;
  }

  BreakingServer engine_;
  BreakingServer second_engine_;
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

// Whether the caller can take the response for a complete one.
bool LooksComplete(const ClientResponse& response) {
  return response.status == 200 && response.complete();
}

// The cuts of `whole` after which the caller gets a response that looks complete, by body size.
std::vector<std::size_t> CutsThatLookComplete(Relay& relay, const std::string& path,
                                              const std::string& whole, Ending ending) {
  std::vector<std::size_t> cuts;
  for (std::size_t cut = 0; cut < whole.size(); ++cut) {
    if (LooksComplete(relay.Call(path, whole.substr(0, cut), ending))) cuts.push_back(cut);
  }
  return cuts;
}

// Cuts of an unframed response at which its stream ends between two events.
std::vector<std::size_t> EventBoundaries(const std::string& whole) {
  const std::size_t head = whole.find("\r\n\r\n") + 4;
  std::vector<std::size_t> cuts;
  for (auto end = whole.find("\n\n", head); end != std::string::npos && end + 2 < whole.size();
       end = whole.find("\n\n", end + 2)) {
    cuts.push_back(end + 2);
  }
  return cuts;
}

std::vector<std::string> StreamPaths() { return {"/resumed/", "/once/", "/plain-stream/"}; }

BOOST_AUTO_TEST_SUITE(broken_off_responses)

BOOST_AUTO_TEST_CASE(whole_responses_are_complete) {
  Relay relay;
  for (const auto& path : StreamPaths()) {
    for (const auto& whole : {Unframed(), WithLength(), Chunked()}) {
      const auto response = relay.Call(path, whole, Ending::kFin);
      BOOST_TEST(LooksComplete(response), path);
      BOOST_TEST(response.body == kEvents);
    }
  }
}

// Guards against a stream that looks complete though its length or chunks say that bytes are
// missing.
BOOST_AUTO_TEST_CASE(framed_stream_that_is_cut_does_not_look_complete) {
  Relay relay;
  for (const auto& path : StreamPaths()) {
    for (const Ending ending : {Ending::kFin, Ending::kRst}) {
      BOOST_TEST(CutsThatLookComplete(relay, path, WithLength(), ending).empty(), path);
      BOOST_TEST(CutsThatLookComplete(relay, path, Chunked(), ending).empty(), path);
    }
  }
}

// Guards against a stream without length and chunks that looks complete though it ended inside an
// event.
BOOST_AUTO_TEST_CASE(unframed_stream_that_ends_inside_an_event_does_not_look_complete) {
  Relay relay;
  const std::string whole = Unframed();
  for (const auto& path : StreamPaths()) {
    const auto cuts = CutsThatLookComplete(relay, path, whole, Ending::kFin);
    const auto boundaries = EventBoundaries(whole);
    for (const std::size_t cut : cuts) {
      const bool between = std::find(boundaries.begin(), boundaries.end(), cut) != boundaries.end();
      BOOST_TEST(between, path << " looks complete after byte " << cut);
    }
  }
}

// Guards against a reset that is taken for the end of a response without length and chunks.
BOOST_AUTO_TEST_CASE(unframed_response_that_is_reset_does_not_look_complete) {
  Relay relay;
  for (const std::string path : {"/resumed/", "/once/", "/plain-stream/", "/plain/"}) {
    BOOST_TEST(CutsThatLookComplete(relay, path, Unframed(), Ending::kRst).empty(), path);
    BOOST_TEST(!LooksComplete(relay.Call(path, Unframed(), Ending::kRst)), path);
  }
}

// Guards against an error of the server that was to continue a stream, whose text or head the
// caller gets within the stream, and against a stream that looks complete because of it.
BOOST_AUTO_TEST_CASE(error_of_the_second_server_does_not_get_into_the_stream) {
  const std::string error = "engine is out of order";
  const std::string kinds[] = {
      absl::StrCat("HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: ", kRequestId,
                   "\r\nContent-Type: text/plain\r\nContent-Length: ", error.size(), "\r\n\r\n",
                   error),
      absl::StrCat("HTTP/1.1 502 Bad Gateway\r\n\r\n", error),
      absl::StrCat("HTTP/1.1 200 OK\r\nAttempt-Id: ", kRequestId,
                   "\r\nResponse-Seal: s\r\nContent-Type: text/plain\r\nContent-Length: ",
                   error.size(), "\r\n\r\n", error)};
  const std::string events = kEvents;
  const std::string first = absl::StrCat(Head(""), events.substr(0, events.find("id: 2") + 8));
  Relay relay;
  for (const std::string& second : kinds) {
    for (const Ending ending : {Ending::kFin, Ending::kRst}) {
      for (std::size_t cut = 0; cut <= second.size(); ++cut) {
        const auto response =
            relay.CallTwoEngines("/resumed/", first, second.substr(0, cut), ending);
        BOOST_TEST(!LooksComplete(response), "looks complete after byte " << cut);
        const bool only_events = absl::StartsWith(kEvents, response.body);
        BOOST_TEST(only_events, "the caller got " << response.body);
      }
    }
  }
}

// Guards against a response that is cut inside its head and reaches the caller as a success with an
// empty or short body.
BOOST_AUTO_TEST_CASE(response_that_is_cut_inside_its_head_is_no_success) {
  Relay relay;
  for (const std::string path : {"/plain/", "/lookup/", "/plain-stream/", "/once/", "/resumed/"}) {
    for (const auto& whole : {Unframed(), WithLength(), Chunked()}) {
      const std::size_t head = whole.find("\r\n\r\n") + 4;
      for (const Ending ending : {Ending::kFin, Ending::kRst}) {
        for (std::size_t cut = 0; cut < head; ++cut) {
          const auto response = relay.Call(path, whole.substr(0, cut), ending);
          BOOST_TEST(response.status != 200, path << " succeeds after byte " << cut);
        }
      }
    }
  }
}

// Guards against a response whose body is shorter than its length or chunks say and that reaches
// the caller as a whole one, framed anew.
BOOST_AUTO_TEST_CASE(framed_response_that_is_cut_is_no_success) {
  Relay relay;
  for (const std::string path : {"/plain/", "/lookup/"}) {
    for (const Ending ending : {Ending::kFin, Ending::kRst}) {
      BOOST_TEST(CutsThatLookComplete(relay, path, WithLength(), ending).empty(), path);
      BOOST_TEST(CutsThatLookComplete(relay, path, Chunked(), ending).empty(), path);
    }
  }
}

// Guards against an earlier refusal that the server sends once more on a kept connection, and that
// the caller of the next request is told as its own.
BOOST_AUTO_TEST_CASE(earlier_refusal_on_a_kept_connection_is_not_passed_on) {
  const std::string whole = absl::StrCat("HTTP/1.1 200 OK\r\nAttempt-Id: ", kRequestId,
                                         "\r\nResponse-Seal: s\r\nContent-Length: 2\r\n\r\nok");
  const std::string refusal =
      "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  Relay relay;
  relay.Script([&](const StubConnection& connection) {
    connection.ReadUntil("\r\n\r\n");
    connection.Send(whole);
    connection.ReadUntil("\r\n\r\n");
    // The request of this connection is being executed, and answered with an earlier refusal.
    connection.Send(refusal);
    connection.AwaitClose();
  });
  const auto first = relay.Call("/lookup/");
  BOOST_TEST(first.status == 200);
  const auto second = relay.Call("/lookup/");
  BOOST_TEST(second.status != 503);
  BOOST_TEST(second.body.find("not_run") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay::testing
