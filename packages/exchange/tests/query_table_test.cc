// Sharing of completions: each idempotency key runs once and all readers get
// the whole outcome.
#include "marigoldquay/exchange/query_table.h"

#include <boost/test/unit_test.hpp>
#include <thread>

#include "absl/strings/str_cat.h"

namespace marigoldquay {
namespace {

using JoinStatus = QueryTable::JoinStatus;

CompletionRequest MakeRequest(const std::string& key, const std::string& prompt = "prompt") {
  CompletionRequest request;
  request.workspace = "w1";
  request.idempotency_key = key;
  request.model = "model";
  request.prompt = prompt;
  request.max_tokens = 8;
  return request;
}

CompletionEnd CompleteEnd() {
  CompletionEnd end;
  end.complete = true;
  end.finish_reason = "stop";
  return end;
}

std::string ReadAll(OutcomeReader& reader) {
  std::string text;
  while (true) {
    auto item = reader.Next(absl::Seconds(10));
    if (item.token) text += *item.token;
    if (item.end || !item.token) return text;
  }
}

BOOST_AUTO_TEST_SUITE(query_table)

// Fails if a second device starts a second run, or gets less than the whole outcome.
BOOST_AUTO_TEST_CASE(second_reader_joins_and_reads_everything) {
  const ManualClock clock;
  QueryTable table({}, clock);
  auto first = table.Join(MakeRequest("k"));
  BOOST_REQUIRE(first.status == JoinStatus::kStarted);
  first.outcome->Append("a");
  auto second = table.Join(MakeRequest("k"));
  BOOST_REQUIRE(second.status == JoinStatus::kJoined);
  std::thread writer([&] {
    for (int i = 0; i < 100; ++i) first.outcome->Append("b");
    first.outcome->Finish(CompleteEnd());
  });
  const auto expected = absl::StrCat("a", std::string(100, 'b'));
  BOOST_TEST(ReadAll(*second.reader) == expected);
  BOOST_TEST(ReadAll(*first.reader) == expected);
  writer.join();
  auto late = table.Join(MakeRequest("k"));
  BOOST_REQUIRE(late.status == JoinStatus::kJoined);
  BOOST_TEST(ReadAll(*late.reader) == expected);
}

// Fails if one key can return the outcome of another request or another workspace.
BOOST_AUTO_TEST_CASE(key_is_bound_to_its_request_and_workspace) {
  const ManualClock clock;
  QueryTable table({}, clock);
  const auto first = table.Join(MakeRequest("k"));
  BOOST_TEST((table.Join(MakeRequest("k", "other")).status == JoinStatus::kMismatch));
  auto other_workspace = MakeRequest("k");
  other_workspace.workspace = "w2";
  BOOST_TEST((table.Join(other_workspace).status == JoinStatus::kStarted));
}

// Fails if a rejected or abandoned run is returned to the next caller as its outcome.
BOOST_AUTO_TEST_CASE(incomplete_outcomes_are_run_again) {
  const ManualClock clock;
  QueryTable table({}, clock);
  auto rejected = table.Join(MakeRequest("k"));
  rejected.outcome->Finish(RejectedEnd(429, "overloaded", "", true));
  BOOST_TEST((table.Join(MakeRequest("k")).status == JoinStatus::kStarted));

  auto abandoned = table.Join(MakeRequest("j"));
  abandoned.reader.reset();
  BOOST_TEST(abandoned.outcome->abandoned());
  BOOST_TEST((table.Join(MakeRequest("j")).status == JoinStatus::kStarted));
}

// Fails if outcomes are kept for ever or beyond the bound.
BOOST_AUTO_TEST_CASE(outcomes_expire_and_are_bounded) {
  ManualClock clock;
  QueryTableLimits limits;
  limits.max_entries = 10;
  QueryTable table(limits, clock);
  for (int i = 0; i < 100; ++i) {
    clock.Advance(absl::Seconds(2));
    auto joined = table.Join(MakeRequest(absl::StrCat("k", i)));
    BOOST_REQUIRE((joined.status == JoinStatus::kStarted));
    joined.outcome->Finish(CompleteEnd());
  }
  BOOST_TEST(table.size() <= limits.max_entries);
  clock.Advance(limits.keep + absl::Seconds(2));
  const auto joined = table.Join(MakeRequest("last"));
  BOOST_TEST(table.size() == 1U);
}

BOOST_AUTO_TEST_CASE(running_queries_are_bounded) {
  const ManualClock clock;
  QueryTableLimits limits;
  limits.max_entries = 2;
  QueryTable table(limits, clock);
  const auto a = table.Join(MakeRequest("a"));
  const auto b = table.Join(MakeRequest("b"));
  BOOST_TEST((table.Join(MakeRequest("c")).status == JoinStatus::kFull));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
