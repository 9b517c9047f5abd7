// Identifiers, errors, secrets, metrics and the RCU cell.
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "marigoldquay/core/error.h"
#include "marigoldquay/core/metrics.h"
#include "marigoldquay/core/rcu_cell.h"
#include "marigoldquay/core/secret.h"
#include "marigoldquay/core/types.h"

namespace marigoldquay {
namespace {

BOOST_AUTO_TEST_SUITE(core_values)

// Fails if a steward cannot tell which instance holds engine memory.
BOOST_AUTO_TEST_CASE(instance_text_round_trip) {
  const Instance instance{"ikeja-1", 0xfedcba9876543210};
  const auto parsed = Instance::Parse(instance.ToString());
  BOOST_TEST((parsed && *parsed == instance));
  for (const auto* text : {"", "/1", "vm", "vm/", "vm/xyz", "vm/12345678901234567"}) {
    BOOST_TEST(!Instance::Parse(text).has_value(), text);
  }
}

// Fails if the step or the peer of an error is lost on its way to the handler.
BOOST_AUTO_TEST_CASE(error_keeps_step_and_peer) {
  const auto outcome = Capture<int>(
      []() -> Result<int> { return Fail(ErrorCode::kTimeout, "read", "10.0.0.1:1", "no answer"); });
  BOOST_REQUIRE(outcome.index() == 1);
  BOOST_TEST(std::get<1>(outcome).ToString() == "read with 10.0.0.1:1: no answer (timeout)");
}

BOOST_AUTO_TEST_CASE(secrets_compare_by_content) {
  BOOST_TEST(ConstantTimeEquals("abc", "abc"));
  BOOST_TEST(!ConstantTimeEquals("abc", "abd"));
  BOOST_TEST(!ConstantTimeEquals("abc", "abcd"));
  BOOST_TEST(Sha256Hex("abc") ==
             "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Fails if label values can break the exposition format.
BOOST_AUTO_TEST_CASE(metrics_escape_label_values) {
  MetricsRegistry registry;
  registry.counter("requests_total", "Requests.", {{"path", "a\"b\n"}}).Increment(3);
  auto& summary = registry.summary("latency_seconds", "Latency.");
  for (int i = 1; i <= 100; ++i) summary.Observe(i);
  const auto text = registry.RenderText();
  BOOST_TEST(absl::StrContains(text, "requests_total{path=\"a\\\"b\\n\"} 3\n"));
  BOOST_TEST(absl::StrContains(text, "latency_seconds_count 100\n"));
  BOOST_TEST(std::abs(summary.quantiles()[0] - 50) < 5);
}

// Fails if a reader can see a freed or half-written value.
BOOST_AUTO_TEST_CASE(rcu_readers_see_whole_values) {
  RcuCell<std::vector<int>> cell(std::make_unique<std::vector<int>>(64, 0));
  std::atomic<bool> stop{false};
  std::atomic<int> torn{0};
  std::vector<std::thread> readers;
  for (int i = 0; i < 4; ++i) {
    readers.emplace_back([&] {
      while (!stop) {
        const auto guard = cell.Read();
        for (const int value : *guard) torn += value != guard->front();
      }
    });
  }
  for (int i = 1; i <= 500; ++i) cell.Replace(std::make_unique<std::vector<int>>(64, i));
  stop = true;
  for (auto& reader : readers) reader.join();
  BOOST_TEST(torn == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
