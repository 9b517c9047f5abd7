// A small deployment on this machine.
#include "world.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace marigoldquay::testing {
namespace {

// Ports of one VM: callers, readiness, directory, then the inner ones.
constexpr int kPortsPerVm = 6;

// A range of ports that nothing listens on now; the kernel gives out other ports for connections.
int FreePorts(int count) {
  static std::atomic<int> next{10'000 + static_cast<int>(getpid() % 400) * 50};
  while (true) {
    const int base = next.fetch_add(count);
    bool free = true;
    for (int i = 0; i < count && free; ++i) {
      const int fd = socket(AF_INET, SOCK_STREAM, 0);
      sockaddr_in address{};
      address.sin_family = AF_INET;
      address.sin_port = htons(static_cast<std::uint16_t>(base + i));
      address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      free = bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
      close(fd);
    }
    if (free) return base;
  }
}

Address Local(int port) { return absl::StrCat("127.0.0.1:", port); }

boost::json::object Route(const std::string& prefix, const std::string& kind,
                          const std::string& service, int attempts, bool resumable) {
  return {{"name", "r" + prefix},   {"host", "shop.example"}, {"pathPrefix", prefix},
          {"kind", kind},           {"timeoutMs", 5000},      {"latencySloMs", 400},
          {"priority", 1},          {"service", service},     {"maxAttempts", attempts},
          {"resumable", resumable}, {"gapTargetMs", 300}};
}

}  // namespace

std::string NewRequestId() {
  static std::atomic<int> next{1};
  return absl::StrCat("req-", getpid(), "-", next.fetch_add(1));
}

World::World(WorldOptions options) : options_(std::move(options)) {
  store_ = std::make_unique<FakeStore>(io_);
  store_listener_ = std::make_unique<HttpListener>(io_, *store_, options_.store_connections);
  (void)store_listener_->Start("127.0.0.1:0");
  for (int i = 1; i <= options_.desk_replicas; ++i) AddReplica(absl::StrCat("s", i), "desk", "");
  for (int i = 1; i <= options_.prefill_engines; ++i) {
    AddReplica(absl::StrCat("p", i), "model", "prefill");
  }
  for (int i = 1; i <= options_.decode_engines; ++i) {
    AddReplica(absl::StrCat("d", i), "model", "decode");
  }
  thread_ = std::thread([this] {
    const auto work = asio::make_work_guard(io_);
    io_.run();
  });
  if (options_.with_configuration) Configure();
  for (int i = 0; i < options_.vms; ++i) {
    vms_.push_back({FreePorts(kPortsPerVm), Process(), nullptr});
    if (options_.proxied) {
      Run([&] {
        vms_.back().store_link = std::make_unique<LinkProxy>(io_, store_listener_->address());
      });
    }
    StartVm(i);
  }
}

World::~World() {
  for (auto& vm : vms_) vm.process.Kill();
  io_.stop();
  thread_.join();
}

std::string World::Entry(const std::string& id, const std::string& state) const {
  const auto link = server_links_.find(id);
  auto& replica = *replicas_.at(id);
  return replica.Entry(state,
                       link == server_links_.end() ? replica.address() : link->second->address());
}

void World::AddReplica(const std::string& id, const std::string& service,
                       const std::string& phase) {
  ReplicaOptions replica;
  replica.id = id;
  replica.service = service;
  replica.phase = phase;
  replica.event_gap = options_.event_gap;
  replica.events = options_.events;
  replica.version = [this, id] { return options_.software_version(id); };
  replica.marks_events = options_.marks_events;
  replica.down_time = options_.server_down_time;
  replica.work = options_.work;
  replica.behavior = [this, id] { return options_.behavior(id); };
  replica.request_limit = [this, id] { return options_.request_limit(id); };
  replica.deadly_part = options_.deadly_part;
  replica.deadly_body = options_.deadly_body;
  replica.on_restart = [this, id] { store_->Put("keyed.servers", id, Entry(id, "ready")); };
  replica.on_phase = [this, id] { store_->Put("keyed.servers", id, Entry(id, "ready")); };
  replicas_[id] = std::make_unique<FakeReplica>(io_, ledger_, replica);
  if (options_.proxied) {
    server_links_[id] = std::make_unique<LinkProxy>(io_, replicas_[id]->address());
  }
  if (options_.listed_at_start(id)) store_->Put("keyed.servers", id, Entry(id, "ready"));
}

void World::Run(const std::function<void()>& action) {
  std::promise<void> done;
  asio::post(io_, [&] {
    action();
    done.set_value();
  });
  done.get_future().wait();
}

std::uint64_t World::Configure(const std::function<void(boost::json::object&)>& change) {
  const std::string configuration = NextConfiguration(change);
  Run([&] { store_->Put("keyed.op", "config", configuration); });
  return version_;
}

void World::RestoreStore(absl::Time copied_at, absl::Duration outage,
                         const std::function<void(FakeStore&)>& written_again) {
  Run([&] { store_->set_mode(StoreMode::kReset); });
  absl::SleepFor(outage);
  Run([&] {
    store_->Restore(copied_at);
    if (written_again) written_again(*store_);
    store_->set_mode(StoreMode::kUp);
  });
}

std::string World::NextConfiguration(const std::function<void(boost::json::object&)>& change) {
  version_ += 3;
  boost::json::object engine{{"slots", 16}, {"kvCapacity", 100'000}, {"kvHoldS", 0.5}};
  boost::json::object config{
      {"version", version_},
      {"routes", boost::json::array{Route("/order/", "unsafe", "desk", 1, false),
                                    Route("/status/", "safe", "desk", 2, false),
                                    Route("/stream/", "streaming", "model", 2, true),
                                    Route("/once/", "streaming", "model", 1, false)}},
      {"services", boost::json::array{{{"name", "desk"}, {"maxConns", 96}},
                                      {{"name", "model"}, {"engine", engine}}}},
      {"limits",
       {{"headerBytes", 8192}, {"bodyBytes", 65'536}, {"headerMs", 1000}, {"idleMs", 5000}}}};
  boost::json::array tenants;
  for (int i = 1; i <= 2; ++i) {
    tenants.push_back({{"name", absl::StrCat("w", i)},
                       {"apiKeys", boost::json::array{absl::StrCat("key-", i)}},
                       {"unit", "token_stream"},
                       {"uncachedTokens", 10},
                       {"ratePerS", options_.rate},
                       {"burst", options_.rate}});
  }
  config["tenants"] = std::move(tenants);
  options_.configuration(config);
  if (change) change(config);
  return boost::json::serialize(config);
}

std::string World::SettingsPath(int index) const {
  const std::string directory =
      absl::StrCat(MARIGOLDQUAY_TEST_LOGS, "/", options_.name, "-", getpid());
  std::filesystem::create_directories(directory);
  return absl::StrCat(directory, "/vm-", index, ".json");
}

void World::StartVm(int index) {
  auto& vm = vms_[static_cast<std::size_t>(index)];
  const int base = vm.base_port;
  const Address store_address =
      vm.store_link ? vm.store_link->address() : store_listener_->address();
  boost::json::object settings{
      {"node", absl::StrCat("vm-", index)},
      {"ip", "127.0.0.1"},
      {"zone", "z1"},
      {"region", "r1"},
      {"bootstrap", options_.bootstrap},
      {"listen",
       {{"front", Local(base)}, {"ready", Local(base + 1)}, {"directory", Local(base + 2)}}},
      {"portRange", boost::json::array{base + 3, base + 5}},
      {"limits",
       {{"cpuShare", options_.cpu_share(index)},
        {"memoryMb", 110},
        {"maxFds", options_.max_descriptors}}},
      {"bounds",
       {{"graceS", 8},
        {"ttl_max_s", 5},
        {"budgetRatio", 0.2},
        {"budgetBurst", 52},
        {"budgetWindowS", 10}}},
      {"platform", {{"address", store_address}, {"ttlMinMs", 1000}, {"parts", 12}}}};
  options_.bounds(settings["bounds"].as_object());
  std::ofstream(SettingsPath(index)) << boost::json::serialize(settings);
  // Another build of the daemon can be tried with the same tests.
  const char* other_daemon = std::getenv("MARIGOLDQUAY_DAEMON");
  vm.process = Process(other_daemon != nullptr ? other_daemon : MARIGOLDQUAY_DAEMON,
                       {"--node_file=" + SettingsPath(index)}, SettingsPath(index));
}

Address World::caller_address(int index) const {
  return Local(vms_[static_cast<std::size_t>(index)].base_port);
}
Address World::readiness_address(int index) const {
  return Local(vms_[static_cast<std::size_t>(index)].base_port + 1);
}
Address World::directory_address(int index) const {
  return Local(vms_[static_cast<std::size_t>(index)].base_port + 2);
}

Address World::inner_address(int index) const {
  return Local(vms_[static_cast<std::size_t>(index)].base_port + 3);
}

bool World::AwaitReady(int index, absl::Duration timeout) const {
  return Eventually(timeout, [&] {
    return Get("http://" + readiness_address(index) + "/readiness").status == 200;
  });
}

ClientResponse World::Call(int vm, const CallerCall& call) const {
  ClientRequest request;
  request.method = call.method;
  request.url = "http://" + caller_address(vm) + call.path;
  request.headers = call.headers;
  request.headers.push_back("Host: shop.example");
  request.headers.push_back("Attempt-Id: " + call.id);
  request.headers.push_back("Deadline-Ms: " +
                            std::to_string(absl::ToInt64Milliseconds(call.time_left)));
  if (!call.key.empty()) request.headers.push_back("Key: " + call.key);
  request.body = call.body;
  request.timeout = call.patience.value_or(call.time_left);
  request.on_data = call.on_data;
  return Fetch(request);
}

std::string World::Raw(int vm, const std::string& bytes, absl::Duration timeout) const {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port =
      htons(static_cast<std::uint16_t>(vms_[static_cast<std::size_t>(vm)].base_port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  std::string received;
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0 &&
      send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) >= 0) {
    const absl::Time until = absl::Now() + timeout;
    char piece[4096];
    while (absl::Now() < until) {
      pollfd readable{fd, POLLIN, 0};
      if (poll(&readable, 1, 50) <= 0) continue;
      const auto count = recv(fd, piece, sizeof(piece), 0);
      if (count <= 0) break;
      received.append(piece, static_cast<std::size_t>(count));
    }
  }
  close(fd);
  return received;
}

ReplicaLedger World::Seen() {
  ReplicaLedger copy;
  Run([&] { copy = ledger_; });
  return copy;
}

std::vector<ReplicaRun> World::RunsOf(const std::string& id) {
  std::vector<ReplicaRun> runs;
  for (auto& run : Seen().runs) {
    if (run.request_id == id) runs.push_back(run);
  }
  return runs;
}

void World::Announce(const std::string& id, const std::string& state) {
  Run([&] { store_->Put("keyed.servers", id, Entry(id, state)); });
}

void World::Crash(const std::string& id) {
  Run([&] { replicas_.at(id)->Stop(); });
}

void World::CrashAndRestart(const std::string& id) {
  Run([&] { replicas_.at(id)->Crash(); });
}

void World::End(const std::string& id) {
  Run([&] { replicas_.at(id)->End(); });
}

void World::BreakResponses(const std::string& id) {
  Run([&] { replicas_.at(id)->BreakResponses(); });
}

void World::Unlist(const std::string& id) {
  Run([&] { store_->Put("keyed.servers", id, ""); });
}

}  // namespace marigoldquay::testing
