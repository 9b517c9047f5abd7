// Judges backend servers by the outcomes of real requests. A server that does
// not answer is suspended for a growing time and then tried with one request.
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

/// What one exchange with a backend server showed of it.
enum class ReplicaOutcome {
  /// A whole answer that is no server error.
  kSuccess,
  /// A whole answer with a server error; some applications give these as a rule.
  kServerError,
  /// It said that it does not take the request now.
  kOverloaded,
  /// No connection, no answer or a broken answer.
  kUnreachable,
};

/// Health of all backend servers as one VM has seen it. Not thread-safe.
class ReplicaHealth {
 public:
  void Record(absl::string_view id, ReplicaOutcome outcome, absl::Time now);
  /// Another start of a server has its address; it gets no requests until it is forgotten.
  void RecordReplaced(absl::string_view id);
  /// The server wants no requests from this VM until then.
  void RecordRetryAfter(absl::string_view id, absl::Time until);
  /// Until when the server wants no requests; in the past when it takes some.
  absl::Time refused_until(absl::string_view id) const;
  /// Servers that want no requests now.
  std::vector<BackendServerId> Refusing(absl::Time now) const;
  /// Whether the server may get a request now: it is not suspended, or a trial is due.
  bool Available(absl::string_view id, absl::Time now) const;
  /// Whether the server has answered since its last suspension. A non-idempotent request is better
  /// kept away from one that has not.
  bool IsResponsive(absl::string_view id) const;
  /// To be called when a request goes to the server, so that a suspended one gets one trial only.
  void OnPicked(absl::string_view id, absl::Time now);
  /// Recent part of exchanges that failed, 0 to 1.
  double FailureRate(absl::string_view id) const;
  /// Forgets servers that are not among `ids`.
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
