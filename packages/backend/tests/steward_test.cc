// Steward: guards against engine memory that nobody frees, requests that are
// cancelled although they run, and orders of two stewards.
#include "marigoldquay/backend/steward.h"

#include <boost/test/unit_test.hpp>

#include "../../scheduling/tests/fakes.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "marigoldquay/scheduling/json_fields.h"

namespace marigoldquay {
namespace {

using testing::FakeConfigView;
using testing::FakeHttpClient;
using testing::FakeMemberView;
using testing::FakeRpc;

struct Fixture {
  Fixture() {
    for (const auto* vm : {"a", "b", "c"}) members.Add(vm, 1);
    members.SetRanking({"self", "a", "b", "c"});
    SetServer(true);
    rpc.handler = [this](const Address& peer, protocol::MessageType, absl::string_view,
                         const CallOptions&) -> Result<std::string> {
      if (failure) return Fail(*failure);
      protocol::HoldsReplyT reply;
      reply.sender = ToWire(Instance{peer.substr(0, 1), 1});
      reply.known = {"known"};
      return EncodeMessage(reply);
    };
  }
  void SetServer(bool checks_fencing) {
    config.Set({},
               {{.id = "d",
                 .role = BackendRole::kDecode,
                 .address = "d:1",
                 .checks_fencing = checks_fencing}},
               42);
  }
  void Hold(const std::string& id, const std::string& holder, int age_ms = 5000) {
    holds[id] = absl::StrCat("{\"request_id\":\"", id, "\",\"holder\":\"", holder,
                             "\",\"pieces\":1,\"age_ms\":", age_ms, "}");
  }
  Result<HttpResponse> Answer(const HttpRequest& request) {
    if (absl::EndsWith(request.url, "/v1/holds")) {
      std::string list;
      for (const auto& [id, json] : holds) absl::StrAppend(&list, list.empty() ? "" : ",", json);
      return HttpResponse{200, {}, absl::StrCat("{\"holds\":[", list, "]}")};
    }
    if (absl::EndsWith(request.url, "/v1/load")) {
      return HttpResponse{200, {}, absl::StrCat("{\"slots\":4,\"role\":\"", role, "\"}")};
    }
    if (absl::EndsWith(request.url, "/v1/orders")) {
      orders.push_back(request.body);
      return HttpResponse{order_status, {}, "{}"};
    }
    const auto body = ParseJsonObject(request.body);
    holds.erase(std::string(*FindJsonString(*body, "request_id")));
    return HttpResponse{200, {}, "{\"released\":1}"};
  }
  void Check() { BOOST_TEST(steward.CheckServer("d")); }

  std::map<std::string, std::string> holds;
  std::string role = "decode";
  std::vector<std::string> orders;
  int order_status = 200;
  std::optional<Error> failure;
  FakeHttpClient http{[this](const HttpRequest& request) { return Answer(request); }};
  std::unique_ptr<EngineReports> reports = MakeHttpEngineReports(http);
  FakeRpc rpc;
  FakeConfigView config;
  FakeMemberView members{"self"};
  ActiveRequestSet own;
  ManualClock clock;
  Steward steward{{}, http, *reports, rpc, config, members, own, clock};
};

BOOST_AUTO_TEST_SUITE(steward)

// Fails if holds without a running request stay, or if running ones are cancelled.
BOOST_AUTO_TEST_CASE(cancels_what_nobody_runs) {
  Fixture f;
  f.own.Add("mine");
  f.Hold("mine", "self/1");
  f.Hold("forgotten", "self/1");
  f.Hold("known", "a/1");
  f.Hold("unknown", "a/1");
  f.Hold("young", "a/1", 1999);
  f.Hold("replaced", "a/9");
  f.Hold("removed", "z/1");
  f.Hold("foreign", "not an instance");
  f.Check();
  std::set<std::string> left;
  for (const auto& [id, json] : f.holds) left.insert(id);
  BOOST_TEST((left == std::set<std::string>{"mine", "known", "young", "foreign"}));
}

// Fails if memory of a VM that refuses connections is kept, or lost after one failed attempt.
BOOST_AUTO_TEST_CASE(holder_that_refuses_connections_loses_its_holds) {
  Fixture f;
  f.Hold("known", "a/1");
  f.failure = Error{ErrorCode::kNotSent, "call", "a", "refused"};
  f.Check();
  BOOST_TEST(f.holds.size() == 1U);
  f.Check();
  BOOST_TEST(f.holds.empty());
}

// Fails if memory of a silent VM is kept for more than about 3 s, or lost earlier.
BOOST_AUTO_TEST_CASE(silent_holder_loses_its_holds) {
  Fixture f;
  f.Hold("known", "a/1");
  f.Check();
  f.failure = Error{ErrorCode::kTimeout, "call", "a", "no answer"};
  for (int i = 0; i < 2; ++i) {
    f.clock.Advance(absl::Seconds(1));
    f.Check();
    BOOST_TEST(f.holds.size() == 1U);
  }
  f.clock.Advance(absl::Seconds(1));
  f.Check();
  BOOST_TEST(f.holds.empty());
}

// Fails if a new steward must watch a dead VM for another 3 s.
BOOST_AUTO_TEST_CASE(missing_heartbeats_count_as_silence) {
  Fixture f;
  f.Hold("known", "a/1");
  f.failure = Error{ErrorCode::kTimeout, "call", "a", "no answer"};
  f.members.SetResponsive("a", false);
  f.Check();
  BOOST_TEST(f.holds.empty());
}

// Fails if a steward that is cut off from the other VMs ends their requests.
BOOST_AUTO_TEST_CASE(isolated_steward_cancels_nothing_of_others) {
  Fixture f;
  for (const auto* vm : {"a", "b", "c"}) f.members.SetResponsive(vm, false);
  f.Hold("known", "a/1");
  f.Hold("new", "z/1");
  f.failure = Error{ErrorCode::kNotSent, "call", "a", "no route"};
  for (int i = 0; i < 10; ++i) {
    f.clock.Advance(absl::Seconds(1));
    f.Check();
  }
  BOOST_TEST(f.holds.size() == 2U);
}

// Fails if a server keeps a role that is not the configured one, or changes it while in use.
BOOST_AUTO_TEST_CASE(orders_the_configured_role_once_drained) {
  Fixture f;
  f.role = "prefill";
  f.Hold("known", "a/1");
  f.Check();
  BOOST_TEST(f.orders.empty());
  f.holds.clear();
  f.Check();
  BOOST_REQUIRE(f.orders.size() == 1U);
  BOOST_TEST(absl::StrContains(f.orders[0], "\"set_role\""));
  BOOST_TEST(absl::StrContains(f.orders[0], "\"decode\""));
  BOOST_TEST(absl::StrContains(f.orders[0], "\"fencing\":42"));
  // The report lags; the order must not be repeated meanwhile.
  f.clock.Advance(absl::Seconds(1));
  f.Check();
  BOOST_TEST(f.orders.size() == 1U);
  f.role = "decode";
  f.clock.Advance(absl::Seconds(10));
  f.Check();
  BOOST_TEST(f.orders.size() == 1U);
}

// Fails if two stewards can order a server that obeys old fencing numbers.
BOOST_AUTO_TEST_CASE(unchecked_server_needs_the_exclusive_role) {
  Fixture f;
  f.SetServer(false);
  f.role = "prefill";
  f.members.SetHoldsExclusively(false);
  f.Check();
  f.members.SetHoldsExclusively(true);
  f.Check();
  f.clock.Advance(absl::Milliseconds(1999));
  f.Check();
  BOOST_TEST(f.orders.empty());
  // Losing the role in between starts the wait anew.
  f.members.SetHoldsExclusively(false);
  f.Check();
  f.members.SetHoldsExclusively(true);
  f.clock.Advance(absl::Seconds(1));
  f.Check();
  BOOST_TEST(f.orders.empty());
  f.clock.Advance(absl::Seconds(2));
  f.Check();
  BOOST_TEST(f.orders.size() == 1U);
}

// Fails if holds of a server are listed by no VM or by several.
BOOST_AUTO_TEST_CASE(first_in_rank_is_the_steward) {
  Fixture f;
  BOOST_TEST((f.steward.OwnServers() == std::set<std::string>{"d"}));
  f.members.SetRanking({"a", "self"});
  BOOST_TEST(f.steward.OwnServers().empty());
}

// Fails if a process denies requests that it runs, or grows without bound.
BOOST_AUTO_TEST_CASE(holds_handler_names_active_requests) {
  Fixture f;
  f.rpc.handler = nullptr;
  RegisterHoldsHandler(f.rpc, f.own, f.members);
  f.own.Add("r1");
  BOOST_TEST(!f.own.Add("r1"));
  protocol::HoldsRequestT request;
  request.request_ids = {"r1", "r2"};
  const auto reply = Capture<protocol::HoldsReplyT>([&] {
    return CallPeer<protocol::HoldsReplyT>(f.rpc, "self:1", protocol::MessageType::Holds, request,
                                           {});
  });
  BOOST_REQUIRE(reply.index() == 0);
  BOOST_TEST((std::get<0>(reply).known == std::vector<std::string>{"r1"}));
  BOOST_TEST((FromWire(*std::get<0>(reply).sender) == f.members.self()));
  ActiveRequestSet small(1);
  BOOST_TEST(small.Add("r1"));
  BOOST_TEST(!small.Add("r2"));
  small.Remove("r1");
  BOOST_TEST(small.Add("r2"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
