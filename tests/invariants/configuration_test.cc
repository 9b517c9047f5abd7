// Invariant 10: an accepted configuration is in force everywhere within 7 s and
// never reverts.
#include "load.h"
#include "marigoldquay/core/secret.h"

namespace marigoldquay::testing {
namespace {

constexpr auto kInForceTarget = absl::Seconds(7);

SystemOptions HighBurst() {
  SystemOptions options;
  options.workspaces = {{"w1", 1, 1000000, 10000000}};
  return options;
}

boost::json::array NewKey(absl::string_view id, absl::string_view digest_of) {
  return {System::Put("key", id, {{"workspace", "w1"}, {"digest", Sha256Hex(digest_of)}})};
}

ClientRequest WithKey(System& system, int vm, const std::string& key) {
  auto request = system.CompletionRequest(vm, "w1", "Prompt", 2, false);
  request.headers.back() = absl::StrCat("Authorization: Bearer ", key);
  return request;
}

// Whether the VM accepts the key. The request has no prompt, so that the answer depends on the
// configuration alone: 400 with an accepted key, 401 or 503 otherwise.
bool KeyWorks(System& system, int vm, const std::string& key) {
  auto request = WithKey(system, vm, key);
  request.body = R"({"model":"brief-writer"})";
  return Fetch(request).status == 400;
}

ClientResponse Plan(System& system, int vm, const boost::json::array& changes) {
  return PostJson(absl::StrCat("http://", system.vm(vm).operator_address, "/operator/v1/plan"),
                  boost::json::object{{"changes", changes}},
                  {absl::StrCat("Authorization: Bearer ", System::kOperatorToken)});
}

ClientResponse Confirm(System& system, int vm, const ClientResponse& plan) {
  return PostJson(absl::StrCat("http://", system.vm(vm).operator_address, "/operator/v1/confirm"),
                  boost::json::object{{"digest", plan.Json()["digest"]}},
                  {absl::StrCat("Authorization: Bearer ", System::kOperatorToken)});
}

BOOST_AUTO_TEST_SUITE(configuration)

// Fails if a VM that cannot read the log, or one that was paused, misses a change.
BOOST_AUTO_TEST_CASE(change_is_in_force_on_every_vm) {
  auto options = HighBurst();
  options.vms = 4;
  options.log_proxies = true;
  TestSystem system(options);
  system.vm(2).log_proxy->SetFaults({{"refuse", 1}});
  system.vm(2).log_proxy->Control("cut");
  system.vm(3).process.Pause();
  const std::string key = "mq_new_secret";
  BOOST_REQUIRE(system.ApplyChanges(NewKey("new", key)).status == 200);
  const auto accepted = absl::Now();
  system.vm(3).process.Resume();
  for (int vm = 0; vm < system.vm_count(); ++vm) {
    const auto left = accepted + kInForceTarget - absl::Now();
    BOOST_TEST(Eventually(left, [&] { return KeyWorks(system, vm, key); }), "vm " << vm);
  }
}

// Fails if a change is lost or reverted by a restart, with or without the log.
BOOST_AUTO_TEST_CASE(change_survives_restarts_also_with_the_log_down) {
  TestSystem system(HighBurst());
  const std::string key = "mq_kept_secret";
  BOOST_REQUIRE(system.ApplyChanges(NewKey("kept", key)).status == 200);
  boost::json::array withdraw = {
      boost::json::object{{"op", "withdraw"}, {"kind", "key"}, {"id", "kept"}}};
  for (int vm = 0; vm < system.vm_count(); ++vm) {
    BOOST_TEST(Eventually(kInForceTarget, [&] { return KeyWorks(system, vm, key); }));
  }
  BOOST_REQUIRE(system.ApplyChanges(withdraw).status == 200);
  system.vm(1).process.Kill();
  system.StartVm(1);
  BOOST_TEST(!KeyWorks(system, 1, key));
  system.AwaitServing(1);
  BOOST_TEST(!KeyWorks(system, 1, key));
  system.log().SetFaults({{"outage", 1}});
  system.vm(2).process.Kill();
  system.StartVm(2);
  for (int i = 0; i < 30; ++i) {
    BOOST_TEST(!KeyWorks(system, 2, key));
    absl::SleepFor(absl::Milliseconds(100));
  }
  system.log().SetFaults({});
  system.AwaitServing(2);
  BOOST_TEST(!KeyWorks(system, 2, key));
  BOOST_TEST(KeyWorks(system, 2, System::KeyText("w1")));
}

// Fails if a VM that starts after the log has dropped old records misses what they said.
BOOST_AUTO_TEST_CASE(state_survives_the_retention_of_the_log) {
  auto options = HighBurst();
  TestSystem system(options);
  for (int i = 0; i < 300; ++i) {
    const auto plan =
        Plan(system, 0,
             {System::Put("workspace", "w9",
                          {{"weight", 1 + i % 9}, {"rate", 1000 + i}, {"burst", 5000}})});
    BOOST_REQUIRE(plan.status == 200);
    BOOST_REQUIRE(Confirm(system, 0, plan).status == 200);
  }
  // A snapshot is due after 256 changes; then old records may go.
  absl::SleepFor(absl::Seconds(12));
  system.log().SetFaults({{"retain_records", 200}});
  BOOST_REQUIRE(Plan(system, 0, NewKey("later", "mq_later_x")).status == 200);
  for (int vm = 0; vm < system.vm_count(); ++vm) {
    system.vm(vm).process.Kill();
  }
  for (int vm = 0; vm < system.vm_count(); ++vm) {
    system.StartVm(vm);
  }
  for (int vm = 0; vm < system.vm_count(); ++vm) {
    system.AwaitServing(vm);
    BOOST_TEST(KeyWorks(system, vm, System::KeyText("w1")));
  }
}

// Fails if two conflicting plans are both applied, or if the loser is not told.
BOOST_AUTO_TEST_CASE(one_of_two_racing_operators_wins) {
  TestSystem system(HighBurst());
  for (int round = 0; round < 5; ++round) {
    const auto change = [](int rate) {
      return boost::json::array{System::Put("workspace", "w1", {{"rate", rate}})};
    };
    const auto first = Plan(system, 0, change(500000 + round));
    const auto second = Plan(system, 1, change(700000 + round));
    BOOST_REQUIRE((first.status == 200 && second.status == 200));
    ClientResponse answers[2];
    Threads operators;
    operators.Start([&] { answers[0] = Confirm(system, 1, first); });
    operators.Start([&] { answers[1] = Confirm(system, 2, second); });
    operators.Join();
    const int accepted = (answers[0].status == 200) + (answers[1].status == 200);
    BOOST_TEST(accepted == 1);
    const auto& loser = answers[0].status == 200 ? answers[1] : answers[0];
    BOOST_TEST(loser.status == 409);
    BOOST_TEST(!loser.body.empty());
  }
}

BOOST_AUTO_TEST_CASE(operator_without_token_is_rejected) {
  TestSystem system(HighBurst());
  const auto url =
      absl::StrCat("http://", system.vm(0).operator_address, "/operator/v1/workspaces");
  BOOST_TEST(Get(url).status == 401);
}

// Fails if a change is reported as accepted while the log is down.
BOOST_AUTO_TEST_CASE(changes_are_refused_while_the_log_is_down) {
  TestSystem system(HighBurst());
  system.log().SetFaults({{"outage", 1}});
  const auto answer = Plan(system, 0, NewKey("down", "mq_down_x"));
  BOOST_TEST(answer.status >= 500);
  BOOST_TEST((answer.duration < absl::Seconds(8)));
  system.log().SetFaults({});
  for (int vm = 0; vm < system.vm_count(); ++vm) BOOST_TEST(!KeyWorks(system, vm, "mq_down_x"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay::testing
