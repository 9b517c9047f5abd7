// Engine client: guards against truncated, reordered or repeated answers that
// pass as complete ones.
#include "marigoldquay/backend/engine_client.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "../../scheduling/tests/fakes.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "marigoldquay/backend/http_engine_client.h"
#include "property.h"
#include "sse_parser.h"

namespace marigoldquay {
namespace {

using testing::FakeHttpClient;
using testing::FakeMemberView;

constexpr absl::string_view kDone =
    "data: {\"done\":true,\"finish_reason\":\"stop\",\"usage\":{\"completion_tokens\":3}}\n\n";

std::string Token(int index) {
  return absl::StrCat("data: {\"index\":", index, ",\"token\":\"t", index, "\"}\n\n");
}

struct Outcome {
  std::variant<DecodeResult, Error> result;
  std::string text;
};

Outcome Decode(const std::string& body, std::size_t piece_size = 0, int status = 200,
               bool breaks_after_body = false, std::int64_t from_token = 0) {
  FakeHttpClient http([&](const HttpRequest&) -> Result<HttpResponse> {
    return HttpResponse{status, {}, body};
  });
  http.piece_size = piece_size;
  http.breaks_after_body = breaks_after_body;
  const FakeMemberView members("vm");
  const auto client = MakeHttpEngineClient(http, members);
  Outcome outcome;
  outcome.result = Capture<DecodeResult>([&] {
    return client->Decode({.id = "d", .address = "d:1"},
                          {.request_id = "r", .from_token = from_token}, absl::Seconds(1), nullptr,
                          [&](std::int64_t, absl::string_view token) {
                            outcome.text.append(token.data(), token.size());
                            return true;
                          });
  });
  return outcome;
}

ErrorCode CodeOf(const Outcome& outcome) {
  const auto* error = std::get_if<1>(&outcome.result);
  BOOST_REQUIRE(error != nullptr);
  return error->code;
}

BOOST_AUTO_TEST_SUITE(engine_client)

// Fails if a cut of the byte stream at some place changes the answer.
BOOST_AUTO_TEST_CASE(answer_does_not_depend_on_cuts) {
  const auto body = absl::StrCat(": comment\r\n", Token(0),
                                 "data:{\"index\":1,\r\ndata: \"token\":", "\"t1\"}\r\n\r\n",
                                 Token(2), kDone, "data: [DONE]\n\n");
  for (std::size_t piece = 0; piece < body.size(); ++piece) {
    const auto outcome = Decode(body, piece);
    BOOST_REQUIRE_MESSAGE(outcome.result.index() == 0, "pieces of " << piece);
    BOOST_TEST(outcome.text == "t0t1t2");
    BOOST_TEST(std::get<0>(outcome.result).output_tokens == 3);
  }
}

// Fails if any two-way cut of any line ending style yields other events than the whole text.
BOOST_AUTO_TEST_CASE(sse_parser_tolerates_any_cut) {
  testing::CheckProperty("cuts do not change events", [] {
    const auto lines = *rc::gen::container<std::vector<std::string>>(rc::gen::element<std::string>(
        "data: a", "data:b", "data", "", ":c", "event: x", "id", "data: \xC3\xA9"));
    std::string text;
    for (const auto& line : lines) {
      text += line + *rc::gen::element<std::string>("\n", "\r", "\r\n");
    }
    const auto parse = [&](std::size_t cut) {
      SseParser parser;
      std::vector<std::string> events;
      const auto collect = [&](absl::string_view data) {
        events.emplace_back(data);
        return true;
      };
      parser.Append(absl::string_view(text).substr(0, cut), collect);
      parser.Append(absl::string_view(text).substr(cut), collect);
      return events;
    };
    const auto whole = parse(text.size());
    for (std::size_t cut = 0; cut <= text.size(); ++cut) RC_ASSERT(parse(cut) == whole);
  });
}

// Fails if an engine can make the router buffer without bound.
BOOST_AUTO_TEST_CASE(sse_parser_limits_event_size) {
  SseParser parser(16);
  const auto ignore = [](absl::string_view) { return true; };
  BOOST_TEST(parser.Append("data: 12345678", ignore));
  BOOST_TEST(!parser.Append("9012345", ignore));
  BOOST_TEST(parser.overflowed());
}

BOOST_AUTO_TEST_CASE(incomplete_answers_fail) {
  const auto all = absl::StrCat(Token(0), Token(1), Token(2));
  BOOST_TEST((CodeOf(Decode(all)) == ErrorCode::kUnavailable));
  BOOST_TEST((CodeOf(Decode(all + "data: [DONE]\n\n")) == ErrorCode::kProtocol));
  BOOST_TEST((CodeOf(Decode(absl::StrCat(Token(0), Token(2), kDone))) == ErrorCode::kProtocol));
  BOOST_TEST((CodeOf(Decode(absl::StrCat(Token(0), Token(0), kDone))) == ErrorCode::kProtocol));
  BOOST_TEST((CodeOf(Decode(absl::StrCat(Token(0), Token(1), kDone))) == ErrorCode::kProtocol));
  BOOST_TEST((CodeOf(Decode(absl::StrCat(all, kDone, Token(3)))) == ErrorCode::kProtocol));
  BOOST_TEST((CodeOf(Decode("data: {broken\n\n")) == ErrorCode::kProtocol));
  // Without the blank line the last event never arrived.
  BOOST_TEST((CodeOf(Decode(absl::StrCat(all, kDone.substr(0, kDone.size() - 1)))) ==
              ErrorCode::kUnavailable));
}

// Fails if an answer that is complete is thrown away because the connection broke after it.
BOOST_AUTO_TEST_CASE(connection_may_break_after_the_last_event) {
  const auto all = absl::StrCat(Token(0), Token(1), Token(2), kDone);
  BOOST_TEST((Decode(all, 0, 200, true).result.index() == 0));
  BOOST_TEST((CodeOf(Decode(all.substr(0, 20), 0, 200, true)) == ErrorCode::kUnavailable));
}

// Fails if a resumed stream repeats or skips tokens.
BOOST_AUTO_TEST_CASE(resumed_answer_continues_at_its_index) {
  const auto rest = absl::StrCat(Token(2), kDone);
  BOOST_TEST((Decode(rest, 0, 200, false, 2).result.index() == 0));
  BOOST_TEST((CodeOf(Decode(rest, 0, 200, false, 1)) == ErrorCode::kProtocol));
}

BOOST_AUTO_TEST_CASE(statuses_map_to_codes) {
  const std::string body = "{\"error\":\"no slot\"}";
  BOOST_TEST((CodeOf(Decode(body, 0, 429)) == ErrorCode::kResourceExhausted));
  BOOST_TEST((CodeOf(Decode(body, 0, 410)) == ErrorCode::kNotFound));
  BOOST_TEST((CodeOf(Decode(body, 0, 409)) == ErrorCode::kConflict));
  BOOST_TEST((CodeOf(Decode(body, 0, 400)) == ErrorCode::kRefused));
  BOOST_TEST((CodeOf(Decode(body, 0, 500)) == ErrorCode::kUnavailable));
}

// Fails if the engine cannot tell who holds memory, or if an answer without handle is accepted.
BOOST_AUTO_TEST_CASE(prefill_names_holder_and_checks_answer) {
  std::string answer = "{\"handle\":\"h\",\"pieces\":1,\"prompt_tokens\":9,\"cached_tokens\":4}";
  FakeHttpClient http([&](const HttpRequest&) -> Result<HttpResponse> {
    return HttpResponse{200, {}, answer};
  });
  const FakeMemberView members("vm");
  const auto client = MakeHttpEngineClient(http, members);
  const auto prefill = [&] {
    return Capture<PrefillResult>([&] {
      return client->Prefill({.id = "p", .address = "p:1"}, {.request_id = "r", .prompt = "\"x\""},
                             absl::Seconds(1), nullptr);
    });
  };
  const auto good = prefill();
  BOOST_REQUIRE(good.index() == 0);
  BOOST_TEST(std::get<0>(good).cached_tokens == 4);
  BOOST_TEST(absl::StrContains(http.requests()[0].body, "\"holder\":\"vm/1\""));
  answer = "{\"pieces\":1}";
  BOOST_TEST(prefill().index() == 1);
  answer = "{\"handle\":\"h\",\"prompt_tokens\":9,\"cached_tokens\":10}";
  BOOST_TEST(prefill().index() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
