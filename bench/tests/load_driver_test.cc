// Unit tests of the callers and of the measures, against a server in this process.
#include "load_driver.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "comparison.h"
#include "http_server.h"
#include "report.h"
#include "sse_scanner.h"
#include "svg_plot.h"

namespace marigoldquay::bench {
namespace {

using testing::Chunk;
using testing::ChunkKind;
using testing::ServerRequest;
using testing::ServerResponse;

constexpr char kToken[] =
    "data: {\"choices\":[{\"index\":0,\"finish_reason\":null,\"text\":\" ab\"}]}\n\n";
constexpr char kEnd[] =
    "data: {\"choices\":[{\"index\":0,\"finish_reason\":\"stop\",\"text\":\"\"}]}\n\n"
    "data: [DONE]\n\n";

// Streams as many tokens as the prompt asks for; one less for the model "short"; refuses "refuse".
ServerResponse Answer(const ServerRequest& request) {
  const boost::json::object body = request.Json();
  const std::string prompt = body.at("prompt").as_string().c_str();
  if (request.Header("authorization") == "Bearer refuse") {
    return {429, R"({"error":{"message":"m","type":"over_rate"},"outcome":"not_run"})"};
  }
  int tokens = std::stoi(prompt.substr(prompt.rfind("[tokens=") + 8));
  if (request.Header("authorization") == "Bearer short") --tokens;
  ServerResponse response;
  response.next_chunk = [left = std::make_shared<int>(tokens)] {
    if (*left < 0) return Chunk{ChunkKind::kEnd, ""};
    absl::SleepFor(absl::Milliseconds(5));
    return Chunk{ChunkKind::kData, (*left)-- > 0 ? kToken : kEnd};
  };
  return response;
}

Address RefusedAddress() { return "127.0.0.1:1"; }

std::vector<PlannedRequest> Requests() {
  std::vector<PlannedRequest> requests;
  for (int i = 0; i < 30; ++i) {
    PlannedRequest request;
    request.at = absl::Milliseconds(2 * i);
    request.workspace = i % 3;
    request.prompt_tokens = 100;
    request.output_tokens = request.max_tokens = 4;
    request.vm_draw = i;
    request.number = i;
    request.within_rate = true;
    requests.push_back(request);
  }
  return requests;
}

// Guards against callers that miscount tokens, take a truncated answer for a whole one, lose the
// cause of a refusal, or fail when one of the VMs is gone.
BOOST_AUTO_TEST_CASE(DriverRecordsWhatCallersSee) {
  VmAddresses addresses;
  addresses.Set(0, testing::StartHttpServer(0, &Answer));
  addresses.Set(1, RefusedAddress());
  const std::vector<PlannedRequest> requests = Requests();
  LoadDriver driver({2,
                     "m",
                     {"Authorization: Bearer good", "Authorization: Bearer refuse",
                      "Authorization: Bearer short"}},
                    requests, addresses, absl::Now() + absl::Milliseconds(50));
  const std::vector<RequestRecord>& records = driver.Finish();
  BOOST_REQUIRE(records.size() == requests.size());
  for (std::size_t i = 0; i < records.size(); ++i) {
    const RequestRecord& record = records[i];
    switch (requests[i].workspace) {
      case 0:
        BOOST_TEST(record.complete());
        BOOST_TEST(record.tokens == 4);
        BOOST_TEST(record.gaps_ms.size() == 3U);
        BOOST_TEST(absl::ToDoubleMilliseconds(record.first_token) >= 4.0);
        BOOST_TEST((record.last_token > record.first_token));
        break;
      case 1:
        BOOST_TEST(record.status == 429);
        BOOST_TEST(record.cause == "over_rate");
        BOOST_TEST(record.not_run);
        break;
      default:
        BOOST_TEST(record.cause == "incomplete");
        BOOST_TEST(record.tokens == 3);
    }
  }
}

// Guards against events that are counted wrongly when the network cuts them anywhere.
BOOST_AUTO_TEST_CASE(ScannerCountsTokensOfCutEvents) {
  const std::string text = absl::StrCat(kToken, kToken, kEnd);
  for (std::size_t cut = 0; cut <= text.size(); ++cut) {
    SseScanner scanner;
    const int tokens = scanner.Add(absl::string_view(text).substr(0, cut)) +
                       scanner.Add(absl::string_view(text).substr(cut));
    BOOST_REQUIRE(tokens == 2);
    BOOST_REQUIRE(scanner.done());
  }
}

RequestRecord Complete(double first_ms, double gap_ms, int tokens) {
  RequestRecord record;
  record.status = 200;
  record.tokens = tokens;
  record.first_token = absl::Milliseconds(first_ms);
  record.last_token = record.first_token + absl::Milliseconds(gap_ms * (tokens - 1));
  record.gaps_ms.assign(tokens - 1, static_cast<float>(gap_ms));
  return record;
}

// Guards against measures that count late answers as good, divide by the wrong share, or charge the
// excessive workspace's refusals to the router.
BOOST_AUTO_TEST_CASE(MeasuresOfKnownRecords) {
  Profile profile = *FindProfile("tiny");
  Workload workload;
  workload.bound.requests_per_s = 10;
  workload.bound.mean_output_tokens = 4;
  workload.bound.mean_prompt_tokens = 100;
  workload.bound.prefill_cost = 0.01;
  std::vector<RequestRecord> records;
  const auto add = [&](int workspace, bool within_rate, const RequestRecord& record) {
    PlannedRequest request;
    request.at = absl::Milliseconds(500);
    request.workspace = workspace;
    request.prompt_tokens = 100;
    request.output_tokens = 4;
    request.within_rate = within_rate;
    workload.requests.push_back(request);
    records.push_back(record);
  };
  RequestRecord refused;
  refused.status = 429;
  refused.cause = "over_rate";
  // Weights 2 and 1: with four good requests, w1 deserves 8/3 and w2 4/3.
  for (int i = 0; i < 3; ++i) add(0, true, Complete(100, 20, 4));
  add(0, true, Complete(1000, 20, 4));
  add(0, true, Complete(100, 60, 4));
  add(0, false, refused);
  add(1, true, Complete(100, 20, 4));
  for (int i = 0; i < 3; ++i) add(1, true, refused);
  EngineCounts engines;
  engines.prefills = 10;
  engines.prefill_tokens = 1000;
  engines.wasted_prefill_tokens = 50;
  engines.cancelled_prefills = 1;
  const RunReport report = Measure(
      {profile, workload, records, absl::ZeroDuration(), absl::Seconds(1), false, engines, {}});
  BOOST_TEST(report.total.good == 4);
  BOOST_TEST(report.total.completed == 6);
  BOOST_TEST(report.total.good_tokens_per_s == 16.0);
  BOOST_TEST(report.goodput_of_bound == 0.4);
  BOOST_TEST(report.total.refused_within_rate == 3);
  BOOST_TEST(report.total.causes.at("over_rate") == 4);
  BOOST_TEST(report.worst_workspace == "w2");
  BOOST_TEST(report.worst_share == 0.75, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(report.wasted_prefill == 0.15, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(report.refused_within_rate == 3.0 / 9, boost::test_tools::tolerance(1e-9));

  profile.excessive_workspace = "w2";
  const RunReport excess = Measure(
      {profile, workload, records, absl::ZeroDuration(), absl::Seconds(1), true, engines, {}});
  BOOST_TEST(excess.refused_within_rate == 0.0);

  // A run that answers nothing well has served nobody.
  for (RequestRecord& record : records) record = refused;
  const RunReport nothing = Measure(
      {profile, workload, records, absl::ZeroDuration(), absl::Seconds(1), false, engines, {}});
  BOOST_TEST(nothing.worst_share == 0.0);

  const Comparison comparison{"title", {{report, report}, {report, report}}};
  BOOST_TEST(comparison.Summaries()[1].values[0].ratio == 1.0);
  BOOST_TEST(comparison.Summaries()[1].values[0].deviation == 0.0);
  BOOST_TEST(RenderSvg("plot", ToPanels(comparison)).find("nan") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(PercentilesAreNearestRanks) {
  std::vector<double> values;
  for (int i = 100; i >= 1; --i) values.push_back(i);
  const Percentiles percentiles = PercentilesOf(values);
  BOOST_TEST(percentiles.p50 == 50);
  BOOST_TEST(percentiles.p95 == 95);
  BOOST_TEST(percentiles.p99 == 99);
  BOOST_TEST(PercentilesOf({}).p99 == 0);
}

}  // namespace
}  // namespace marigoldquay::bench
