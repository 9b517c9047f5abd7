// Plain services: guards against leaked keys, second runs and unbounded retries.
#include "marigoldquay/backend/plain_services.h"

#include <boost/test/unit_test.hpp>

#include "../../scheduling/tests/fakes.h"
#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "marigoldquay/backend/request_filter.h"

namespace marigoldquay {
namespace {

using testing::FakeConfigView;
using testing::FakeHttpClient;

constexpr absl::string_view kKey = "mq_k1_5f3a9c0d7e21b846";

struct Fixture {
  explicit Fixture(FakeHttpClient::Handler handler) : http(std::move(handler)) {
    std::vector<BackendServer> servers;
    for (const auto* id : {"a", "b", "c"}) {
      servers.push_back({.id = id, .pool = "p", .address = absl::StrCat(id, ":1")});
    }
    config.Set({}, servers);
  }
  std::variant<HttpResponse, Error> Perform(PlainRequest request = {}) {
    request.request_id = "r";
    request.workspace = "w";
    request.pool = "p";
    request.method = "GET";
    if (request.target.empty()) request.target = "/x";
    request.key_text = std::string(kKey);
    return Capture<HttpResponse>(
        [&] { return services.Perform(request, absl::Seconds(2), nullptr); });
  }
  DispatchResult Dispatch() {
    return services.Dispatch({.request_id = "r",
                              .workspace = "w",
                              .idempotency_key = "i",
                              .pool = "p",
                              .method = "POST",
                              .target = "/x"},
                             absl::Seconds(2));
  }

  FakeHttpClient http;
  FakeConfigView config;
  LeavingServers leaving;
  ManualClock clock;
  RetryBudget budget;
  PlainServices services{http, config, leaving, clock, budget};
};

Error Unavailable() { return {ErrorCode::kUnavailable, "perform", "x", "connection broke"}; }
Error NotSent() { return {ErrorCode::kNotSent, "perform", "x", "refused"}; }

std::string RejectedField(absl::string_view target, const HttpHeaders& headers,
                          absl::string_view body) {
  return HandleError(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(RejectKeyInRequest(target, headers, body, kKey));
        return std::string();
      },
      [](const Error& error) {
        BOOST_TEST((error.code == ErrorCode::kInvalidArgument));
        return error.message.substr(0, error.message.find(" contains"));
      });
}

BOOST_AUTO_TEST_SUITE(plain_services)

// Fails if a backend server receives the key in a header or a header that is not its business.
BOOST_AUTO_TEST_CASE(headers_are_filtered) {
  const HttpHeaders headers = {{"Authorization", "Bearer x"},
                               {"COOKIE", "a=b"},
                               {"Proxy-Authorization", "x"},
                               {"Connection", "close, X-Hop"},
                               {"X-Hop", "1"},
                               {"Transfer-Encoding", "chunked"},
                               {"X-Workspace", "other"},
                               {"X-Request-Id", "other"},
                               {"Idempotency-Key", "other"},
                               {"X-Key", absl::StrCat("token=", kKey)},
                               {"X-Coded", absl::Base64Escape(absl::StrCat("user:", kKey))},
                               {"X-Hex", absl::BytesToHexString(kKey)},
                               {"X-Break", "a\r\nAuthorization: b"},
                               {"Accept", "text/plain"}};
  BOOST_TEST((FilterRequestHeaders(headers, kKey) == HttpHeaders{{"Accept", "text/plain"}}));
}

// Fails if a key in the query or the body reaches a backend server in some encoding.
BOOST_AUTO_TEST_CASE(key_in_query_or_body_is_rejected_by_name) {
  BOOST_TEST(RejectedField("/x?a=1&b=2", {}, "{\"a\":\"b\"}").empty());
  BOOST_TEST(RejectedField(absl::StrCat("/x/", kKey), {}, "") == "path");
  BOOST_TEST(RejectedField(absl::StrCat("/x?a=1&k=", kKey), {}, "") == "query parameter k");
  BOOST_TEST(RejectedField("/x?k=%6dq_k1_5f3a9c0d7e21b846", {}, "") == "query parameter k");
  BOOST_TEST(RejectedField("/x?k=%256dq_k1_5f3a9c0d7e21b846", {}, "") == "query parameter k");
  BOOST_TEST(RejectedField("/x?k=5f3a9c0d7e21b846", {}, "") == "query parameter k");
  BOOST_TEST(RejectedField("/x", {}, absl::StrCat("{\"a\":[{\"b\":\"", kKey, "\"}]}")) ==
             "body field a.0.b");
  BOOST_TEST(RejectedField("/x", {}, "{\"a\":\"\\u006dq_k1_5f3a\\u0039c0d7e21b846\"}") ==
             "body field a");
  BOOST_TEST(RejectedField("/x", {{"Content-Type", "application/x-www-form-urlencoded"}},
                           absl::StrCat("a=1&f=", kKey)) == "body field f");
  BOOST_TEST(RejectedField("/x", {}, absl::StrCat("text ", kKey)) == "body");
  BOOST_TEST(absl::StrContains(RejectedField("/x", {{"Content-Encoding", "gzip"}}, "z"),
                               "Content-Encoding"));
  Fixture fixture([](const HttpRequest&) -> Result<HttpResponse> { return HttpResponse{200}; });
  BOOST_TEST(fixture.Perform({.target = absl::StrCat("/x?k=", kKey)}).index() == 1);
  BOOST_TEST(fixture.Perform({.idempotency_key = std::string(kKey)}).index() == 1);
  BOOST_TEST(fixture.http.requests().empty());
}

BOOST_AUTO_TEST_CASE(adds_router_headers_and_filters_answer) {
  Fixture fixture([](const HttpRequest&) -> Result<HttpResponse> {
    return HttpResponse{200, {{"connection", "x-hop"}, {"x-hop", "1"}, {"etag", "e"}}, "ok"};
  });
  const auto outcome = fixture.Perform({.idempotency_key = "i"});
  BOOST_REQUIRE(outcome.index() == 0);
  BOOST_TEST((std::get<0>(outcome).headers == HttpHeaders{{"etag", "e"}}));
  const auto request = fixture.http.requests().at(0);
  BOOST_TEST((request.headers ==
              HttpHeaders{{"X-Request-Id", "r"}, {"X-Workspace", "w"}, {"Idempotency-Key", "i"}}));
}

// Fails if retries go to the same server or beyond a tenth of the traffic.
BOOST_AUTO_TEST_CASE(retries_elsewhere_within_budget) {
  Fixture fixture([](const HttpRequest&) -> Result<HttpResponse> { return Fail(Unavailable()); });
  constexpr int kRequests = 200;
  for (int i = 0; i < kRequests; ++i) BOOST_TEST(fixture.Perform().index() == 1);
  const auto sent = fixture.http.requests();
  BOOST_TEST(sent.size() <= kRequests + kRequests / 10 + 1U);
  BOOST_TEST(sent.size() >= kRequests + kRequests / 10 - 1U);
  BOOST_TEST(sent[0].url != sent[1].url);
}

// Fails if a dead server keeps getting requests, or is never tried again.
BOOST_AUTO_TEST_CASE(dead_server_is_ejected_and_probed) {
  bool a_dead = true;
  int to_a = 0;
  Fixture fixture([&](const HttpRequest& request) -> Result<HttpResponse> {
    if (!absl::StartsWith(request.url, "http://a:")) return HttpResponse{200};
    ++to_a;
    if (a_dead) return Fail(NotSent());
    return HttpResponse{200};
  });
  for (int i = 0; i < 30; ++i) BOOST_TEST(fixture.Perform().index() == 0);
  BOOST_TEST(to_a == 3);
  a_dead = false;
  fixture.clock.Advance(absl::Seconds(2));
  for (int i = 0; i < 30; ++i) fixture.Perform();
  BOOST_TEST(to_a > 10);
}

// Fails if a leaving server or one of another pool gets a request.
BOOST_AUTO_TEST_CASE(leaving_servers_get_nothing) {
  Fixture fixture([](const HttpRequest&) -> Result<HttpResponse> { return HttpResponse{200}; });
  fixture.leaving.Update({{"a", VmKind::kBackend, VmState::kLeaving}});
  fixture.config.Set({}, {{.id = "a", .pool = "p", .address = "a:1"},
                          {.id = "b", .pool = "p", .state = BackendState::kLeaving},
                          {.id = "c", .pool = "other"}});
  const auto outcome = fixture.Perform();
  BOOST_REQUIRE(outcome.index() == 1);
  BOOST_TEST((std::get<1>(outcome).code == ErrorCode::kNotSent));
  BOOST_TEST((fixture.Dispatch().outcome == DispatchOutcome::kNotSent));
}

// Fails if a payment could run twice: another server only when nothing was sent.
BOOST_AUTO_TEST_CASE(dispatch_moves_on_only_when_nothing_was_sent) {
  std::vector<Error> errors = {NotSent(), NotSent()};
  Fixture fixture([&](const HttpRequest&) -> Result<HttpResponse> {
    if (errors.empty()) return HttpResponse{503, {}, "answer"};
    const auto error = errors.back();
    errors.pop_back();
    return Fail(error);
  });
  const auto answered = fixture.Dispatch();
  BOOST_TEST((answered.outcome == DispatchOutcome::kAnswered));
  BOOST_TEST(answered.status == 503);
  BOOST_TEST(fixture.http.requests().size() == 3U);
  errors = {NotSent(), NotSent(), NotSent()};
  BOOST_TEST((fixture.Dispatch().outcome == DispatchOutcome::kNotSent));
  for (const auto code : {ErrorCode::kTimeout, ErrorCode::kUnavailable, ErrorCode::kProtocol,
                          ErrorCode::kResourceExhausted, ErrorCode::kCancelled}) {
    errors = {{code, "perform", "x", ""}};
    const auto before = fixture.http.requests().size();
    BOOST_TEST((fixture.Dispatch().outcome == DispatchOutcome::kUnknown));
    BOOST_TEST(fixture.http.requests().size() == before + 1);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
