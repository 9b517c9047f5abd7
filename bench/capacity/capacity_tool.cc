// Cost of control per VM: idle processor time, memory, bytes between VMs and to
// the log, against the number of VMs and of workspaces. The slopes go into
// docs/CAPACITY.md.
#include <gflags/gflags.h>

#include <cstdio>
#include <thread>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "marigoldquay/core/clock.h"
#include "marigoldquay/core/secret.h"
#include "process_usage.h"
#include "system.h"

DEFINE_string(vms, "3,6,12,24", "numbers of VMs, each measured with 5 workspaces");
DEFINE_string(workspaces, "500,2000,8000", "numbers of workspaces, each with one key");
DEFINE_int32(workspace_vms, 3, "number of VMs with which --workspaces are measured");
DEFINE_int32(seconds, 15, "length of each measurement");
DEFINE_int32(settle_seconds, 6, "time between the configuration and the measurement");

namespace marigoldquay::bench {
namespace {

using testing::System;
using testing::SystemOptions;

std::vector<int> ParseList(const std::string& text) {
  std::vector<int> values;
  for (const auto part : absl::StrSplit(text, ',', absl::SkipEmpty())) {
    int value = 0;
    if (absl::SimpleAtoi(part, &value) && value > 0) values.push_back(value);
  }
  return values;
}

std::int64_t ProxyBytes(const testing::ProxyServer& proxy) {
  const auto stats = testing::Get(absl::StrCat("http://", proxy.control, "/control/stats")).Json();
  return stats.at("bytes_to_target").to_number<std::int64_t>() +
         stats.at("bytes_to_client").to_number<std::int64_t>();
}

struct Totals {
  double cpu_seconds = 0;
  double resident_mb = 0;
  std::int64_t inner_bytes = 0;
  std::int64_t log_bytes = 0;
};

Totals Measure(System& system) {
  Totals totals;
  for (int i = 0; i < system.vm_count(); ++i) {
    auto& vm = system.vm(i);
    const auto usage = ReadUsage(vm.process.pid());
    totals.cpu_seconds += usage.cpu_seconds;
    totals.resident_mb += static_cast<double>(usage.resident_bytes) / 1e6;
    totals.inner_bytes += ProxyBytes(*vm.inner_proxy);
    totals.log_bytes += ProxyBytes(*vm.log_proxy);
  }
  return totals;
}

// Each inner call crosses one proxy, so that the sum over all proxies is what all VMs sent, and
// also what all received.
void PrintRow(const char* what, int count, int vms, const Totals& before, const Totals& after) {
  const double per_vm = 1.0 / vms / FLAGS_seconds;
  std::printf(
      "%-10s %6d  vms %3d  cpu %6.3f %% of a core  resident %6.1f MB  inner %8.0f B/s  "
      "log %8.0f B/s (per VM, each way counted once)\n",
      what, count, vms, 100 * (after.cpu_seconds - before.cpu_seconds) * per_vm,
      after.resident_mb / vms, static_cast<double>(after.inner_bytes - before.inner_bytes) * per_vm,
      static_cast<double>(after.log_bytes - before.log_bytes) * per_vm);
  std::fflush(stdout);
}

SystemOptions Options(int vms) {
  SystemOptions options;
  options.vms = vms;
  options.inner_proxies = true;
  options.log_proxies = true;
  options.vm_flags = {"--log_level=warn"};
  return options;
}

void AddWorkspaces(System& system, int count) {
  // A plan may have at most 256 changes.
  constexpr int kPerPlan = 128;
  for (int first = 0; first < count; first += kPerPlan) {
    boost::json::array changes;
    for (int i = first; i < std::min(count, first + kPerPlan); ++i) {
      const auto id = absl::StrCat("workspace-", i);
      changes.push_back(System::Put("workspace", id, {{"rate", 1000}, {"burst", 60000}}));
      changes.push_back(System::Put(
          "key", absl::StrCat("key-", i),
          {{"workspace", id}, {"digest", Sha256Hex(absl::StrCat("mq_key-", i, "_secret"))}}));
    }
    system.ApplyChanges(changes);
  }
}

void MeasureRow(const char* what, int count, int vms, int workspaces) {
  System system(Options(vms));
  const auto begin = SystemClock::Instance().Now();
  if (workspaces > 5) AddWorkspaces(system, workspaces);
  const auto configured = SystemClock::Instance().Now() - begin;
  std::this_thread::sleep_for(std::chrono::seconds(FLAGS_settle_seconds));
  const auto before = Measure(system);
  std::this_thread::sleep_for(std::chrono::seconds(FLAGS_seconds));
  PrintRow(what, count, vms, before, Measure(system));
  if (workspaces > 5) {
    std::printf("  configured in %.1f s\n", absl::ToDoubleSeconds(configured));
  }
}

}  // namespace
}  // namespace marigoldquay::bench

int main(int argc, char** argv) {
  using marigoldquay::bench::MeasureRow;
  using marigoldquay::bench::ParseList;
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  try {
    for (const int vms : ParseList(FLAGS_vms)) MeasureRow("vms", vms, vms, 5);
    for (const int count : ParseList(FLAGS_workspaces)) {
      MeasureRow("workspaces", count, FLAGS_workspace_vms, count);
    }
  } catch (const std::exception& error) {
    std::fprintf(stderr, "capacity_tool: %s\n", error.what());
    return 1;
  }
  return 0;
}
