// Tests of the HTTP client against scripted servers.
#include "marigoldquay/transport/http_client.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "tcp_stub_server.h"

namespace marigoldquay {
namespace {

using testing::StubConnection;
using testing::TcpStubServer;
using Outcome = std::variant<HttpResponse, Error>;

std::string Answer(absl::string_view body, absl::string_view status = "200 OK") {
  return absl::StrCat("HTTP/1.1 ", status, "\r\nContent-Length: ", body.size(),
                      "\r\nX-Thing:  a b \r\n\r\n", body);
}

Outcome Perform(HttpClient& client, const HttpRequest& request, const HttpOptions& options = {}) {
  return Capture<HttpResponse>([&] { return client.Perform(request, options); });
}

std::string UrlOf(const TcpStubServer& server) { return "http://" + server.address() + "/p?q=1"; }

ErrorCode CodeOf(const Outcome& outcome) {
  BOOST_REQUIRE(outcome.index() == 1);
  BOOST_TEST_MESSAGE(std::get<1>(outcome).ToString());
  return std::get<1>(outcome).code;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(http_client)

// Guards against requests that differ from what the caller asked for, such as headers that libcurl
// adds by itself.
BOOST_AUTO_TEST_CASE(sends_request_as_given) {
  std::string seen;
  TcpStubServer server([&](const StubConnection& connection) {
    seen = connection.ReadUntil("body!");
    connection.Send(Answer("fine"));
  });
  const auto client = MakeCurlHttpClient();
  const auto outcome = Perform(
      *client, {"POST", UrlOf(server), {{"X-Workspace", "mugs"}, {"X-Empty", ""}}, "the body!"});
  BOOST_REQUIRE(outcome.index() == 0);
  const HttpResponse& response = std::get<0>(outcome);
  BOOST_TEST(response.status == 200);
  BOOST_TEST(response.body == "fine");
  BOOST_TEST((response.headers[1] == std::pair<std::string, std::string>("x-thing", "a b")));
  BOOST_TEST(absl::StartsWith(seen, "POST /p?q=1 HTTP/1.1\r\n"));
  BOOST_TEST(absl::StrContains(seen, "X-Workspace: mugs\r\n"));
  BOOST_TEST(absl::StrContains(seen, "X-Empty:\r\n"));
  BOOST_TEST(!absl::StrContains(seen, "Content-Type"));
  BOOST_TEST(!absl::StrContains(seen, "Expect"));
}

// Guards against a duplicate order: libcurl repeats a request by itself when a kept connection
// closes without a response, and the request may have been carried out before that.
BOOST_AUTO_TEST_CASE(never_repeats_request_on_closed_kept_connection) {
  for (const std::string body : {"", "order"}) {
    std::atomic<int> requests{0};
    TcpStubServer server([&](const StubConnection& connection) {
      while (!connection.ReadUntil("\r\n\r\n" + body).empty()) {
        if (++requests == 2) return;
        connection.Send(Answer("fine"));
      }
    });
    const auto client = MakeCurlHttpClient();
    const HttpRequest request{"POST", UrlOf(server), {}, body};
    BOOST_TEST(Perform(*client, request).index() == 0U);
    BOOST_TEST((CodeOf(Perform(*client, request)) == ErrorCode::kUnavailable));
    BOOST_TEST(requests == 2);
    BOOST_TEST(Perform(*client, request).index() == 0U);
  }
}

// Guards against a connection per request, which would cost a round trip each.
BOOST_AUTO_TEST_CASE(keeps_connections) {
  TcpStubServer server([&](const StubConnection& connection) {
    while (!connection.ReadUntil("\r\n\r\n").empty()) connection.Send(Answer("fine"));
  });
  const auto client = MakeCurlHttpClient();
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(Perform(*client, {"GET", UrlOf(server), {}, ""}).index() == 0U);
  }
  BOOST_TEST(server.connections() == 1);
}

// Guards against a rejection that wrongly says "not run", and against the opposite, which would
// forbid a retry elsewhere.
BOOST_AUTO_TEST_CASE(tells_not_sent_from_unknown) {
  std::string refused_url;
  {
    TcpStubServer closed([](const StubConnection&) {});
    refused_url = UrlOf(closed);
  }
  const auto client = MakeCurlHttpClient();
  BOOST_TEST((CodeOf(Perform(*client, {"POST", refused_url, {}, "x"})) == ErrorCode::kNotSent));
  BOOST_TEST((CodeOf(Perform(*client, {"POST", refused_url, {{"A", "b\r\nC: d"}}, "x"})) ==
              ErrorCode::kNotSent));
  TcpStubServer breaks([](const StubConnection& connection) { connection.ReadUntil("\r\n\r\n"); });
  BOOST_TEST(
      (CodeOf(Perform(*client, {"POST", UrlOf(breaks), {}, "x"})) == ErrorCode::kUnavailable));
  TcpStubServer silent([](const StubConnection& connection) { connection.AwaitClose(); });
  BOOST_TEST((CodeOf(Perform(*client, {"POST", UrlOf(silent), {}, "x"},
                             {.timeout = absl::Milliseconds(60)})) == ErrorCode::kTimeout));
}

// Guards against truncated answers that look complete.
BOOST_AUTO_TEST_CASE(short_response_is_an_error) {
  const auto client = MakeCurlHttpClient();
  for (const std::string response :
       {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", "garbage"}) {
    TcpStubServer server([&](const StubConnection& connection) {
      connection.ReadUntil("\r\n\r\n");
      connection.Send(response);
    });
    BOOST_TEST(
        (CodeOf(Perform(*client, {"GET", UrlOf(server), {}, ""})) == ErrorCode::kUnavailable));
  }
}

BOOST_AUTO_TEST_CASE(response_size_is_bounded) {
  TcpStubServer server([&](const StubConnection& connection) {
    connection.ReadUntil("\r\n\r\n");
    connection.Send(Answer(std::string(5000, 'x')));
  });
  const auto client = MakeCurlHttpClient();
  BOOST_TEST((CodeOf(Perform(*client, {"GET", UrlOf(server), {}, ""}, {.max_body_size = 4999})) ==
              ErrorCode::kResourceExhausted));
  BOOST_TEST(Perform(*client, {"GET", UrlOf(server), {}, ""}, {.max_body_size = 5000}).index() ==
             0U);
}

// Guards against a caller that left while its engine goes on generating.
BOOST_AUTO_TEST_CASE(cancel_closes_the_connection) {
  std::atomic<bool> closed{false};
  std::atomic<bool> cancelled{false};
  TcpStubServer server([&](const StubConnection& connection) {
    connection.ReadUntil("\r\n\r\n");
    cancelled = true;
    connection.AwaitClose();
    closed = true;
  });
  const auto client = MakeCurlHttpClient();
  HttpOptions options;
  options.cancelled = [&] { return cancelled.load(); };
  BOOST_TEST(
      (CodeOf(Perform(*client, {"GET", UrlOf(server), {}, ""}, options)) == ErrorCode::kCancelled));
  for (int i = 0; i < 500 && !closed; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  BOOST_TEST(closed);
}

// Guards against a stream that is buffered, and against error bodies taken for tokens.
BOOST_AUTO_TEST_CASE(streams_success_and_returns_error_bodies) {
  std::atomic<bool> first_seen{false};
  TcpStubServer server([&](const StubConnection& connection) {
    connection.ReadUntil("\r\n\r\n");
    if (connection.number() == 2) return connection.Send(Answer("full", "429 Too Many"));
    connection.Send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 6\r\n\r\nabc");
    while (!first_seen) std::this_thread::yield();
    connection.Send("def");
  });
  const auto client = MakeCurlHttpClient();
  std::string streamed;
  const auto on_data = [&](absl::string_view data) {
    streamed.append(data.data(), data.size());
    first_seen = true;
    return true;
  };
  const auto stream = [&] {
    return Capture<HttpResponse>([&] {
      return client->Stream({"GET", UrlOf(server), {}, ""}, {}, on_data);
    });
  };
  BOOST_TEST(stream().index() == 0U);
  BOOST_TEST(streamed == "abcdef");
  const auto refused = stream();
  BOOST_REQUIRE(refused.index() == 0U);
  BOOST_TEST(std::get<0>(refused).status == 429);
  BOOST_TEST(std::get<0>(refused).body == "full");
  BOOST_TEST(streamed == "abcdef");
}

// Guards against state shared between concurrent callers.
BOOST_AUTO_TEST_CASE(concurrent_callers_get_their_own_answers) {
  TcpStubServer server([&](const StubConnection& connection) {
    while (true) {
      const std::string head = connection.ReadUntil("\r\n\r\n");
      if (head.empty()) return;
      connection.Send(Answer(head.substr(4, head.find(" HTTP") - 4)));
    }
  });
  const auto client = MakeCurlHttpClient();
  std::atomic<int> wrong{0};
  std::vector<std::thread> callers;
  for (int caller = 0; caller < 8; ++caller) {
    callers.emplace_back([&, caller] {
      for (int i = 0; i < 50; ++i) {
        const std::string path = absl::StrCat("/", caller, "/", i);
        const auto outcome = Perform(*client, {"GET", "http://" + server.address() + path, {}, ""});
        if (outcome.index() != 0 || std::get<0>(outcome).body != path) ++wrong;
      }
    });
  }
  for (std::thread& caller : callers) caller.join();
  BOOST_TEST(wrong == 0);
}

// Guards against bytes of an engine in trouble that are taken for its answer, since libcurl accepts
// any three digits.
BOOST_AUTO_TEST_CASE(response_with_a_status_that_http_does_not_have_is_an_error) {
  for (const std::string status :
       {"000 x", "099 x", "101 Switching", "600 x", "999 x", "2 x", "20 x", "2000 x", "200x",
        "-20 x", "+20 x", "2e1 x", "abc x", " 200 OK"}) {
    TcpStubServer server([&](const StubConnection& connection) {
      connection.ReadUntil("\r\n\r\n");
      connection.Send(Answer("fine", status));
    });
    const auto client = MakeCurlHttpClient();
    BOOST_TEST(Perform(*client, {"GET", UrlOf(server), {}, ""}).index() == 1U, status);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace marigoldquay
