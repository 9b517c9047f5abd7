// Predictions and the choice of servers.
#include <algorithm>
#include <vector>

#include "absl/strings/str_cat.h"
#include "cell_state.h"

namespace marigoldquay {
namespace {

// Prefill servers that are tried for one request, the earliest end first.
constexpr std::size_t kMaxPrefillCandidates = 4;
// One prefill runs and one waits behind it.
constexpr std::size_t kMaxPrefillsPerServer = 2;
// Share of the decode time that counts against a slow decode server: its slot is taken for longer.
constexpr double kDecodeTimeShare = 0.1;
// Score of a decode server that is slower than the pool's target between tokens, in seconds.
constexpr double kSlowDecodePenalty = 1;
// Assumed share of the allowed output before anything was observed.
constexpr double kPriorOutputShare = 0.5;

bool IsExcluded(const PlacementRequest& request, const BackendServerId& id) {
  return std::find(request.excluded.begin(), request.excluded.end(), id) != request.excluded.end();
}

}  // namespace

TokenCount CellScheduler::Pieces(TokenCount tokens) const {
  return (tokens + options_.piece_tokens - 1) / options_.piece_tokens;
}

double CellScheduler::ExpectedOutput(const PlacementRequest& request) const {
  const auto it = output_share_.find(request.workspace);
  const double share = it == output_share_.end() ? kPriorOutputShare : it->second;
  return std::max(1.0, share * static_cast<double>(request.max_output_tokens));
}

absl::Duration CellScheduler::PrefillTime(std::size_t uncached_tokens,
                                          double seconds_per_token) const {
  return kPrefillOverhead + absl::Seconds(static_cast<double>(uncached_tokens) * seconds_per_token);
}

std::string CellScheduler::WhyNever(const PlacementRequest& request) const {
  bool has_prefill = false;
  bool has_decode = false;
  std::int64_t largest = 0;
  bool unlimited = false;
  for (const auto& [id, server] : servers_->by_id) {
    if (!server.may_get_work || IsExcluded(request, id)) continue;
    const auto role = server.config().role;
    has_prefill |= role == BackendRole::kPrefill || role == BackendRole::kBoth;
    if (role != BackendRole::kDecode && role != BackendRole::kBoth) continue;
    has_decode = true;
    unlimited |= !server.report() || server.report()->pieces == 0;
    if (server.report()) largest = std::max(largest, server.report()->pieces);
  }
  if (!has_prefill) return "pool has no prefill server left";
  if (!has_decode) return "pool has no decode server left";
  const auto pieces = Pieces(request.prompt_tokens + request.max_output_tokens);
  if (unlimited || pieces <= largest) return "";
  return absl::StrCat("prompt and output need ", pieces * options_.piece_tokens,
                      " tokens of engine memory, allowed are ", largest * options_.piece_tokens);
}

std::optional<CellScheduler::Plan> CellScheduler::FindPlan(const QueuedRequest& queued, bool late,
                                                           absl::Time now) const {
  const auto& request = queued.request;
  const auto prompt_pieces = Pieces(request.prompt_tokens);
  std::vector<Plan> starts;
  for (auto& [id, server] : servers_->by_id) {
    if (!server.Usable(now) || !server.RoleAllows(BackendRole::kPrefill)) continue;
    if (server.prefill_full_until > now || IsExcluded(request, id)) continue;
    if (server.prefill_count() >= kMaxPrefillsPerServer) continue;
    const auto free_at = server.PrefillFreeAt(now);
    if (free_at > now + options_.lookahead || !server.HasPrefillMemory(prompt_pieces)) continue;
    Plan plan;
    plan.prefill = &server;
    plan.uncached_tokens =
        std::max<TokenCount>(0, request.prompt_tokens - server.prefixes.Find(request.prefix_hash));
    plan.prefill_time = PrefillTime(plan.uncached_tokens, server.prefill_s_per_token.value());
    plan.prefill_end = free_at + plan.prefill_time;
    starts.push_back(plan);
  }
  std::sort(starts.begin(), starts.end(),
            [](const Plan& a, const Plan& b) { return a.prefill_end < b.prefill_end; });
  if (starts.size() > kMaxPrefillCandidates) starts.resize(kMaxPrefillCandidates);

  const auto pieces = Pieces(request.prompt_tokens + request.max_output_tokens);
  const double expected_output = ExpectedOutput(request);
  const double bytes = static_cast<double>(request.prompt_tokens) * options_.kv_bytes_per_token;
  std::optional<Plan> best;
  for (auto& plan : starts) {
    for (auto& [id, server] : servers_->by_id) {
      if (!server.Usable(now) || !server.RoleAllows(BackendRole::kDecode)) continue;
      if (server.decode_full_until > now || IsExcluded(request, id)) continue;
      const bool free_now = server.HasDecodeRoom(pieces, now, now, false);
      if (!free_now &&
          !server.HasDecodeRoom(pieces, plan.prefill_end - options_.predicted_slot_margin, now,
                                options_.count_predicted_slots)) {
        continue;
      }
      plan.decode = &server;
      plan.predicted_slot = !free_now;
      plan.transfer = absl::ZeroDuration();
      plan.link_start = plan.prefill_end;
      if (plan.prefill != plan.decode) {
        plan.transfer = absl::Seconds(bytes * std::max(plan.prefill->link_s_per_byte.value(),
                                                       server.link_s_per_byte.value()));
        plan.link_start =
            EarliestCommonStart(plan.prefill->link, server.link, plan.prefill_end, plan.transfer);
      }
      if (plan.link_start - plan.prefill_end > options_.max_result_wait) continue;
      const double step = server.decode_s_per_token.value();
      plan.first_token = plan.link_start + plan.transfer + absl::Seconds(step);
      if (!late && plan.first_token + options_.deadline_margin > queued.deadline) continue;
      const bool too_slow = step > targets_.between_tokens_ms / 1000.0;
      plan.score = absl::ToDoubleSeconds(plan.first_token - now) +
                   kDecodeTimeShare * expected_output * step + (too_slow ? kSlowDecodePenalty : 0);
      if (!best || plan.score < best->score) best = plan;
    }
  }
  return best;
}

absl::Duration CellScheduler::BestCase(const PlacementRequest& request) const {
  absl::Duration prefill = absl::InfiniteDuration();
  double link = 1;
  double step = 1;
  for (const auto& [id, server] : servers_->by_id) {
    if (!server.may_get_work || IsExcluded(request, id)) continue;
    if (server.RoleAllows(BackendRole::kPrefill)) {
      const auto uncached = std::max<TokenCount>(
          0, request.prompt_tokens - server.prefixes.Find(request.prefix_hash));
      prefill = std::min(prefill, PrefillTime(uncached, server.prefill_s_per_token.value()));
    }
    if (server.RoleAllows(BackendRole::kDecode)) {
      step = std::min(step, server.decode_s_per_token.value());
      link = std::min(link, server.link_s_per_byte.value());
    }
  }
  // Without any server the request waits for one until its deadline.
  if (prefill == absl::InfiniteDuration()) return absl::ZeroDuration();
  const double bytes = static_cast<double>(request.prompt_tokens) * options_.kv_bytes_per_token;
  return prefill + absl::Seconds(link * bytes + step) + options_.deadline_margin;
}

absl::Duration CellScheduler::PredictWait(const QueuedRequest& queued, const FairQueue& queue,
                                          absl::Time now) const {
  // What is served before the request, as a share of all that waits.
  const double ahead = queue.CostAhead(queued.request.workspace, queued.request.weight,
                                       queued.request.priority, queued.cost);
  const double share = queue.total_cost() > 0 ? std::min(1.0, ahead / queue.total_cost()) : 0;
  const double requests_ahead = share * static_cast<double>(queue.size());
  double prefill_tokens_per_s = 0;
  absl::Duration first_free = absl::InfiniteDuration();
  std::int64_t free_slots = 0;
  std::int64_t slots = 0;
  for (const auto& [id, server] : servers_->by_id) {
    if (!server.Usable(now)) continue;
    if (server.RoleAllows(BackendRole::kPrefill)) {
      prefill_tokens_per_s += 1 / server.prefill_s_per_token.value();
      first_free = std::min(first_free, server.PrefillFreeAt(now) - now);
    }
    if (server.RoleAllows(BackendRole::kDecode)) {
      free_slots += std::max<std::int64_t>(0, server.FreeSlots(now));
      slots += server.report()->slots;
    }
  }
  // Nothing usable yet: reports are about to arrive, or a probe is running.
  if (prefill_tokens_per_s == 0 || slots == 0) return absl::ZeroDuration();
  const auto prefill_wait =
      first_free + absl::Seconds(share * static_cast<double>(queue.total_prompt_tokens()) /
                                 prefill_tokens_per_s);
  const double missing_slots = requests_ahead + 1 - static_cast<double>(free_slots);
  const auto slot_wait = absl::Seconds(std::max(0.0, missing_slots) * mean_hold_s_ / slots);
  return std::max(prefill_wait, slot_wait);
}

}  // namespace marigoldquay
