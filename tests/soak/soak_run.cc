// Plays the faults of a seed against real daemons.
#include "soak_run.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "promises.h"
#include "request_limits.h"

namespace marigoldquay::testing {
namespace {

constexpr int kCallersOfFirst = 6;
constexpr int kCallersOfLimited = 3;
// Tokens per second and burst of the workspace w2.
constexpr int kLimitedRate = 500;
constexpr absl::Duration kTick = absl::Milliseconds(5);
// Grace that the settings give to a stop, and the time to collect the process.
constexpr absl::Duration kStopBound = absl::Seconds(9);
// All VMs serve again within this time after the last fault.
constexpr absl::Duration kRecoveryBound = absl::Seconds(8);
constexpr absl::Duration kCalm = absl::Seconds(2);
// Replies that were sent before the callers stopped are recorded by then.
constexpr absl::Duration kSettle = absl::Seconds(1);

const std::vector<std::string>& Servers() {
  static const std::vector<std::string> servers = {"s1", "s2", "s3", "p1", "p2", "d1", "d2"};
  return servers;
}

LinkFault LinkFaultOf(std::uint32_t variant) {
  LinkFault fault;
  switch (variant % 5) {
    case 0:
      fault.delay = absl::Milliseconds(30 + variant % 300);
      break;
    case 1:
      fault.hold_to_server = true;
      break;
    case 2:
      fault.hold_to_client = true;
      break;
    case 3:
      fault.hold_to_server = true;
      fault.hold_to_client = true;
      break;
    default:
      fault.refuse = true;
  }
  return fault;
}

void ApplyLinkFault(LinkProxy& link, std::uint32_t variant) {
  link.set_fault(LinkFaultOf(variant));
  // Some links also lose the connections that they have.
  if (variant % 3 == 0) link.Reset();
}

}  // namespace

SoakRun::SoakRun(const SoakOptions& options) : options_(options) {
  WorldOptions world;
  world.name = absl::StrCat("soak-", options_.seed);
  world.vms = options_.vms;
  world.proxied = true;
  world.with_configuration = false;
  world.behavior = [this](const std::string& id) {
    const auto found = behaviors_.find(id);
    return found == behaviors_.end() ? ReplicaBehavior::kNormal : found->second;
  };
  world.request_limit = [this](const std::string& id) {
    const auto found = limits_.find(id);
    return found == limits_.end() ? std::string() : found->second;
  };
  world_ = std::make_unique<World>(world);
  vms_.resize(static_cast<std::size_t>(options_.vms));
  log_.incarnations.assign(static_cast<std::size_t>(options_.vms), 1);
}

void SoakRun::Schedule(absl::Duration after, Action action) {
  schedule_.emplace(absl::Now() + after, std::move(action));
}

// Adds a route to the configuration, so that the version that a VM has shows from outside.
void SoakRun::Configure() {
  const std::uint64_t next = versions_.empty() ? 3 : versions_.front() + 3;
  versions_.insert(versions_.begin(), next);
  configuration_ = world_->NextConfiguration([this](boost::json::object& config) {
    auto& tenants = config["tenants"].as_array();
    tenants[1].as_object()["ratePerS"] = kLimitedRate;
    tenants[1].as_object()["burst"] = kLimitedRate;
    auto& routes = config["routes"].as_array();
    for (const std::uint64_t version : versions_) {
      boost::json::object route = routes[1].as_object();
      route["name"] = absl::StrCat("v", version);
      route["pathPrefix"] = absl::StrCat("/v", version, "/");
      routes.push_back(std::move(route));
    }
  });
  world_->Run([this] {
    world_->store().Put("keyed.op", "config", configuration_);
    log_.versions = versions_;
  });
}

void SoakRun::RestartVm(int vm) {
  auto& state = vms_[static_cast<std::size_t>(vm)];
  if (state.phase != VmPhase::kDown) return;
  world_->Run([&] { ++log_.incarnations[static_cast<std::size_t>(vm)]; });
  world_->StartVm(vm);
  state = VmState();
  Disturb(vm, absl::ZeroDuration());
}

void SoakRun::Disturb(int vm, absl::Duration length) {
  disturbances_.push_back({absl::Now(), absl::Now() + length, vm, ""});
}

void SoakRun::KillVm(int vm, absl::Duration down) {
  world_->vm(vm).Kill();
  Disturb(vm, down);
  vms_[static_cast<std::size_t>(vm)].phase = VmPhase::kDown;
  Schedule(down, [this, vm] { RestartVm(vm); });
}

void SoakRun::PauseVm(int vm, absl::Duration length) {
  world_->vm(vm).Pause();
  Disturb(vm, length);
  vms_[static_cast<std::size_t>(vm)].disturbed = true;
  Schedule(length, [this, vm] { world_->vm(vm).Resume(); });
}

void SoakRun::StopVm(int vm, absl::Duration down) {
  auto& state = vms_[static_cast<std::size_t>(vm)];
  if (state.phase != VmPhase::kUp) return;
  state.phase = VmPhase::kStopping;
  state.stopping_since = absl::Now();
  state.down = down;
  Disturb(vm, kStopBound);
  world_->vm(vm).Terminate();
}

void SoakRun::ReloadVm(int vm) {
  if (vms_[static_cast<std::size_t>(vm)].phase == VmPhase::kDown) return;
  if (world_->vm(vm).handles_reload()) return world_->vm(vm).Reload();
  Schedule(kTick, [this, vm] { ReloadVm(vm); });
}

void SoakRun::WatchVms() {
  for (int vm = 0; vm < options_.vms; ++vm) {
    auto& state = vms_[static_cast<std::size_t>(vm)];
    if (state.phase == VmPhase::kDown) continue;
    const auto status = world_->vm(vm).Wait(absl::ZeroDuration());
    if (state.phase == VmPhase::kUp && status) {
      Report(absl::StrCat("vm ", vm, " ended by itself with status ", *status));
      KillVm(vm, absl::ZeroDuration());
    }
    if (state.phase != VmPhase::kStopping) continue;
    if (status) {
      if (*status != 0) Report(absl::StrCat("vm ", vm, " stopped with status ", *status));
      state.phase = VmPhase::kDown;
      Schedule(state.down, [this, vm] { RestartVm(vm); });
    } else if (absl::Now() - state.stopping_since > kStopBound * (state.disturbed ? 2 : 1)) {
      Report(absl::StrCat("vm ", vm, " did not stop within its grace"));
      KillVm(vm, absl::ZeroDuration());
    }
  }
}

void SoakRun::BeginStoreOutage(const Fault& fault) {
  constexpr StoreMode kModes[] = {StoreMode::kBusy, StoreMode::kSilent, StoreMode::kReset,
                                  StoreMode::kSlow};
  const StoreMode mode = kModes[fault.variant % std::size(kModes)];
  world_->Run([&] { world_->store().set_mode(mode); });
  Schedule(fault.length,
           [this] { world_->Run([this] { world_->store().set_mode(StoreMode::kUp); }); });
}

void SoakRun::BeginStoreLink(const Fault& fault) {
  const int vm = static_cast<int>(fault.target % static_cast<std::uint32_t>(options_.vms));
  world_->Run([&] { ApplyLinkFault(world_->store_link(vm), fault.variant); });
  Schedule(fault.length,
           [this, vm] { world_->Run([&] { world_->store_link(vm).set_fault(LinkFault()); }); });
}

void SoakRun::BeginServerLink(const Fault& fault) {
  const std::string id = Servers()[fault.target % Servers().size()];
  world_->Run([&] { ApplyLinkFault(world_->server_link(id), fault.variant); });
  disturbances_.push_back({absl::Now(), absl::Now() + fault.length, -1, id});
  Schedule(fault.length,
           [this, id] { world_->Run([&] { world_->server_link(id).set_fault(LinkFault()); }); });
}

void SoakRun::BeginServerBehavior(const Fault& fault) {
  constexpr ReplicaBehavior kBehaviors[] = {
      ReplicaBehavior::kError,    ReplicaBehavior::kShed,       ReplicaBehavior::kHang,
      ReplicaBehavior::kTruncate, ReplicaBehavior::kWrongId,    ReplicaBehavior::kLoseAnswer,
      ReplicaBehavior::kUnsealed, ReplicaBehavior::kExtraAnswer};
  const std::string id = Servers()[fault.target % Servers().size()];
  const auto behavior = kBehaviors[fault.variant % std::size(kBehaviors)];
  world_->Run([&] { behaviors_[id] = behavior; });
  Schedule(fault.length, [this, id] { world_->Run([&] { behaviors_.erase(id); }); });
}

void SoakRun::BeginDrain(const Fault& fault) {
  const std::string id = Servers()[fault.target % Servers().size()];
  ++departures_[id];
  if (fault.variant % 2 == 0) {
    world_->Announce(id, "draining");
  } else {
    world_->Unlist(id);
  }
  Schedule(fault.length, [this, id] {
    if (--departures_[id] == 0) world_->Announce(id, "ready");
  });
}

// The operator and the servers write again what the copy does not hold, a heartbeat later.
void SoakRun::RestoreStore(const Fault& fault) {
  constexpr absl::Duration kHeartbeat = absl::Milliseconds(700);
  world_->Run([&] { world_->store().Restore(absl::Now() - fault.length); });
  Schedule(kHeartbeat * (fault.variant % 3) / 2, [this] {
    world_->Run([this] { world_->store().Put("keyed.op", "config", configuration_); });
    for (const std::string& id : Servers()) {
      if (departures_[id] == 0) world_->Announce(id, "ready");
    }
  });
}

void SoakRun::BeginLimit(const Fault& fault) {
  constexpr const char* kLimits[] = {"0", "0.5", "1", "2.5", "3.2", "6"};
  const std::string id = Servers()[fault.target % Servers().size()];
  world_->Run([&] { limits_[id] = kLimits[fault.variant % std::size(kLimits)]; });
  Schedule(fault.length, [this, id] { world_->Run([&] { limits_.erase(id); }); });
}

std::vector<std::string> SoakRun::ExcusedFromLimits(const ReplicaLedger& seen) const {
  std::map<std::string, int> vm_by_request;
  for (const CallRecord& call : log_.records) vm_by_request[call.id] = call.vm;
  std::vector<std::string> excused;
  for (const ReplicaArrival& arrival : seen.arrivals) {
    const auto vm = vm_by_request.find(arrival.request_id);
    const bool disturbed = std::any_of(
        disturbances_.begin(), disturbances_.end(), [&](const Disturbance& disturbance) {
          const bool during =
              arrival.at >= disturbance.from && arrival.at <= disturbance.until + kLimitContact;
          const bool same_vm = vm != vm_by_request.end() && vm->second == disturbance.vm;
          return during && (same_vm || arrival.replica == disturbance.server);
        });
    if (disturbed) excused.push_back(arrival.request_id);
  }
  return excused;
}

void SoakRun::Begin(const Fault& fault) {
  const int vm = static_cast<int>(fault.target % static_cast<std::uint32_t>(options_.vms));
  switch (fault.kind) {
    case FaultKind::kKillVm:
      return KillVm(vm, fault.length);
    case FaultKind::kKillAllVms:
      for (int i = 0; i < options_.vms; ++i) KillVm(i, fault.length);
      return;
    case FaultKind::kPauseVm:
      return PauseVm(vm, fault.length);
    case FaultKind::kStopVm:
      return StopVm(vm, fault.length);
    case FaultKind::kReloadVm:
      return ReloadVm(vm);
    case FaultKind::kStoreOutage:
      return BeginStoreOutage(fault);
    case FaultKind::kCompactStore:
      return world_->Run([this] { world_->store().Compact(); });
    case FaultKind::kStoreLink:
      return BeginStoreLink(fault);
    case FaultKind::kServerLink:
      return BeginServerLink(fault);
    case FaultKind::kServerBehavior:
      return BeginServerBehavior(fault);
    case FaultKind::kDrainServer:
      return BeginDrain(fault);
    case FaultKind::kConfigure:
      return Configure();
    case FaultKind::kNameLimit:
      return BeginLimit(fault);
    case FaultKind::kRestoreStore:
      return RestoreStore(fault);
  }
}

void SoakRun::StartCallers() {
  for (int i = 0; i < kCallersOfFirst + kCallersOfLimited; ++i) {
    const int workspace = i < kCallersOfFirst ? 1 : 2;
    const std::uint64_t seed = options_.seed * 100 + static_cast<std::uint64_t>(i);
    callers_.push_back(std::make_unique<SoakCaller>(*world_, log_, workspace, seed));
  }
  world_->Run([this] {
    for (const auto& caller : callers_) {
      SpawnFiber(world_->io(), "caller", [&caller](Yield yield) { caller->Run(yield); });
    }
  });
}

void SoakRun::PlayFaults() {
  for (const Fault& fault : PlanFaults(options_.seed, options_.length)) {
    Schedule(fault.at, [this, fault] { Begin(fault); });
  }
  while (true) {
    const bool stopping = std::any_of(vms_.begin(), vms_.end(),
                                      [](const VmState& vm) { return vm.phase != VmPhase::kUp; });
    if (schedule_.empty() && !stopping) return;
    while (!schedule_.empty() && schedule_.begin()->first <= absl::Now()) {
      const Action action = schedule_.begin()->second;
      schedule_.erase(schedule_.begin());
      action();
    }
    WatchVms();
    absl::SleepFor(kTick);
  }
}

void SoakRun::AwaitRecovery() {
  const absl::Time until = absl::Now() + kRecoveryBound;
  for (int vm = 0; vm < options_.vms; ++vm) {
    const bool ready = world_->AwaitReady(vm, until - absl::Now());
    if (!ready) Report(absl::StrCat("vm ", vm, " is not ready after the faults"));
    int in_a_row = 0;
    const bool serves = Eventually(until - absl::Now(), [&] {
      CallerCall call;
      call.id = NewRequestId();
      call.path = absl::StrCat("/v", versions_.front(), "/x");
      in_a_row = world_->Call(vm, call).status == 200 ? in_a_row + 1 : 0;
      return in_a_row >= 5;
    });
    if (!serves) Report(absl::StrCat("vm ", vm, " does not serve the newest configuration"));
  }
  recovered_ = absl::Now();
}

std::vector<std::string> SoakRun::Play() {
  Configure();
  for (int vm = 0; vm < options_.vms; ++vm) {
    if (!world_->AwaitReady(vm)) return {absl::StrCat("vm ", vm, " did not become ready")};
  }
  started_ = absl::Now();
  StartCallers();
  PlayFaults();
  AwaitRecovery();
  absl::SleepFor(kCalm);
  const absl::Time calm_end = absl::Now();
  world_->Run([this] { log_.stop = true; });
  const bool stopped = Eventually(absl::Seconds(10), [this] {
    int running = 0;
    world_->Run([&] { running = log_.running; });
    return running == 0;
  });
  if (!stopped) Report("callers did not end");
  absl::SleepFor(kSettle);
  const PromiseInput input{log_.records, world_->Seen(), started_,
                           recovered_,   calm_end,       kLimitedRate};
  for (auto& violation : CheckPromises(input)) Report(std::move(violation));
  for (auto& violation : CheckRequestLimits(input.seen, ExcusedFromLimits(input.seen))) {
    Report(std::move(violation));
  }
  return violations_;
}

std::string SoakRun::Summary() {
  std::map<unsigned, int> by_status;
  for (const CallRecord& call : log_.records) ++by_status[call.status];
  std::string text = absl::StrCat(log_.records.size(), " attempts:");
  for (const auto& [status, count] : by_status) absl::StrAppend(&text, " ", status, "=", count);
  return text;
}

}  // namespace marigoldquay::testing
