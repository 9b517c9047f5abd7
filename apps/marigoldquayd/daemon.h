// One marigoldquayd process: builds all parts in order, serves, and drains.
#ifndef MARIGOLDQUAY_APPS_MARIGOLDQUAYD_DAEMON_H_
#define MARIGOLDQUAY_APPS_MARIGOLDQUAYD_DAEMON_H_

#include <functional>
#include <memory>

#include "absl/time/time.h"
#include "marigoldquay/core/error.h"
#include "marigoldquay/core/types.h"
#include "settings.h"

namespace marigoldquay {

/// Bound addresses of a started daemon.
struct DaemonAddresses {
  Address caller;
  Address inner;
  Address operators;
};

class Daemon {
 public:
  /// Starts everything; callers are served once the configuration is known.
  static Result<std::unique_ptr<Daemon>> Start(const Settings& settings);
  /// Stops at once what still runs.
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  DaemonAddresses addresses() const;

  /// Graceful shutdown: leaves the address answers, waits until callers have dropped the address,
  /// finishes all requests, hands over and leaves. Ends early when `abort` returns true.
  void Drain(const std::function<bool()>& abort);

 private:
  class Impl;
  explicit Daemon(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_APPS_MARIGOLDQUAYD_DAEMON_H_
