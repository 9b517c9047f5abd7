#include "bench_system.h"

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <map>
#include <stdexcept>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"
#include "marigoldquay/core/secret.h"

namespace marigoldquay::bench {
namespace {

using testing::BackendUnderTest;
using testing::System;
using testing::VmUnderTest;

constexpr double kStallMs = 300;
constexpr int kZones = 3;
// Age of load reports that never change during a run.
constexpr char kStoppedReports[] = "--load_lag_ms=1000000000";

std::int64_t Count(const boost::json::object& stats, const char* name) {
  return stats.at(name).to_number<std::int64_t>();
}

// Sum of all series of the metric; nullopt when there is none.
std::optional<std::int64_t> SumOfMetric(const std::string& text, absl::string_view name) {
  std::optional<std::int64_t> sum;
  for (const absl::string_view line : absl::StrSplit(text, '\n')) {
    if (!absl::StartsWith(line, name)) continue;
    const absl::string_view rest = line.substr(name.size());
    if (rest.empty() || (rest[0] != '{' && rest[0] != ' ')) continue;
    double value = 0;
    if (absl::SimpleAtod(line.substr(line.rfind(' ') + 1), &value)) {
      sum = sum.value_or(0) + static_cast<std::int64_t>(value);
    }
  }
  return sum;
}

void AddTo(std::optional<std::int64_t>& sum, const std::optional<std::int64_t>& value) {
  if (value) sum = sum.value_or(0) + *value;
}

}  // namespace

std::optional<Fault> FindFault(absl::string_view name) {
  static const auto* const faults = new std::map<std::string, Fault, std::less<>>{
      {"none", Fault::kNone},          {"engine_frozen", Fault::kEngineFrozen},
      {"slow_link", Fault::kSlowLink}, {"load_reports_stopped", Fault::kLoadReportsStopped},
      {"vm_killed", Fault::kVmKilled}, {"log_down", Fault::kLogDown},
      {"zone_lost", Fault::kZoneLost}};
  const auto found = faults->find(std::string(name));
  if (found == faults->end()) return std::nullopt;
  return found->second;
}

BenchSystem::BenchSystem(BenchSystemOptions options) : options_(std::move(options)) {
  static int count = 0;
  log_folder_ = absl::StrCat(MARIGOLDQUAY_BENCH_LOGS, "/", getpid(), "-", ++count);
  std::filesystem::create_directories(log_folder_);
  testing::SystemOptions system;
  system.vms = options_.profile.vms;
  system.prefill_engines = 0;
  system.decode_engines = 0;
  system.plain_services = 0;
  system.configure = false;
  system.workspaces.clear();
  for (std::size_t i = 0; i < options_.profile.workspaces.size(); ++i) {
    const WorkspaceShare& share = options_.profile.workspaces[i];
    system.workspaces.push_back(
        {share.id, share.weight, options_.rates[i].rate, options_.rates[i].burst});
  }
  system.vm_flags = options_.vm_flags;
  system_ = std::make_unique<System>(system);
  StartEngines();
  Configure();
  for (int i = 0; i < system_->vm_count(); ++i) {
    system_->AwaitServing(i);
    addresses_.Set(i, system_->vm(i).caller);
  }
}

testing::Server BenchSystem::StartFake(const std::string& program, const std::string& name,
                                       const std::vector<std::string>& flags) {
  testing::Server server;
  server.process = testing::Process(absl::StrCat(MARIGOLDQUAY_BENCH_FAKES, "/", program), flags,
                                    absl::StrCat(log_folder_, "/", name));
  server.address = server.process.AwaitLine("listening");
  return server;
}

void BenchSystem::StartEngines() {
  const Profile& profile = options_.profile;
  const auto start = [&](const std::string& id, const std::string& role, const EngineSpec& engine,
                         std::vector<std::string> flags) {
    flags.insert(flags.end(),
                 {"--role=" + role, "--model=" + profile.model_pool,
                  absl::StrCat("--slots=", engine.slots), absl::StrCat("--pieces=", engine.pieces),
                  absl::StrCat("--link_bytes_per_s=", std::llround(engine.link_bytes_per_s)),
                  absl::StrCat("--kv_bytes_per_token=", std::llround(profile.kv_bytes_per_token)),
                  absl::StrCat("--evict_ms=", std::llround(profile.evict_ms))});
    if (options_.fault == Fault::kLoadReportsStopped) flags.emplace_back(kStoppedReports);
    system_->backends().push_back({id, role, StartFake("fake_engine", id, flags), std::nullopt});
  };
  int number = 0;
  for (const EngineSpec& engine : profile.prefill) {
    start(absl::StrCat("p", ++number), "prefill", engine,
          {absl::StrCat("--prefill_tokens_per_s=", std::llround(engine.prefill_tokens_per_s))});
  }
  number = 0;
  for (const EngineSpec& engine : profile.decode) {
    start(absl::StrCat("d", ++number), "decode", engine,
          {absl::StrCat("--token_ms=", engine.token_ms)});
  }
  for (int i = 1; i <= profile.plain_services; ++i) {
    const std::string id = absl::StrCat("s", i);
    system_->backends().push_back(
        {id, "plain", StartFake("fake_plain_service", id, {"--name=" + id}), std::nullopt});
  }
  system_->SetVmList();
}

void BenchSystem::Configure() {
  const Profile& profile = options_.profile;
  boost::json::array changes;
  for (std::size_t i = 0; i < profile.workspaces.size(); ++i) {
    const WorkspaceShare& share = profile.workspaces[i];
    changes.push_back(System::Put("workspace", share.id,
                                  {{"weight", share.weight},
                                   {"rate", options_.rates[i].rate},
                                   {"burst", options_.rates[i].burst}}));
    changes.push_back(
        System::Put("key", share.id + "key",
                    {{"workspace", share.id}, {"digest", Sha256Hex(System::KeyText(share.id))}}));
  }
  changes.push_back(System::Put("pool", profile.model_pool,
                                {{"kind", "model"},
                                 {"model", profile.model_pool},
                                 {"first_token_ms", std::llround(profile.first_token_ms)},
                                 {"between_tokens_ms", std::llround(profile.between_tokens_ms)}}));
  changes.push_back(System::Put("pool", profile.plain_pool, {{"kind", "plain"}}));
  std::size_t decode = 0;
  std::size_t prefill = 0;
  for (const BackendUnderTest& backend : system_->backends()) {
    double link = 0;
    if (backend.role == "prefill") link = profile.prefill[prefill++].link_bytes_per_s;
    if (backend.role == "decode") link = profile.decode[decode++].link_bytes_per_s;
    changes.push_back(
        System::Put("backend_server", backend.id,
                    {{"pool", backend.role == "plain" ? profile.plain_pool : profile.model_pool},
                     {"role", backend.role},
                     {"address", backend.address()},
                     {"link_bytes_per_s", std::llround(link)}}));
  }
  const testing::ClientResponse answer = system_->ApplyChanges(changes);
  if (answer.status != 200) {
    throw std::runtime_error(
        absl::StrCat("confirm: status ", answer.status, " ", answer.error, " ", answer.body));
  }
}

std::vector<std::string> BenchSystem::Authorizations() const {
  std::vector<std::string> authorizations;
  for (const WorkspaceShare& share : options_.profile.workspaces) {
    authorizations.push_back(absl::StrCat("Authorization: Bearer ", System::KeyText(share.id)));
  }
  return authorizations;
}

bool BenchSystem::InLostZone(int index) const { return index % kZones == 0; }

void BenchSystem::InjectFault() {
  const auto kill_vm = [&](int index) {
    VmUnderTest& vm = system_->vm(index);
    lost_cpu_seconds_ += ReadUsage(vm.process.pid()).cpu_seconds;
    vm.process.Kill();
  };
  switch (options_.fault) {
    case Fault::kNone:
    case Fault::kLoadReportsStopped:
      return;
    case Fault::kEngineFrozen:
      return system_->backend("d1").server.SetFaults({{"freeze", true}});
    case Fault::kSlowLink:
      return system_->backend("p1").server.SetFaults(
          {{"stall_transfer_ms", std::llround(kStallMs * options_.time_scale)}});
    case Fault::kVmKilled:
      return kill_vm(0);
    case Fault::kLogDown:
      return system_->log().SetFaults({{"outage", true}});
    case Fault::kZoneLost:
      for (int i = 0; i < system_->vm_count(); ++i) {
        if (InLostZone(i)) kill_vm(i);
      }
      int index = 0;
      for (BackendUnderTest& backend : system_->backends()) {
        if (InLostZone(index++)) backend.server.process.Kill();
      }
      return;
  }
}

void BenchSystem::ContinueFault() {
  if (options_.fault != Fault::kVmKilled) return;
  system_->StartVm(0);
  addresses_.Set(0, system_->vm(0).caller);
}

EngineCounts BenchSystem::CountEngines() {
  EngineCounts counts;
  for (BackendUnderTest& backend : system_->backends()) {
    if (backend.role == "plain" || !backend.server.process.running()) continue;
    const boost::json::object stats = backend.server.GetJson("/test/stats");
    counts.prefills += Count(stats, "prefills");
    counts.prefill_tokens += Count(stats, "prefill_tokens");
    counts.wasted_prefills += Count(stats, "wasted_prefills");
    counts.wasted_prefill_tokens += Count(stats, "wasted_prefill_tokens");
    counts.cancelled_prefills += Count(stats, "cancelled_prefills");
    counts.refusals += Count(stats, "refusals");
    counts.decodes += Count(stats, "decodes");
    counts.held_pieces += Count(stats, "held_pieces");
  }
  return counts;
}

DaemonCounts BenchSystem::CountDaemons() {
  DaemonCounts counts;
  counts.usage.cpu_seconds = lost_cpu_seconds_;
  for (int i = 0; i < system_->vm_count(); ++i) {
    VmUnderTest& vm = system_->vm(i);
    if (!vm.process.running()) continue;
    const ProcessUsage usage = ReadUsage(vm.process.pid());
    counts.usage.cpu_seconds += usage.cpu_seconds;
    counts.usage.resident_bytes += usage.resident_bytes;
    counts.usage.threads += usage.threads;
    counts.max_resident_bytes = std::max(counts.max_resident_bytes, usage.resident_bytes);
    const std::string text = testing::Get(absl::StrCat("http://", vm.caller, "/metrics")).body;
    AddTo(counts.inner_calls, SumOfMetric(text, "marigoldquay_rpc_server_calls_total"));
    AddTo(counts.inner_bytes, SumOfMetric(text, "marigoldquay_rpc_bytes_total"));
  }
  return counts;
}

}  // namespace marigoldquay::bench
