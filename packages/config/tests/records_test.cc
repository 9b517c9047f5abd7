// Parsing of intents and records: what is rejected, and with which words.
#include "marigoldquay/config/records.h"

#include <boost/test/unit_test.hpp>

#include "absl/strings/match.h"
#include "sample_records.h"

namespace marigoldquay {
namespace {

using testing::IntentJson;
using testing::PutText;

std::string IntentError(const std::string& changes, UnknownFields unknown) {
  return HandleError(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(ParseIntent(IntentJson(changes), unknown));
        return std::string("accepted");
      },
      [](const Error& error) { return error.message; });
}

BOOST_AUTO_TEST_SUITE(records)

// Fails if an operator's mistake is accepted or the message does not name the field and range.
BOOST_AUTO_TEST_CASE(invalid_fields_are_named_with_their_range) {
  const struct {
    std::string changes;
    const char* message;
  } cases[] = {
      {PutText("workspace", "w", R"("weight":0)"),
       "changes[0].object.weight is 0; allowed: a whole number from 1 to 1000"},
      {PutText("workspace", "w", R"("rate":1.5)"),
       "changes[0].object.rate is 1.5E0; allowed: a whole number from 1 to 1000000000"},
      {PutText("workspace", "a b", ""), "changes[0].id is \"a b\"; allowed: 1 to 64 characters"},
      {PutText("workspace", "w", R"("wieght":1)"), "changes[0].object.wieght is not a known field"},
      {PutText("key", "k_1", ""), "changes[0].id is \"k_1\"; allowed"},
      {PutText("key", "k", R"("digest":"00")"), "allowed: 64 lower-case hexadecimal digits"},
      {PutText("pool", "p", R"("kind":"other")"), "allowed: model, plain"},
      {PutText("backend_server", "b", R"("address":"10.0.0.1:0")"), "allowed: host:port"},
      {PutText("route", "/orders/", ""), "allowed: an absolute path"},
      {PutText("route", "/orders", R"("methods":["get"])"), "allowed: a list of 1 to 7 of GET"},
      {R"({"op":"remove","kind":"key","id":"k"})", "changes[0].op is \"remove\"; allowed: put"},
      {R"({"op":"put","kind":"key","id":"k"})", "changes[0].object is required"},
      {R"({"op":"withdraw","kind":"key"})", "changes[0].id is required"},
      {"1", "changes[0] must be an object"},
      {"", "changes must be a list of 1 to 256 changes"},
      {PutText("pool", "p", "") + "," + PutText("pool", "p", ""), "changes[1].id names pool p"},
  };
  for (const auto& [changes, message] : cases) {
    const auto error = IntentError(changes, UnknownFields::kReject);
    BOOST_TEST(absl::StrContains(error, message), error);
  }
}

// Fails if a record of a newer release stops an older one.
BOOST_AUTO_TEST_CASE(unknown_fields_of_records_are_ignored) {
  const auto changes = PutText("workspace", "w", R"("rate":1,"colour":"blue")");
  BOOST_TEST(IntentError(changes, UnknownFields::kIgnore) == "accepted");
}

// Fails if a record does not survive its way through the log.
BOOST_AUTO_TEST_CASE(records_round_trip) {
  const auto plan = testing::MakePlan(IntentJson(testing::WorkspaceText("w", 5)), 12);
  const auto parsed =
      std::get<0>(Capture<ConfigRecord>([&] { return ParseConfigRecord(FormatRecord(plan)); }));
  const auto& read = std::get<PlanRecord>(parsed);
  BOOST_TEST(read.digest == plan.digest);
  BOOST_TEST(PlanDigest(read.intent, read.base_revision) == plan.digest);
  BOOST_TEST((read.writer == plan.writer));
  const auto part = std::get<0>(Capture<ConfigRecord>([&] {
    return ParseConfigRecord(FormatRecord(SnapshotPart{3, plan.digest, 0, 1, "{\"a\"}"}));
  }));
  BOOST_TEST(std::get<SnapshotPart>(part).text == "{\"a\"}");
}

// Fails if the digest depends on the order in which a client writes its fields.
BOOST_AUTO_TEST_CASE(digest_is_over_canonical_json) {
  const auto one = IntentJson(PutText("workspace", "w", R"("rate":1,"burst":2)"));
  const auto two = IntentJson(PutText("workspace", "w", R"("burst":2,"rate":1)"));
  BOOST_TEST(PlanDigest(one, 3) == PlanDigest(two, 3));
  BOOST_TEST(PlanDigest(one, 3) != PlanDigest(one, 4));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
