// Cancels the work on a request when its caller disconnects, its deadline expires or the VM stops.
#ifndef MARIGOLDQUAY_NET_CANCELLATION_H_
#define MARIGOLDQUAY_NET_CANCELLATION_H_

#include <functional>
#include <list>
#include <utility>

namespace marigoldquay {

enum class CancelCause { kNone, kCallerDisconnected, kTimeout, kStopping };

/// Not thread-safe; used only on the thread that runs the fibers.
class Cancellation {
 public:
  Cancellation() = default;
  Cancellation(const Cancellation&) = delete;
  Cancellation& operator=(const Cancellation&) = delete;

  /// Runs `action` if the work is cancelled during the lifetime of the hook. The action interrupts
  /// the operation that the fiber waits for, e.g. by closing a socket, and must not suspend.
  class Hook {
   public:
    Hook(Cancellation& cancellation, std::function<void()> action) : cancellation_(cancellation) {
      position_ = cancellation_.hooks_.insert(cancellation_.hooks_.end(), std::move(action));
    }
    ~Hook() { cancellation_.hooks_.erase(position_); }
    Hook(const Hook&) = delete;
    Hook& operator=(const Hook&) = delete;

   private:
    Cancellation& cancellation_;
    std::list<std::function<void()>>::iterator position_;
  };

  /// Runs all hooks and records the cause; calls after the first one have no effect.
  void Cancel(CancelCause cause) {
    if (cancelled()) return;
    cause_ = cause;
    for (const auto& action : hooks_) action();
  }

  bool cancelled() const { return cause_ != CancelCause::kNone; }
  CancelCause cause() const { return cause_; }

 private:
  CancelCause cause_ = CancelCause::kNone;
  std::list<std::function<void()>> hooks_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_NET_CANCELLATION_H_
