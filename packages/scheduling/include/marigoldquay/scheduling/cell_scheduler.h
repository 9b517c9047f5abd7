// Places the requests of one cell on its prefill and decode servers. A pure state
// machine: events and the time go in, decisions come out.
#ifndef MARIGOLDQUAY_SCHEDULING_CELL_SCHEDULER_H_
#define MARIGOLDQUAY_SCHEDULING_CELL_SCHEDULER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "marigoldquay/config/objects.h"
#include "marigoldquay/core/types.h"
#include "marigoldquay/scheduling/engine_reports.h"
#include "marigoldquay/scheduling/fair_queue.h"
#include "marigoldquay/scheduling/placement_policy.h"
#include "marigoldquay/scheduling/scheduler_client.h"
#include "marigoldquay/scheduling/server_health.h"

namespace marigoldquay {

struct CellOptions {
  /// kReservationPolicy or the name of a baseline.
  std::string policy = std::string(kReservationPolicy);
  FairQueueOptions queue;
  HealthOptions health;
  TokenCount piece_tokens = 2000;
  /// Size of the KV cache of one prompt token; a wrong value is absorbed by the link estimate.
  double kv_bytes_per_token = 100000;
  /// Assumed speeds until the first completion.
  double prior_prefill_tokens_per_s = 20000;
  absl::Duration prior_decode_step = absl::Milliseconds(20);
  double prior_link_bytes_per_s = 5e9;
  /// Cost of one prompt token in output tokens: a prefill of some thousand tokens costs as much as
  /// many tens of output tokens.
  double prefill_cost = 0.02;
  /// A prefill is sent to a server this long before the server becomes free, which hides the way
  /// there without deciding early.
  absl::Duration lookahead = absl::Milliseconds(10);
  /// Kept between the predicted first token and its deadline, for the inner hops.
  absl::Duration deadline_margin = absl::Milliseconds(10);
  /// A prefill's result may wait this long for its transfer; it is evicted in under a second.
  absl::Duration max_result_wait = absl::Milliseconds(300);
  /// Whether a slot whose request has surely ended before the prefill ends counts as free. Off: in
  /// simulations at full load it gained 0.4% good requests with outputs of up to 30 tokens and
  /// nothing with outputs of up to 120, and a wrong prediction wastes a prefill.
  bool count_predicted_slots = false;
  absl::Duration predicted_slot_margin = absl::Milliseconds(30);
  /// A request that is served late is refused after this time.
  absl::Duration max_late_wait = absl::Seconds(60);
  /// Tickets of removed instances keep their slot this long: stewards free it within 5 s.
  absl::Duration dead_holder_hold = absl::Seconds(5);
};

/// Outcome of one enqueued request; each gets exactly one.
struct PlacementDecision {
  RequestId request_id;
  Instance holder;
  /// Its `scheduler` is left empty.
  Placement placement;
};

/// Counters since construction.
struct CellStats {
  std::int64_t granted = 0;
  std::int64_t refused = 0;
  std::int64_t unavailable = 0;
  std::int64_t engine_refused = 0;
  /// Grants that counted on a slot predicted to become free.
  std::int64_t granted_on_prediction = 0;
  /// Prefill work that was not followed by a decode, in uncached prompt tokens.
  std::int64_t wasted_prefill_tokens = 0;
  std::int64_t prefill_tokens = 0;
  std::int64_t expired_tickets = 0;
};

/// Estimates of one backend server, for status and tests.
struct ServerEstimates {
  double prefill_tokens_per_s = 0;
  absl::Duration decode_step;
  double link_bytes_per_s = 0;
  std::int64_t free_slots = 0;
  int reserved_slots = 0;
  bool ejected = false;
};

/// Not thread-safe. The time never goes backwards.
class CellScheduler {
 public:
  /// Tickets are numbered from `first_ticket`, so that those of a former process are not mistaken
  /// for new ones.
  CellScheduler(PoolId pool, CellOptions options, std::uint64_t first_ticket);
  ~CellScheduler();
  CellScheduler(const CellScheduler&) = delete;
  CellScheduler& operator=(const CellScheduler&) = delete;

  /// Events. Progress and Release of unknown tickets are ignored, so repeated ones are harmless.
  std::uint64_t Enqueue(const PlacementRequest& request, const Instance& holder, absl::Time now);
  /// The caller of a request that may still wait is gone; a granted one is released.
  void Cancel(std::uint64_t ticket, absl::Time now);
  void PrefillDone(std::uint64_t ticket, TokenCount cached_tokens, absl::Duration duration,
                   absl::Time now);
  void FirstToken(std::uint64_t ticket, absl::Duration since_prefill_done, absl::Time now);
  void Release(std::uint64_t ticket, PlacementEnd end, TokenCount output_tokens,
               absl::Duration decode_duration, absl::Time now);
  void OnLoadReport(absl::string_view server, const LoadReport& report, absl::Time now);
  void OnReportFailed(absl::string_view server, absl::Time now);
  void OnCacheEvents(absl::string_view server, const std::vector<CacheEvent>& events);
  /// The servers of the cell; those in `leaving` and those configured as leaving get nothing new.
  void SetServers(const Pool& pool, const std::vector<BackendServer>& servers,
                  const std::set<BackendServerId>& leaving, absl::Time now);
  void InstanceGone(const Instance& instance, absl::Time now);
  /// Decides all waiting requests as kUnavailable: another VM schedules this cell.
  void GiveUpQueue(absl::Time now);
  void Tick(absl::Time now);

  /// Decisions since the last call.
  std::vector<PlacementDecision> TakeDecisions();
  /// When Tick is due at the latest.
  absl::Time NextTick(absl::Time now) const;

  std::uint64_t NextCacheSequence(absl::string_view server) const;
  std::size_t queued() const { return on_time_.size() + late_.size(); }
  std::size_t tickets() const { return tickets_.size(); }
  const CellStats& stats() const { return stats_; }
  std::map<BackendServerId, ServerEstimates> Estimates(absl::Time now) const;

 private:
  struct Ticket;
  struct Servers;
  struct Plan;

  void Pump(absl::Time now);
  void ServeQueue(FairQueue& queue, bool late, absl::Time now);
  void ExpireQueued(absl::Time now);
  void ExpireTickets(absl::Time now);
  void ExpirePrefills(absl::Time now);
  void OnMissedTarget(const QueuedRequest& request, absl::Duration excess, absl::Time now);
  void PlaceAtOnce(const QueuedRequest& request, absl::Time now);
  void Grant(const QueuedRequest& request, const Plan& plan, absl::Time now);
  void Decide(const QueuedRequest& request, Placement placement);
  void Refuse(const QueuedRequest& request, PlacementOutcome outcome, absl::Duration retry_after,
              std::string message);
  void EndTicket(std::uint64_t number, Ticket& ticket, absl::Time now);
  void ObserveDecode(Ticket& ticket, PlacementEnd end, TokenCount output_tokens,
                     absl::Duration decode_duration, absl::Time now);

  // Placement, in cell_placement.cc.
  std::optional<Plan> FindPlan(const QueuedRequest& request, bool late, absl::Time now) const;
  std::string WhyNever(const PlacementRequest& request) const;
  absl::Duration BestCase(const PlacementRequest& request) const;
  absl::Duration PredictWait(const QueuedRequest& request, const FairQueue& queue,
                             absl::Time now) const;
  absl::Duration PrefillTime(std::size_t uncached_tokens, double seconds_per_token) const;
  double ExpectedOutput(const PlacementRequest& request) const;
  TokenCount Pieces(TokenCount tokens) const;

  const PoolId pool_;
  const CellOptions options_;
  Pool targets_;
  std::unique_ptr<PlacementPolicy> baseline_;
  std::unique_ptr<Servers> servers_;
  std::uint64_t next_ticket_;
  FairQueue on_time_;
  // Requests that miss their target and are served nevertheless.
  FairQueue late_;
  // Last time at which a waiting request of on_time_ can start and meet its target.
  std::set<std::pair<absl::Time, std::uint64_t>> latest_starts_;
  absl::flat_hash_map<std::uint64_t, Ticket> tickets_;
  // Requests whose engine refused them, until when their return goes to the front of the queue.
  std::map<RequestId, absl::Time> returning_;
  // Output tokens as a share of the allowed ones, per workspace.
  absl::flat_hash_map<WorkspaceId, double> output_share_;
  // Time from grant to release, in seconds; 0 while unknown.
  double mean_hold_s_ = 0;
  CellStats stats_;
  std::vector<PlacementDecision> decisions_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_SCHEDULING_CELL_SCHEDULER_H_
