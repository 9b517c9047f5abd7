// Rendezvous hashing on XXH3.
#include "marigoldquay/core/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace marigoldquay {
namespace {

using Score = std::pair<std::uint64_t, absl::string_view>;

// Ties are broken by name so that all VMs agree.
Score ScoreOf(std::uint64_t key_hash, const VmId& vm) { return {StableHash(vm, key_hash), vm}; }

}  // namespace

std::uint64_t StableHash(absl::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

VmId FirstByRendezvous(absl::string_view key, std::span<const VmId> vms) {
  const auto key_hash = StableHash(key);
  const auto first = std::max_element(vms.begin(), vms.end(), [&](const VmId& a, const VmId& b) {
    return ScoreOf(key_hash, a) < ScoreOf(key_hash, b);
  });
  return first == vms.end() ? VmId() : *first;
}

std::vector<VmId> RankByRendezvous(absl::string_view key, std::span<const VmId> vms) {
  const auto key_hash = StableHash(key);
  std::vector<VmId> ranked(vms.begin(), vms.end());
  std::sort(ranked.begin(), ranked.end(), [&](const VmId& a, const VmId& b) {
    return ScoreOf(key_hash, a) > ScoreOf(key_hash, b);
  });
  return ranked;
}

}  // namespace marigoldquay
