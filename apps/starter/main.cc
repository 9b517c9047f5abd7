// Program file of the daemon. Blocks stop and reload signals, then loads the library with the
// daemon: their default action would end the process while the dynamic linker resolves some 65
// libraries.
#include <dlfcn.h>

#include <csignal>
#include <cstdio>

namespace {

constexpr char kLibrary[] = "libmarigoldquay_daemon.so";
constexpr char kEntryPoint[] = "marigoldquay_daemon_main";
// docs/OPERATIONS.md lists the exit codes.
constexpr int kExitCannotStart = 3;

using EntryPoint = int (*)(int argc, char** argv);

void BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
}

int ReportLoadError() {
  std::fprintf(stderr, "marigoldquayd: %s\n", dlerror());
  return kExitCannotStart;
}

}  // namespace

int main(int argc, char** argv) {
  BlockSignals();
  void* const library = dlopen(kLibrary, RTLD_NOW);
  if (library == nullptr) return ReportLoadError();
  void* const entry_point = dlsym(library, kEntryPoint);
  if (entry_point == nullptr) return ReportLoadError();
  return reinterpret_cast<EntryPoint>(entry_point)(argc, argv);
}
