// Passive health checks: rates backend servers by the outcomes of real requests. A server that
// does not answer is suspended with exponential backoff and then probed with one request.
#ifndef MARIGOLDQUAY_DISPATCH_REPLICA_HEALTH_H_
#define MARIGOLDQUAY_DISPATCH_REPLICA_HEALTH_H_

#include <span>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "marigoldquay/core/types.h"

namespace marigoldquay {

/// Outcome of one exchange with a backend server.
enum class ReplicaOutcome {
  /// A complete response other than a server error.
  kSuccess,
  /// A complete response with a server error; some applications return these routinely.
  kServerError,
  /// The server answered that it does not accept the request now.
  kOverloaded,
  /// No connection, no response or an incomplete response.
  kUnreachable,
};

/// Health of all backend servers, as observed by one VM. Not thread-safe.
class ReplicaHealth {
 public:
  /// Updates the failure rate and the suspension of the server.
  void Record(absl::string_view id, ReplicaOutcome outcome, absl::Time now);
  /// Another instance of a server runs at its address; the server gets no requests until Retain
  /// drops it.
  void RecordReplaced(absl::string_view id);
  /// The server asked this VM to send no requests before `until`.
  void RecordRetryAfter(absl::string_view id, absl::Time until);
  /// Time until which the server refuses requests; in the past when it accepts them.
  absl::Time refused_until(absl::string_view id) const;
  /// Servers that refuse requests now.
  std::vector<BackendServerId> Refusing(absl::Time now) const;
  /// Whether the server may get a request now: it is not suspended, or its probe is due.
  bool Available(absl::string_view id, absl::Time now) const;
  /// Whether the server has answered since it was last unreachable. A server that has not should
  /// get no non-idempotent request.
  bool IsResponsive(absl::string_view id) const;
  /// Must be called when a request is sent to the server, so that a suspended server gets only one
  /// probe.
  void OnPicked(absl::string_view id, absl::Time now);
  /// Exponential moving average of failed exchanges, 0 to 1.
  double FailureRate(absl::string_view id) const;
  /// Drops the state of servers that are not in `ids`.
  void Retain(std::span<const BackendServerId> ids);

 private:
  struct State {
    bool replaced = false;
    double failure_rate = 0;
    int consecutive_unreachable = 0;
    absl::Duration backoff;
    absl::Time suspended_until = absl::InfinitePast();
    absl::Time refused_until = absl::InfinitePast();
  };

  const State* Find(absl::string_view id) const;

  absl::flat_hash_map<BackendServerId, State> states_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_DISPATCH_REPLICA_HEALTH_H_
