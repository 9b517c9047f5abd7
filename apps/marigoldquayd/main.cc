// Entry point of the daemon that runs on every entry VM.
#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <ctime>

#include "daemon.h"
#include "marigoldquay/core/logger.h"
#include "platform_node.h"
#include "settings.h"

namespace marigoldquay {
namespace {

constexpr char kVersion[] = "0.1.0";

// Exit codes; docs/OPERATIONS.md lists them.
constexpr int kExitOk = 0;
constexpr int kExitBadSettings = 2;
constexpr int kExitCannotStart = 3;

// True when a stop signal arrives within the timeout.
bool AwaitStopSignal(const sigset_t& signals, absl::Duration timeout) {
  const timespec wait = absl::ToTimespec(timeout);
  return sigtimedwait(&signals, nullptr, &wait) > 0;
}

void PrintAddresses(const DaemonAddresses& addresses) {
  std::printf("caller %s\ninner %s\noperator %s\n", addresses.caller.c_str(),
              addresses.inner.c_str(), addresses.operators.c_str());
  std::fflush(stdout);
}

int Serve(const Settings& settings) {
  // All threads inherit the mask, so that only this one takes the stop signals.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);

  InitializeLogging(settings.log_level, settings.log_json);
  return HandleError(
      [&]() -> Result<int> {
        BOOST_LEAF_AUTO(daemon, Daemon::Start(settings));
        PrintAddresses(daemon->addresses());
        while (!AwaitStopSignal(signals, absl::Hours(1))) {
        }
        daemon->Drain([&] { return AwaitStopSignal(signals, absl::ZeroDuration()); });
        return kExitOk;
      },
      [](const Error& error) {
        std::fprintf(stderr, "marigoldquayd: %s\n", error.ToString().c_str());
        return kExitCannotStart;
      });
}

int Main(int argc, char** argv) {
  gflags::SetUsageMessage("routes requests to pools of prefill and decode servers");
  gflags::SetVersionString(kVersion);
  return HandleError(
      [&]() -> Result<int> {
        BOOST_LEAF_AUTO(settings, LoadSettings(argc, argv));
        if (!settings.node_file.empty()) {
          if (settings.check) return CheckPlatformSettings(settings.node_file);
          return RunPlatformNode(settings.node_file, settings.log_level);
        }
        if (settings.check) {
          std::fputs(DescribeSettings(settings).c_str(), stdout);
          return kExitOk;
        }
        return Serve(settings);
      },
      [](const Error& error) {
        std::fprintf(stderr, "marigoldquayd: %s\n", error.message.c_str());
        return kExitBadSettings;
      });
}

}  // namespace
}  // namespace marigoldquay

int main(int argc, char** argv) {
  // A reload that arrives before its handler is installed must not end the process.
  std::signal(SIGHUP, SIG_IGN);
  return marigoldquay::Main(argc, argv);
}
