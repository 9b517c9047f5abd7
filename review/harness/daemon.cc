// Start and end of a daemon.
#include "daemon.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <stdexcept>

#include "absl/strings/str_cat.h"

namespace marigoldquay::review {
namespace {

// The `run` line of the deploy file; the working directory is the root of the repository.
constexpr char kProgram[] = "target/apps/marigoldquayd";
constexpr int kLogMode = 0644;

}  // namespace

void Daemon::Start(const std::string& settings, const std::string& log) {
  const std::string variable = "MARIGOLDQUAY_NODE_FILE=" + settings;
  const char* arguments[] = {kProgram, nullptr};
  const char* environment[] = {variable.c_str(), "PATH=/usr/bin:/bin", "LANG=C.UTF-8", nullptr};
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ < 0) throw std::runtime_error("fork failed");
  if (pid_ > 0) return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) _exit(126);
  const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  if (fd < 0) _exit(126);
  dup2(fd, STDOUT_FILENO);
  dup2(fd, STDERR_FILENO);
  close_range(STDERR_FILENO + 1, ~0U, 0);
  execve(kProgram, const_cast<char* const*>(arguments), const_cast<char* const*>(environment));
  _exit(127);
}

void Daemon::Kill() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = -1;
}

void Daemon::Signal(int signal) const {
  if (pid_ > 0) kill(pid_, signal);
}

bool Daemon::Running() {
  if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) pid_ = -1;
  return pid_ > 0;
}

std::size_t Daemon::Memory() const {
  if (pid_ <= 0) return 0;
  std::ifstream file(absl::StrCat("/proc/", pid_, "/statm"));
  std::size_t whole = 0;
  std::size_t resident = 0;
  if (!(file >> whole >> resident)) return 0;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

}  // namespace marigoldquay::review
