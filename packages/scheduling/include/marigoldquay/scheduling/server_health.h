// Whether a backend server may get work: ejection after consecutive failures or
// slow answers, then one probing request at a time.
#ifndef MARIGOLDQUAY_SCHEDULING_SERVER_HEALTH_H_
#define MARIGOLDQUAY_SCHEDULING_SERVER_HEALTH_H_

#include "absl/time/time.h"

namespace marigoldquay {

struct HealthOptions {
  /// Consecutive failures or outliers that eject a server.
  int failures_to_eject = 3;
  /// Length of the first ejection; doubles with each failed probe.
  absl::Duration first_ejection = absl::Seconds(1);
  absl::Duration max_ejection = absl::Seconds(30);
  /// A probe without an outcome for this long counts as lost, and another one may start.
  absl::Duration probe_timeout = absl::Seconds(10);
};

/// Pure value; not thread-safe.
class ServerHealth {
 public:
  explicit ServerHealth(HealthOptions options = {}) : options_(options) {}

  /// Whether a request may be sent now.
  bool Usable(absl::Time now) const;
  /// A request is being sent; after an ejection it is the probe.
  void OnStart(absl::Time now);
  void OnSuccess();
  /// A failure, or an answer that took far longer than this server usually takes.
  void OnFailure(absl::Time now);
  /// A request ended without telling anything of the server: cancelled, or refused for lack of
  /// room.
  void OnNeutral();
  bool ejected() const { return ejections_ > 0; }

 private:
  HealthOptions options_;
  int consecutive_failures_ = 0;
  // Number of ejections without a success since; 0 while healthy.
  int ejections_ = 0;
  absl::Time ejected_until_ = absl::InfinitePast();
  absl::Time probe_started_ = absl::InfinitePast();
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_SCHEDULING_SERVER_HEALTH_H_
