// Limits the memory that all connections of a process hold together: unfinished heads, bodies,
// responses on their way and frames.
#ifndef MARIGOLDQUAY_NET_MEMORY_BUDGET_H_
#define MARIGOLDQUAY_NET_MEMORY_BUDGET_H_

#include <cstddef>
#include <limits>

namespace marigoldquay {

/// Memory shared by many holders under a dynamic threshold (A. K. Choudhury, E. L. Hahne, "Dynamic
/// queue length thresholds for shared-memory packet switches", 1998): a holder may have at most as
/// much as stays free for all others. Holders of much are refused first, and a few of them cannot
/// take the room of those that need little. Not thread-safe.
class MemoryBudget {
 public:
  /// A holder is granted this much at any time, so that small requests are served while large ones
  /// are refused. The limits on the number of connections bound the sum, in bytes.
  static constexpr std::size_t kAlwaysGranted = std::size_t{16} * 1024;
  static constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max() / 2;

  /// `capacity` in bytes.
  explicit MemoryBudget(std::size_t capacity) : capacity_(capacity) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  /// A budget without a limit.
  static MemoryBudget& Unlimited();

  std::size_t capacity() const { return capacity_; }
  /// Bytes of all holders.
  std::size_t held() const { return held_; }

 private:
  friend class MemoryHolding;

  // Whether a holder of `current` bytes may hold `wanted` bytes.
  bool Grants(std::size_t current, std::size_t wanted) const;

  const std::size_t capacity_;
  // Sum of all holdings.
  std::size_t held_ = 0;
};

/// The part of a budget that one connection or request holds; given back by the destructor. The
/// budget must outlive it.
class MemoryHolding {
 public:
  explicit MemoryHolding(MemoryBudget& budget) : budget_(budget) {}
  ~MemoryHolding() { budget_.held_ -= bytes_; }
  MemoryHolding(const MemoryHolding&) = delete;
  MemoryHolding& operator=(const MemoryHolding&) = delete;

  /// Changes the holding to `bytes`. Returns false, and changes nothing, when the budget does not
  /// grant an increase; a decrease is always granted.
  [[nodiscard]] bool Resize(std::size_t bytes);
  void Release() { (void)Resize(0); }
  std::size_t bytes() const { return bytes_; }

 private:
  MemoryBudget& budget_;
  std::size_t bytes_ = 0;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_NET_MEMORY_BUDGET_H_
