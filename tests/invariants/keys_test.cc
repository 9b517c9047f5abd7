// Invariant 3: a request runs only for the workspace of its key, no backend
// server sees a key, and a withdrawn key stops working within seconds.
#include "load.h"

namespace marigoldquay::testing {
namespace {

constexpr auto kWithdrawalTarget = absl::Seconds(5);

boost::json::array WithdrawKey(absl::string_view id) {
  return {boost::json::object{{"op", "withdraw"}, {"kind", "key"}, {"id", std::string(id)}}};
}

// A stream that runs until its key stops working.
struct KeyedStream {
  std::atomic<bool> started{false};
  std::atomic<bool> ended{false};
  ClientResponse response;
};

void RunStream(System& system, int vm, KeyedStream& stream) {
  auto request = system.CompletionRequest(vm, "w1", "Long. [tokens=5000]", 5000, true);
  request.timeout = absl::Seconds(60);
  request.on_data = [&](absl::string_view) {
    stream.started = true;
    return true;
  };
  stream.response = Fetch(request);
  stream.ended = true;
}

SystemOptions HighBurst() {
  SystemOptions options;
  options.workspaces = {{"w1", 1, 1000000, 10000000}, {"w2", 1, 1000000, 10000000}};
  return options;
}

BOOST_AUTO_TEST_SUITE(keys)

// Fails if a key reaches a backend server in any header, query or body, or if a service sees
// another workspace than the key's.
BOOST_AUTO_TEST_CASE(no_backend_server_sees_a_key) {
  TestSystem system(HighBurst());
  const auto key = System::KeyText("w1");
  for (int vm = 0; vm < system.vm_count(); ++vm) {
    Fetch(system.CompletionRequest(vm, "w1", "Prompt", 4, true));
    auto order = system.OrderRequest(vm, "w1", absl::StrCat("o", vm), "{}");
    order.headers.push_back(absl::StrCat("X-Custom: ", key));
    order.headers.push_back(absl::StrCat("Cookie: session=", key));
    order.headers.push_back("X-Workspace: w2");
    const auto response = Fetch(order);
    BOOST_TEST(response.status == 200);
    BOOST_TEST(response.Json()["workspace"].as_string() == "w1");
    auto in_query = system.OrderRequest(vm, "w1", absl::StrCat("q", vm), "{}");
    in_query.url += "?key=" + key;
    BOOST_TEST(Fetch(in_query).status == 400);
    auto in_body = system.OrderRequest(vm, "w1", absl::StrCat("b", vm), key);
    BOOST_TEST(Fetch(in_body).status == 400);
    auto status = system.OrderRequest(vm, "w1", "s", "");
    status.method = "GET";
    status.url = absl::StrCat("http://", system.vm(vm).caller, "/status");
    BOOST_TEST(Fetch(status).status == 200);
    Fetch(system.CompletionRequest(vm, "w1", "Prompt " + key, 4, true));
  }
  BOOST_TEST(system.KeyLeaks().empty());
}

BOOST_AUTO_TEST_CASE(missing_unknown_and_altered_keys_are_rejected) {
  TestSystem system(HighBurst());
  auto request = system.CompletionRequest(0, "w1", "Prompt", 4, false);
  for (const auto& header :
       {std::string("Authorization: Bearer mq_w1key_other"), std::string("Authorization: Bearer "),
        absl::StrCat("Authorization: Bearer ", System::KeyText("w1"), "x"),
        absl::StrCat("Authorization: Basic ", System::KeyText("w1"))}) {
    request.headers.back() = header;
    const auto response = Fetch(request);
    BOOST_TEST(response.status == 401, header);
    BOOST_TEST(Outcome(response) == "not_run");
  }
  request.headers.pop_back();
  BOOST_TEST(Fetch(request).status == 401);
  BOOST_TEST(system.EngineCount("prefills") == 0);
}

// Fails if a stream outlives its key, also on a VM that cannot read the log.
BOOST_AUTO_TEST_CASE(withdrawn_key_ends_its_streams_on_every_vm) {
  auto options = HighBurst();
  options.vms = 4;
  options.log_proxies = true;
  TestSystem system(options);
  system.vm(3).log_proxy->SetFaults({{"refuse", 1}});
  system.vm(3).log_proxy->Control("cut");
  std::vector<KeyedStream> streams(system.vm_count());
  Threads callers;
  for (int vm = 0; vm < system.vm_count(); ++vm) {
    callers.Start([&, vm] { RunStream(system, vm, streams[vm]); });
  }
  for (auto& stream : streams) {
    BOOST_REQUIRE(Eventually(absl::Seconds(10), [&] { return stream.started.load(); }));
  }
  absl::SleepFor(absl::Seconds(6));
  BOOST_TEST(!streams[3].ended, "a VM that peers keep current must go on serving");
  const auto confirmed = system.ApplyChanges(WithdrawKey("w1key"));
  BOOST_REQUIRE(confirmed.status == 200);
  for (auto& stream : streams) {
    BOOST_TEST(Eventually(kWithdrawalTarget, [&] { return stream.ended.load(); }));
  }
  callers.Join();
  for (int vm = 0; vm < system.vm_count(); ++vm) {
    BOOST_TEST(!StreamIsWhole(streams[vm].response));
    BOOST_TEST(Fetch(system.CompletionRequest(vm, "w1", "Prompt", 4, false)).status == 401);
    BOOST_TEST(Fetch(system.CompletionRequest(vm, "w2", "Prompt", 4, false)).status == 200);
  }
  BOOST_TEST(Eventually(absl::Seconds(5), [&] { return system.HeldPieces() == 0; }));
}

// Fails if a VM that can reach neither the log nor its peers goes on serving a withdrawn key.
BOOST_AUTO_TEST_CASE(isolated_vm_stops_serving_keyed_callers) {
  auto options = HighBurst();
  options.log_proxies = true;
  options.inner_proxies = true;
  TestSystem system(options);
  KeyedStream stream;
  Threads callers;
  callers.Start([&] { RunStream(system, 2, stream); });
  BOOST_REQUIRE(Eventually(absl::Seconds(10), [&] { return stream.started.load(); }));
  for (int vm = 0; vm < system.vm_count(); ++vm) {
    // Nothing gets in or out of VM 2; the others still reach each other.
    if (vm == 2) system.vm(vm).log_proxy->SetFaults({{"refuse", 1}});
    if (vm == 2) system.vm(vm).inner_proxy->SetFaults({{"refuse", 1}});
  }
  system.vm(2).log_proxy->Control("cut");
  system.vm(2).inner_proxy->Control("cut");
  // Its own calls to the others still pass, so the withdrawal reaches it.
  BOOST_REQUIRE(system.ApplyChanges(WithdrawKey("w1key")).status == 200);
  BOOST_TEST(Eventually(kWithdrawalTarget + absl::Seconds(1), [&] { return stream.ended.load(); }));
  callers.Join();
  BOOST_TEST(Fetch(system.CompletionRequest(2, "w1", "Prompt", 4, false)).status != 200);
}

// Fails if an outage of the log alone makes the VMs reject callers whose keys cannot have changed.
BOOST_AUTO_TEST_CASE(log_outage_does_not_reject_keyed_callers) {
  TestSystem system(HighBurst());
  system.log().SetFaults({{"outage", 1}});
  int served = 0;
  int rejected = 0;
  for (int i = 0; i < 24; ++i) {
    absl::SleepFor(absl::Milliseconds(500));
    const auto response = Fetch(system.CompletionRequest(i % 3, "w1", "Prompt", 4, false));
    ++(response.status == 200 ? served : rejected);
  }
  BOOST_TEST_MESSAGE("12 s of outage: served " << served << ", rejected " << rejected);
  BOOST_TEST(rejected == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay::testing
