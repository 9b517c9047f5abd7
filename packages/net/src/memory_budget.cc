// Memory shared by connections.
#include "marigoldquay/net/memory_budget.h"

#include "marigoldquay/core/metrics.h"

namespace marigoldquay {

MemoryBudget& MemoryBudget::Unlimited() {
  static MemoryBudget budget(kUnlimited);
  return budget;
}

bool MemoryBudget::Grants(std::size_t current, std::size_t wanted) const {
  if (wanted <= current || wanted <= kAlwaysGranted) return true;
  const std::size_t held_by_others = held_ - current;
  if (held_by_others >= capacity_ || wanted > capacity_ - held_by_others) return false;
  const std::size_t free_for_others = capacity_ - held_by_others - wanted;
  return wanted <= free_for_others;
}

bool MemoryHolding::Resize(std::size_t bytes) {
  if (!budget_.Grants(bytes_, bytes)) {
    MetricsRegistry::Global()
        .counter("marigoldquay_net_memory_refusals_total",
                 "Times that a connection was refused memory because all hold too much.")
        .Increment();
    return false;
  }
  budget_.held_ = budget_.held_ - bytes_ + bytes;
  bytes_ = bytes;
  return true;
}

}  // namespace marigoldquay
