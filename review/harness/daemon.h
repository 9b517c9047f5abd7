// A daemon of the project, started as the deploy file says.
#ifndef MARIGOLDQUAY_REVIEW_HARNESS_DAEMON_H_
#define MARIGOLDQUAY_REVIEW_HARNESS_DAEMON_H_

#include <sys/types.h>

#include <cstddef>
#include <string>

namespace marigoldquay::review {

/// One process of the `run` line of deploy/system.toml. Killed by the destructor, and by the kernel
/// when the harness ends.
class Daemon {
 public:
  Daemon() = default;
  ~Daemon() { Kill(); }
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Starts the process with the settings file; its output is appended to `log`.
  void Start(const std::string& settings, const std::string& log);
  /// SIGKILL, and waits for the end.
  void Kill();
  void Signal(int signal) const;
  /// Whether it runs; collects its end.
  bool Running();
  /// Resident memory in bytes; 0 when it does not run.
  std::size_t Memory() const;
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
};

}  // namespace marigoldquay::review

#endif  // MARIGOLDQUAY_REVIEW_HARNESS_DAEMON_H_
