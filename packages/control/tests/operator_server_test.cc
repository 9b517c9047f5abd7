// Tests of the operators' interface over HTTP.
#include "marigoldquay/control/operator_server.h"

#include <boost/test/unit_test.hpp>

#include "absl/strings/match.h"
#include "fake_operator_backend.h"
#include "marigoldquay/transport/http_client.h"

namespace marigoldquay {
namespace {

using testing::FakeOperatorBackend;

constexpr char kToken[] = "0123456789abcdef";

struct Fixture {
  Fixture() {
    HandleError([&]() -> Result<void> { return server.Start(); },
                [](const Error& error) { BOOST_FAIL(error.ToString()); });
  }

  HttpResponse Send(const std::string& method, const std::string& path, const std::string& body,
                    const std::string& authorization = std::string("Bearer ") + kToken) {
    const HttpRequest request{
        method, "http://" + server.address() + path, {{"Authorization", authorization}}, body};
    return HandleError([&] { return client->Perform(request, {}); },
                       [](const Error& error) {
                         BOOST_ERROR(error.ToString());
                         return HttpResponse();
                       });
  }
  HttpResponse Get(const std::string& path) { return Send("GET", path, ""); }

  FakeOperatorBackend backend;
  OperatorServer server{{.token = kToken, .max_body_size = 1000}, backend};
  std::unique_ptr<HttpClient> client = MakeCurlHttpClient();
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(operator_server, Fixture)

// Guards against changes by someone without the token.
BOOST_AUTO_TEST_CASE(requests_without_the_token_are_rejected) {
  const std::string plan = R"({"changes":[{"op":"withdraw","kind":"key","id":"k"}]})";
  for (const std::string authorization : {"", "Bearer ", "Bearer 0123456789abcdeF",
                                          "Bearer 0123456789abcdef0", "Basic 0123456789abcdef"}) {
    const auto response = Send("POST", "/operator/v1/plan", plan, authorization);
    BOOST_TEST(response.status == 401, authorization);
    BOOST_TEST(absl::StrContains(response.body, "\"not_run\""));
  }
  BOOST_TEST(backend.intents.empty());
  BOOST_TEST(Send("POST", "/operator/v1/plan", plan).status == 200);
  BOOST_TEST(backend.intents.size() == 1U);
}

BOOST_AUTO_TEST_CASE(endpoints_reach_the_backend) {
  backend.lists[ObjectList::kRoutes] = {{{"prefix", "/orders"}}, {{"prefix", "/status"}}};
  const auto confirm = Send("POST", "/operator/v1/confirm", R"({"digest":"d1"})");
  BOOST_TEST(confirm.status == 200);
  BOOST_TEST(absl::StrContains(confirm.body, "\"in_force\":6"));
  BOOST_TEST(backend.confirmed == "d1");
  for (const char* list : {"workspaces", "keys", "pools", "backends", "plans"}) {
    const auto response = Get(std::string("/operator/v1/") + list);
    BOOST_TEST(response.body == "{\"" + std::string(list) + "\":[]}\n");
  }
  BOOST_TEST(Get("/operator/v1/routes?id=%2Forders").body ==
             "{\"routes\":[{\"prefix\":\"/orders\"}]}\n");
  BOOST_TEST(absl::StrContains(Get("/operator/v1/status").body, "yaba-1"));
  BOOST_TEST(absl::StrContains(Get("/operator/v1/burn?workspace=mugs").body, "\"mugs\""));
  BOOST_TEST(
      absl::StrContains(Get("/operator/v1/burn?format=text").body, "needs attention: nobody"));
}

// Guards against unclear errors and against a lost confirmation reported as "not run".
BOOST_AUTO_TEST_CASE(failures_have_status_field_and_outcome) {
  BOOST_TEST(Get("/operator/v1/nothing").status == 404);
  BOOST_TEST(Get("/operator/v1/plan").status == 404);
  BOOST_TEST(Get("/metrics").status == 404);
  const std::vector<std::pair<std::string, std::string>> bodies = {
      {"", "body"}, {"[]", "body"}, {"{}", "changes"}, {R"({"changes":[]})", "changes"}};
  for (const auto& [body, field] : bodies) {
    const auto response = Send("POST", "/operator/v1/plan", body);
    BOOST_TEST(response.status == 400, body);
    BOOST_TEST(absl::StrContains(response.body, field + ", allowed"), body);
  }
  BOOST_TEST(Send("POST", "/operator/v1/confirm", R"({"digest":7})").status == 400);
  BOOST_TEST(Send("POST", "/operator/v1/plan", std::string(1001, ' ')).status == 413);
  backend.failure = Error{ErrorCode::kConflict, "confirm plan", "", "workspace mugs has changed"};
  const auto conflict = Send("POST", "/operator/v1/confirm", R"({"digest":"d1"})");
  BOOST_TEST(conflict.status == 409);
  BOOST_TEST(absl::StrContains(conflict.body, "workspace mugs has changed"));
  BOOST_TEST(absl::StrContains(conflict.body, "\"outcome\":\"not_run\""));
  backend.failure->code = ErrorCode::kTimeout;
  const auto lost = Send("POST", "/operator/v1/confirm", R"({"digest":"d1"})");
  BOOST_TEST(lost.status == 504);
  BOOST_TEST(absl::StrContains(lost.body, "\"outcome\":\"unknown\""));
}

BOOST_AUTO_TEST_CASE(settings_are_checked) {
  const auto start = [&](OperatorServerOptions options) {
    OperatorServer other(std::move(options), backend);
    return Capture<int>([&]() -> Result<int> {
      BOOST_LEAF_CHECK(other.Start());
      return 0;
    });
  };
  BOOST_TEST(absl::StrContains(std::get<1>(start({.token = "short"})).message, "allowed 16"));
  BOOST_TEST((std::get<1>(start({.host = "localhost", .token = kToken})).code ==
              ErrorCode::kInvalidArgument));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace marigoldquay
