// Rendezvous (highest random weight) hashing, after Thaler and Ravishankar (1998).
// A lost VM moves only its own keys.
#ifndef MARIGOLDQUAY_CORE_RENDEZVOUS_H_
#define MARIGOLDQUAY_CORE_RENDEZVOUS_H_

#include <cstdint>
#include <span>
#include <vector>

#include "absl/strings/string_view.h"
#include "marigoldquay/core/types.h"

namespace marigoldquay {

/// 64-bit hash of a text (XXH3); stable across processes and releases.
std::uint64_t StableHash(absl::string_view text, std::uint64_t seed = 0);

/// The VM that ranks first for the key; empty when there are no VMs.
VmId FirstByRendezvous(absl::string_view key, std::span<const VmId> vms);

/// All VMs ordered by their rank for the key, best first.
std::vector<VmId> RankByRendezvous(absl::string_view key, std::span<const VmId> vms);

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_CORE_RENDEZVOUS_H_
