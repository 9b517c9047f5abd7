// Backend servers in trouble whose bytes begin like a response, with a status line that HTTP does
// not have.
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "scripted_relay.h"

namespace marigoldquay::testing {
namespace {

constexpr char kEvents[] = "id: 1\ndata: a\n\n";

// Statuses from 100 to 599 exist (RFC 9110, section 15). Interim ones (1xx) do not end a request,
// and no request asks for the other protocol of 101.
std::vector<std::string> InvalidStatuses() {
  return {"000 x", "001 x", "099 x", "101 x", "600 x", "999 x", "20 x",
          "2 x",   "200x",  "2000",  "-20 x", "2e1 x", "abc x", " 200 OK"};
}

std::string Response(const std::string& status, bool length) {
  const std::string events = kEvents;
  const std::string framing =
      length ? absl::StrCat("Content-Length: ", events.size(), "\r\n") : std::string();
  return absl::StrCat("HTTP/1.1 ", status, "\r\nAttempt-Id: ", kScriptedRequestId,
                      "\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\n",
                      "Connection: close\r\n", framing, "\r\n", events);
}

std::string Whole() { return Response("200 OK", /*length=*/true); }

std::vector<std::string> AllPaths() {
  return {"/plain/", "/lookup/", "/plain-stream/", "/once/", "/resumed/"};
}

BOOST_AUTO_TEST_SUITE(invalid_statuses)

// Guards against a caller that gets the bytes of a server in trouble as the server's answer. The
// request may have run.
BOOST_AUTO_TEST_CASE(response_with_an_invalid_status_does_not_reach_the_caller) {
  ScriptedRelay relay;
  for (const std::string& path : AllPaths()) {
    for (const std::string& status : InvalidStatuses()) {
      for (const bool length : {true, false}) {
        const auto response = relay.Call(path, Response(status, length), Ending::kFin);
        const std::string what = absl::StrCat(path, " status line ", status);
        BOOST_TEST(response.status == 502, what << " arrived as " << response.status);
        BOOST_TEST(!response.headers.contains("response-seal"), what);
        BOOST_TEST(response.body.find(kEvents) == std::string::npos, what);
      }
    }
  }
}

// Guards against an interim response without a final one that is taken for the answer.
BOOST_AUTO_TEST_CASE(interim_response_alone_is_no_answer) {
  ScriptedRelay relay;
  for (const std::string& path : AllPaths()) {
    const std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
    BOOST_TEST(relay.Call(path, interim, Ending::kFin).status == 502, path);
    BOOST_TEST(relay.Call(path, interim + Response("000 x", true), Ending::kFin).status == 502);
    BOOST_TEST(relay.Call(path, interim + Whole(), Ending::kFin).status == 200, path);
  }
}

// Guards against an answer to a prefill whose bytes are taken for a KV cache.
BOOST_AUTO_TEST_CASE(prefill_with_an_invalid_status_is_no_prefill) {
  ScriptedRelay relay;
  for (const std::string& status : InvalidStatuses()) {
    const auto response =
        relay.CallWithPrefill("/resumed/", Response(status, /*length=*/true), Whole());
    BOOST_TEST(response.status == 200, status);
    BOOST_TEST(response.body == kEvents, status);
  }
}

// Guards against a stream that goes on with the bytes of a second engine in trouble.
BOOST_AUTO_TEST_CASE(stream_does_not_go_on_with_an_invalid_status) {
  ScriptedRelay relay;
  const std::string whole = Response("200 OK", /*length=*/false);
  const std::string cut = whole.substr(0, whole.size() - 1);
  for (const std::string& status : InvalidStatuses()) {
    const auto response =
        relay.CallTwoEngines("/resumed/", cut, Response(status, /*length=*/true), Ending::kFin);
    BOOST_TEST(!(response.status == 200 && response.complete()), status);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay::testing
