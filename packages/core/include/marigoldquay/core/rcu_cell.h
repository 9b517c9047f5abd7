// A value that many threads read without locks and few replace, on liburcu's
// "bulletproof" flavour, which registers reader threads by itself.
#ifndef MARIGOLDQUAY_CORE_RCU_CELL_H_
#define MARIGOLDQUAY_CORE_RCU_CELL_H_

#include <urcu-bp.h>

#include <memory>
#include <mutex>
#include <utility>

namespace marigoldquay {

/// Holds a current immutable T. Reading never blocks; replacing waits for readers of the old value.
template <class T>
class RcuCell {
 public:
  /// Pins the value that was current when the guard was made. Keep it short: Replace waits for it.
  class ReadGuard {
   public:
    explicit ReadGuard(const RcuCell& cell) {
      rcu_read_lock();
      value_ = rcu_dereference(cell.value_);
    }
    ~ReadGuard() { rcu_read_unlock(); }
    ReadGuard(const ReadGuard&) = delete;
    ReadGuard& operator=(const ReadGuard&) = delete;

    const T& operator*() const { return *value_; }
    const T* operator->() const { return value_; }

   private:
    const T* value_;
  };

  explicit RcuCell(std::unique_ptr<T> value) : value_(value.release()) {}
  ~RcuCell() { delete value_; }
  RcuCell(const RcuCell&) = delete;
  RcuCell& operator=(const RcuCell&) = delete;

  ReadGuard Read() const { return ReadGuard(*this); }

  /// Publishes a new value and frees the old one once no reader uses it. Must not be called while
  /// the calling thread holds a ReadGuard of any cell.
  void Replace(std::unique_ptr<T> value) {
    T* old = nullptr;
    {
      std::scoped_lock lock(writers_);
      old = value_;
      rcu_assign_pointer(value_, value.release());
    }
    synchronize_rcu();
    delete old;
  }

 private:
  // Never null; written under writers_, read under rcu_read_lock. Not const because liburcu's
  // functions take void*; readers only get const access.
  T* value_;
  std::mutex writers_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_CORE_RCU_CELL_H_
