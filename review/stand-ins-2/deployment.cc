// A small deployment on loopback addresses.
#include "deployment.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <future>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/time/clock.h"

namespace marigoldquay::review {
namespace {

// The command of deploy/system.toml; cases run in the root of the repository.
constexpr char kCommand[] = "target/apps/marigoldquayd";
// Callers, readiness, directory, then the inner ones.
constexpr int kPortsPerVm = 6;

std::string Local(int port) { return absl::StrCat("127.0.0.1:", port); }

bool IsFree(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool free = bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  close(fd);
  return free;
}

int FreePorts(int count) {
  static std::atomic<int> next{10'000 + static_cast<int>(getpid() % 400) * 50};
  while (true) {
    const int base = next.fetch_add(count);
    bool free = true;
    for (int i = 0; i < count; ++i) free = free && IsFree(base + i);
    if (free) return base;
  }
}

struct RouteFigures {
  int objective_ms = 150;
  int timeout_ms = 1000;
  int priority = 2;
  int attempts = 1;
};

boost::json::object Route(const std::string& prefix, const std::string& kind,
                          const std::string& service, const RouteFigures& figures) {
  return {{"name", "r" + prefix},
          {"host", "shop.example"},
          {"pathPrefix", prefix},
          {"kind", kind},
          {"timeoutMs", figures.timeout_ms},
          {"latencySloMs", figures.objective_ms},
          {"priority", figures.priority},
          {"service", service},
          {"maxAttempts", figures.attempts},
          {"anonymous", false},
          {"resumable", figures.attempts > 1 && kind == "streaming"},
          {"gapTargetMs", 300}};
}

// The figures are those of the sheets: orders, lookups and design summaries of adeyemi-mugs,
// lecture and bulk summaries of czg-router-grown.
boost::json::object Configuration(std::uint64_t version) {
  const boost::json::object engine{{"slots", 8}, {"kvCapacity", 96'426}, {"kvHoldS", 0.5}};
  return {
      {"version", version},
      {"routes", boost::json::array{Route("/order/", "unsafe", "desk", {150, 1000, 2, 1}),
                                    Route("/status/", "safe", "desk", {150, 1000, 2, 2}),
                                    Route("/design/", "streaming", "model", {900, 14'000, 1, 2}),
                                    Route("/lecture/", "streaming", "model", {800, 14'000, 0, 1}),
                                    Route("/bulk/", "streaming", "model", {2000, 14'000, 2, 1})}},
      {"services", boost::json::array{{{"name", "desk"}, {"maxConns", 96}},
                                      {{"name", "model"}, {"engine", engine}}}},
      {"limits",
       {{"headerBytes", 16'384}, {"bodyBytes", 4'194'304}, {"headerMs", 3000}, {"idleMs", 15'000}}},
      {"tenants", boost::json::array{{{"name", "w1"},
                                      {"apiKeys", boost::json::array{"key-1"}},
                                      {"unit", "token_stream"},
                                      {"uncachedTokens", 200},
                                      {"ratePerS", 0},
                                      {"burst", 0}}}}};
}

boost::json::object Bounds() {
  return {{"contactMs", 3000},  {"drainMs", 2000},      {"graceS", 8},
          {"lossSlackMs", 200}, {"applyMs", 2000},      {"budgetRatio", 0.2},
          {"budgetBurst", 52},  {"budgetWindowS", 10},  {"quotaSlack", 110'000},
          {"recoveryS", 12},    {"requireFence", true}, {"leaseMs", 3000},
          {"thawMs", 300},      {"ttl_max_s", 5}};
}

// The daemon gets no other variables than those that DEPLOY.md names.
void LimitEnvironment() {
  for (const char* name : {"MARIGOLDQUAY_DAEMON", "MARIGOLDQUAY_NODE_FILE"}) unsetenv(name);
}

}  // namespace

void Record::Line(const std::string& text) {
  const std::lock_guard lock(mutex_);
  file_ << absl::StrFormat("%8.3f ", absl::ToDoubleSeconds(absl::Now() - started_)) << text << "\n";
  file_.flush();
}

bool PlaysTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

Deployment::Deployment(DeploymentOptions options, Record& record)
    : options_(std::move(options)), record_(record) {
  LimitEnvironment();
  const char* temporary = std::getenv("TMPDIR");
  std::string pattern =
      absl::StrCat(temporary == nullptr ? "/tmp" : temporary, "/review-case-XXXXXX");
  if (mkdtemp(pattern.data()) != nullptr) directory_ = pattern;
  store_ = std::make_unique<FakeStore>(io_);
  store_listener_ = std::make_unique<HttpListener>(io_, *store_, 500);
  (void)store_listener_->Start("127.0.0.1:0");
  for (ReplicaOptions replica : options_.replicas) {
    const std::string id = replica.id;
    replica.on_restart = [this, id] { store_->Put("keyed.servers", id, Entry(this->replica(id))); };
    replica.on_phase = replica.on_restart;
    replicas_[id] = std::make_unique<FakeReplica>(io_, ledger_, replica);
    store_->Put("keyed.servers", id, Entry(*replicas_.at(id)));
  }
  thread_ = std::thread([this] {
    const auto work = asio::make_work_guard(io_);
    io_.run();
  });
  Configure();
  for (int i = 0; i < options_.vms; ++i) vms_.push_back({FreePorts(kPortsPerVm), Process()});
}

Deployment::~Deployment() {
  for (auto& vm : vms_) vm.process.Kill();
  io_.stop();
  thread_.join();
  std::error_code ignored;  // The folder is temporary.
  std::filesystem::remove_all(directory_, ignored);
}

std::string Deployment::Entry(FakeReplica& replica) const {
  return replica.Entry("ready", replica.address());
}

std::string Deployment::SettingsPath(int index) const {
  return absl::StrCat(directory_, "/vm-", index, ".json");
}

std::string Deployment::caller_address(int index) const {
  return Local(vms_[static_cast<std::size_t>(index)].base_port);
}

void Deployment::StartVm(int index) {
  auto& vm = vms_[static_cast<std::size_t>(index)];
  const int base = vm.base_port;
  const boost::json::object settings{
      {"node", absl::StrCat("front-", index)},
      {"role", "router"},
      {"ip", "127.0.0.1"},
      {"zone", "z1"},
      {"region", "r1"},
      {"zones", {{"z1", "r1"}}},
      {"listen",
       {{"front", Local(base)}, {"ready", Local(base + 1)}, {"directory", Local(base + 2)}}},
      {"portRange", boost::json::array{base + 3, base + 5}},
      {"bootstrap", false},
      {"limits", {{"cpuShare", 0.25}, {"cores", 1}, {"memoryMb", 110}, {"maxFds", 4100}}},
      {"bounds", Bounds()},
      {"platform", {{"address", store_listener_->address()}, {"ttlMinMs", 1000}, {"parts", 12}}}};
  std::ofstream(SettingsPath(index)) << boost::json::serialize(settings);
  setenv("MARIGOLDQUAY_NODE_FILE", SettingsPath(index).c_str(), 1);
  vm.process = Process(kCommand, {}, SettingsPath(index));
  record_.Line(absl::StrCat("front-", index, " started, process ", vm.process.pid()));
}

bool Deployment::AwaitReady(int index) const {
  const int port = vms_[static_cast<std::size_t>(index)].base_port + 1;
  return testing::Eventually(absl::Seconds(10), [&] {
    return testing::Get("http://" + Local(port) + "/readiness").status == 200;
  });
}

void Deployment::Configure(const std::function<void(boost::json::object&)>& change) {
  version_ += 3;
  auto configuration = Configuration(version_);
  options_.configuration(configuration);
  if (change) change(configuration);
  const std::string text = boost::json::serialize(configuration);
  Run([&] { store_->Put("keyed.op", "config", text); });
  record_.Line(absl::StrCat("the operator writes version ", version_));
}

void Deployment::Run(const std::function<void()>& action) {
  std::promise<void> done;
  asio::post(io_, [&] {
    action();
    done.set_value();
  });
  done.get_future().wait();
}

ReplicaLedger Deployment::Seen() {
  ReplicaLedger copy;
  Run([&] { copy = ledger_; });
  return copy;
}

Outcome Deployment::Send(int vm, const Attempt& attempt) {
  testing::ClientRequest request;
  request.method = attempt.method;
  request.url = "http://" + caller_address(vm) + attempt.path;
  request.headers = attempt.headers;
  for (const std::string& header :
       {std::string("Host: shop.example"), "Attempt-Id: " + attempt.id, std::string("Key: key-1"),
        absl::StrCat("Deadline-Ms: ", absl::ToInt64Milliseconds(attempt.deadline))}) {
    request.headers.push_back(header);
  }
  request.body = attempt.body;
  request.timeout = attempt.patience;
  Outcome outcome;
  outcome.id = attempt.id;
  outcome.sent = absl::Now();
  record_.Line(absl::StrCat(attempt.id, " ", attempt.method, " ", attempt.path, " sent to front-",
                            vm, ", deadline ", absl::FormatDuration(attempt.deadline)));
  outcome.response = testing::Fetch(request);
  outcome.ended = absl::Now();
  const absl::Duration took = outcome.ended - outcome.sent;
  outcome.cut = !outcome.response.complete() && took < attempt.patience - absl::Milliseconds(20);
  record_.Line(absl::StrCat(attempt.id, " ended after ", absl::FormatDuration(took), ": status ",
                            outcome.response.status, ", ", outcome.response.body.size(), " bytes, ",
                            outcome.response.complete() ? "complete" : outcome.response.error));
  return outcome;
}

std::string Deployment::SendRaw(int vm, const std::string& bytes, absl::Duration timeout) const {
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

std::vector<std::string> Deployment::LogLines(int vm, const std::string& text) const {
  std::vector<std::string> lines;
  std::ifstream file(SettingsPath(vm) + ".out");
  for (std::string line; std::getline(file, line);) {
    if (absl::StrContains(line, text)) lines.push_back(line);
  }
  return lines;
}

}  // namespace marigoldquay::review
