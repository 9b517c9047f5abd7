// Requests of one run, drawn from a seed before the run starts, so that every variant of a
// comparison gets the same requests at the same times.
#ifndef MARIGOLDQUAY_BENCH_LOAD_WORKLOAD_H_
#define MARIGOLDQUAY_BENCH_LOAD_WORKLOAD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "marigoldquay/core/types.h"
#include "profile.h"

namespace marigoldquay::bench {

struct PlannedRequest {
  /// From the start of the run.
  absl::Duration at;
  /// Index into Profile::workspaces.
  int workspace = 0;
  TokenCount prompt_tokens = 0;
  TokenCount output_tokens = 0;
  TokenCount max_tokens = 0;
  /// Shared prefix within the workspace; -1 for none.
  int prefix = -1;
  /// Chooses the entry VM.
  std::uint32_t vm_draw = 0;
  /// Makes the prompt unique.
  std::uint64_t number = 0;
  /// Whether the workspace had sent less than its rate and burst up to and including this one.
  bool within_rate = false;
};

/// Upper limit of the goodput from the engines alone, with perfect placement of the same mix.
struct OfflineBound {
  /// Requests per second that the decode slots, prefill engines and links can each serve.
  double decode = 0;
  double prefill = 0;
  double link = 0;
  /// The smallest of them.
  double requests_per_s = 0;
  double output_tokens_per_s = 0;
  double mean_prompt_tokens = 0;
  double mean_output_tokens = 0;
  /// Cost of a prompt token in output tokens, from the engines' total rates.
  double prefill_cost = 0;
};

struct LoadOptions {
  std::uint64_t seed = 1;
  /// Offered load of all workspaces that stay within their rate, as a part of the bound.
  double load = 0.9;
  /// The excessive workspace sends this multiple of its rate; 0 leaves it within its rate.
  double excess = 0;
  /// Arrivals alternate between (1 + burstiness) and (1 - burstiness) times the mean rate.
  double burstiness = 0.5;
  absl::Duration burst_length = absl::Milliseconds(500);
  absl::Duration length;
  /// Time before the run in which the workspaces' buckets, empty at first, have filled.
  absl::Duration fill;
};

struct WorkspaceRate {
  TokenCount rate = 0;
  TokenCount burst = 0;
};

struct Workload {
  OfflineBound bound;
  /// By index of the workspace.
  std::vector<WorkspaceRate> rates;
  std::vector<PlannedRequest> requests;
};

Workload MakeWorkload(const Profile& profile, const LoadOptions& options);

/// Text of the prompt; four bytes are one token, as the router estimates it.
std::string PromptText(const PlannedRequest& request);

}  // namespace marigoldquay::bench

#endif  // MARIGOLDQUAY_BENCH_LOAD_WORKLOAD_H_
