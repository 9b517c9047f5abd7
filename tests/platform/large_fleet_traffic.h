// Configuration, callers and starvation of a trial of a large fleet.
#ifndef MARIGOLDQUAY_TESTS_PLATFORM_LARGE_FLEET_TRAFFIC_H_
#define MARIGOLDQUAY_TESTS_PLATFORM_LARGE_FLEET_TRAFFIC_H_

#include <atomic>
#include <deque>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "large_fleet.h"
#include "marigoldquay/net/http_connection.h"
#include "world.h"

namespace marigoldquay::testing {

/// Routes and keys of all versions. Used by the main thread and by the callers' thread.
class ChangingConfiguration {
 public:
  ChangingConfiguration(int routes, double quota_rate);

  /// Replaces routes and workspaces of a configuration by the present ones.
  void Fill(boost::json::object& config) const;
  /// Writes a version with new routes and keys, without some of the earlier ones.
  void Change(World& world);
  /// Chooses route, key and workspace of a call.
  void Choose(FleetCall& call, std::mt19937& random);
  std::size_t versions() const { return versions_; }

 private:
  Configured* Add(std::deque<Configured>& list, const std::string& name,
                  const std::string& service);

  mutable std::mutex mutex_;
  // Never removed, so that calls can point to them.
  std::deque<Configured> routes_;
  std::deque<Configured> keys_;
  std::size_t permanent_routes_ = 0;
  std::size_t permanent_keys_ = 0;
  std::size_t versions_ = 0;
  const double quota_rate_;
};

/// Measures how late the timers of a thread of fibers are.
class DelayWatch {
 public:
  explicit DelayWatch(asio::io_context& io);

  /// Ends the measurement at the next timer.
  void Stop() { stop_ = true; }
  /// To be read when the thread has ended or the watch has stopped.
  absl::Duration longest() const { return longest_; }

 private:
  void Run(Yield yield);

  asio::io_context& io_;
  std::atomic<bool> stop_{false};
  absl::Duration longest_;
};

/// Callers at all VMs, on a thread of their own.
class FleetCallers {
 public:
  /// `rate` is in calls per second and VM.
  FleetCallers(World& world, int vms, double rate, ChangingConfiguration& configuration,
               unsigned seed);
  ~FleetCallers() { (void)Stop(); }

  /// Ends all callers and returns their calls.
  std::vector<FleetCall> Stop();
  /// Longest delay of a timer on the callers' thread.
  absl::Duration longest_delay() const { return delay_.longest(); }

 private:
  void Run(int vm, Yield yield);
  ErrorOrVoid Exchange(FleetCall& call, HttpConnection& connection, bool& keep, Yield yield);

  World& world_;
  const double rate_;
  ChangingConfiguration& configuration_;
  std::mt19937 random_;
  asio::io_context io_;
  DelayWatch delay_{io_};
  std::vector<FleetCall> calls_;
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

/// Lets each VM run for a share of every tenth of a second, by SIGSTOP and SIGCONT.
class CpuTurns {
 public:
  /// Nothing is stopped with a share of 1.
  CpuTurns(World& world, int vms, double share);
  ~CpuTurns();

  /// Runs an action on a VM's process while no turn changes. `held` tells whether the VM is left
  /// out of the turns from then on.
  void Change(int vm, bool held, const std::function<void(Process&)>& action);

 private:
  void Run();
  void Apply(int vm, double phase);

  World& world_;
  const int vms_;
  const double share_;
  std::mutex mutex_;
  std::set<int> held_;
  // Whether the VM may run, as last signalled.
  std::vector<bool> running_;
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

}  // namespace marigoldquay::testing

#endif  // MARIGOLDQUAY_TESTS_PLATFORM_LARGE_FLEET_TRAFFIC_H_
