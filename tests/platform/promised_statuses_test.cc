// Responses of backend servers whose status promises the caller that its request has not run. Only
// a server that says so itself may be believed, and only then may a caller of a request that must
// not run twice get such a status.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <iterator>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "scripted_relay.h"

namespace marigoldquay::testing {
namespace {

constexpr char kBody[] = "payment not confirmed";
constexpr int kPromises[] = {408, 421, 429, 503};

/// What a server says beside its status.
struct Claims {
  bool not_executed = false;
  bool retry_after = false;
  bool signature = false;
  /// Otherwise the response ends with its connection.
  bool length = true;
};

std::vector<Claims> AllClaims() {
  std::vector<Claims> all;
  for (int bits = 0; bits < 16; ++bits) {
    all.push_back({(bits & 1) != 0, (bits & 2) != 0, (bits & 4) != 0, (bits & 8) != 0});
  }
  return all;
}

std::string Response(int status, const Claims& claims,
                     const std::string& request_id = kScriptedRequestId) {
  // The server ends each connection after its response.
  std::string response = absl::StrCat("HTTP/1.1 ", status, " Failed\r\nConnection: close\r\n",
                                      "Attempt-Id: ", request_id, "\r\n");
  if (claims.not_executed) absl::StrAppend(&response, "Not-Executed: 1\r\n");
  if (claims.retry_after) absl::StrAppend(&response, "Retry-After: 0.5\r\n");
  if (claims.signature) absl::StrAppend(&response, "Response-Seal: s\r\n");
  const std::size_t size = std::string(kBody).size();
  if (claims.length) absl::StrAppend(&response, "Content-Length: ", size, "\r\n");
  return absl::StrCat(response, "\r\n", kBody);
}

std::string Describe(const std::string& path, int status, const Claims& claims) {
  return absl::StrCat(path, " status ", status, claims.not_executed ? " not executed" : "",
                      claims.retry_after ? " retry after" : "", claims.signature ? " signed" : "",
                      claims.length ? " length" : "");
}

bool IsPromise(int status) {
  return std::find(std::begin(kPromises), std::end(kPromises), status) != std::end(kPromises);
}

bool SaysNotRun(const ClientResponse& response) {
  return absl::StrContains(response.body, "not_run");
}

bool IsSigned(const ClientResponse& response) { return response.headers.contains("response-seal"); }

// Requests that must not run twice: plain ones, and streams that cannot be resumed.
std::vector<std::string> OncePaths() { return {"/plain/", "/plain-stream/", "/once/"}; }

// Any other instance than the expected one rejects a request with 421.
bool ProvesNotRun(int status, const Claims& claims) { return claims.not_executed || status == 421; }

BOOST_AUTO_TEST_SUITE(promised_statuses)

// Guards against a server's 503 after it has run an order, which the caller takes for the promise
// that the order has not run, and places it again.
BOOST_AUTO_TEST_CASE(status_without_proof_is_no_promise_for_a_request_that_runs_once) {
  ScriptedRelay relay;
  for (const std::string& path : OncePaths()) {
    for (const int status : kPromises) {
      for (const Claims& claims : AllClaims()) {
        if (ProvesNotRun(status, claims)) continue;
        const std::string what = Describe(path, status, claims);
        const int before = relay.connections();
        const auto response = relay.Call(path, Response(status, claims), Ending::kFin);
        BOOST_TEST(response.status == 502, what << " arrived as " << response.status);
        BOOST_TEST(!SaysNotRun(response), what);
        BOOST_TEST(!IsSigned(response), what);
        BOOST_TEST(!response.headers.contains("retry-after"), what);
        BOOST_TEST(relay.connections() - before == 1, what);
      }
    }
  }
}

// Guards against a rejection that no longer tells the caller that it may come again.
BOOST_AUTO_TEST_CASE(proven_rejection_is_told_as_not_run) {
  ScriptedRelay relay;
  for (const std::string& path : OncePaths()) {
    for (const int status : kPromises) {
      for (const Claims& claims : AllClaims()) {
        if (!ProvesNotRun(status, claims)) continue;
        const std::string what = Describe(path, status, claims);
        const auto response = relay.Call(path, Response(status, claims), Ending::kFin);
        BOOST_TEST(response.status == 503, what << " arrived as " << response.status);
        BOOST_TEST(SaysNotRun(response), what);
        BOOST_TEST(!IsSigned(response), what);
      }
    }
  }
}

// Guards against a proof that a server gave for another request.
BOOST_AUTO_TEST_CASE(proof_for_another_request_is_none) {
  ScriptedRelay relay;
  for (const std::string& path : OncePaths()) {
    for (const int status : kPromises) {
      const std::string other = Response(status, {.not_executed = true}, "request-2");
      const auto response = relay.Call(path, other, Ending::kFin);
      BOOST_TEST(response.status == 502, path << " status " << status);
      BOOST_TEST(!SaysNotRun(response), path << " status " << status);
    }
  }
}

// Guards against a promise that reaches the caller from a response which was broken off.
BOOST_AUTO_TEST_CASE(status_that_is_broken_off_is_no_promise) {
  ScriptedRelay relay;
  const std::string whole = Response(503, {.signature = true});
  for (const std::string& path : OncePaths()) {
    for (const Ending ending : {Ending::kFin, Ending::kRst}) {
      for (std::size_t cut = 0; cut < whole.size(); ++cut) {
        const auto response = relay.Call(path, whole.substr(0, cut), ending);
        BOOST_TEST(!IsPromise(response.status), path << " after byte " << cut);
      }
    }
  }
}

// Guards against a server that fails before it has read the whole request and may have run it.
BOOST_AUTO_TEST_CASE(status_before_the_end_of_the_upload_is_no_promise) {
  ScriptedRelay relay;
  const std::string upload(std::size_t{512} * 1024, 'x');
  for (const std::string path : {"/plain/", "/once/"}) {
    for (const int status : {408, 429, 503}) {
      relay.Script([&](const StubConnection& connection) {
        connection.ReadUntil("\r\n\r\n");
        connection.Send(Response(status, {.signature = true}));
        connection.AwaitClose();
      });
      const auto response = relay.Call(path, upload);
      BOOST_TEST(!IsPromise(response.status), path << " arrived as " << response.status);
    }
  }
}

// A lookup and a stream that can be resumed may run again, so that the status does no harm: the
// server's response is returned unchanged.
BOOST_AUTO_TEST_CASE(response_to_a_request_that_may_run_again_is_unchanged) {
  ScriptedRelay relay;
  for (const std::string path : {"/lookup/", "/resumed/"}) {
    for (const int status : {408, 429, 503}) {
      const auto response = relay.Call(
          path, Response(status, {.retry_after = true, .signature = true}), Ending::kFin);
      BOOST_TEST(response.status == status, path << " status " << status);
      BOOST_TEST(response.body == kBody);
      BOOST_TEST(IsSigned(response));
    }
  }
}

// Guards against a true rejection by the second engine that hides that the first one may have run
// the request.
BOOST_AUTO_TEST_CASE(rejection_after_an_attempt_that_may_have_run_is_no_promise) {
  ScriptedRelay relay;
  const auto response =
      relay.CallTwoEngines("/resumed/", "", Response(503, {.not_executed = true}), Ending::kFin);
  BOOST_TEST(response.status == 502);
  BOOST_TEST(!SaysNotRun(response));
}

// The answer to a prefill is not the caller's: prefills may be repeated, and the request has not
// run before the decode engine gets it.
BOOST_AUTO_TEST_CASE(failed_prefill_is_no_answer) {
  ScriptedRelay relay;
  for (const int status : kPromises) {
    const auto once = relay.CallWithPrefill("/once/", Response(status, {.signature = true}),
                                            Response(503, {.not_executed = true}));
    BOOST_TEST(once.status == 503, "status " << status);
    BOOST_TEST(SaysNotRun(once));
    BOOST_TEST(!IsSigned(once));
    const auto run = relay.CallWithPrefill("/once/", Response(status, {.not_executed = true}),
                                           Response(503, {.signature = true}));
    BOOST_TEST(run.status == 502, "status " << status);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay::testing
