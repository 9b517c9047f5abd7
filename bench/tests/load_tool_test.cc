// Smoke test of the load tool: guards against a tool that no longer runs, loses a measure from its
// report, or reports a system that answers nothing.
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "process.h"
#include "workload.h"

namespace marigoldquay::bench {
namespace {

std::string ReadText(const std::string& path) {
  std::ifstream file(path);
  return std::string(std::istreambuf_iterator<char>(file), {});
}

double Number(const boost::json::object& report, const char* name) {
  const auto* value = report.if_contains(name);
  BOOST_REQUIRE_MESSAGE(value != nullptr && value->is_number(), name << " is not in the report");
  return value->to_number<double>();
}

BOOST_AUTO_TEST_CASE(ReportHasAllMeasures) {
  const std::string folder = absl::StrCat(MARIGOLDQUAY_BENCH_LOGS, "/load_tool_test");
  std::filesystem::create_directories(folder);
  const std::string json = folder + "/report.json";
  const std::string svg = folder + "/report.svg";
  std::filesystem::remove(json);
  std::filesystem::remove(svg);
  testing::Process tool(MARIGOLDQUAY_LOAD_TOOL,
                        {"--profile=tiny", "--load=0.5", "--seconds=3", "--warmup_s=0.5",
                         "--idle_s=4", "--excess=0", "--json=" + json, "--svg=" + svg},
                        folder + "/load_tool");
  const std::optional<int> status = tool.Wait(absl::Seconds(35));
  BOOST_REQUIRE_MESSAGE(status && *status == 0, "load_tool failed:\n" << tool.Log());

  const boost::json::value whole = boost::json::parse(ReadText(json));
  const boost::json::object& report = whole.at(0).at("runs").at(0).as_object();
  for (const char* measure : {"goodput_of_bound", "wasted_prefill", "worst_share",
                              "worst_share_of_bound", "refused_within_rate", "machine_busy"}) {
    BOOST_TEST(Number(report, measure) >= 0);
  }
  BOOST_TEST(Number(report.at("offline_bound").as_object(), "requests_per_s") > 0);
  BOOST_TEST(report.at("workspaces").as_array().size() == 2U);
  for (const auto& part : report.at("workspaces").as_array()) {
    const boost::json::object& workspace = part.as_object();
    BOOST_TEST(Number(workspace, "offered") > 0);
    BOOST_TEST(Number(workspace, "goodput_requests_per_s") >= 0);
    BOOST_TEST(Number(workspace, "goodput_tokens_per_s") >= 0);
    BOOST_TEST(Number(workspace, "refused_within_rate") >= 0);
    BOOST_TEST(Number(workspace.at("first_token_ms").as_object(), "p95") >= 0);
    BOOST_TEST(Number(workspace.at("between_tokens_ms").as_object(), "p95") >= 0);
    BOOST_TEST(workspace.at("causes").is_object());
  }
  BOOST_TEST(Number(report.at("total").as_object(), "completed") > 0);
  BOOST_TEST(Number(report.at("engines").as_object(), "prefill_tokens") > 0);
  BOOST_TEST(Number(report.at("daemons").as_object(), "cpu_seconds") > 0);
  BOOST_TEST(Number(report.at("daemons").as_object(), "resident_mib") > 0);
  BOOST_TEST(absl::StartsWith(ReadText(svg), "<svg "));
  const std::string text = ReadText(folder + "/load_tool.out");
  for (const char* part : {"time scale", "offline bound", "wasted prefill", "not completed"}) {
    BOOST_TEST(absl::StrContains(text, part));
  }
}

// Guards against a comparison whose variants get different requests.
BOOST_AUTO_TEST_CASE(WorkloadDependsOnSeedOnly) {
  const Profile profile = *FindProfile("calorandina");
  LoadOptions options;
  options.length = absl::Seconds(20);
  const Workload first = MakeWorkload(profile, options);
  const Workload again = MakeWorkload(profile, options);
  BOOST_REQUIRE(first.requests.size() == again.requests.size());
  for (std::size_t i = 0; i < first.requests.size(); ++i) {
    BOOST_REQUIRE(first.requests[i].at == again.requests[i].at);
    BOOST_REQUIRE(PromptText(first.requests[i]) == PromptText(again.requests[i]));
  }
  options.seed = 2;
  BOOST_TEST(MakeWorkload(profile, options).requests.front().at != first.requests.front().at);
}

// Guards against a load that does not match its part of the bound, and against workspaces that
// exceed their rate unasked.
BOOST_AUTO_TEST_CASE(OfferedLoadMatchesTheBound) {
  const Profile profile = *FindProfile("adeyemi");
  LoadOptions options;
  options.load = 0.9;
  options.length = absl::Seconds(100);
  options.fill = absl::Seconds(10);
  const Workload workload = MakeWorkload(profile, options);
  const double rate = static_cast<double>(workload.requests.size()) / 100;
  BOOST_TEST(rate > 0.8 * workload.bound.requests_per_s);
  BOOST_TEST(rate < 1.0 * workload.bound.requests_per_s);
  std::size_t within = 0;
  for (const PlannedRequest& request : workload.requests) within += request.within_rate ? 1 : 0;
  BOOST_TEST(static_cast<double>(within) > 0.99 * static_cast<double>(workload.requests.size()));
  for (const PlannedRequest& request : workload.requests) {
    const auto size = static_cast<TokenCount>(PromptText(request).size());
    BOOST_REQUIRE(std::abs(size - request.prompt_tokens * 4) <= 32);
  }
}

}  // namespace
}  // namespace marigoldquay::bench
