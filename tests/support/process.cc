#include "process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdint>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace marigoldquay::testing {
namespace {

constexpr std::size_t kLogTail = 8192;
constexpr int kLogMode = 0644;

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return std::string(std::istreambuf_iterator<char>(file), {});
}

std::string Tail(const std::string& text) {
  return text.size() <= kLogTail ? text : text.substr(text.size() - kLogTail);
}

void Redirect(const std::string& path, int target) {
  const int fd = open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kLogMode);
  if (fd < 0) _exit(126);
  dup2(fd, target);
}

}  // namespace

Process::Process(const std::string& program, const std::vector<std::string>& arguments,
                 std::string log_prefix)
    : log_prefix_(std::move(log_prefix)) {
  // The child may only make system calls until exec, so everything is allocated before the fork.
  std::vector<char*> argv = {const_cast<char*>(program.c_str())};
  for (const std::string& argument : arguments) argv.push_back(const_cast<char*>(argument.c_str()));
  argv.push_back(nullptr);
  const std::string out = log_prefix_ + ".out";
  const std::string err = log_prefix_ + ".err";
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ < 0) throw std::runtime_error("fork failed");
  if (pid_ > 0) return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) _exit(126);  // The parent died before the line above.
  setpgid(0, 0);                        // Ctrl-C reaches only the harness, which ends its children.
  sigset_t none;
  sigemptyset(&none);
  sigprocmask(SIG_SETMASK, &none, nullptr);
  Redirect(out, STDOUT_FILENO);
  Redirect(err, STDERR_FILENO);
  // A listening socket of the harness would stay open in the child after the harness has closed it.
  close_range(STDERR_FILENO + 1, ~0U, 0);
  execv(program.c_str(), argv.data());
  _exit(127);
}

Process& Process::operator=(Process&& other) noexcept {
  if (this == &other) return *this;
  Kill();
  pid_ = std::exchange(other.pid_, -1);
  status_ = other.status_;
  log_prefix_ = std::move(other.log_prefix_);
  return *this;
}

std::string Process::AwaitLine(absl::string_view label, absl::Duration timeout) const {
  const std::string prefix = absl::StrCat(label, " ");
  std::string found;
  const bool success = Eventually(timeout, [&] {
    std::vector<std::string> lines = absl::StrSplit(ReadFile(log_prefix_ + ".out"), '\n');
    lines.pop_back();  // The last line is not complete.
    for (const std::string& line : lines) {
      if (found.empty() && absl::StartsWith(line, prefix)) found = line.substr(prefix.size());
    }
    return !found.empty();
  });
  if (!success) throw std::runtime_error(absl::StrCat("no line '", label, "':\n", Log()));
  return found;
}

void Process::Kill() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  Wait(absl::InfiniteDuration());
}

void Process::Pause() const {
  if (pid_ > 0) kill(pid_, SIGSTOP);
}

void Process::Resume() const {
  if (pid_ > 0) kill(pid_, SIGCONT);
}

void Process::Terminate() const {
  if (pid_ > 0) kill(pid_, SIGTERM);
}

void Process::Reload() const {
  if (pid_ > 0) kill(pid_, SIGHUP);
}

bool Process::handles_reload() const {
  constexpr std::uint64_t kReloadBit = 1U << (SIGHUP - 1);
  std::istringstream status(ReadFile(absl::StrCat("/proc/", pid_, "/status")));
  std::string word;
  std::uint64_t handled = 0;
  while (status >> word) {
    if (word != "SigIgn:" && word != "SigCgt:") continue;
    std::uint64_t mask = 0;
    status >> std::hex >> mask;
    handled |= mask;
  }
  return (handled & kReloadBit) != 0;
}

std::optional<int> Process::Wait(absl::Duration timeout) {
  if (pid_ <= 0) return status_;
  int status = 0;
  if (!Eventually(timeout, [&] { return waitpid(pid_, &status, WNOHANG) == pid_; })) return {};
  pid_ = -1;
  status_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  return status_;
}

std::string Process::Log() const {
  return absl::StrCat("== ", log_prefix_, "\n", Tail(ReadFile(log_prefix_ + ".out")),
                      Tail(ReadFile(log_prefix_ + ".err")));
}

}  // namespace marigoldquay::testing
