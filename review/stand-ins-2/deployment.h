// A small deployment for the cases of the second review: real daemons, started as the deploy file
// says, and the project's stand-ins of the store and of backend servers.
#ifndef MARIGOLDQUAY_REVIEW_STAND_INS_2_DEPLOYMENT_H_
#define MARIGOLDQUAY_REVIEW_STAND_INS_2_DEPLOYMENT_H_

#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "fake_replica.h"
#include "fake_store.h"
#include "process.h"
#include "test_http.h"

namespace marigoldquay::review {

using testing::FakeReplica;
using testing::FakeStore;
using testing::Process;
using testing::ReplicaLedger;
using testing::ReplicaOptions;

/// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

/// Writes record.txt: one line for each thing that was sent, answered or run, with the time since
/// the start. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path), started_(absl::Now()) {}
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream file_;
  const absl::Time started_;
};

/// Whether the case plays its disruption: not with TROUBLE=0.
bool PlaysTrouble();

struct DeploymentOptions {
  int vms = 3;
  std::vector<ReplicaOptions> replicas;
  /// Alters the configuration before it is written.
  std::function<void(boost::json::object&)> configuration = [](boost::json::object&) {};
};

/// One attempt of a client.
struct Attempt {
  std::string method = "POST";
  std::string path;
  std::string id;
  std::string body = "body";
  std::vector<std::string> headers;
  absl::Duration deadline = absl::Seconds(1);
  /// When the client leaves.
  absl::Duration patience = absl::Seconds(1);
};

/// What the client saw of an attempt.
struct Outcome {
  std::string id;
  absl::Time sent;
  absl::Time ended;
  testing::ClientResponse response;
  /// The connection ended without a complete answer, before the client left.
  bool cut = false;
};

class Deployment {
 public:
  Deployment(DeploymentOptions options, Record& record);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /// Only in the main thread.
  void StartVm(int index);
  Process& vm(int index) { return vms_[static_cast<std::size_t>(index)].process; }
  bool AwaitReady(int index) const;
  std::string caller_address(int index) const;

  /// Writes the configuration with the next version.
  void Configure(const std::function<void(boost::json::object&)>& change = {});
  /// Runs a function on the thread of the stand-ins and waits for it.
  void Run(const std::function<void()>& action);
  FakeStore& store() { return *store_; }
  asio::io_context& io() { return io_; }
  FakeReplica& replica(const std::string& id) { return *replicas_.at(id); }
  ReplicaLedger Seen();

  /// Sends an attempt on a connection of its own, and records it.
  Outcome Send(int vm, const Attempt& attempt);
  /// Sends bytes on a new connection and returns what comes back until the peer closes it.
  std::string SendRaw(int vm, const std::string& bytes, absl::Duration timeout) const;
  /// Lines of the log of a VM that hold `text`.
  std::vector<std::string> LogLines(int vm, const std::string& text) const;

 private:
  struct Vm {
    int base_port = 0;
    Process process;
  };

  std::string SettingsPath(int index) const;
  std::string Entry(FakeReplica& replica) const;

  const DeploymentOptions options_;
  Record& record_;
  std::string directory_;
  asio::io_context io_;
  std::unique_ptr<FakeStore> store_;
  std::unique_ptr<HttpListener> store_listener_;
  ReplicaLedger ledger_;
  std::map<std::string, std::unique_ptr<FakeReplica>> replicas_;
  std::vector<Vm> vms_;
  std::uint64_t version_ = 0;
  std::thread thread_;
};

}  // namespace marigoldquay::review

#endif  // MARIGOLDQUAY_REVIEW_STAND_INS_2_DEPLOYMENT_H_
