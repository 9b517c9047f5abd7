// Keeps in the store which software versions began the streams of a service, so that callers can
// take them up again after all VMs have restarted.
#ifndef MARIGOLDQUAY_FLEET_STREAM_VERSION_KEEPER_H_
#define MARIGOLDQUAY_FLEET_STREAM_VERSION_KEEPER_H_

#include <functional>
#include <string>
#include <utility>

#include "absl/strings/string_view.h"
#include "marigoldquay/core/clock.h"
#include "marigoldquay/fleet/cluster_store.h"
#include "marigoldquay/fleet/coordinator.h"
#include "marigoldquay/fleet/retry_delay.h"
#include "marigoldquay/net/async.h"

namespace marigoldquay {

/// Reads the records when this VM begins to place streams of other VMs, and writes them as they
/// change.
class StreamVersionKeeper {
 public:
  struct Options {
    /// Name under which this VM writes.
    std::string writer;
    /// Whether this VM places streams of other VMs; others neither read nor write. Several VMs may
    /// do so for a moment.
    std::function<bool()> places_streams;
    /// Whether the whole system starts for the first time.
    std::function<bool()> bootstrap;
  };

  StreamVersionKeeper(asio::io_context& io, const Clock& clock, ClusterStore& store,
                      Coordinator& coordinator, Options options)
      : io_(io),
        clock_(clock),
        store_(store),
        coordinator_(coordinator),
        options_(std::move(options)) {}

  /// Runs until the process ends.
  void Run(Yield yield);

 private:
  // Each returns whether the store has answered all calls.
  bool Load(Yield yield);
  bool LoadOrigins(Yield yield);
  bool SaveHistories(Yield yield);
  bool SaveOrigins(Yield yield);
  // Reads or writes what is due.
  bool Synchronize(Yield yield);
  void LogFailure(absl::string_view call, const Error& error) const;

  asio::io_context& io_;
  const Clock& clock_;
  ClusterStore& store_;
  Coordinator& coordinator_;
  const Options options_;
  RetryDelay retry_delay_;
  // Era in which the records were read.
  StoreEra era_ = 0;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_FLEET_STREAM_VERSION_KEEPER_H_
