// Load tool: starts a system of real processes and stand-in engines per run, drives it with
// open-loop callers and reports the measures of docs/design.md, section 1.3.
#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"
#include "comparison.h"
#include "load_run.h"

DEFINE_string(profile, "adeyemi", "deployments, comma-separated: adeyemi, calorandina, tiny");
DEFINE_string(load, "0.9", "offered load as parts of the offline bound, comma-separated");
DEFINE_double(seconds, 10, "measured time of each run, in seconds of engine time");
DEFINE_double(warmup_s, 3, "engine time under load before the measured time");
DEFINE_double(idle_s, 8, "time without load before that, in which the workspaces' buckets fill");
DEFINE_uint64(seed, 1, "seed of the requests; repeat N uses seed + N");
DEFINE_double(time_scale, 1, "multiplies all engine times and the latency targets");
DEFINE_double(excess, 5, "the excessive workspace sends this multiple of its rate; 0 for none");
DEFINE_double(burstiness, 0.5, "arrivals alternate between 1 + this and 1 - this times the mean");
DEFINE_string(fault, "none",
              "engine_frozen, slow_link, load_reports_stopped, vm_killed, log_down, zone_lost");
DEFINE_string(compare, "", "policy=A,B,... or daemon=PATH_A,PATH_B: runs them interleaved");
DEFINE_int32(repeats, 1, "runs of each variant");
DEFINE_string(vm_flags, "", "further flags of the daemons, separated by spaces");
DEFINE_int32(client_threads, 2, "threads of the callers");
DEFINE_string(json, "", "file for the results as JSON");
DEFINE_string(svg, "", "file for a plot");

namespace marigoldquay::bench {
namespace {

[[noreturn]] void Reject(const std::string& flag, const std::string& value,
                         const std::string& allowed) {
  throw std::invalid_argument(
      absl::StrCat("--", flag, "=", value, " is not allowed; allowed: ", allowed));
}

void RequireRange(const char* flag, double value, double low, double high) {
  if (value < low || value > high) {
    Reject(flag, absl::StrCat(value), absl::StrCat(low, " to ", high));
  }
}

std::vector<Variant> ParseVariants() {
  const std::vector<std::string> vm_flags = absl::StrSplit(FLAGS_vm_flags, ' ', absl::SkipEmpty());
  if (FLAGS_compare.empty()) return {{"default", "", vm_flags}};
  const std::vector<std::string> parts = absl::StrSplit(FLAGS_compare, absl::MaxSplits('=', 1));
  if (parts.size() != 2 || (parts[0] != "policy" && parts[0] != "daemon")) {
    Reject("compare", FLAGS_compare, "policy=A,B,... or daemon=PATH_A,PATH_B");
  }
  std::vector<Variant> variants;
  const std::vector<std::string> values = absl::StrSplit(parts[1], ',', absl::SkipEmpty());
  for (const std::string& value : values) {
    Variant variant{value, parts[0] == "daemon" ? value : "", vm_flags};
    if (parts[0] == "policy") variant.vm_flags.push_back("--placement_policy=" + value);
    variants.push_back(variant);
  }
  if (variants.empty()) Reject("compare", FLAGS_compare, "at least one variant");
  return variants;
}

std::vector<double> ParseLoads() {
  std::vector<double> loads;
  const std::vector<std::string> texts = absl::StrSplit(FLAGS_load, ',');
  for (const std::string& text : texts) {
    double load = 0;
    if (!absl::SimpleAtod(text, &load) || load <= 0 || load > 10) {
      Reject("load", FLAGS_load, "numbers above 0 and at most 10");
    }
    loads.push_back(load);
  }
  return loads;
}

std::vector<Profile> ParseProfiles() {
  std::vector<Profile> profiles;
  const std::vector<std::string> names = absl::StrSplit(FLAGS_profile, ',');
  for (const std::string& name : names) {
    const std::optional<Profile> profile = FindProfile(name);
    if (!profile) Reject("profile", FLAGS_profile, "adeyemi, calorandina, tiny");
    profiles.push_back(*profile);
  }
  return profiles;
}

void CheckRanges() {
  RequireRange("seconds", FLAGS_seconds, 1, 86400);
  RequireRange("warmup_s", FLAGS_warmup_s, 0, 3600);
  RequireRange("idle_s", FLAGS_idle_s, 0, 3600);
  RequireRange("time_scale", FLAGS_time_scale, 0.1, 100);
  RequireRange("excess", FLAGS_excess, 0, 100);
  RequireRange("burstiness", FLAGS_burstiness, 0, 1);
  RequireRange("repeats", FLAGS_repeats, 1, 1000);
  RequireRange("client_threads", FLAGS_client_threads, 1, 64);
}

RunOptions CommonOptions() {
  CheckRanges();
  RunOptions options;
  const std::optional<Fault> fault = FindFault(FLAGS_fault);
  if (!fault) {
    Reject("fault", FLAGS_fault,
           "none, engine_frozen, slow_link, load_reports_stopped, vm_killed, log_down, zone_lost");
  }
  options.fault = *fault;
  options.fault_name = FLAGS_fault;
  options.load.excess = FLAGS_excess;
  options.load.burstiness = FLAGS_burstiness;
  options.load.length = absl::Seconds(FLAGS_warmup_s + FLAGS_seconds);
  options.time_scale = FLAGS_time_scale;
  options.idle = absl::Seconds(FLAGS_idle_s);
  options.warmup = absl::Seconds(FLAGS_warmup_s);
  options.client_threads = FLAGS_client_threads;
  options.request_timeout *= std::max(1.0, FLAGS_time_scale);
  return options;
}

Comparison RunComparison(RunOptions options, const std::vector<Variant>& variants) {
  Comparison comparison;
  comparison.title =
      absl::StrFormat("%s at %.2f of the bound", options.profile.name, options.load.load);
  comparison.runs.resize(variants.size());
  for (int repeat = 0; repeat < FLAGS_repeats; ++repeat) {
    options.load.seed = FLAGS_seed + repeat;
    for (std::size_t i = 0; i < variants.size(); ++i) {
      // Each repeat starts with another variant, so that a slow change of the machine's load does
      // not favour one.
      const std::size_t index = (i + repeat) % variants.size();
      options.variant = variants[index];
      comparison.runs[index].push_back(RunLoad(options));
      std::printf("%s\n", ToText(comparison.runs[index].back()).c_str());
      std::fflush(stdout);
    }
  }
  return comparison;
}

void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream file(path);
  file << text;
  file.close();
  if (!file) throw std::runtime_error(absl::StrCat("cannot write ", path));
}

void Main() {
  RunOptions options = CommonOptions();
  const std::vector<Variant> variants = ParseVariants();
  const std::vector<double> loads = ParseLoads();
  boost::json::array comparisons;
  std::vector<Panel> panels;
  std::printf("time scale %.2f: engine times and latency targets are multiplied by it\n",
              FLAGS_time_scale);
  for (const Profile& profile : ParseProfiles()) {
    for (const double load : loads) {
      options.profile = profile;
      options.load.load = load;
      const Comparison comparison = RunComparison(options, variants);
      if (variants.size() > 1 || FLAGS_repeats > 1) {
        std::printf("%s\n", ToText(comparison).c_str());
        std::fflush(stdout);
      }
      comparisons.push_back(ToJson(comparison));
      for (Panel& panel : ToPanels(comparison)) panels.push_back(std::move(panel));
      // Written after each comparison, so that an interrupted series keeps its results.
      if (!FLAGS_json.empty()) WriteFile(FLAGS_json, boost::json::serialize(comparisons));
      if (!FLAGS_svg.empty()) WriteFile(FLAGS_svg, RenderSvg("marigoldquay load tool", panels));
    }
  }
}

}  // namespace
}  // namespace marigoldquay::bench

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  try {
    marigoldquay::bench::Main();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "load_tool: %s\n", error.what());
    return 1;
  }
  return 0;
}
