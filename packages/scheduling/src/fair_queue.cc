// Weighted deficit round robin.
#include "marigoldquay/scheduling/fair_queue.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace marigoldquay {
namespace {

// Above the number of workspaces of a deployment; when full, all start with full credit again.
constexpr std::size_t kMaxIdle = 30000;

}  // namespace

double FairQueue::CreditOf(const WorkspaceId& workspace, double weight) const {
  const auto it = idle_.find(workspace);
  if (it == idle_.end()) return options_.max_credit;
  const double missed = (virtual_time_ - it->second.since) * weight;
  return std::min(options_.max_credit, it->second.credit + missed);
}

double FairQueue::SumOfWeights() const {
  double sum = 0;
  for (const auto& flow : flows_) sum += flow.weight;
  return sum;
}

FairQueue::Flows::iterator FairQueue::AddFlow(const QueuedRequest& first) {
  const auto& workspace = first.request.workspace;
  Flow flow{.workspace = workspace, .weight = 1.0 * std::max(1, first.request.weight)};
  flow.deficit = CreditOf(workspace, flow.weight);
  idle_.erase(workspace);
  // With credit for its first request it need not wait for the round to reach it.
  flow.credited = flow.deficit >= first.cost;
  flow.fresh = !flow.credited;
  const auto after_credited =
      std::find_if(flows_.begin(), flows_.end(), [](const Flow& other) { return !other.credited; });
  const auto place = flows_.insert(flow.credited ? after_credited : flows_.end(), std::move(flow));
  by_workspace_[workspace] = place;
  return place;
}

bool FairQueue::Push(QueuedRequest request, bool front) {
  if (places_.size() >= options_.max_total) return false;
  const auto found = by_workspace_.find(request.request.workspace);
  const auto flow = found == by_workspace_.end() ? AddFlow(request) : found->second;
  if (flow->requests.size() >= options_.max_per_workspace) return false;
  flow->weight = std::max(1, request.request.weight);
  const Order order(-std::int64_t{request.request.priority},
                    front ? next_front_order_-- : next_order_++);
  flow->queued_cost += request.cost;
  total_cost_ += request.cost;
  total_prompt_tokens_ += request.request.prompt_tokens;
  places_[request.ticket] = {flow, order};
  flow->requests.emplace(order, std::move(request));
  return true;
}

std::optional<QueuedRequest> FairQueue::Remove(std::uint64_t ticket) {
  if (places_.find(ticket) == places_.end()) return std::nullopt;
  return Take(ticket);
}

const QueuedRequest* FairQueue::Find(std::uint64_t ticket) const {
  const auto it = places_.find(ticket);
  return it == places_.end() ? nullptr : &it->second.flow->requests.at(it->second.order);
}

QueuedRequest FairQueue::Take(std::uint64_t ticket) {
  const auto place = places_.find(ticket);
  const auto flow = place->second.flow;
  auto node = flow->requests.extract(place->second.order);
  places_.erase(place);
  QueuedRequest request = std::move(node.mapped());
  flow->queued_cost -= request.cost;
  total_cost_ -= request.cost;
  total_prompt_tokens_ -= request.request.prompt_tokens;
  if (places_.empty()) total_cost_ = 0;  // Drops accumulated rounding.
  if (flow->requests.empty()) {
    if (idle_.size() >= kMaxIdle) idle_.clear();
    idle_[flow->workspace] = {std::min(flow->deficit, options_.max_credit), virtual_time_};
    by_workspace_.erase(flow->workspace);
    flows_.erase(flow);
  }
  return request;
}

double FairQueue::MaxWeight() const {
  double weight = 1;
  for (const auto& flow : flows_) weight = std::max(weight, flow.weight);
  return weight;
}

// When no head can be afforded, gives all flows the rounds that the first of them still needs, at
// once: with weights from 1 to 1000 these can be thousands.
void FairQueue::SkipRounds(double max_weight) {
  // Flows that could afford their head are blocked for another reason and get nothing more.
  const auto missing = [](const Flow& flow) {
    return flow.requests.begin()->second.cost - flow.deficit;
  };
  double rounds = std::numeric_limits<double>::infinity();
  for (const auto& flow : flows_) {
    if (missing(flow) <= 0) continue;
    rounds =
        std::min(rounds, std::ceil(missing(flow) * max_weight / (options_.quantum * flow.weight)));
  }
  if (rounds <= 1 || std::isinf(rounds)) return;
  for (auto& flow : flows_) {
    if (missing(flow) <= 0) continue;
    flow.deficit += (rounds - 1) * options_.quantum * flow.weight / max_weight;
  }
}

QueuedRequest FairQueue::TakeServed(std::uint64_t ticket) {
  const auto flow = places_.at(ticket).flow;
  const double cost = flow->requests.at(places_.at(ticket).order).cost;
  flow->deficit -= cost;
  virtual_time_ += cost / SumOfWeights();
  if (stuck_ticket_ == ticket) {
    stuck_ticket_ = 0;
  } else if (auto* stuck = FindStuck()) {
    ++stuck->bypassed;
  }
  return Take(ticket);
}

QueuedRequest* FairQueue::FindStuck() {
  const auto place = places_.find(stuck_ticket_);
  if (place != places_.end()) return &place->second.flow->requests.at(place->second.order);
  stuck_ticket_ = 0;
  return nullptr;
}

std::optional<QueuedRequest> FairQueue::ServeOne(
    const std::function<bool(const QueuedRequest&)>& try_place) {
  if (const auto* stuck = FindStuck(); stuck && stuck->bypassed >= options_.max_bypassed) {
    if (!try_place(*stuck)) return std::nullopt;
    return TakeServed(stuck->ticket);
  }
  const double max_weight = MaxWeight();
  std::size_t blocked = 0;
  std::size_t unaffordable = 0;
  for (auto flow = flows_.begin(); flow != flows_.end();) {
    if (flow->fresh) {
      flow->deficit += options_.quantum * flow->weight / max_weight;
      flow->fresh = false;
    }
    const QueuedRequest& head = flow->requests.begin()->second;
    if (flow->deficit < head.cost) {
      const auto next = std::next(flow);
      flow->fresh = true;
      flow->credited = false;
      flows_.splice(flows_.end(), flows_, flow);
      if (++unaffordable + blocked >= flows_.size()) {
        SkipRounds(max_weight);
        unaffordable = 0;
      }
      // The last flow was spliced onto its own place and comes again.
      flow = next == flows_.end() ? std::prev(flows_.end()) : next;
      continue;
    }
    if (try_place(head)) return TakeServed(head.ticket);
    if (stuck_ticket_ == 0) stuck_ticket_ = head.ticket;
    if (++blocked >= static_cast<std::size_t>(options_.max_tries)) return std::nullopt;
    ++flow;
  }
  return std::nullopt;
}

void FairQueue::Refund(const WorkspaceId& workspace, double cost) {
  const auto it = by_workspace_.find(workspace);
  if (it != by_workspace_.end()) {
    it->second->deficit += cost;
  } else if (const auto idle = idle_.find(workspace); idle != idle_.end()) {
    idle->second.credit = std::min(options_.max_credit, idle->second.credit + cost);
  }
}

double FairQueue::CostAhead(const WorkspaceId& workspace, std::int32_t weight,
                            std::int32_t priority, double cost) const {
  double own = 0;
  double credit = 0;
  const auto it = by_workspace_.find(workspace);
  if (it == by_workspace_.end()) {
    credit = CreditOf(workspace, std::max(1, weight));
  } else {
    own = it->second->queued_cost;
    credit = it->second->deficit;
    const auto& requests = it->second->requests;
    for (auto later = requests.lower_bound({1 - std::int64_t{priority}, INT64_MIN});
         later != requests.end(); ++later) {
      own -= later->second.cost;
    }
  }
  const double share = std::max(0.0, own + cost - credit) / std::max(1, weight);
  double ahead = own;
  for (const auto& flow : flows_) {
    if (flow.workspace != workspace) ahead += std::min(flow.queued_cost, share * flow.weight);
  }
  return ahead;
}

void FairQueue::ForEach(const std::function<void(const QueuedRequest&)>& visit) const {
  for (const auto& flow : flows_) {
    for (const auto& [order, request] : flow.requests) visit(request);
  }
}

}  // namespace marigoldquay
