// Baseline placement policies.
#include "marigoldquay/scheduling/placement_policy.h"

#include <array>
#include <random>

namespace marigoldquay {
namespace {

using Candidates = std::vector<const ServerStatus*>;

class RoundRobin final : public PlacementPolicy {
  std::size_t Pick(const Candidates& candidates, bool prefill) override {
    return next_.at(prefill ? 0 : 1)++ % candidates.size();
  }
  std::array<std::size_t, 2> next_ = {};
};

class LeastReportedLoad final : public PlacementPolicy {
  std::size_t Pick(const Candidates& candidates, bool prefill) override {
    const auto load = [&](std::size_t i) {
      return prefill ? candidates[i]->reported_queue : candidates[i]->reported_slots_used;
    };
    // Ties rotate; without that all requests between two reports would go to the first server.
    std::size_t best = next_++ % candidates.size();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      if (load(i) < load(best)) best = i;
    }
    return best;
  }
  std::size_t next_ = 0;
};

// Mitzenmacher, "The power of two choices in randomized load balancing" (2001).
class LeastOutstandingOfTwo final : public PlacementPolicy {
 public:
  explicit LeastOutstandingOfTwo(std::uint64_t seed) : random_(seed) {}

 private:
  std::size_t Pick(const Candidates& candidates, bool prefill) override {
    std::uniform_int_distribution<std::size_t> any(0, candidates.size() - 1);
    const std::size_t a = any(random_);
    const std::size_t b = any(random_);
    const auto outstanding = [&](std::size_t i) {
      return prefill ? candidates[i]->outstanding_prefills : candidates[i]->outstanding_decodes;
    };
    return outstanding(b) < outstanding(a) ? b : a;
  }
  std::mt19937_64 random_;
};

}  // namespace

std::optional<PlacementChoice> PlacementPolicy::Choose(const std::vector<ServerStatus>& servers) {
  Candidates prefill;
  Candidates decode;
  for (const auto& server : servers) {
    if (server.can_prefill) prefill.push_back(&server);
    if (server.can_decode) decode.push_back(&server);
  }
  if (prefill.empty() || decode.empty()) return std::nullopt;
  return PlacementChoice{prefill[Pick(prefill, true)]->id, decode[Pick(decode, false)]->id};
}

std::vector<std::string> BaselinePolicyNames() {
  return {"round_robin", "least_reported_load", "least_outstanding_of_two"};
}

std::unique_ptr<PlacementPolicy> MakeBaselinePolicy(absl::string_view name, std::uint64_t seed) {
  if (name == "round_robin") return std::make_unique<RoundRobin>();
  if (name == "least_reported_load") return std::make_unique<LeastReportedLoad>();
  if (name == "least_outstanding_of_two") return std::make_unique<LeastOutstandingOfTwo>(seed);
  return nullptr;
}

}  // namespace marigoldquay
