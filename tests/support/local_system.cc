// Runs a whole local system until Ctrl-C or for a number of seconds; started by tests/run_local.
#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>

#include "system.h"

DEFINE_int32(seconds, 0, "ends after this time; 0 waits for Ctrl-C");
DEFINE_int32(vms, 3, "number of VMs");

namespace {

void PrintCurl(const char* title, const marigoldquay::testing::ClientRequest& request) {
  std::printf("\n%s:\ncurl -N", title);
  for (const std::string& header : request.headers) std::printf(" -H '%s'", header.c_str());
  std::printf(" -d '%s' %s\n", request.body.c_str(), request.url.c_str());
}

}  // namespace

int main(int argc, char** argv) {
  namespace testing = marigoldquay::testing;
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGINT, SIGTERM, SIGHUP}) sigaddset(&signals, signal);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  try {
    testing::SystemOptions options;
    options.vms = FLAGS_vms;
    testing::System system(options);
    for (int i = 0; i < system.vm_count(); ++i) {
      const testing::VmUnderTest& vm = system.vm(i);
      std::printf("%s caller %s inner %s operator %s\n", vm.id.c_str(), vm.caller.c_str(),
                  vm.inner.c_str(), vm.operator_address.c_str());
    }
    for (const testing::BackendUnderTest& backend : system.backends()) {
      std::printf("%s %s %s\n", backend.id.c_str(), backend.role.c_str(),
                  backend.address().c_str());
    }
    std::printf("log %s\nvm_list %s\noperator token %s\n", system.log().address.c_str(),
                system.vm_list().address.c_str(), testing::System::kOperatorToken);
    PrintCurl("Streamed completion",
              system.CompletionRequest(0, "w1", "Write a brief. [tokens=50]", 100, true));
    PrintCurl("Order", system.OrderRequest(0, "w1", "order-1", R"({"mugs":12})"));
    std::fflush(stdout);
    const timespec wait = {FLAGS_seconds, 0};
    FLAGS_seconds > 0 ? sigtimedwait(&signals, nullptr, &wait) : sigwaitinfo(&signals, nullptr);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "local system failed: %s\n", error.what());
    return 1;
  }
  return 0;
}
