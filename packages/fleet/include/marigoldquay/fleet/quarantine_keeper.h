// Keeps the coordinator's quarantines in the store, so that they outlast a restart of all VMs.
#ifndef MARIGOLDQUAY_FLEET_QUARANTINE_KEEPER_H_
#define MARIGOLDQUAY_FLEET_QUARANTINE_KEEPER_H_

#include <functional>
#include <set>
#include <vector>

#include "marigoldquay/core/clock.h"
#include "marigoldquay/fleet/cluster_store.h"
#include "marigoldquay/fleet/coordinator.h"

namespace marigoldquay {

class QuarantineKeeper {
 public:
  /// `coordinates` returns whether this VM is the coordinator; others neither read nor write.
  QuarantineKeeper(asio::io_context& io, const Clock& clock, ClusterStore& store,
                   Coordinator& coordinator, std::function<bool()> coordinates)
      : io_(io),
        clock_(clock),
        store_(store),
        coordinator_(coordinator),
        coordinates_(std::move(coordinates)) {}

  /// Runs until the process ends.
  void Run(Yield yield);

 private:
  // Returns whether the store has answered.
  bool Load(Yield yield);
  // Writes what has been quarantined, and drops what is not quarantined any more.
  void Save(Yield yield);
  void LogFailure(absl::string_view call, const Error& error) const;

  asio::io_context& io_;
  const Clock& clock_;
  ClusterStore& store_;
  Coordinator& coordinator_;
  std::function<bool()> coordinates_;
  // Traits of the quarantines that the store holds.
  std::set<std::vector<RequestTrait>> kept_;
  bool loaded_ = false;
  // Era in which they were read.
  StoreEra era_ = 0;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_FLEET_QUARANTINE_KEEPER_H_
