// One queue per workspace, served by weighted deficit round robin (Shreedhar and
// Varghese, 1995) in estimated cost. An idle workspace keeps a bounded credit.
#ifndef MARIGOLDQUAY_SCHEDULING_FAIR_QUEUE_H_
#define MARIGOLDQUAY_SCHEDULING_FAIR_QUEUE_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "marigoldquay/core/types.h"
#include "marigoldquay/scheduling/scheduler_client.h"

namespace marigoldquay {

/// A request that waits.
struct QueuedRequest {
  std::uint64_t ticket = 0;
  PlacementRequest request;
  /// Instance whose caller waits for it.
  Instance holder;
  absl::Time enqueued;
  /// When the first token is due.
  absl::Time deadline;
  /// Estimated cost in output tokens.
  double cost = 0;
  /// How many requests were placed while it was blocked at the head of the queue.
  int bypassed = 0;
};

struct FairQueueOptions {
  std::size_t max_per_workspace = 512;
  std::size_t max_total = 4096;
  /// Cost that the workspace with the greatest weight gets per round.
  double quantum = 100;
  /// Cost that a workspace may save up while it is idle. Without it a workspace below its share
  /// loses the requests of its bursts, since they cannot wait for long.
  double max_credit = 1000;
  /// A request that cannot be placed yet lets this many others pass; then all wait for it, so that
  /// small requests cannot starve a large one.
  int max_bypassed = 8;
  /// Heads that are tried in one call.
  int max_tries = 64;
};

/// Not thread-safe.
class FairQueue {
 public:
  explicit FairQueue(FairQueueOptions options = {}) : options_(options) {}

  /// False when the queue of the workspace or the whole queue is full. `front` puts it before all
  /// requests of its workspace and priority.
  bool Push(QueuedRequest request, bool front = false);
  std::optional<QueuedRequest> Remove(std::uint64_t ticket);
  const QueuedRequest* Find(std::uint64_t ticket) const;

  /// Offers heads in the order of the discipline to `try_place`, until it returns true for one;
  /// removes and returns that one.
  std::optional<QueuedRequest> ServeOne(const std::function<bool(const QueuedRequest&)>& try_place);

  /// Gives a workspace back what a request that did not run was charged.
  void Refund(const WorkspaceId& workspace, double cost);

  /// Cost that is served before a new request of the workspace, other workspaces included.
  double CostAhead(const WorkspaceId& workspace, std::int32_t weight, std::int32_t priority,
                   double cost) const;
  double total_cost() const { return total_cost_; }
  TokenCount total_prompt_tokens() const { return total_prompt_tokens_; }
  std::size_t size() const { return places_.size(); }
  bool empty() const { return places_.empty(); }
  /// Visits all requests; `visit` must not change the queue.
  void ForEach(const std::function<void(const QueuedRequest&)>& visit) const;

 private:
  // Higher priority first, then arrival; requests put to the front count downwards.
  using Order = std::pair<std::int64_t, std::int64_t>;
  struct Flow {
    WorkspaceId workspace;
    double weight = 1;
    double deficit = 0;
    double queued_cost = 0;
    // Whether it gets its quantum when the round reaches it.
    bool fresh = true;
    // Came back with credit and has not used it up; such flows are in front, in order of return.
    bool credited = false;
    std::map<Order, QueuedRequest> requests;
  };
  using Flows = std::list<Flow>;
  // What a workspace without requests may come back with.
  struct Idle {
    double credit = 0;
    double since = 0;
  };
  struct Place {
    Flows::iterator flow;
    Order order;
  };

  QueuedRequest Take(std::uint64_t ticket);
  QueuedRequest TakeServed(std::uint64_t ticket);
  QueuedRequest* FindStuck();
  Flows::iterator AddFlow(const QueuedRequest& first);
  double CreditOf(const WorkspaceId& workspace, double weight) const;
  double SumOfWeights() const;
  double MaxWeight() const;
  void SkipRounds(double max_weight);

  FairQueueOptions options_;
  // Flows with requests, in round-robin order; the front one is being served.
  Flows flows_;
  absl::flat_hash_map<WorkspaceId, Flows::iterator> by_workspace_;
  absl::flat_hash_map<std::uint64_t, Place> places_;
  // The request that has been blocked for the longest; the others wait for it once it was passed
  // max_bypassed times. 0 while there is none.
  std::uint64_t stuck_ticket_ = 0;
  // Workspaces that were active before; a workspace that is not in here has full credit.
  absl::flat_hash_map<WorkspaceId, Idle> idle_;
  // Cost served so far per unit of weight of the active workspaces: what an idle workspace of
  // weight 1 has missed.
  double virtual_time_ = 0;
  std::int64_t next_order_ = 1;
  std::int64_t next_front_order_ = -1;
  double total_cost_ = 0;
  TokenCount total_prompt_tokens_ = 0;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_SCHEDULING_FAIR_QUEUE_H_
