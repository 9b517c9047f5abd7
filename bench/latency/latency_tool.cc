// Measures the router's own cost: the first token through the router against direct calls to equal
// engines, and requests per second of daemon processor time by body size and number of workspaces.
#include <gflags/gflags.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"
#include "absl/synchronization/mutex.h"
#include "blocking_caller.h"
#include "marigoldquay/core/secret.h"
#include "process_usage.h"
#include "report.h"
#include "system.h"

DEFINE_string(callers, "1,32,256", "numbers of callers for the first token, comma-separated");
DEFINE_double(seconds, 3, "time of each measurement");
DEFINE_int32(rounds, 3, "the direct and the routed measurement alternate so often");
DEFINE_string(bodies, "100,10000,100000", "prompt sizes in bytes for the throughput");
DEFINE_string(workspaces, "5,500,26000", "configured workspaces for the throughput; empty: none");
DEFINE_int32(throughput_callers, 64, "callers for the throughput");
DEFINE_int32(vms, 3, "entry VMs for the first token");
DEFINE_string(json, "", "file for the results as JSON");

namespace marigoldquay::bench {
namespace {

using testing::Server;
using testing::System;
using testing::SystemOptions;

constexpr int kEnginesPerRole = 4;
constexpr int kTokens = 4;
// Large enough for 256 callers; the engines must not be what limits the requests.
const std::vector<std::string>& EngineFlags() {
  static const auto* const flags =
      new std::vector<std::string>{"--slots=512",      "--queue=1000",
                                   "--pieces=1000000", "--prefill_tokens_per_s=100000000",
                                   "--token_ms=2",     "--link_bytes_per_s=1000000000000"};
  return *flags;
}

std::vector<std::int64_t> ParseNumbers(const char* flag, const std::string& text) {
  std::vector<std::int64_t> numbers;
  const std::vector<std::string> parts = absl::StrSplit(text, ',', absl::SkipEmpty());
  for (const std::string& part : parts) {
    std::int64_t number = 0;
    if (!absl::SimpleAtoi(part, &number) || number < 1 || number > 1000000) {
      throw std::invalid_argument(
          absl::StrCat("--", flag, "=", text, " is not allowed; allowed: numbers 1 to 1000000"));
    }
    numbers.push_back(number);
  }
  return numbers;
}

std::string Prompt(std::int64_t size, std::uint64_t number, int tokens) {
  const std::string end = absl::StrCat("[tokens=", tokens, "]");
  std::string prompt = absl::StrCat("request ", number, " ");
  const auto wanted = static_cast<std::size_t>(size);
  if (prompt.size() + end.size() < wanted) prompt.resize(wanted - end.size(), 'x');
  return prompt + end;
}

// Of this process only: the address that an engine prints must not be read from the log of an
// earlier run.
std::string LogFolder() {
  std::string folder = absl::StrCat(MARIGOLDQUAY_BENCH_LOGS, "/latency-", getpid());
  std::filesystem::create_directories(folder);
  return folder;
}

/// Engines outside of the configuration, equal to those of the system. Direct calls use them,
/// because the router cancels holds of holders that it does not know.
class DirectEngines {
 public:
  DirectEngines() {
    for (int i = 0; i < kEnginesPerRole; ++i) {
      prefill_.push_back(Start("prefill", i));
      decode_.push_back(Start("decode", i));
    }
  }

  /// Prefill and decode as the router does them; the first token counts from the prefill's start.
  Call Complete(BlockingCaller& caller, std::uint64_t number, std::int64_t prompt_size) const {
    const Server& prefill = prefill_[number % prefill_.size()];
    const Server& decode = decode_[number % decode_.size()];
    const std::string id = absl::StrCat("direct-", number);
    const std::string prompt = Prompt(prompt_size, number, kTokens);
    const std::int64_t tokens = (prompt_size + 3) / 4;
    const absl::Time start = absl::Now();
    Call prefilled =
        caller.Post(prefill.Url("/v1/prefill"),
                    boost::json::serialize(boost::json::object{{"request_id", id},
                                                               {"holder", "direct/1"},
                                                               {"model", "brief-writer"},
                                                               {"prompt", prompt},
                                                               {"prompt_tokens", tokens},
                                                               {"priority", 0}}));
    if (prefilled.status != 200) return prefilled;
    const boost::json::value result = boost::json::parse(prefilled.body);
    const absl::Duration before = absl::Now() - start;
    Call call =
        caller.Post(decode.Url("/v1/decode"),
                    boost::json::serialize(boost::json::object{
                        {"request_id", id},
                        {"holder", "direct/1"},
                        {"model", "brief-writer"},
                        {"source", {{"address", prefill.address}, {"handle", result.at("handle")}}},
                        {"prompt_tokens", tokens},
                        {"max_tokens", kTokens},
                        {"from_token", 0}}));
    call.first_token += before;
    return call;
  }

 private:
  static Server Start(const std::string& role, int index) {
    std::vector<std::string> flags = EngineFlags();
    flags.push_back("--role=" + role);
    Server server;
    server.process = testing::Process(absl::StrCat(MARIGOLDQUAY_BENCH_FAKES, "/fake_engine"), flags,
                                      absl::StrCat(LogFolder(), "/direct-", role, "-", index));
    server.address = server.process.AwaitLine("listening");
    return server;
  }

  std::vector<Server> prefill_;
  std::vector<Server> decode_;
};

struct Samples {
  std::vector<double> first_token_ms;
  std::int64_t calls = 0;
  std::int64_t failures = 0;
  int last_failure = 0;
  double seconds = 0;

  void Merge(const Samples& other) {
    first_token_ms.insert(first_token_ms.end(), other.first_token_ms.begin(),
                          other.first_token_ms.end());
    calls += other.calls;
    failures += other.failures;
    if (other.failures > 0) last_failure = other.last_failure;
  }
};

using Request = std::function<Call(BlockingCaller&, int caller, std::uint64_t number)>;

// Closed loop: each caller sends its next request when the former one has ended.
Samples RunCallers(int callers, const std::vector<std::string>& headers, const Request& request) {
  static std::atomic<std::uint64_t> next_number{0};
  absl::Mutex mutex;
  Samples all;
  const absl::Time start = absl::Now();
  const absl::Time end = start + absl::Seconds(FLAGS_seconds);
  std::vector<std::thread> threads;
  for (int i = 0; i < callers; ++i) {
    threads.emplace_back([&, i] {
      BlockingCaller caller;
      caller.SetHeaders(headers);
      Samples samples;
      while (absl::Now() < end) {
        const Call call = request(caller, i, next_number++);
        ++samples.calls;
        if (call.status == 200) {
          samples.first_token_ms.push_back(absl::ToDoubleMilliseconds(call.first_token));
        } else {
          ++samples.failures;
          samples.last_failure = call.status;
        }
      }
      const absl::MutexLock lock(&mutex);
      all.Merge(samples);
    });
  }
  for (std::thread& thread : threads) thread.join();
  all.seconds = absl::ToDoubleSeconds(absl::Now() - start);
  return all;
}

std::string CompletionBody(const std::string& prompt, int max_tokens, bool stream) {
  return boost::json::serialize(boost::json::object{{"model", "brief-writer"},
                                                    {"prompt", prompt},
                                                    {"max_tokens", max_tokens},
                                                    {"stream", stream}});
}

SystemOptions BaseOptions() {
  SystemOptions options;
  options.prefill_engines = kEnginesPerRole;
  options.decode_engines = kEnginesPerRole;
  options.plain_services = 1;
  options.prefill_flags = options.decode_flags = EngineFlags();
  constexpr TokenCount kMaxRate = 1000000000;
  constexpr TokenCount kMaxBurst = 10000000000;
  options.workspaces = {{"w1", 1, kMaxRate, kMaxBurst}};
  return options;
}

// Waits until every VM completes requests of the workspace: for some seconds after the start its
// quota has no home yet and requests are refused with 503.
void AwaitCompletions(System& system, const std::string& workspace) {
  constexpr absl::Duration kTimeout = absl::Seconds(20);
  for (int i = 0; i < system.vm_count(); ++i) {
    testing::ClientResponse last;
    const bool served = testing::Eventually(kTimeout, [&] {
      last = Fetch(system.CompletionRequest(i, workspace, "[tokens=1]", 1, false));
      return last.status == 200;
    });
    if (!served) {
      throw std::runtime_error(absl::StrCat("no completion for workspace ", workspace, ": status ",
                                            last.status, " ", last.body));
    }
  }
}

boost::json::object MeasureFirstToken(System& system, const DirectEngines& direct, int callers) {
  constexpr std::int64_t kPromptSize = 400;
  const std::vector<std::string> headers = {
      "Expect:", "Content-Type: application/json",
      absl::StrCat("Authorization: Bearer ", System::KeyText("w1"))};
  Samples direct_samples;
  Samples routed_samples;
  for (int round = 0; round < FLAGS_rounds; ++round) {
    direct_samples.Merge(
        RunCallers(callers, {"Expect:"}, [&](BlockingCaller& caller, int, std::uint64_t number) {
          return direct.Complete(caller, number, kPromptSize);
        }));
    routed_samples.Merge(
        RunCallers(callers, headers, [&](BlockingCaller& caller, int index, std::uint64_t number) {
          const auto& address = system.vm(index % system.vm_count()).caller;
          return caller.Post(absl::StrCat("http://", address, "/v1/completions"),
                             CompletionBody(Prompt(kPromptSize, number, kTokens), kTokens, true));
        }));
  }
  const Percentiles direct_ms = PercentilesOf(direct_samples.first_token_ms);
  const Percentiles routed_ms = PercentilesOf(routed_samples.first_token_ms);
  std::printf(
      "first token, %3d callers: direct p50 %.2f p99 %.2f ms (%zu calls, %ld failed), routed p50 "
      "%.2f p99 %.2f ms (%zu calls, %ld failed, last status %d), added p50 %.2f p99 %.2f ms\n",
      callers, direct_ms.p50, direct_ms.p99, direct_samples.first_token_ms.size(),
      static_cast<long>(direct_samples.failures), routed_ms.p50, routed_ms.p99,  // NOLINT
      routed_samples.first_token_ms.size(),
      static_cast<long>(routed_samples.failures),  // NOLINT
      routed_samples.last_failure, routed_ms.p50 - direct_ms.p50, routed_ms.p99 - direct_ms.p99);
  std::fflush(stdout);
  return {{"callers", callers},
          {"direct_p50_ms", direct_ms.p50},
          {"direct_p99_ms", direct_ms.p99},
          {"direct_calls", direct_samples.calls},
          {"direct_failures", direct_samples.failures},
          {"routed_p50_ms", routed_ms.p50},
          {"routed_p99_ms", routed_ms.p99},
          {"routed_calls", routed_samples.calls},
          {"routed_failures", routed_samples.failures},
          {"added_p50_ms", routed_ms.p50 - direct_ms.p50},
          {"added_p99_ms", routed_ms.p99 - direct_ms.p99}};
}

// Configures further workspaces "x1" and on, each with one key.
void AddWorkspaces(System& system, std::int64_t count) {
  // An intent has at most 256 changes and 64 KiB.
  constexpr std::int64_t kWorkspacesPerPlan = 120;
  for (std::int64_t first = 1; first <= count; first += kWorkspacesPerPlan) {
    boost::json::array changes;
    for (std::int64_t i = first; i < std::min(first + kWorkspacesPerPlan, count + 1); ++i) {
      const std::string id = absl::StrCat("x", i);
      changes.push_back(System::Put("workspace", id,
                                    {{"weight", 1}, {"rate", 1000000000}, {"burst", 10000000000}}));
      changes.push_back(System::Put(
          "key", id + "key", {{"workspace", id}, {"digest", Sha256Hex(System::KeyText(id))}}));
    }
    const testing::ClientResponse answer = system.ApplyChanges(changes);
    if (answer.status != 200) {
      throw std::runtime_error(absl::StrCat("confirm: status ", answer.status, " ", answer.body));
    }
  }
}

boost::json::object MeasureThroughput(System& system, std::int64_t workspaces,
                                      std::int64_t body_size) {
  const std::string url = absl::StrCat("http://", system.vm(0).caller, "/v1/completions");
  const pid_t pid = system.vm(0).process.pid();
  const ProcessUsage before = ReadUsage(pid);
  const Samples all = RunCallers(
      FLAGS_throughput_callers, {}, [&](BlockingCaller& caller, int, std::uint64_t number) {
        // A prime step spreads the keys, so that no order of the configuration is favoured.
        const std::uint64_t workspace = 1 + number * 7919 % static_cast<std::uint64_t>(workspaces);
        caller.SetHeaders({"Expect:", "Content-Type: application/json",
                           absl::StrCat("Authorization: Bearer ",
                                        System::KeyText(absl::StrCat("x", workspace)))});
        return caller.Post(url, CompletionBody(Prompt(body_size, number, 1), 1, false));
      });
  const ProcessUsage after = ReadUsage(pid);
  const double cpu = after.cpu_seconds - before.cpu_seconds;
  const auto good = static_cast<double>(all.calls - all.failures);
  std::printf(
      "throughput, %6ld workspaces, %6ld bytes: %8.0f requests/s, %8.0f per core second of the "
      "daemon (%.2f cores used, %.1f MiB, %ld failed, last status %d)\n",
      static_cast<long>(workspaces), static_cast<long>(body_size),  // NOLINT
      good / all.seconds, cpu > 0 ? good / cpu : 0, cpu / all.seconds,
      static_cast<double>(after.resident_bytes) / (1 << 20), static_cast<long>(all.failures),
      all.last_failure);  // NOLINT
  std::fflush(stdout);
  return {{"workspaces", workspaces},
          {"body_bytes", body_size},
          {"requests_per_s", good / all.seconds},
          {"requests_per_core_second", cpu > 0 ? good / cpu : 0},
          {"cores", cpu / all.seconds},
          {"resident_bytes", after.resident_bytes},
          {"calls", all.calls},
          {"failures", all.failures}};
}

boost::json::array MeasureAllThroughputs() {
  boost::json::array results;
  const std::vector<std::int64_t> bodies = ParseNumbers("bodies", FLAGS_bodies);
  for (const std::int64_t workspaces : ParseNumbers("workspaces", FLAGS_workspaces)) {
    SystemOptions options = BaseOptions();
    // One VM, so that the processor time of one daemon is all that the router uses.
    options.vms = 1;
    System system(options);
    const absl::Time start = absl::Now();
    AddWorkspaces(system, workspaces);
    std::printf("configured %ld workspaces in %.1f s\n",
                static_cast<long>(workspaces),  // NOLINT
                absl::ToDoubleSeconds(absl::Now() - start));
    // Processor time is measured, not latency: the scheduler must not refuse the largest prompts
    // because they would miss the first-token target.
    const testing::ClientResponse answer =
        system.ApplyChanges({System::Put("pool", "brief-writer", {{"first_token_ms", 60000}})});
    if (answer.status != 200) throw std::runtime_error("confirm: " + answer.body);
    for (const std::int64_t i : {std::int64_t{1}, workspaces / 2 + 1, workspaces}) {
      AwaitCompletions(system, absl::StrCat("x", i));
    }
    for (const std::int64_t body : bodies) {
      results.push_back(MeasureThroughput(system, workspaces, body));
    }
  }
  return results;
}

void Main() {
  boost::json::array first_token;
  const std::vector<std::int64_t> callers = ParseNumbers("callers", FLAGS_callers);
  if (!callers.empty()) {
    SystemOptions options = BaseOptions();
    options.vms = FLAGS_vms;
    System system(options);
    const DirectEngines direct;
    AwaitCompletions(system, "w1");
    for (const std::int64_t count : callers) {
      first_token.push_back(MeasureFirstToken(system, direct, static_cast<int>(count)));
    }
  }
  const boost::json::array throughput = MeasureAllThroughputs();
  if (FLAGS_json.empty()) return;
  std::ofstream file(FLAGS_json);
  file << boost::json::serialize(
      boost::json::object{{"first_token", first_token}, {"throughput", throughput}});
  file.close();
  if (!file) throw std::runtime_error("cannot write " + FLAGS_json);
}

}  // namespace
}  // namespace marigoldquay::bench

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  try {
    marigoldquay::bench::Main();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "latency_tool: %s\n", error.what());
    return 1;
  }
  return 0;
}
