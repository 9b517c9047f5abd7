// A small deployment on loopback addresses.
#include "deployment.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/json.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "caller.h"

namespace marigoldquay::review {
namespace {

// Ports of one VM: callers, readiness, directory, control, then those between VMs.
constexpr int kPortsPerVm = 20;
constexpr int kInnerPorts = 16;
constexpr absl::Duration kHeartbeat = absl::Milliseconds(1200);
constexpr absl::Duration kReadyTime = absl::Seconds(15);

// A range of ports of the address on which nothing listens now.
int FreePorts(const std::string& ip, int count) {
  static int next = 20'000 + static_cast<int>(getpid() % 300) * 20;
  while (true) {
    const int base = next;
    next += count;
    bool free = true;
    for (int i = 0; i < count && free; ++i) {
      const int fd = socket(AF_INET, SOCK_STREAM, 0);
      const auto endpoint = ParseEndpoint(absl::StrCat(ip, ":", base + i));
      free = bind(fd, endpoint->data(), static_cast<socklen_t>(endpoint->size())) == 0;
      close(fd);
    }
    if (free) return base;
  }
}

boost::json::object Route(const std::string& name, const std::string& kind,
                          const std::string& service, int timeout_ms, int target_ms, int attempts,
                          bool resumable) {
  boost::json::object route{{"name", name},
                            {"host", "shop.example"},
                            {"pathPrefix", "/" + name + "/"},
                            {"kind", kind},
                            {"timeoutMs", timeout_ms},
                            {"latencySloMs", target_ms},
                            {"priority", kind == "streaming" ? 1 : 2},
                            {"service", service},
                            {"maxAttempts", attempts}};
  if (kind == "streaming") {
    route["gapTargetMs"] = 300;
    route["sticky"] = true;
  }
  if (resumable) route["resumable"] = true;
  return route;
}

}  // namespace

std::string MakeFolder() {
  std::string name = (std::filesystem::temp_directory_path() / "mq-review-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) std::exit(2);
  return name;
}

bool WithTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

Deployment::Deployment(asio::io_context& io, Record& record, DeploymentOptions options)
    : io_(io),
      record_(record),
      options_(std::move(options)),
      store_(io),
      store_listener_(io, store_, 500) {
  (void)store_listener_.Start("127.0.0.1:0");
  store_.Put("keyed.op", "config", Configuration());
  for (int i = 0; i < options_.vms; ++i) {
    const std::string ip =
        absl::StrCat("127.", 1 + getpid() / 250 % 250, ".", 1 + getpid() % 250, ".", i + 1);
    vms_.push_back({ip, FreePorts(ip, kPortsPerVm), std::make_unique<Daemon>()});
  }
}

Deployment::~Deployment() {
  for (const Vm& vm : vms_) vm.daemon->Kill();
  std::error_code ignored;  // Only a temporary folder would be left.
  std::filesystem::remove_all(options_.folder, ignored);
}

std::string Deployment::Configuration() const {
  const boost::json::object engine{
      {"slots", options_.engine_slots}, {"kvCapacity", 96'426}, {"kvHoldS", 0.5}};
  const boost::json::object config{
      {"version", 3},
      {"routes",
       boost::json::array{Route("place", "unsafe", "order-desk", 1000, 150, 1, false),
                          Route("status", "safe", "order-desk", 1000, 150, 2, false),
                          Route("caption", "streaming", "brief-writer", 14'000, 900, 1, false),
                          Route("summary", "streaming", "brief-writer", 14'000, 900, 2, true)}},
      {"services",
       boost::json::array{{{"name", "order-desk"}, {"maxConns", 96}},
                          {{"name", "brief-writer"}, {"maxConns", 360}, {"engine", engine}}}},
      {"limits",
       {{"headerBytes", 16'384}, {"bodyBytes", 4'194'304}, {"headerMs", 5000}, {"idleMs", 30'000}}},
      {"tenants", boost::json::array{{{"name", "w1"},
                                      {"apiKeys", boost::json::array{"key-1"}},
                                      {"unit", "token_stream"},
                                      {"uncachedTokens", 200},
                                      {"ratePerS", options_.rate},
                                      {"burst", options_.burst}}}}};
  return boost::json::serialize(config);
}

BackendServer& Deployment::AddServer(BackendServerOptions options) {
  servers_.push_back(std::make_unique<BackendServer>(io_, std::move(options)));
  List(servers_.back()->options().id, "ready");
  return *servers_.back();
}

BackendServer& Deployment::server(const std::string& id) {
  for (const auto& server : servers_) {
    if (server->options().id == id) return *server;
  }
  std::abort();
}

void Deployment::List(const std::string& id, const std::string& state) {
  store_.Put("keyed.servers", id, server(id).Entry(state));
}

void Deployment::KeepListing(Yield yield) {
  while (true) {
    SleepFor(io_, kHeartbeat, yield);
    for (const auto& server : servers_) List(server->options().id, "ready");
  }
}

std::string Deployment::Path(int index, const std::string& suffix) const {
  return absl::StrCat(options_.folder, "/vm-", index, suffix);
}

Address Deployment::caller_address(int index) const {
  const Vm& vm = vms_[static_cast<std::size_t>(index)];
  return absl::StrCat(vm.ip, ":", vm.base_port);
}

void Deployment::StartVm(int index) {
  Vm& vm = vms_[static_cast<std::size_t>(index)];
  const auto at = [&](int port) { return absl::StrCat(vm.ip, ":", vm.base_port + port); };
  const boost::json::object settings{
      {"node", absl::StrCat("front-ikeja-", index + 1)},
      {"role", "router"},
      {"machineClass", "front"},
      {"serves", boost::json::array{"front", "directory"}},
      {"ip", vm.ip},
      {"zone", "ikeja"},
      {"region", "lagos"},
      {"zones", {{"ikeja", "lagos"}}},
      {"listen", {{"front", at(0)}, {"ready", at(1)}, {"directory", at(2)}}},
      {"portRange", boost::json::array{vm.base_port + kPortsPerVm - kInnerPorts,
                                       vm.base_port + kPortsPerVm - 1}},
      {"seeds", boost::json::array{}},
      {"limits",
       {{"cpuShare", 0.25},
        {"cores", 1},
        {"memoryMb", 110},
        {"maxFds", 4100},
        {"linkMbps", 1000.0}}},
      {"heartbeatMs", 1200},
      {"bounds",
       {{"drainMs", 2000},
        {"graceS", 8},
        {"applyMs", 2000},
        {"budgetRatio", 0.2},
        {"budgetWindowS", 10},
        {"budgetBurst", 52},
        {"leaseMs", 3000},
        {"quotaWindowS", 8},
        {"quotaTolerance", 0.1},
        {"quotaSlack", 110'000},
        {"ttl_max_s", 5},
        {"requireFence", true}}},
      {"platform",
       {{"address", store_listener_.address()},
        {"form", "log"},
        {"parts", 12},
        {"ttlMinMs", 1000}}}};
  std::ofstream(Path(index, ".json")) << boost::json::serialize(settings);
  vm.daemon->Start(Path(index, ".json"), Path(index, ".log"));
  record_.Say("platform: start of VM ", index, ", pid ", vm.daemon->pid());
}

bool Deployment::IsReady(int index, Yield yield) {
  const Vm& vm = vms_[static_cast<std::size_t>(index)];
  Caller platform(io_, absl::StrCat(vm.ip, ":", vm.base_port + 1));
  CallerRequest request;
  request.method = "GET";
  request.path = "/readiness";
  const auto result = platform.Call(request, yield);
  return result.outcome == CallerOutcome::kAnswered && result.status == 200;
}

bool Deployment::AwaitReady(Yield yield) {
  const absl::Time until = absl::Now() + kReadyTime;
  for (int i = 0; i < vms(); ++i) {
    while (!IsReady(i, yield)) {
      if (absl::Now() >= until) return false;
      SleepFor(io_, absl::Milliseconds(100), yield);
    }
  }
  return true;
}

int RunCase(const std::function<int(asio::io_context&, Yield)>& body, absl::Duration limit) {
  // Never destroyed: fibers that wait are not unwound.
  auto* io = new asio::io_context;
  int result = 2;
  SpawnFiber(*io, "case", [&](Yield yield) {
    result = body(*io, yield);
    io->stop();
  });
  io->run_for(std::chrono::nanoseconds(ToChrono(limit)));
  return result;
}

}  // namespace marigoldquay::review
