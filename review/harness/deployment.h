// A small deployment on loopback addresses: the store, backend servers and real daemons.
#ifndef MARIGOLDQUAY_REVIEW_HARNESS_DEPLOYMENT_H_
#define MARIGOLDQUAY_REVIEW_HARNESS_DEPLOYMENT_H_

#include <memory>
#include <string>
#include <vector>

#include "../../tests/platform/fake_store.h"
#include "backend_server.h"
#include "daemon.h"
#include "marigoldquay/net/http_listener.h"
#include "record.h"

namespace marigoldquay::review {

/// Routes of host "shop.example": /place/ (unsafe) and /status/ (safe) of the service "order-desk",
/// /caption/ (streaming) and /summary/ (streaming, may be resumed) of the service "brief-writer".
/// Deadlines, targets, engines and settings are those of the site adeyemi-mugs.
struct DeploymentOptions {
  int vms = 2;
  /// Puts the file of each VM and the log of its daemon into this folder.
  std::string folder;
  /// Tokens per second and burst of the workspace "w1"; 0 means no limit.
  std::int64_t rate = 0;
  std::int64_t burst = 0;
  int engine_slots = 64;
};

/// All functions run on the thread of the stand-ins.
class Deployment {
 public:
  Deployment(asio::io_context& io, Record& record, DeploymentOptions options);
  /// Ends all daemons and removes the folder.
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /// Adds a backend server and lists it.
  BackendServer& AddServer(BackendServerOptions options);
  BackendServer& server(const std::string& id);
  void List(const std::string& id, const std::string& state);
  /// Lists every server again each heartbeat interval.
  void KeepListing(Yield yield);

  void StartVm(int index);
  Daemon& vm(int index) { return *vms_[static_cast<std::size_t>(index)].daemon; }
  int vms() const { return static_cast<int>(vms_.size()); }
  Address caller_address(int index) const;
  /// Waits until all VMs say that they are ready; false after 15 s.
  bool AwaitReady(Yield yield);
  /// Whether the platform's readiness question gets a 200.
  bool IsReady(int index, Yield yield);

  testing::FakeStore& store() { return store_; }
  asio::io_context& io() { return io_; }
  Record& record() { return record_; }

 private:
  struct Vm {
    std::string ip;
    int base_port = 0;
    std::unique_ptr<Daemon> daemon;
  };

  std::string Path(int index, const std::string& suffix) const;
  std::string Configuration() const;

  asio::io_context& io_;
  Record& record_;
  const DeploymentOptions options_;
  testing::FakeStore store_;
  HttpListener store_listener_;
  std::vector<std::unique_ptr<BackendServer>> servers_;
  std::vector<Vm> vms_;
};

/// Runs `body` as the main fiber of a case in a deployment's io_context, ends all processes, and
/// returns what `body` returned, or 2 when it has not returned within `limit`.
int RunCase(const std::function<int(asio::io_context&, Yield)>& body, absl::Duration limit);

/// Folder for settings and logs, under the system's folder of temporary files.
std::string MakeFolder();

/// Whether the run is one with the disruption (TROUBLE is not 0).
bool WithTrouble();

}  // namespace marigoldquay::review

#endif  // MARIGOLDQUAY_REVIEW_HARNESS_DEPLOYMENT_H_
