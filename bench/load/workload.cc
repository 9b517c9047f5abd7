#include "workload.h"

#include <algorithm>
#include <cmath>
#include <random>

#include "absl/strings/str_cat.h"

namespace marigoldquay::bench {
namespace {

constexpr int kBoundSamples = 20000;
constexpr std::size_t kBytesPerToken = 4;
// The engines cache prefixes of this many tokens.
constexpr TokenCount kPrefixTokens = 2000;
// A workspace's configured rate over its mean demand. Its demand includes the unused part of
// max_tokens, which is settled only after the answer.
constexpr double kRateHeadroom = 1.25;
constexpr double kBurstSeconds = 10;
// Half of a burst may be lent out as allowances; the rest must hold several of the largest
// requests.
constexpr double kMinBurst = 300000;

using Random = std::mt19937_64;

TokenCount DrawLength(Random& random, double median, double sigma, TokenCount low,
                      TokenCount high) {
  const double drawn = std::lognormal_distribution<double>(std::log(median), sigma)(random);
  return std::clamp(static_cast<TokenCount>(drawn), low, high);
}

PlannedRequest DrawRequest(Random& random, const RequestMix& mix) {
  PlannedRequest request;
  request.prompt_tokens =
      DrawLength(random, mix.prompt_median, mix.prompt_sigma, mix.prompt_min, mix.prompt_max);
  request.output_tokens =
      DrawLength(random, mix.output_median, mix.output_sigma, mix.output_min, mix.output_max);
  // Callers do not know the length of the answer and allow for a longer one.
  request.max_tokens = request.output_tokens + request.output_tokens / 4;
  if (request.prompt_tokens > kPrefixTokens &&
      std::bernoulli_distribution(mix.shared_part)(random)) {
    request.prefix = std::uniform_int_distribution<int>(0, mix.prefixes_per_workspace - 1)(random);
  }
  request.vm_draw = static_cast<std::uint32_t>(random());
  return request;
}

OfflineBound ComputeBound(const Profile& profile, Random random) {
  double prompt = 0;
  double computed = 0;
  double output = 0;
  for (int i = 0; i < kBoundSamples; ++i) {
    const PlannedRequest request = DrawRequest(random, profile.mix);
    prompt += static_cast<double>(request.prompt_tokens) / kBoundSamples;
    output += static_cast<double>(request.output_tokens) / kBoundSamples;
    const TokenCount cached = request.prefix >= 0 ? kPrefixTokens : 0;
    computed += static_cast<double>(request.prompt_tokens - cached) / kBoundSamples;
  }
  OfflineBound bound;
  const double kv_bytes = prompt * profile.kv_bytes_per_token;
  double token_rate = 0;
  double prompt_rate = 0;
  double decode_links = 0;
  double prefill_links = 0;
  for (const EngineSpec& engine : profile.decode) {
    // A slot is taken during the import and the answer.
    const double seconds = output * engine.token_ms / 1000 + kv_bytes / engine.link_bytes_per_s;
    bound.decode += engine.slots / seconds;
    token_rate += engine.slots * 1000 / engine.token_ms;
    decode_links += engine.link_bytes_per_s / kv_bytes;
  }
  for (const EngineSpec& engine : profile.prefill) {
    prompt_rate += engine.prefill_tokens_per_s;
    prefill_links += engine.link_bytes_per_s / kv_bytes;
  }
  bound.prefill = prompt_rate / computed;
  bound.link = std::min(decode_links, prefill_links);
  bound.requests_per_s = std::min({bound.decode, bound.prefill, bound.link});
  bound.output_tokens_per_s = bound.requests_per_s * output;
  bound.mean_prompt_tokens = prompt;
  bound.mean_output_tokens = output;
  bound.prefill_cost = token_rate / prompt_rate;
  return bound;
}

// Arrival times of a Poisson process whose rate alternates between two values, each for an
// exponentially distributed time.
std::vector<absl::Duration> DrawArrivals(Random& random, double rate, const LoadOptions& options) {
  std::vector<absl::Duration> arrivals;
  const double length = absl::ToDoubleSeconds(options.length);
  std::exponential_distribution<double> phase(1 / absl::ToDoubleSeconds(options.burst_length));
  bool on = std::bernoulli_distribution(0.5)(random);
  for (double start = 0; start < length; on = !on) {
    const double end = std::min(length, start + phase(random));
    const double now_rate = rate * (on ? 1 + options.burstiness : 1 - options.burstiness);
    if (now_rate > 0) {
      std::exponential_distribution<double> gap(now_rate);
      for (double at = start + gap(random); at < end; at += gap(random)) {
        arrivals.push_back(absl::Seconds(at));
      }
    }
    start = end;
  }
  return arrivals;
}

// Marks the requests that an exact token bucket admits. Nothing is returned to it, so that a marked
// request is within the rate whatever the answers' lengths are.
void MarkWithinRate(const std::vector<WorkspaceRate>& rates, absl::Duration fill,
                    std::vector<PlannedRequest>& requests) {
  struct Bucket {
    double level = 0;
    absl::Duration at;
  };
  std::vector<Bucket> buckets(rates.size(), Bucket{0, -fill});
  for (PlannedRequest& request : requests) {
    const WorkspaceRate& rate = rates[request.workspace];
    Bucket& bucket = buckets[request.workspace];
    const double refill =
        static_cast<double>(rate.rate) * absl::ToDoubleSeconds(request.at - bucket.at);
    // The home's bucket holds the burst less the allowances, which are up to half of it.
    bucket.level = std::min(static_cast<double>(rate.burst) / 2, bucket.level + refill);
    bucket.at = request.at;
    const auto cost = static_cast<double>(request.prompt_tokens + request.max_tokens);
    request.within_rate = bucket.level >= cost;
    if (request.within_rate) bucket.level -= cost;
  }
}

}  // namespace

Workload MakeWorkload(const Profile& profile, const LoadOptions& options) {
  Workload workload;
  Random random(options.seed);
  // The bound does not depend on the seed, so that runs with other seeds have the same bound.
  workload.bound = ComputeBound(profile, Random(1));
  double weights = 0;
  for (const WorkspaceShare& share : profile.workspaces) weights += share.weight;
  const double request_cost =
      workload.bound.mean_prompt_tokens + workload.bound.mean_output_tokens * 1.25;
  for (std::size_t i = 0; i < profile.workspaces.size(); ++i) {
    const WorkspaceShare& share = profile.workspaces[i];
    double requests_per_s = workload.bound.requests_per_s * options.load * share.weight / weights;
    const double rate = requests_per_s * request_cost * kRateHeadroom;
    workload.rates.push_back({static_cast<TokenCount>(rate),
                              static_cast<TokenCount>(std::max(kMinBurst, rate * kBurstSeconds))});
    if (options.excess > 0 && share.id == profile.excessive_workspace) {
      requests_per_s *= kRateHeadroom * options.excess;
    }
    for (const absl::Duration at : DrawArrivals(random, requests_per_s, options)) {
      PlannedRequest request = DrawRequest(random, profile.mix);
      request.at = at;
      request.workspace = static_cast<int>(i);
      workload.requests.push_back(request);
    }
  }
  std::sort(workload.requests.begin(), workload.requests.end(),
            [](const PlannedRequest& a, const PlannedRequest& b) { return a.at < b.at; });
  for (std::size_t i = 0; i < workload.requests.size(); ++i) workload.requests[i].number = i;
  MarkWithinRate(workload.rates, options.fill, workload.requests);
  return workload;
}

std::string PromptText(const PlannedRequest& request) {
  const std::size_t size = static_cast<std::size_t>(request.prompt_tokens) * kBytesPerToken;
  // The engine reads the length of its answer from the end of the prompt.
  const std::string end = absl::StrCat("[tokens=", request.output_tokens, "]");
  std::string text = request.prefix >= 0
                         ? absl::StrCat("prefix ", request.workspace, "-", request.prefix, " ")
                         : absl::StrCat("request ", request.number, " ");
  if (request.prefix >= 0) {
    text.resize(kPrefixTokens * kBytesPerToken, 'p');
    absl::StrAppend(&text, "request ", request.number, " ");
  }
  if (text.size() + end.size() < size) text.resize(size - end.size(), 'x');
  return text + end;
}

}  // namespace marigoldquay::bench
