// What a trial of a large fleet records: configurations, calls and faults, and how many of the
// platform's rules the record breaks.
#ifndef MARIGOLDQUAY_TESTS_PLATFORM_LARGE_FLEET_H_
#define MARIGOLDQUAY_TESTS_PLATFORM_LARGE_FLEET_H_

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "world.h"

namespace marigoldquay::testing {

/// Figures of the platform's rules.
struct FleetBounds {
  absl::Duration apply = absl::Seconds(2);
  absl::Duration drain = absl::Seconds(2);
  absl::Duration contact = absl::Seconds(3);
  absl::Duration budget_window = absl::Seconds(10);
  double budget_ratio = 0.2;
  double budget_burst = 52;
  absl::Duration quota_window = absl::Seconds(8);
  double quota_tolerance = 0.1;
  /// Tokens.
  double quota_slack = 0;
  /// Tokens per second of a limited workspace.
  double quota_rate = 0;
  /// Tokens.
  double quota_burst = 0;
};

/// A route or a key, and when the store acknowledged its changes.
struct Configured {
  std::string name;
  /// Service of a route.
  std::string service;
  absl::Time added = absl::InfinitePast();
  /// When the configuration without it was sent; callers may see the effect from here on.
  absl::Time drop_sent = absl::InfiniteFuture();
  absl::Time dropped = absl::InfiniteFuture();
};

/// One request as its caller saw it.
struct FleetCall {
  std::string id;
  int vm = 0;
  Configured* route = nullptr;
  Configured* key = nullptr;
  /// Empty unless its workspace has a limit.
  std::string limited_workspace;
  absl::Time sent;
  absl::Time ended;
  /// 0 without an answer.
  unsigned status = 0;
  bool whole = false;
  std::string error;
};

/// When processes were killed, started or held. Thread-safe.
class FaultLog {
 public:
  void Begin(int vm);
  void End(int vm);
  /// A fault that is over.
  void Add(int vm, absl::Time from, absl::Time to);
  /// Whether a fault touched the VM between `from` minus `contact` and `to`.
  bool Touches(int vm, absl::Time from, absl::Time to, absl::Duration contact) const;
  std::size_t size() const;

 private:
  struct Fault {
    int vm = 0;
    absl::Time from;
    absl::Time to = absl::InfiniteFuture();
  };

  mutable std::mutex mutex_;
  std::vector<Fault> faults_;
};

/// A server that was announced as `draining`, until it started again.
struct LeftServer {
  std::string id;
  absl::Time acknowledged;
  absl::Time back = absl::InfiniteFuture();
};

/// A latest observation, and where it was made.
struct Latest {
  absl::Duration lateness;
  std::string what;
};

/// Counts of broken rules.
struct FleetVerdict {
  std::size_t calls = 0;
  std::size_t served = 0;
  std::size_t limited = 0;
  std::size_t unavailable = 0;
  /// Without a connection or an answer, at VMs that a fault touched or not.
  std::size_t unanswered = 0;
  std::size_t late_refusals = 0;
  std::size_t late_served = 0;
  /// Refused though every configuration allows it.
  std::size_t refused_always_allowed = 0;
  std::size_t late_drained = 0;
  std::size_t lost = 0;
  /// Highest part of the bound that a window has used; above 1 is a broken rule.
  double budget_used = 0;
  double quota_used = 0;
  /// The window that used most of the budget.
  std::string budget_detail;
  Latest latest_refusal;
  Latest latest_served;
  Latest latest_drained;

  std::string ToString() const;
};

struct FleetRecord {
  FleetBounds bounds;
  std::vector<FleetCall> calls;
  std::vector<LeftServer> left;
  ReplicaLedger seen;
  /// Names of the model engines begin with something else.
  std::string plain_prefix = "s";
};

FleetVerdict Judge(const FleetRecord& record, const FaultLog& faults);

}  // namespace marigoldquay::testing

#endif  // MARIGOLDQUAY_TESTS_PLATFORM_LARGE_FLEET_H_
