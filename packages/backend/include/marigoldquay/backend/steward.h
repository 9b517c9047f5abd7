// Steward of backend servers: cancels what requests that no longer exist hold at
// engines, and sends engines their orders.
#ifndef MARIGOLDQUAY_BACKEND_STEWARD_H_
#define MARIGOLDQUAY_BACKEND_STEWARD_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "marigoldquay/backend/active_requests.h"
#include "marigoldquay/config/config_view.h"
#include "marigoldquay/core/clock.h"
#include "marigoldquay/membership/member_view.h"
#include "marigoldquay/scheduling/engine_reports.h"
#include "marigoldquay/scheduling/periodic_pool.h"
#include "marigoldquay/transport/http_client.h"
#include "marigoldquay/transport/rpc.h"

namespace marigoldquay {

struct EngineHold;

struct StewardOptions {
  absl::Duration interval = absl::Seconds(1);
  absl::Duration call_timeout = absl::Milliseconds(500);
  /// Younger holds are left alone: their holder may be about to register or to release them, and a
  /// holder that has just joined may not be known here.
  absl::Duration min_hold_age = absl::Seconds(2);
  /// A holder that has answered no call for this long loses its holds.
  absl::Duration max_silence = absl::Seconds(3);
  /// Consecutive rounds without a connection after which a holder loses its holds; one lost packet
  /// must not end its requests.
  int max_failed_connects = 2;
  /// Longest time after which an order that was sent can still take effect.
  absl::Duration longest_delivery = absl::Seconds(2);
  /// Time for an order to show in the lagging load report, before it is sent again.
  absl::Duration order_interval = absl::Seconds(5);
  int workers = 4;
};

/// Key for MemberView of the steward role of a backend server.
std::string StewardKey(absl::string_view server);

/// One round per server; has no threads of its own. Thread-safe, but one server must not be
/// checked twice at once. All references must outlive it.
class Steward {
 public:
  Steward(StewardOptions options, HttpClient& http, EngineReports& reports, RpcClient& rpc,
          const ConfigView& config, const MemberView& members, const ActiveRequests& own_requests,
          const Clock& clock);

  /// Servers whose steward this VM is.
  std::set<std::string> OwnServers() const;
  /// Lists the server's holds, cancels abandoned ones and sends due orders; false when the server
  /// did not answer.
  bool CheckServer(const BackendServerId& id);

 private:
  struct HolderState {
    absl::Time last_answer;
    int failed_connects = 0;
  };
  struct OrderState {
    // Since when this VM has held the role without interruption.
    absl::Time exclusive_since = absl::InfiniteFuture();
    absl::Time last_order = absl::InfinitePast();
  };
  enum class HolderVerdict { kAlive, kGone, kUnclear };
  struct HolderAnswer {
    HolderVerdict verdict = HolderVerdict::kUnclear;
    std::set<RequestId> known;
  };

  bool ReachesMajority() const;
  HolderAnswer AskHolder(const Instance& holder, const std::vector<RequestId>& ids);
  HolderVerdict JudgeSilence(const Instance& holder, bool connected);
  bool CancelHolds(const BackendServer& server, const std::vector<RequestId>& ids,
                   absl::string_view why);
  bool ReleaseAbandoned(const BackendServer& server, const std::vector<EngineHold>& holds);
  void SendOrders(const BackendServer& server, Offset revision, bool drained);
  bool MayOrder(const BackendServer& server);
  void ForgetOldHolders();

  const StewardOptions options_;
  HttpClient& http_;
  EngineReports& reports_;
  RpcClient& rpc_;
  const ConfigView& config_;
  const MemberView& members_;
  const ActiveRequests& own_requests_;
  const Clock& clock_;
  absl::Mutex mutex_;
  // Holders that are members; others are dropped.
  std::map<Instance, HolderState> holders_ ABSL_GUARDED_BY(mutex_);
  // Servers whose role differs from the configured one.
  std::map<BackendServerId, OrderState> orders_ ABSL_GUARDED_BY(mutex_);
};

/// Runs a Steward's rounds in threads. Both references must outlive it.
class StewardThreads {
 public:
  StewardThreads(const StewardOptions& options, Steward& steward, const Clock& clock);

 private:
  // Destroyed in reverse order: the assignment stops before the rounds.
  PeriodicPool rounds_;
  PeriodicPool assignment_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_BACKEND_STEWARD_H_
