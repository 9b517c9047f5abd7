#include "system.h"

#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "marigoldquay/core/secret.h"

namespace marigoldquay::testing {
namespace {

constexpr absl::Duration kPlanTimeout = absl::Seconds(20);

std::string DaemonPath() {
  const char* path = std::getenv("MARIGOLDQUAY_DAEMON");
  return path == nullptr ? MARIGOLDQUAY_DAEMON : path;
}

void RequireSuccess(const std::string& what, const ClientResponse& response) {
  if (response.complete() && response.status == 200) return;
  throw std::runtime_error(
      absl::StrCat(what, ": status ", response.status, " ", response.error, " ", response.body));
}

}  // namespace

std::string Server::Url(absl::string_view path) const {
  return absl::StrCat("http://", address, path);
}

boost::json::object Server::GetJson(absl::string_view path) const { return Get(Url(path)).Json(); }

void Server::SetFaults(const boost::json::object& faults) const {
  RequireSuccess("set faults", PostJson(Url("/test/faults"), faults));
}

void ProxyServer::Control(absl::string_view what, const boost::json::object& body) const {
  RequireSuccess("control proxy",
                 PostJson(absl::StrCat("http://", control, "/control/", what), body));
}

System::System(SystemOptions options) : options_(std::move(options)) {
  static int count = 0;
  log_folder_ = absl::StrCat(MARIGOLDQUAY_TEST_LOGS, "/", getpid(), "-", ++count);
  std::filesystem::create_directories(log_folder_);
  log_ = StartServer("fake_log", "log", options_.log_flags);
  vm_list_ = StartServer("fake_vm_list", "vm_list", options_.vm_list_flags);
  StartBackends("fake_engine", "p", "prefill", options_.prefill_engines, options_.prefill_flags,
                true);
  StartBackends("fake_engine", "d", "decode", options_.decode_engines, options_.decode_flags, true);
  StartBackends("fake_plain_service", "s", "plain", options_.plain_services, options_.plain_flags,
                false);
  for (int i = 0; i < options_.vms; ++i) {
    VmUnderTest& vm = vms_.emplace_back();
    vm.id = absl::StrCat("vm", i + 1);
    if (options_.inner_proxies) vm.inner_proxy = StartProxy(vm.id + "-inner", "");
    if (options_.log_proxies) vm.log_proxy = StartProxy(vm.id + "-log", log_.address);
  }
  SetVmList();
  for (int i = 0; i < options_.vms; ++i) StartVm(i);
  if (!options_.configure || options_.vms == 0) return;
  RequireSuccess("confirm", ApplyChanges(StandardChanges()));
  for (int i = 0; i < options_.vms; ++i) AwaitServing(i);
  AwaitHomes();
}

void System::AwaitHomes(absl::Duration timeout) {
  std::int64_t homes = 0;
  const auto status = [&] {
    return Fetch({"GET",
                  absl::StrCat("http://", vms_.front().operator_address, "/operator/v1/status"),
                  {absl::StrCat("Authorization: Bearer ", kOperatorToken)}});
  };
  const bool all = Eventually(timeout, [&] {
    homes = 0;
    const auto json = status().Json();
    const auto* members = json.if_contains("members");
    if (members == nullptr) return false;
    for (const auto& member : members->as_array()) {
      const auto* count = member.as_object().if_contains("workspace_homes");
      if (count != nullptr) homes += count->to_number<std::int64_t>();
    }
    return homes >= static_cast<std::int64_t>(options_.workspaces.size());
  });
  // A home that has just taken up its role starts with an empty bucket.
  constexpr absl::Duration kFirstTokens = absl::Milliseconds(500);
  absl::SleepFor(kFirstTokens);
  if (!all) {
    throw std::runtime_error(
        absl::StrCat("only ", homes, " workspaces have a home: ", status().body));
  }
}

System::~System() {
  if (keep_logs_) return;
  std::error_code ignored;
  std::filesystem::remove_all(log_folder_, ignored);
}

Process System::Start(const std::string& program, const std::string& name,
                      const std::vector<std::string>& flags) {
  return Process(program, flags, absl::StrCat(log_folder_, "/", ++started_, "-", name));
}

Server System::StartServer(const std::string& program, const std::string& name,
                           const std::vector<std::string>& flags) {
  Server server;
  server.process = Start(absl::StrCat(MARIGOLDQUAY_FAKES, "/", program), name, flags);
  server.address = server.process.AwaitLine("listening");
  return server;
}

ProxyServer System::StartProxy(const std::string& name, const Address& target) {
  ProxyServer proxy;
  proxy.process = Start(absl::StrCat(MARIGOLDQUAY_FAKES, "/fault_proxy"), name + "-proxy",
                        {"--target=" + target});
  proxy.address = proxy.process.AwaitLine("listening");
  proxy.control = proxy.process.AwaitLine("control");
  return proxy;
}

void System::StartBackends(const std::string& program, const std::string& prefix,
                           const std::string& role, int count,
                           const std::vector<std::string>& flags, bool is_engine) {
  for (int i = 1; i <= count; ++i) {
    BackendUnderTest backend{absl::StrCat(prefix, i), role};
    std::vector<std::string> all = {is_engine ? "--role=" + role : "--name=" + backend.id};
    all.insert(all.end(), flags.begin(), flags.end());
    backend.server = StartServer(program, backend.id, all);
    if (options_.backend_proxies) backend.proxy = StartProxy(backend.id, backend.server.address);
    backends_.push_back(std::move(backend));
  }
}

BackendUnderTest& System::backend(absl::string_view id) {
  for (BackendUnderTest& backend : backends_) {
    if (backend.id == id) return backend;
  }
  throw std::runtime_error(absl::StrCat("no backend server ", id));
}

void System::StartVm(int index) {
  VmUnderTest& vm = vms_.at(index);
  std::vector<Address> seeds;
  for (const VmUnderTest& other : vms_) {
    if (&other != &vm && (other.started() || other.inner_proxy)) {
      seeds.push_back(other.advertised_inner());
    }
  }
  std::vector<std::string> flags = {
      "--vm_id=" + vm.id,
      absl::StrCat("--availability_zone=zone-", std::string(1, static_cast<char>('a' + index % 3))),
      "--region=region-1",
      "--vm_size=2",
      "--caller_listen=127.0.0.1:0",
      "--inner_listen=127.0.0.1:0",
      "--operator_listen=127.0.0.1:0",
      absl::StrCat("--operator_token=", kOperatorToken),
      absl::StrCat("--log_url=http://", vm.log_proxy ? vm.log_proxy->address : log_.address),
      "--vm_list_url=" + vm_list_.Url(""),
      "--seed_peers=" + absl::StrJoin(seeds, ",")};
  if (vm.inner_proxy) flags.push_back("--inner_advertise=" + vm.inner_proxy->address);
  flags.insert(flags.end(), options_.vm_flags.begin(), options_.vm_flags.end());
  vm.process = Start(DaemonPath(), vm.id, flags);
  vm.caller = vm.process.AwaitLine("caller");
  vm.inner = vm.process.AwaitLine("inner");
  vm.operator_address = vm.process.AwaitLine("operator");
  if (vm.inner_proxy) vm.inner_proxy->SetTarget(vm.inner);
}

void System::AwaitServing(int index, absl::Duration timeout) {
  const std::string ready = absl::StrCat("http://", vms_.at(index).caller, "/readyz");
  ClientResponse last;
  const bool serving = Eventually(timeout, [&] {
    last = Get(ready);
    if (last.status != 200) return false;
    for (const WorkspaceSpec& workspace : options_.workspaces) {
      // Without a prompt it is invalid, and so costs no tokens, but its key is checked.
      ClientRequest probe = CompletionRequest(index, workspace.id, "", 1, false);
      probe.body = R"({"model":"brief-writer"})";
      last = Fetch(probe);
      if (last.status != 400 && last.status != 422) return false;
    }
    return true;
  });
  if (!serving) RequireSuccess(absl::StrCat(vms_[index].id, " does not serve"), last);
}

ClientResponse System::ApplyChanges(const boost::json::array& changes, int vm) {
  const std::string url = absl::StrCat("http://", vms_.at(vm).operator_address, "/operator/v1/");
  const std::vector<std::string> headers = {absl::StrCat("Authorization: Bearer ", kOperatorToken)};
  ClientResponse plan;
  Eventually(kPlanTimeout, [&] {
    plan = PostJson(url + "plan", boost::json::object{{"changes", changes}}, headers);
    // Other answers tell that the daemon has not started yet or that the log is out of reach.
    return plan.status == 200 || (plan.status >= 400 && plan.status < 500);
  });
  RequireSuccess("plan", plan);
  return PostJson(url + "confirm", {{"digest", plan.Json().at("digest")}}, headers);
}

boost::json::object System::Put(absl::string_view kind, absl::string_view id,
                                boost::json::object object) {
  return {{"op", "put"},
          {"kind", std::string(kind)},
          {"id", std::string(id)},
          {"object", std::move(object)}};
}

boost::json::array System::StandardChanges() const {
  boost::json::array changes;
  for (const WorkspaceSpec& spec : options_.workspaces) {
    changes.push_back(Put("workspace", spec.id,
                          {{"weight", spec.weight}, {"rate", spec.rate}, {"burst", spec.burst}}));
    changes.push_back(Put("key", spec.id + "key",
                          {{"workspace", spec.id}, {"digest", Sha256Hex(KeyText(spec.id))}}));
  }
  changes.push_back(Put("pool", "brief-writer", {{"kind", "model"}, {"model", "brief-writer"}}));
  changes.push_back(Put("pool", "order-desk", {{"kind", "plain"}}));
  for (const BackendUnderTest& backend : backends_) {
    changes.push_back(Put("backend_server", backend.id,
                          {{"pool", backend.role == "plain" ? "order-desk" : "brief-writer"},
                           {"role", backend.role},
                           {"address", backend.address()},
                           {"link_bytes_per_s", 0}}));
  }
  const auto route = [](const char* method, bool idempotent) {
    return boost::json::object{{"pool", "order-desk"},
                               {"methods", boost::json::array{method}},
                               {"idempotent", idempotent},
                               {"open", false}};
  };
  changes.push_back(Put("route", "/orders", route("POST", false)));
  changes.push_back(Put("route", "/status", route("GET", true)));
  return changes;
}

void System::SetVmList(const std::vector<std::string>& leaving) {
  boost::json::array list;
  const auto add = [&](const std::string& id, const char* kind) {
    const bool leaves = std::find(leaving.begin(), leaving.end(), id) != leaving.end();
    list.push_back({{"id", id}, {"kind", kind}, {"state", leaves ? "leaving" : "live"}});
  };
  for (const VmUnderTest& vm : vms_) add(vm.id, "entry");
  for (const BackendUnderTest& backend : backends_) add(backend.id, "backend");
  RequireSuccess("set VM list",
                 PostJson(vm_list_.Url("/test/vms"), boost::json::object{{"vms", list}}));
}

std::string System::KeyText(absl::string_view workspace) {
  return absl::StrCat("mq_", workspace, "key_secret");
}

ClientRequest System::CompletionRequest(int vm, absl::string_view workspace,
                                        const std::string& prompt, TokenCount max_tokens,
                                        bool stream) const {
  const boost::json::object body = {{"model", "brief-writer"},
                                    {"prompt", prompt},
                                    {"max_tokens", max_tokens},
                                    {"stream", stream}};
  return {"POST",
          absl::StrCat("http://", vms_.at(vm).caller, "/v1/completions"),
          {"Content-Type: application/json",
           absl::StrCat("Authorization: Bearer ", KeyText(workspace))},
          boost::json::serialize(body)};
}

ClientRequest System::OrderRequest(int vm, absl::string_view workspace,
                                   absl::string_view idempotency_key,
                                   const std::string& body) const {
  return {
      "POST",
      absl::StrCat("http://", vms_.at(vm).caller, "/orders"),
      {"Content-Type: application/json", absl::StrCat("Authorization: Bearer ", KeyText(workspace)),
       absl::StrCat("Idempotency-Key: ", idempotency_key)},
      body};
}

std::int64_t System::HeldPieces() { return EngineCount("held_pieces"); }

std::int64_t System::EngineCount(absl::string_view name) {
  std::int64_t sum = 0;
  for (const BackendUnderTest& backend : backends_) {
    if (backend.role == "plain") continue;
    const boost::json::object stats = backend.server.GetJson("/test/stats");
    sum += stats.at(std::string(name)).to_number<std::int64_t>();
  }
  return sum;
}

std::map<std::string, std::int64_t> System::Executions() {
  std::map<std::string, std::int64_t> executions;
  for (const BackendUnderTest& backend : backends_) {
    if (backend.role != "plain") continue;
    const boost::json::object stats = backend.server.GetJson("/test/executions");
    for (const auto& [key, count] : stats.at("by_key").as_object()) {
      executions[key] += count.to_number<std::int64_t>();
    }
  }
  return executions;
}

std::vector<std::string> System::KeyLeaks() {
  std::vector<std::string> leaks;
  const auto collect = [&](const std::string& name, const boost::json::object& stats) {
    for (const auto& place : stats.at("key_leaks").as_array()) {
      leaks.push_back(absl::StrCat(name, ": ", place.as_string().c_str()));
    }
  };
  for (const BackendUnderTest& backend : backends_) {
    collect(backend.id,
            backend.server.GetJson(backend.role == "plain" ? "/test/executions" : "/test/stats"));
  }
  collect("log", log_.GetJson("/test/stats"));
  return leaks;
}

void System::PrintLogs(std::ostream& out) {
  keep_logs_ = true;
  const auto print = [&](const Process& process) { out << process.Log() << "\n"; };
  print(log_.process);
  for (const BackendUnderTest& backend : backends_) print(backend.server.process);
  for (const VmUnderTest& vm : vms_) print(vm.process);
}

}  // namespace marigoldquay::testing
