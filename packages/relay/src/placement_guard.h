// Ends the placement of a model request on every path.
#ifndef MARIGOLDQUAY_RELAY_SRC_PLACEMENT_GUARD_H_
#define MARIGOLDQUAY_RELAY_SRC_PLACEMENT_GUARD_H_

#include <utility>

#include "marigoldquay/relay/stream_placer.h"

namespace marigoldquay::internal {

/// Ends a placement exactly once, as cancelled unless End() was called before. The placer and the
/// placement must outlive it.
class PlacementGuard {
 public:
  PlacementGuard(StreamPlacer& placer, const StreamPlacement& placement)
      : placer_(placer), placement_(placement) {}
  ~PlacementGuard() { End(StreamEnd::kCancelled); }
  PlacementGuard(const PlacementGuard&) = delete;
  PlacementGuard& operator=(const PlacementGuard&) = delete;

  void End(StreamEnd end) {
    if (std::exchange(ended_, true)) return;
    placer_.OnEnd(placement_, end);
  }
  const StreamPlacement& placement() const { return placement_; }

 private:
  StreamPlacer& placer_;
  const StreamPlacement& placement_;
  bool ended_ = false;
};

}  // namespace marigoldquay::internal

#endif  // MARIGOLDQUAY_RELAY_SRC_PLACEMENT_GUARD_H_
