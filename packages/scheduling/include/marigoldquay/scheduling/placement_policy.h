// Baseline policies that place each request at once, without a queue or
// reservations. They exist to be compared with the reserving scheduler.
#ifndef MARIGOLDQUAY_SCHEDULING_PLACEMENT_POLICY_H_
#define MARIGOLDQUAY_SCHEDULING_PLACEMENT_POLICY_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "marigoldquay/core/types.h"

namespace marigoldquay {

/// What a baseline policy sees of a backend server that may get work.
struct ServerStatus {
  BackendServerId id;
  bool can_prefill = false;
  bool can_decode = false;
  /// Requests that this scheduler has placed there and that have not ended.
  int outstanding_prefills = 0;
  int outstanding_decodes = 0;
  /// From the last load report.
  std::int64_t reported_queue = 0;
  std::int64_t reported_slots_used = 0;
};

struct PlacementChoice {
  BackendServerId prefill_server;
  BackendServerId decode_server;

  bool operator==(const PlacementChoice&) const = default;
};

/// Not thread-safe.
class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;
  /// nullopt when no server can prefill or none can decode.
  std::optional<PlacementChoice> Choose(const std::vector<ServerStatus>& servers);

 protected:
  /// Index into `candidates`, which is not empty; they are asked for a prefill or a decode.
  virtual std::size_t Pick(const std::vector<const ServerStatus*>& candidates, bool prefill) = 0;
};

/// Name of the reserving scheduler, which is no baseline.
inline constexpr absl::string_view kReservationPolicy = "reservation";

/// Names of the baselines: "round_robin", "least_reported_load" and "least_outstanding_of_two".
std::vector<std::string> BaselinePolicyNames();

/// The baseline with this name; nullptr for another name.
std::unique_ptr<PlacementPolicy> MakeBaselinePolicy(absl::string_view name, std::uint64_t seed);

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_SCHEDULING_PLACEMENT_POLICY_H_
