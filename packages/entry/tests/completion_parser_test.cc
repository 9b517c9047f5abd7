// Completion bodies: bad input gets an error that names the field, and no input
// breaks the parser.
#include "marigoldquay/entry/completion_parser.h"

#include <boost/test/unit_test.hpp>

#include "property.h"

namespace marigoldquay {
namespace {

std::string FieldOf(absl::string_view body, bool chat = false) {
  const auto parsed = ParseCompletion(body, chat);
  const auto* error = std::get_if<FieldError>(&parsed);
  return error == nullptr ? "" : error->field;
}

BOOST_AUTO_TEST_SUITE(completion_parser)

BOOST_AUTO_TEST_CASE(accepts_completions_and_chats) {
  const auto plain = ParseCompletion(
      R"({"model":"m","prompt":"p","max_tokens":5,"stream":true,"unknown":1})", false);
  BOOST_REQUIRE(std::holds_alternative<ParsedCompletion>(plain));
  BOOST_TEST((std::get<ParsedCompletion>(plain) == ParsedCompletion{"m", "p", 5, 0, true}));
  const auto chat = ParseCompletion(
      R"({"model":"m","messages":[{"role":"user","content":"a"},{"role":"system","content":"b"}]})",
      true);
  BOOST_REQUIRE(std::holds_alternative<ParsedCompletion>(chat));
  BOOST_TEST(std::get<ParsedCompletion>(chat).prompt == "user: a\nsystem: b\n");
}

// Fails if an error does not tell the caller which field to correct.
BOOST_AUTO_TEST_CASE(errors_name_the_field) {
  BOOST_TEST(FieldOf("") == "body");
  BOOST_TEST(FieldOf("{\"model\":") == "body");
  BOOST_TEST(FieldOf("[]") == "body");
  BOOST_TEST(FieldOf(R"({"prompt":"p"})") == "model");
  BOOST_TEST(FieldOf(R"({"model":7,"prompt":"p"})") == "model");
  BOOST_TEST(FieldOf(R"({"model":"m"})") == "prompt");
  BOOST_TEST(FieldOf(R"({"model":"m","prompt":""})") == "prompt");
  BOOST_TEST(FieldOf(R"({"model":"m","prompt":["p"]})") == "prompt");
  for (const auto* tokens : {"-1", "0", "131073", "18446744073709551615", "1e30", "1.5", "\"5\""}) {
    const auto body = std::string(R"({"model":"m","prompt":"p","max_tokens":)") + tokens + "}";
    BOOST_TEST(FieldOf(body) == "max_tokens", tokens);
  }
  BOOST_TEST(FieldOf(R"({"model":"m","prompt":"p","n":2})") == "n");
  BOOST_TEST(FieldOf(R"({"model":"m","prompt":"p","stream":"yes"})") == "stream");
  BOOST_TEST(FieldOf(R"({"model":"m","messages":[]})", true) == "messages");
  BOOST_TEST(FieldOf(R"({"model":"m","messages":[{"role":"user"}]})", true) ==
             "messages[0].content");
}

// Fails if deep nesting exhausts the stack.
BOOST_AUTO_TEST_CASE(deep_nesting_is_an_error) {
  BOOST_TEST(FieldOf(std::string(100000, '[')) == "body");
}

// Fails if any body crashes the parser or is accepted outside the allowed ranges.
BOOST_AUTO_TEST_CASE(mutated_bodies_never_break_the_parser) {
  testing::CheckProperty("mutated completion bodies", [] {
    std::string body =
        R"({"model":"m","prompt":"some text","max_tokens":17,"priority":3,"stream":false,"n":1})";
    const auto changes = *rc::gen::inRange(0, 6);
    for (int i = 0; i < changes; ++i) {
      body[*rc::gen::inRange<std::size_t>(0, body.size())] = *rc::gen::arbitrary<char>();
    }
    body.resize(*rc::gen::inRange<std::size_t>(0, body.size() + 1));
    const auto parsed = ParseCompletion(body, *rc::gen::arbitrary<bool>());
    if (const auto* fields = std::get_if<ParsedCompletion>(&parsed)) {
      RC_ASSERT(fields->max_tokens >= 1 && fields->max_tokens <= kMaxMaxTokens);
      RC_ASSERT(!fields->model.empty() && !fields->prompt.empty());
    } else {
      RC_ASSERT(!std::get<FieldError>(parsed).field.empty());
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
