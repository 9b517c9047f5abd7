// Tests of the stand-ins: a wrong stand-in would hide faults of the router.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/synchronization/mutex.h"
#include "system_test.h"

namespace marigoldquay::testing {
namespace {

SystemOptions OnlyFakes(int prefill, int decode, int plain) {
  SystemOptions options;
  options.vms = 0;
  options.prefill_engines = prefill;
  options.decode_engines = decode;
  options.plain_services = plain;
  return options;
}

ClientResponse Prefill(const Server& server, const std::string& id, const std::string& prompt,
                       int prompt_tokens, int priority = 0) {
  return PostJson(server.Url("/v1/prefill"), {{"request_id", id},
                                              {"holder", "vm1/1"},
                                              {"model", "brief-writer"},
                                              {"prompt", prompt},
                                              {"prompt_tokens", prompt_tokens},
                                              {"priority", priority}});
}

ClientRequest DecodeRequest(const Server& decode, const Server& prefill, const std::string& id,
                            const std::string& handle) {
  const boost::json::object source = {{"address", prefill.address}, {"handle", handle}};
  const boost::json::object body = {
      {"request_id", id},     {"holder", "vm1/1"},  {"model", "brief-writer"}, {"source", source},
      {"prompt_tokens", 100}, {"max_tokens", 1000}, {"from_token", 0}};
  return {"POST", decode.Url("/v1/decode"), {}, boost::json::serialize(body)};
}

std::string Handle(const ClientResponse& prefill) {
  return prefill.Json().at("handle").as_string().c_str();
}

std::int64_t Stat(const Server& server, const char* name) {
  return server.GetJson("/test/stats").at(name).to_number<std::int64_t>();
}

std::string EngineText(const ClientResponse& response) {
  std::string text;
  for (const std::string& event : SseEvents(response.body)) {
    boost::json::error_code error;
    const auto value = boost::json::parse(event, error);
    if (!error && value.as_object().contains("token")) {
      text += value.at("token").as_string().c_str();
    }
  }
  return text;
}

// Guards against an engine that gives another answer than the one tests compare with, or that keeps
// memory after the last token.
BOOST_AUTO_TEST_CASE(EngineAnswersAndFreesMemory) {
  TestSystem system(OnlyFakes(1, 1, 0));
  const Server& prefill = system.backend("p1").server;
  const Server& decode = system.backend("d1").server;
  const std::string prompt = "A brief. [tokens=5]";
  const ClientResponse prefilled = Prefill(prefill, "r1", prompt, 4001);
  BOOST_REQUIRE_EQUAL(prefilled.status, 200);
  BOOST_TEST(Stat(prefill, "held_pieces") == 3);
  const ClientResponse decoded = Fetch(DecodeRequest(decode, prefill, "r1", Handle(prefilled)));
  BOOST_TEST(decoded.complete());
  BOOST_TEST(EngineText(decoded) == FakeCompletion(prompt, 1000));
  BOOST_TEST(SseEvents(decoded.body).back() == "[DONE]");
  BOOST_TEST(system.HeldPieces() == 0);
  BOOST_TEST(system.EngineCount("wasted_prefills") == 0);
  BOOST_TEST(system.EngineCount("tokens") == 5);
  // The first transfer frees the prefill's result.
  BOOST_TEST(Fetch(DecodeRequest(decode, prefill, "r2", Handle(prefilled))).status == 410);
}

// Guards against an engine that frees the memory of a disconnected client by itself, which would
// hide a router that forgets to release it.
BOOST_AUTO_TEST_CASE(EngineKeepsMemoryOfDisconnectedClientUntilCancel) {
  TestSystem system(OnlyFakes(1, 1, 0));
  const Server& prefill = system.backend("p1").server;
  const Server& decode = system.backend("d1").server;
  const ClientResponse prefilled = Prefill(prefill, "r1", "A brief. [tokens=900]", 100);
  ClientRequest request = DecodeRequest(decode, prefill, "r1", Handle(prefilled));
  request.on_data = [](absl::string_view) { return false; };
  BOOST_TEST(!Fetch(request).complete());
  absl::SleepFor(absl::Milliseconds(200));
  BOOST_TEST(Stat(decode, "held_pieces") == 1);
  BOOST_TEST(Stat(decode, "slots_used") == 1);
  const auto cancelled = PostJson(decode.Url("/v1/cancel"), {{"request_id", "r1"}});
  BOOST_TEST(cancelled.Json().at("released").as_int64() == 1);
  BOOST_TEST(Stat(decode, "held_pieces") == 0);
}

// Guards against an engine that starts a request whose cancel arrived first, and against one that
// does not evict or count unused prefill results.
BOOST_AUTO_TEST_CASE(EngineHonoursEarlyCancelAndEvictsUnusedPrefill) {
  TestSystem system(OnlyFakes(1, 0, 0));
  const Server& prefill = system.backend("p1").server;
  PostJson(prefill.Url("/v1/cancel"), {{"request_id", "early"}});
  BOOST_TEST(Prefill(prefill, "early", "x", 100).status == 409);
  BOOST_TEST(Stat(prefill, "held_pieces") == 0);
  BOOST_TEST(Prefill(prefill, "unused", "x", 100).status == 200);
  BOOST_TEST(Stat(prefill, "held_pieces") == 1);
  BOOST_TEST(Eventually(absl::Seconds(5), [&] { return Stat(prefill, "held_pieces") == 0; }));
  BOOST_TEST(Stat(prefill, "wasted_prefills") == 1);
}

// Guards against an engine that prefills in parallel or in the wrong order, or queues without
// bound, which would make schedulers look better than they are.
BOOST_AUTO_TEST_CASE(EnginePrefillsOneAtATimeByPriority) {
  SystemOptions options = OnlyFakes(1, 0, 0);
  options.prefill_flags = {"--prefill_tokens_per_s=5000", "--queue=2", "--evict_ms=10000"};
  TestSystem system(options);
  const Server& prefill = system.backend("p1").server;
  absl::Mutex mutex;
  std::vector<std::string> finished;
  std::vector<std::thread> threads;
  const auto start = [&](const std::string& id, int priority) {
    threads.emplace_back([&, id, priority] {
      Prefill(prefill, id, "x", 2000, priority);
      absl::MutexLock lock(&mutex);
      finished.push_back(id);
    });
    BOOST_TEST(Eventually(absl::Seconds(2), [&] {
      return Stat(prefill, "held_pieces") == static_cast<int>(threads.size());
    }));
  };
  start("first", 0);
  start("low", 1);
  start("high", 2);
  BOOST_TEST(Prefill(prefill, "over", "x", 2000).status == 429);
  for (std::thread& thread : threads) thread.join();
  BOOST_TEST(absl::StrJoin(finished, " ") == "first high low");
}

// Guards against stream faults that do nothing, and against missed key leaks and old orders.
BOOST_AUTO_TEST_CASE(EngineFaultsAndChecks) {
  SystemOptions options = OnlyFakes(1, 1, 0);
  options.decode_flags = {"--check_fencing"};
  TestSystem system(options);
  const Server& prefill = system.backend("p1").server;
  const Server& decode = system.backend("d1").server;
  const std::string whole = FakeCompletion("y", 1000);
  const auto answer = [&](const boost::json::object& faults, const std::string& id) {
    decode.SetFaults(faults);
    return Fetch(DecodeRequest(decode, prefill, id, Handle(Prefill(prefill, id, "y", 100))));
  };
  const ClientResponse cut = answer({{"cut_after", 3}}, "r1");
  BOOST_TEST(!cut.complete());
  BOOST_TEST(EngineText(cut) == FakeCompletion("y", 3));
  const ClientResponse truncated = answer({{"truncate_after", 3}}, "r2");
  BOOST_TEST(truncated.complete());
  BOOST_TEST(EngineText(truncated) == FakeCompletion("y", 3));
  BOOST_TEST(EngineText(answer({{"repeat_at", 2}}, "r3")).size() > whole.size());
  BOOST_TEST(EngineText(answer({{"skip_at", 2}}, "r4")).size() < whole.size());
  const ClientResponse other = answer({{"other_tokens", true}}, "r5");
  BOOST_TEST(EngineText(other) != whole);
  BOOST_TEST(other.headers.at("x-request-id") != "r5");
  BOOST_TEST(EngineText(answer({{"cut_after", 3}, {"streams", 0}}, "r6")) == whole);
  BOOST_CHECK_THROW(decode.SetFaults({{"no_such_fault", 1}}), std::runtime_error);

  const auto order = [&](int fencing) {
    return PostJson(decode.Url("/v1/orders"),
                    {{"kind", "set_role"}, {"value", "both"}, {"fencing", fencing}})
        .status;
  };
  BOOST_TEST(order(7) == 200);
  BOOST_TEST(order(6) == 409);
  BOOST_TEST(system.KeyLeaks().empty());
  Get(decode.Url("/v1/holds?key=mq_w1key_secret"));
  BOOST_TEST(system.KeyLeaks().size() == 1u);
}

// Guards against a log whose offsets, waiting reads, retention, lost answers or outages differ from
// the design page.
BOOST_AUTO_TEST_CASE(LogSemantics) {
  TestSystem system(OnlyFakes(0, 0, 0));
  const Server& log = system.log();
  const std::string url = log.Url("/streams/config/records");
  const auto append = [&](const std::string& data) { return Fetch({"POST", url, {}, data}); };
  BOOST_TEST(append("a").Json().at("offset").as_int64() == 0);
  std::thread later([&] {
    absl::SleepFor(absl::Milliseconds(100));
    append("b\"\n");
  });
  const ClientResponse waited = Get(url + "?from=1&max=10&wait_ms=5000");
  later.join();
  BOOST_TEST(waited.duration < absl::Seconds(3));
  BOOST_TEST(waited.Json().at("records").as_array().at(0).at("data").as_string() == "b\"\n");
  BOOST_TEST(Get(url + "?from=2&wait_ms=0").Json().at("records").as_array().empty());

  log.SetFaults({{"lose_answers", 1}});
  BOOST_TEST(append("c").status == 0);
  BOOST_TEST(append("d").Json().at("offset").as_int64() == 3);
  log.SetFaults({{"lose_answers", 1}, {"late_effect_ms", 100}});
  BOOST_TEST(append("late").status == 0);
  BOOST_TEST(Get(url).Json().at("next").as_int64() == 4);
  BOOST_TEST(Get(url + "?from=4&wait_ms=5000").Json().at("next").as_int64() == 5);

  log.SetFaults({{"retain_records", 2}});
  const auto retained = Get(url + "?from=0").Json();
  BOOST_TEST(retained.at("first").as_int64() == 3);
  BOOST_TEST(retained.at("records").as_array().size() == 2u);
  log.SetFaults({{"outage", true}});
  BOOST_TEST(append("e").status == 0);
  BOOST_TEST(Get(url).status == 0);
  log.SetFaults({{"appends_per_s", 1}});
  append("f");
  BOOST_TEST(append("g").status == 429);
  const auto appends = log.GetJson("/test/stats").at("appends");
  BOOST_TEST(appends.at("config").as_int64() >= 5);
}

// Guards against a plain service that miscounts executions, so that a second run goes unseen.
BOOST_AUTO_TEST_CASE(PlainServiceCountsExecutions) {
  TestSystem system(OnlyFakes(0, 0, 1));
  const Server& service = system.backend("s1").server;
  const auto order = [&] {
    return Fetch({"POST", service.Url("/orders"), {"Idempotency-Key: k"}, "{}"}).status;
  };
  BOOST_TEST(order() == 200);
  service.SetFaults({{"lose_answer", 1}});
  BOOST_TEST(order() == 0);
  service.SetFaults({{"drop_before", 1}, {"refuse", 1}});
  BOOST_TEST(order() == 0);
  BOOST_TEST(order() == 503);
  BOOST_TEST(system.Executions().at("k") == 2);
}

// Guards against a proxy whose faults do not reach the connections, which would make fault tests
// pass without a fault.
BOOST_AUTO_TEST_CASE(ProxyFaults) {
  SystemOptions options = OnlyFakes(0, 0, 1);
  options.backend_proxies = true;
  TestSystem system(options);
  const ProxyServer& proxy = *system.backend("s1").proxy;
  ClientRequest request;
  request.url = absl::StrCat("http://", proxy.address, "/status");
  request.timeout = absl::Milliseconds(400);
  BOOST_TEST(Fetch(request).complete());
  proxy.SetFaults({{"delay_ms", 100}});
  BOOST_TEST(Fetch(request).duration > absl::Milliseconds(200));  // Both directions.
  for (const char* direction : {"freeze_to_target", "freeze_to_client"}) {
    proxy.SetFaults({{direction, true}});
    BOOST_TEST(Fetch(request).error == "Timeout was reached");
  }
  proxy.SetFaults({{"refuse", true}});
  BOOST_TEST(Eventually(absl::Seconds(2),
                        [&] { return Fetch(request).error == "Couldn't connect to server"; }));
  proxy.SetFaults({});
  BOOST_TEST(Eventually(absl::Seconds(2), [&] { return Fetch(request).complete(); }));

  // The service's answer takes 300 ms, so that the connection is open when the fault begins.
  system.backend("s1").server.SetFaults({{"delay_ms", 300}});
  const auto fetch_during = [&](const char* fault) {
    ClientResponse response;
    request.timeout = absl::Seconds(1);
    std::thread client([&] { response = Fetch(request); });
    absl::SleepFor(absl::Milliseconds(100));
    proxy.Control(fault);
    client.join();
    return response.error;
  };
  BOOST_TEST(fetch_during("half_open") == "Timeout was reached");
  BOOST_TEST(Fetch(request).complete());
  BOOST_TEST(fetch_during("cut") != "");
  BOOST_TEST(Fetch(request).complete());
}

}  // namespace
}  // namespace marigoldquay::testing
