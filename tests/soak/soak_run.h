// One soak run: real daemons, callers, and the faults of a seed.
#ifndef MARIGOLDQUAY_TESTS_SOAK_SOAK_RUN_H_
#define MARIGOLDQUAY_TESTS_SOAK_SOAK_RUN_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fault_plan.h"
#include "soak_caller.h"
#include "world.h"

namespace marigoldquay::testing {

struct SoakOptions {
  std::uint64_t seed = 1;
  /// For how long faults start.
  absl::Duration length = absl::Seconds(10);
  int vms = 3;
};

/// Must be used in the main thread, since it starts processes.
class SoakRun {
 public:
  explicit SoakRun(const SoakOptions& options);

  /// Plays the run and returns every promise that was broken.
  std::vector<std::string> Play();
  /// What the callers and backend servers saw, in one line.
  std::string Summary();

 private:
  enum class VmPhase { kUp, kDown, kStopping };
  struct VmState {
    VmPhase phase = VmPhase::kUp;
    /// The process was paused, so that it may take longer to stop.
    bool disturbed = false;
    absl::Time stopping_since;
    /// Time from the end of a stop to the next start.
    absl::Duration down;
  };
  /// A VM or backend server that did not work as usual, or could not be reached.
  struct Disturbance {
    absl::Time from;
    absl::Time until;
    /// -1 for a backend server.
    int vm = -1;
    std::string server;
  };
  using Action = std::function<void()>;

  void Schedule(absl::Duration after, Action action);
  void PlayFaults();
  void Begin(const Fault& fault);
  void KillVm(int vm, absl::Duration down);
  void RestartVm(int vm);
  void PauseVm(int vm, absl::Duration length);
  void StopVm(int vm, absl::Duration down);
  /// Reloads a VM that is up, once its process handles the signal.
  void ReloadVm(int vm);
  void WatchVms();
  void BeginStoreOutage(const Fault& fault);
  void BeginStoreLink(const Fault& fault);
  void BeginServerLink(const Fault& fault);
  void BeginServerBehavior(const Fault& fault);
  void BeginDrain(const Fault& fault);
  void BeginLimit(const Fault& fault);
  void RestoreStore(const Fault& fault);
  void Disturb(int vm, absl::Duration length);
  /// Ids of the requests that request limits need not hold for.
  std::vector<std::string> ExcusedFromLimits(const ReplicaLedger& seen) const;
  void Configure();
  void StartCallers();
  void AwaitRecovery();
  void Report(std::string violation) { violations_.push_back(std::move(violation)); }

  const SoakOptions options_;
  /// Behaviour of backend servers that do not act normally; on the thread of the world.
  std::map<std::string, ReplicaBehavior> behaviors_;
  /// Limits that backend servers name; on the thread of the world.
  std::map<std::string, std::string> limits_;
  /// Number of faults by which a backend server is leaving or gone.
  std::map<std::string, int> departures_;
  /// The newest configuration as the operator has written it.
  std::string configuration_;
  std::vector<Disturbance> disturbances_;
  CallLog log_;
  std::unique_ptr<World> world_;
  std::vector<std::unique_ptr<SoakCaller>> callers_;
  std::vector<VmState> vms_;
  std::multimap<absl::Time, Action> schedule_;
  std::vector<std::uint64_t> versions_;
  absl::Time started_;
  /// From here on no fault is active and everything works again.
  absl::Time recovered_;
  std::vector<std::string> violations_;
};

}  // namespace marigoldquay::testing

#endif  // MARIGOLDQUAY_TESTS_SOAK_SOAK_RUN_H_
