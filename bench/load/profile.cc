#include "profile.h"

namespace marigoldquay::bench {
namespace {

// The slowest of the engines of a role takes this many times as long as the fastest.
constexpr double kSpeedSpread = 3;

double SlownessOf(int index, int count) {
  return count < 2 ? 1 : 1 + (kSpeedSpread - 1) * index / (count - 1);
}

std::vector<EngineSpec> PrefillEngines(int count, double fastest_tokens_per_s, double link) {
  std::vector<EngineSpec> engines;
  for (int i = 0; i < count; ++i) {
    engines.push_back({.prefill_tokens_per_s = fastest_tokens_per_s / SlownessOf(i, count),
                       .link_bytes_per_s = link});
  }
  return engines;
}

std::vector<EngineSpec> DecodeEngines(int count, double fastest_token_ms, double link) {
  std::vector<EngineSpec> engines;
  for (int i = 0; i < count; ++i) {
    engines.push_back(
        {.token_ms = fastest_token_ms * SlownessOf(i, count), .link_bytes_per_s = link});
  }
  return engines;
}

Profile Adeyemi() {
  Profile profile;
  profile.name = "adeyemi";
  profile.model_pool = "brief-writer";
  profile.plain_pool = "order-desk";
  profile.vms = 6;
  profile.plain_services = 3;
  // At these rates the decode slots are exhausted slightly before the prefill engines and links,
  // and the fastest prefill engine serves the longest prompt within the first-token target. The
  // slowest decode engine stays below the target between tokens.
  profile.prefill = PrefillEngines(3, 200000, 2e9);
  profile.decode = DecodeEngines(6, 15, 2e9);
  profile.workspaces = {{"w1", 4}, {"w2", 2}, {"w3", 2}, {"w4", 1}, {"w5", 1}};
  profile.excessive_workspace = "w2";
  // Long customer briefs, short captions.
  profile.mix = {.prompt_median = 2000,
                 .prompt_sigma = 1.2,
                 .output_median = 45,
                 .output_sigma = 0.6,
                 .shared_part = 0.5,
                 .prefixes_per_workspace = 8};
  return profile;
}

Profile Calorandina() {
  Profile profile = Adeyemi();
  profile.name = "calorandina";
  profile.model_pool = "llm-pool";
  profile.plain_pool = "dispatch-app";
  profile.prefill = PrefillEngines(4, 200000, 2e9);
  profile.decode = DecodeEngines(8, 15, 2e9);
  profile.workspaces = {{"w1", 3}, {"w2", 3}, {"w3", 2}, {"w4", 1}, {"w5", 1}};
  // Long survey files; summaries are longer than captions.
  profile.mix.prompt_median = 2600;
  profile.mix.output_median = 60;
  profile.mix.shared_part = 0.3;
  return profile;
}

Profile Tiny() {
  Profile profile = Adeyemi();
  profile.name = "tiny";
  profile.vms = 3;
  profile.plain_services = 1;
  profile.prefill = PrefillEngines(1, 200000, 2e9);
  profile.decode = DecodeEngines(2, 15, 2e9);
  profile.workspaces = {{"w1", 2}, {"w2", 1}};
  profile.mix.prompt_median = 500;
  profile.mix.output_median = 16;
  return profile;
}

}  // namespace

std::optional<Profile> FindProfile(absl::string_view name) {
  for (Profile profile : {Adeyemi(), Calorandina(), Tiny()}) {
    if (profile.name == name) return profile;
  }
  return std::nullopt;
}

Profile ScaleTime(Profile profile, double factor) {
  for (std::vector<EngineSpec>* engines : {&profile.prefill, &profile.decode}) {
    for (EngineSpec& engine : *engines) {
      engine.prefill_tokens_per_s /= factor;
      engine.token_ms *= factor;
      engine.link_bytes_per_s /= factor;
    }
  }
  profile.evict_ms *= factor;
  profile.first_token_ms *= factor;
  profile.between_tokens_ms *= factor;
  return profile;
}

}  // namespace marigoldquay::bench
