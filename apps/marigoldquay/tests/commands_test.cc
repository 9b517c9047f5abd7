// Tests of commands against an operator server with objects in memory.
#include "commands.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "fake_operator_backend.h"
#include "marigoldquay/control/operator_server.h"
#include "marigoldquay/core/secret.h"

BOOST_TEST_DONT_PRINT_LOG_VALUE(marigoldquay::ExitCode)

namespace marigoldquay {
namespace {

using testing::FakeOperatorBackend;

constexpr char kToken[] = "0123456789abcdef";

struct Fixture {
  Fixture() {
    HandleError([&]() -> Result<void> { return server.Start(); },
                [](const Error& error) { BOOST_FAIL(error.ToString()); });
  }

  ExitCode Run(const std::string& words, const boost::json::object& fields = {}, bool json = false,
               const std::string& token = kToken, const std::string& address = "") {
    out.str("");
    err.str("");
    // Nothing listens on the first address, so that every command also uses the second.
    OperatorClient client(
        *http,
        {.addresses = {"127.0.0.1:1", address.empty() ? server.address() : address},
         .token = token},
        err);
    Commands commands(client, in, out, err);
    return commands.Run({absl::StrSplit(words, ' ', absl::SkipEmpty()), fields, json});
  }

  // The only change of the last intent.
  boost::json::object LastChange() {
    BOOST_REQUIRE(!backend.intents.empty());
    return backend.intents.back().at("changes").as_array().at(0).as_object();
  }

  FakeOperatorBackend backend;
  OperatorServer server{{.token = kToken}, backend};
  std::unique_ptr<HttpClient> http = MakeCurlHttpClient();
  std::istringstream in;
  std::ostringstream out;
  std::ostringstream err;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(commands, Fixture)

// Guards against partial objects, which would reset fields that were not given.
BOOST_AUTO_TEST_CASE(create_and_change_send_whole_objects) {
  BOOST_TEST(Run("workspace create mugs", {{"rate", 100}, {"burst", 500}}) == ExitCode::kDone);
  const boost::json::object created = {
      {"id", "mugs"}, {"weight", 1}, {"rate", 100}, {"burst", 500}};
  BOOST_TEST((LastChange() ==
              boost::json::object{
                  {"op", "put"}, {"kind", "workspace"}, {"id", "mugs"}, {"object", created}}));
  BOOST_TEST(absl::StrContains(out.str(), "To apply it: marigoldquay confirm d1\n"));
  backend.lists[ObjectList::kWorkspaces] = {created};
  BOOST_TEST(Run("workspace create mugs", {{"rate", 1}, {"burst", 1}}) == ExitCode::kConflict);
  BOOST_TEST(Run("rate change mugs", {{"rate", 200}}) == ExitCode::kDone);
  BOOST_TEST(LastChange().at("object").at("rate").as_int64() == 200);
  BOOST_TEST(LastChange().at("object").at("burst").as_int64() == 500);
  BOOST_TEST(Run("workspace change other", {{"rate", 1}}) == ExitCode::kInvalid);
  BOOST_TEST(Run("backend withdraw b-1") == ExitCode::kDone);
  BOOST_TEST((LastChange() ==
              boost::json::object{{"op", "withdraw"}, {"kind", "backend_server"}, {"id", "b-1"}}));
  BOOST_TEST(Run("route create /orders", {{"pool", "desk"}, {"methods", {"POST"}}}) ==
             ExitCode::kDone);
  BOOST_TEST(LastChange().at("object").at("prefix").as_string() == "/orders");
}

// Guards against a key's text that leaves the operator's machine or does not match its digest.
BOOST_AUTO_TEST_CASE(key_text_stays_local) {
  BOOST_TEST(Run("key create k7", {{"workspace", "mugs"}}, true) == ExitCode::kDone);
  const auto answer = boost::json::parse(out.str()).as_object();
  const std::string key(answer.at("key").as_string());
  BOOST_TEST(absl::StartsWith(key, "mq_k7_"));
  BOOST_TEST(key.size() == 6U + 64U);
  const auto object = LastChange().at("object").as_object();
  BOOST_TEST(std::string(object.at("digest").as_string()) == Sha256Hex(key));
  const std::string sent = boost::json::serialize(backend.intents.back());
  BOOST_TEST(!absl::StrContains(sent, key.substr(6)));
  backend.lists[ObjectList::kKeys] = {object};
  BOOST_TEST(Run("key change k7") == ExitCode::kDone);
  BOOST_TEST(LastChange().at("object").at("digest") != object.at("digest"));
  BOOST_TEST(LastChange().at("object").at("workspace").as_string() == "mugs");
  BOOST_TEST(Run("key create", {{"workspace", "mugs"}}) == ExitCode::kDone);
  BOOST_TEST(absl::StrContains(out.str(), "key: mq_"));
}

BOOST_AUTO_TEST_CASE(plan_confirm_status_and_report) {
  in.str(R"({"changes":[{"op":"withdraw","kind":"pool","id":"p"}]})");
  BOOST_TEST(Run("plan -") == ExitCode::kDone);
  BOOST_TEST(LastChange().at("id").as_string() == "p");
  backend.lists[ObjectList::kPlans] = {{{"digest", "d1"}, {"base_revision", 7}}};
  BOOST_TEST(Run("plan list") == ExitCode::kDone);
  BOOST_TEST(absl::StrContains(out.str(), "d1"));
  BOOST_TEST(Run("plan show d1") == ExitCode::kDone);
  BOOST_TEST(Run("plan show d2") == ExitCode::kInvalid);
  BOOST_TEST(Run("confirm d1") == ExitCode::kDone);
  BOOST_TEST(absl::StrContains(out.str(), "in force on 6 of 6 members"));
  backend.in_force = 5;
  BOOST_TEST(Run("confirm d1") == ExitCode::kNotEverywhere);
  BOOST_TEST(Run("status") == ExitCode::kDone);
  BOOST_TEST(absl::StrContains(out.str(), "yaba-1"));
  BOOST_TEST(Run("report burn", {{"workspace", "mugs"}}) == ExitCode::kDone);
  BOOST_TEST(absl::StrContains(out.str(), "needs attention: nobody"));
  BOOST_TEST(Run("report burn", {}, true) == ExitCode::kDone);
  BOOST_TEST(absl::StrContains(out.str(), "\"attention\""));
}

// Guards against scripts that cannot tell "not done" from "may have been done".
BOOST_AUTO_TEST_CASE(exit_codes_follow_the_failure) {
  const std::vector<std::pair<ErrorCode, ExitCode>> failures = {
      {ErrorCode::kInvalidArgument, ExitCode::kInvalid},
      {ErrorCode::kConflict, ExitCode::kConflict},
      {ErrorCode::kTimeout, ExitCode::kUnknown},
      {ErrorCode::kUnavailable, ExitCode::kUnknown},
      {ErrorCode::kNotSent, ExitCode::kUnavailable},
      {ErrorCode::kResourceExhausted, ExitCode::kUnavailable}};
  for (const auto& [code, exit_code] : failures) {
    backend.failure = Error{code, "confirm plan", "", "the reason"};
    BOOST_TEST(Run("confirm d1") == exit_code, ErrorCodeName(code).data());
    BOOST_TEST(absl::StrContains(err.str(), "the reason"));
  }
  BOOST_TEST(Run("confirm d1", {}, true) == ExitCode::kUnavailable);
  BOOST_TEST(absl::StrContains(out.str(), "\"exit_code\":8"));
  BOOST_TEST(Run("status", {}, false, "wrong") == ExitCode::kUnauthorized);
  BOOST_TEST(Run("status", {}, false, kToken, "127.0.0.1:1") == ExitCode::kNotReached);
}

// Guards against malformed commands that reach a VM or get an unclear error.
BOOST_AUTO_TEST_CASE(malformed_commands_name_what_is_allowed) {
  for (const std::string words :
       {"", "nothing", "workspace", "workspace create", "workspace remove a", "rate withdraw mugs",
        "workspace create UPPER", "key create a_b", "route create orders", "confirm", "report",
        "plan", "plan /nonexistent/file", "workspace create mugs"}) {
    BOOST_TEST(Run(words) == ExitCode::kUsage, words);
    BOOST_TEST(!err.str().empty(), words);
  }
  BOOST_TEST(Run("workspace create mugs", {{"model", "m"}}) == ExitCode::kUsage);
  BOOST_TEST(absl::StrContains(err.str(), "--model is no field of a workspace, allowed --weight"));
  BOOST_TEST(backend.intents.empty());
  BOOST_TEST(Run("help") == ExitCode::kDone);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace marigoldquay
