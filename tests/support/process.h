// Processes that tests start. Only the test harness may start processes.
#ifndef MARIGOLDQUAY_TESTS_SUPPORT_PROCESS_H_
#define MARIGOLDQUAY_TESTS_SUPPORT_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"

namespace marigoldquay::testing {

/// A child process. It is killed by the destructor, and by the kernel when the thread that started
/// it ends (PR_SET_PDEATHSIG), so it must be started in the main thread. Failures throw
/// std::runtime_error.
class Process {
 public:
  Process() = default;
  /// Starts `program`; its output goes to `log_prefix`.out and `log_prefix`.err.
  Process(const std::string& program, const std::vector<std::string>& arguments,
          std::string log_prefix);
  ~Process() { Kill(); }
  Process(Process&& other) noexcept { *this = std::move(other); }
  Process& operator=(Process&& other) noexcept;

  /// Waits for the line "<label> <rest>" on standard output and returns the rest.
  std::string AwaitLine(absl::string_view label, absl::Duration timeout = absl::Seconds(10)) const;

  /// SIGKILL, and waits for the end.
  void Kill();
  /// SIGSTOP and SIGCONT.
  void Pause() const;
  void Resume() const;
  /// SIGTERM, without waiting.
  void Terminate() const;
  /// SIGHUP.
  void Reload() const;
  /// Whether SIGHUP no longer ends the process. No program can see to that before its main function
  /// runs.
  bool handles_reload() const;
  /// Exit status (128 + N after signal N); nullopt when it still runs after `timeout`.
  std::optional<int> Wait(absl::Duration timeout);

  bool running() { return pid_ > 0 && !Wait(absl::ZeroDuration()); }
  pid_t pid() const { return pid_; }
  /// Last lines of both outputs, at most 8 KiB each.
  std::string Log() const;

 private:
  /// -1 when it was never started or its end has been collected.
  pid_t pid_ = -1;
  std::optional<int> status_;
  std::string log_prefix_;
};

/// Polls until the condition holds; false when it does not within `timeout`.
template <class Condition>
bool Eventually(absl::Duration timeout, const Condition& condition) {
  constexpr absl::Duration kPoll = absl::Milliseconds(5);
  const absl::Time deadline = absl::Now() + timeout;
  while (!condition()) {
    if (absl::Now() >= deadline) return false;
    absl::SleepFor(kPoll);
  }
  return true;
}

}  // namespace marigoldquay::testing

#endif  // MARIGOLDQUAY_TESTS_SUPPORT_PROCESS_H_
