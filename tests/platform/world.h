// A small deployment on this machine: the store, backend servers and real daemons.
#ifndef MARIGOLDQUAY_TESTS_PLATFORM_WORLD_H_
#define MARIGOLDQUAY_TESTS_PLATFORM_WORLD_H_

#include <functional>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "fake_replica.h"
#include "fake_store.h"
#include "link_proxy.h"
#include "process.h"
#include "test_http.h"

namespace marigoldquay::testing {

/// Routes of a world's configuration, all of host "shop.example": /order/ (not idempotent) and
/// /status/ (idempotent) of the service "desk", /stream/ (resumable) and /once/ (not resumable) of
/// the service "model". Workspaces "w1" and "w2" have the keys "key-1" and "key-2".
struct WorldOptions {
  int vms = 2;
  int desk_replicas = 3;
  int prefill_engines = 2;
  int decode_engines = 2;
  /// Tokens per second of each workspace; 0 means no limit.
  int rate = 0;
  /// Chooses the behaviour of the backend server with this id.
  std::function<ReplicaBehavior(const std::string& id)> behavior = [](const std::string&) {
    return ReplicaBehavior::kNormal;
  };
  /// Limit that the backend server with this id names, as header text; empty for none.
  std::function<std::string(const std::string& id)> request_limit = [](const std::string&) {
    return std::string();
  };
  /// Time between two events of a stream.
  absl::Duration event_gap = absl::Milliseconds(15);
  /// Events of a stream.
  int events = 6;
  /// Software version of the backend server with this id, asked at each of its starts.
  std::function<std::string(const std::string& id)> software_version = [](const std::string&) {
    return std::string("v1");
  };
  /// Whether each event of a stream begins with the software version that made it.
  bool marks_events = false;
  /// Time until a backend server that crashed listens again.
  absl::Duration server_down_time = absl::Seconds(2);
  /// Time that a plain server works on a request.
  absl::Duration work = absl::Milliseconds(5);
  /// Part of a prompt under which engines crash; empty for none.
  std::string deadly_part;
  /// Body of requests under which servers crash; empty for none.
  std::string deadly_body;
  /// Connections that the store accepts.
  std::size_t store_connections = 500;
  bool with_configuration = true;
  /// Whether the settings say that the system starts for the first time.
  bool bootstrap = false;
  /// Whether the backend server with this id is announced before the VMs start.
  std::function<bool(const std::string& id)> listed_at_start = [](const std::string&) {
    return true;
  };
  /// Alters every configuration before it is written, the first one too.
  std::function<void(boost::json::object&)> configuration = [](boost::json::object&) {};
  /// Alters the bounds of the rules in the settings of every VM.
  std::function<void(boost::json::object&)> bounds = [](boost::json::object&) {};
  /// Share of a core that the VM has.
  std::function<double(int vm)> cpu_share = [](int) { return 0.25; };
  /// Descriptors that the VM has.
  int max_descriptors = 1000;
  /// Puts a LinkProxy before the store, one per VM, and before every backend server.
  bool proxied = false;
  std::string name = "world";
};

/// One request of a caller.
struct CallerCall {
  std::string method = "POST";
  std::string path = "/order/x";
  std::string key = "key-1";
  std::string id;
  std::string body = "body";
  std::vector<std::string> headers;
  absl::Duration time_left = absl::Seconds(5);
  /// When the caller leaves; at the end of its time when unset.
  std::optional<absl::Duration> patience;
  std::function<bool(absl::string_view)> on_data;
};

class World {
 public:
  explicit World(WorldOptions options);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  /// Runs a function on the thread of the stand-ins and waits for it.
  void Run(const std::function<void()>& action);

  /// Writes the configuration with a new version; `change` may alter it first.
  std::uint64_t Configure(const std::function<void(boost::json::object&)>& change = {});
  /// The next configuration as the operator writes it.
  std::string NextConfiguration(const std::function<void(boost::json::object&)>& change = {});
  /// The store is away for `outage` and comes back from a copy made at `copied_at`; `written_again`
  /// runs before it answers the first call.
  void RestoreStore(absl::Time copied_at, absl::Duration outage,
                    const std::function<void(FakeStore&)>& written_again = {});
  void StartVm(int index);
  Process& vm(int index) { return vms_[static_cast<std::size_t>(index)].process; }
  Address caller_address(int index) const;
  Address readiness_address(int index) const;
  Address directory_address(int index) const;
  /// The first of the ports for traffic between VMs.
  Address inner_address(int index) const;
  bool AwaitReady(int index, absl::Duration timeout = absl::Seconds(10)) const;
  std::string SettingsPath(int index) const;

  ClientResponse Call(int vm, const CallerCall& call) const;
  /// Sends bytes on a new connection and returns what comes back until the peer closes it.
  std::string Raw(int vm, const std::string& bytes,
                  absl::Duration timeout = absl::Seconds(3)) const;

  FakeStore& store() { return *store_; }
  ReplicaLedger& ledger() { return ledger_; }
  /// Only with `proxied`, on the thread of the stand-ins.
  LinkProxy& store_link(int index) { return *vms_[static_cast<std::size_t>(index)].store_link; }
  LinkProxy& server_link(const std::string& id) { return *server_links_.at(id); }
  asio::io_context& io() { return io_; }
  /// Copy of what the backend servers saw.
  ReplicaLedger Seen();
  /// Runs of the request.
  std::vector<ReplicaRun> RunsOf(const std::string& id);
  /// The next entry of a backend server, as it announces itself.
  std::string Entry(const std::string& id, const std::string& state) const;
  /// Announces the state of a backend server.
  void Announce(const std::string& id, const std::string& state);
  /// Only on the thread of the stand-ins.
  const Address& replica_address(const std::string& id) { return replicas_.at(id)->address(); }
  /// Ends a backend server without notice; it starts again after a while.
  void CrashAndRestart(const std::string& id);
  /// Ends a backend server without notice.
  void Crash(const std::string& id);
  /// Ends a backend server and its connections without notice.
  void End(const std::string& id);
  /// Ends the connections of a backend server on which a response is under way.
  void BreakResponses(const std::string& id);
  /// Removes its entry from the list.
  void Unlist(const std::string& id);

 private:
  struct Vm {
    int base_port = 0;
    Process process;
    std::unique_ptr<LinkProxy> store_link;
  };

  void AddReplica(const std::string& id, const std::string& service, const std::string& phase);

  const WorldOptions options_;
  asio::io_context io_;
  std::unique_ptr<FakeStore> store_;
  std::unique_ptr<HttpListener> store_listener_;
  ReplicaLedger ledger_;
  std::map<std::string, std::unique_ptr<FakeReplica>> replicas_;
  std::map<std::string, std::unique_ptr<LinkProxy>> server_links_;
  std::vector<Vm> vms_;
  std::uint64_t version_ = 0;
  std::thread thread_;
};

/// An id that no other request of this process has.
std::string NewRequestId();

}  // namespace marigoldquay::testing

#endif  // MARIGOLDQUAY_TESTS_PLATFORM_WORLD_H_
