// Responses that a backend server breaks off, relayed in this process: the response ends after each
// of its bytes in turn, once with FIN and once with RST.
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "scripted_relay.h"

namespace marigoldquay::testing {
namespace {

constexpr char kEvents[] = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

std::string Head(absl::string_view length) {
  return absl::StrCat("HTTP/1.1 200 OK\r\nAttempt-Id: ", kScriptedRequestId,
                      "\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\n", length,
                      "\r\n");
}

std::string Unframed() { return absl::StrCat(Head(""), kEvents); }
std::string WithLength() {
  const absl::string_view events = kEvents;
  return absl::StrCat(Head(absl::StrCat("Content-Length: ", events.size(), "\r\n")), events);
}
std::string Chunked() {
  const absl::string_view events = kEvents;
  return absl::StrCat(Head("Transfer-Encoding: chunked\r\n"), absl::Hex(events.size()), "\r\n",
                      events, "\r\n0\r\n\r\n");
}

// Whether the caller can take the response for a complete one.
bool LooksComplete(const ClientResponse& response) {
  return response.status == 200 && response.complete();
}

// The cuts of `whole` after which the caller gets a response that looks complete, by body size.
std::vector<std::size_t> CutsThatLookComplete(ScriptedRelay& relay, const std::string& path,
                                              const std::string& whole, Ending ending) {
  std::vector<std::size_t> cuts;
  for (std::size_t cut = 0; cut < whole.size(); ++cut) {
    if (LooksComplete(relay.Call(path, whole.substr(0, cut), ending))) cuts.push_back(cut);
  }
  return cuts;
}

// Cuts of an unframed response at which its stream ends between two events.
std::vector<std::size_t> EventBoundaries(const std::string& whole) {
  const std::size_t head = whole.find("\r\n\r\n") + 4;
  std::vector<std::size_t> cuts;
  for (auto end = whole.find("\n\n", head); end != std::string::npos && end + 2 < whole.size();
       end = whole.find("\n\n", end + 2)) {
    cuts.push_back(end + 2);
  }
  return cuts;
}

std::vector<std::string> StreamPaths() { return {"/resumed/", "/once/", "/plain-stream/"}; }

BOOST_AUTO_TEST_SUITE(broken_off_responses)

BOOST_AUTO_TEST_CASE(whole_responses_are_complete) {
  ScriptedRelay relay;
  for (const auto& path : StreamPaths()) {
    for (const auto& whole : {Unframed(), WithLength(), Chunked()}) {
      const auto response = relay.Call(path, whole, Ending::kFin);
      BOOST_TEST(LooksComplete(response), path);
      BOOST_TEST(response.body == kEvents);
    }
  }
}

// Guards against a stream that looks complete though its length or chunks say that bytes are
// missing.
BOOST_AUTO_TEST_CASE(framed_stream_that_is_cut_does_not_look_complete) {
  ScriptedRelay relay;
  for (const auto& path : StreamPaths()) {
    for (const Ending ending : {Ending::kFin, Ending::kRst}) {
      BOOST_TEST(CutsThatLookComplete(relay, path, WithLength(), ending).empty(), path);
      BOOST_TEST(CutsThatLookComplete(relay, path, Chunked(), ending).empty(), path);
    }
  }
}

// Guards against a stream without length and chunks that looks complete though it ended inside an
// event.
BOOST_AUTO_TEST_CASE(unframed_stream_that_ends_inside_an_event_does_not_look_complete) {
  ScriptedRelay relay;
  const std::string whole = Unframed();
  for (const auto& path : StreamPaths()) {
    const auto cuts = CutsThatLookComplete(relay, path, whole, Ending::kFin);
    const auto boundaries = EventBoundaries(whole);
    for (const std::size_t cut : cuts) {
      const bool between = std::find(boundaries.begin(), boundaries.end(), cut) != boundaries.end();
      BOOST_TEST(between, path << " looks complete after byte " << cut);
    }
  }
}

// Guards against a reset that is taken for the end of a response without length and chunks.
BOOST_AUTO_TEST_CASE(unframed_response_that_is_reset_does_not_look_complete) {
  ScriptedRelay relay;
  for (const std::string path : {"/resumed/", "/once/", "/plain-stream/", "/plain/"}) {
    BOOST_TEST(CutsThatLookComplete(relay, path, Unframed(), Ending::kRst).empty(), path);
    BOOST_TEST(!LooksComplete(relay.Call(path, Unframed(), Ending::kRst)), path);
  }
}

// Guards against an error of the server that was to continue a stream, whose text or head the
// caller gets within the stream, and against a stream that looks complete because of it.
BOOST_AUTO_TEST_CASE(error_of_the_second_server_does_not_get_into_the_stream) {
  const std::string error = "engine is out of order";
  const std::string kinds[] = {
      absl::StrCat("HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: ", kScriptedRequestId,
                   "\r\nContent-Type: text/plain\r\nContent-Length: ", error.size(), "\r\n\r\n",
                   error),
      absl::StrCat("HTTP/1.1 502 Bad Gateway\r\n\r\n", error),
      absl::StrCat("HTTP/1.1 200 OK\r\nAttempt-Id: ", kScriptedRequestId,
                   "\r\nResponse-Seal: s\r\nContent-Type: text/plain\r\nContent-Length: ",
                   error.size(), "\r\n\r\n", error)};
  const std::string events = kEvents;
  const std::string first = absl::StrCat(Head(""), events.substr(0, events.find("id: 2") + 8));
  ScriptedRelay relay;
  for (const std::string& second : kinds) {
    for (const Ending ending : {Ending::kFin, Ending::kRst}) {
      for (std::size_t cut = 0; cut <= second.size(); ++cut) {
        const auto response =
            relay.CallTwoEngines("/resumed/", first, second.substr(0, cut), ending);
        BOOST_TEST(!LooksComplete(response), "looks complete after byte " << cut);
        const bool only_events = absl::StartsWith(kEvents, response.body);
        BOOST_TEST(only_events, "the caller got " << response.body);
      }
    }
  }
}

// Guards against a response that is cut inside its head and reaches the caller as a success with an
// empty or short body.
BOOST_AUTO_TEST_CASE(response_that_is_cut_inside_its_head_is_no_success) {
  ScriptedRelay relay;
  for (const std::string path : {"/plain/", "/lookup/", "/plain-stream/", "/once/", "/resumed/"}) {
    for (const auto& whole : {Unframed(), WithLength(), Chunked()}) {
      const std::size_t head = whole.find("\r\n\r\n") + 4;
      for (const Ending ending : {Ending::kFin, Ending::kRst}) {
        for (std::size_t cut = 0; cut < head; ++cut) {
          const auto response = relay.Call(path, whole.substr(0, cut), ending);
          BOOST_TEST(response.status != 200, path << " succeeds after byte " << cut);
        }
      }
    }
  }
}

// Guards against a response whose body is shorter than its length or chunks say and that reaches
// the caller as a whole one, framed anew.
BOOST_AUTO_TEST_CASE(framed_response_that_is_cut_is_no_success) {
  ScriptedRelay relay;
  for (const std::string path : {"/plain/", "/lookup/"}) {
    for (const Ending ending : {Ending::kFin, Ending::kRst}) {
      BOOST_TEST(CutsThatLookComplete(relay, path, WithLength(), ending).empty(), path);
      BOOST_TEST(CutsThatLookComplete(relay, path, Chunked(), ending).empty(), path);
    }
  }
}

// Guards against an earlier refusal that the server sends once more on a kept connection, and that
// the caller of the next request is told as its own.
BOOST_AUTO_TEST_CASE(earlier_refusal_on_a_kept_connection_is_not_passed_on) {
  const std::string whole = absl::StrCat("HTTP/1.1 200 OK\r\nAttempt-Id: ", kScriptedRequestId,
                                         "\r\nResponse-Seal: s\r\nContent-Length: 2\r\n\r\nok");
  const std::string refusal =
      "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  ScriptedRelay relay;
  relay.Script([&](const StubConnection& connection) {
    connection.ReadUntil("\r\n\r\n");
    connection.Send(whole);
    connection.ReadUntil("\r\n\r\n");
    // The request of this connection is being executed, and answered with an earlier refusal.
    connection.Send(refusal);
    connection.AwaitClose();
  });
  const auto first = relay.Call("/lookup/");
  BOOST_TEST(first.status == 200);
  const auto second = relay.Call("/lookup/");
  BOOST_TEST(second.status != 503);
  BOOST_TEST(second.body.find("not_run") == std::string::npos);
}

// Guards against a stream that begins again behind the events that the caller has, because the
// second engine was not told the id of the last one.
BOOST_AUTO_TEST_CASE(stream_goes_on_behind_the_last_id_whatever_its_form) {
  for (const std::string id : {"2", "003", "1765065600000-102", "b/2"}) {
    ScriptedRelay relay;
    const std::string first =
        absl::StrCat(Head(""), "id: a1\ndata: a\n\nid: ", id, "\ndata: b\n\nid: c");
    const std::string rest = "id: c3\ndata: c\n\n";
    const auto response =
        relay.CallTwoEngines("/resumed/", first, absl::StrCat(Head(""), rest), Ending::kFin);
    BOOST_TEST(LooksComplete(response), id);
    BOOST_TEST(response.body == absl::StrCat("id: a1\ndata: a\n\nid: ", id, "\ndata: b\n\n", rest));
    BOOST_TEST(absl::StrContains(relay.head_at_second_engine(),
                                 absl::StrCat("Last-Event-Id: ", id, "\r\n")));
  }
}

// Guards against the same when no id tells where the stream is: the caller takes it up itself.
BOOST_AUTO_TEST_CASE(stream_without_a_known_position_does_not_go_on) {
  for (const std::string events : {"data: a\n\n", "id: 1\ndata: a\n\ndata: b\n\n"}) {
    ScriptedRelay relay;
    const auto response = relay.CallTwoEngines("/resumed/", absl::StrCat(Head(""), events, "da"),
                                               absl::StrCat(Head(""), kEvents), Ending::kFin);
    BOOST_TEST(!LooksComplete(response));
    BOOST_TEST(relay.head_at_second_engine().empty());
  }
}

// Guards against a response that arrives empty and looks complete, since none of its events ends in
// a way that the relay knows.
BOOST_AUTO_TEST_CASE(stream_with_carriage_returns_arrives_whole) {
  const std::string events = "id: 1\rdata: a\r\rid: 2\rdata: b\r\r";
  const std::string text = R"({"text":"no events"})";
  ScriptedRelay relay;
  for (const auto& path : StreamPaths()) {
    const auto response = relay.Call(path, absl::StrCat(Head(""), events), Ending::kFin);
    BOOST_TEST(LooksComplete(response), path);
    BOOST_TEST(response.body == events, path);
    const auto other =
        relay.Call(path,
                   absl::StrCat("HTTP/1.1 200 OK\r\nAttempt-Id: ", kScriptedRequestId,
                                "\r\nResponse-Seal: s\r\nContent-Type: application/json\r\n",
                                "Content-Length: ", text.size(), "\r\n\r\n", text),
                   Ending::kFin);
    BOOST_TEST(other.body == text, path);
  }
}

// Guards against a request that is sent to a second server while the first one works on it, because
// an extra response to an earlier request came first on its kept connection.
BOOST_AUTO_TEST_CASE(extra_response_to_an_earlier_request_is_skipped) {
  const auto response = [](absl::string_view id, const std::string& body) {
    return absl::StrCat("HTTP/1.1 200 OK\r\nAttempt-Id: ", id, "\r\nResponse-Seal: s\r\n",
                        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                        absl::Hex(body.size()), "\r\n", body, "\r\n0\r\n\r\n");
  };
  const std::string own = "id: 1\ndata: own\n\n";
  const std::string extra = "id: 1\ndata: extra\n\n";
  for (const std::string path : {"/lookup/", "/resumed/"}) {
    for (const int extras : {1, 3}) {
      ScriptedRelay relay;
      relay.Script([&](const StubConnection& connection) {
        connection.ReadUntil("\r\n\r\n");
        connection.Send(response(kScriptedRequestId, own));
        connection.ReadUntil("\r\n\r\n");
        for (int i = 0; i < extras; ++i) connection.Send(response("request-0", extra));
        connection.Send(response(kScriptedRequestId, own));
        connection.AwaitClose();
      });
      BOOST_TEST(relay.Call(path).body == own, path);
      BOOST_TEST(relay.Call(path).body == own, path);
      BOOST_TEST(relay.connections() == 1, path);
    }
  }
}

// Guards against a response to another request that is passed on, on a new connection, where it
// cannot be an extra one, and when there are too many of them.
BOOST_AUTO_TEST_CASE(response_to_another_request_is_not_passed_on) {
  const std::string other =
      "HTTP/1.1 200 OK\r\nAttempt-Id: request-0\r\nResponse-Seal: s\r\nContent-Length: 2\r\n\r\nno";
  ScriptedRelay relay;
  for (const std::string path : {"/plain/", "/lookup/", "/plain-stream/", "/once/", "/resumed/"}) {
    const auto response = relay.Call(path, other, Ending::kFin);
    BOOST_TEST(response.status == 502, path);
    BOOST_TEST(response.body != "no", path);
  }
  const std::string whole = absl::StrCat("HTTP/1.1 200 OK\r\nAttempt-Id: ", kScriptedRequestId,
                                         "\r\nResponse-Seal: s\r\nContent-Length: 2\r\n\r\nok");
  relay.Script([&](const StubConnection& connection) {
    connection.ReadUntil("\r\n\r\n");
    connection.Send(whole);
    connection.ReadUntil("\r\n\r\n");
    for (int i = 0; i < 100; ++i) connection.Send(other);
  });
  BOOST_TEST(relay.Call("/lookup/").status == 200);
  BOOST_TEST(relay.Call("/lookup/").body != "no");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay::testing
