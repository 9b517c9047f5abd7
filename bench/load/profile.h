// Deployments that the load tool starts, and the time scale of their engines.
#ifndef MARIGOLDQUAY_BENCH_LOAD_PROFILE_H_
#define MARIGOLDQUAY_BENCH_LOAD_PROFILE_H_

#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "marigoldquay/core/types.h"

namespace marigoldquay::bench {

struct EngineSpec {
  /// Prompt tokens per second; of prefill engines.
  double prefill_tokens_per_s = 0;
  /// Time between two tokens in ms; of decode engines.
  double token_ms = 0;
  double link_bytes_per_s = 0;
  int slots = 20;
  /// Memory in blocks of 2,000 tokens.
  int pieces = 120;

  bool operator==(const EngineSpec&) const = default;
};

struct WorkspaceShare {
  WorkspaceId id;
  int weight = 1;

  bool operator==(const WorkspaceShare&) const = default;
};

/// Prompt and answer lengths are log-normal, cut to their ranges.
struct RequestMix {
  double prompt_median = 0;
  /// Standard deviation of the logarithm.
  double prompt_sigma = 0;
  TokenCount prompt_min = 30;
  TokenCount prompt_max = 24000;
  double output_median = 0;
  double output_sigma = 0;
  TokenCount output_min = 4;
  TokenCount output_max = 400;
  /// Part of the prompts with at least 2,000 tokens that start with a shared prefix.
  double shared_part = 0;
  int prefixes_per_workspace = 0;

  bool operator==(const RequestMix&) const = default;
};

struct Profile {
  std::string name;
  std::string model_pool;
  std::string plain_pool;
  int vms = 0;
  int plain_services = 0;
  std::vector<EngineSpec> prefill;
  std::vector<EngineSpec> decode;
  double kv_bytes_per_token = 10000;
  /// Time after which an engine evicts an unused prefill result.
  double evict_ms = 800;
  std::vector<WorkspaceShare> workspaces;
  /// Sends a multiple of its rate when the tool is told so.
  WorkspaceId excessive_workspace;
  RequestMix mix;
  double first_token_ms = 430;
  double between_tokens_ms = 49;

  bool operator==(const Profile&) const = default;
};

/// "adeyemi", "calorandina", or "tiny" for smoke tests; nullopt for other names.
std::optional<Profile> FindProfile(absl::string_view name);

/// The profile with all engine times and both latency targets multiplied by the factor.
Profile ScaleTime(Profile profile, double factor);

}  // namespace marigoldquay::bench

#endif  // MARIGOLDQUAY_BENCH_LOAD_PROFILE_H_
