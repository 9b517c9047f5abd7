// Starts that meet a port in use or unfinished settings.
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>
#include <string>

#include "absl/strings/numbers.h"
#include "absl/time/clock.h"
#include "world.h"

namespace marigoldquay::testing {
namespace {

/// Listens on a port like another program.
class OtherProgram {
 public:
  explicit OtherProgram(const Address& address) : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    int port = 0;
    (void)absl::SimpleAtoi(address.substr(address.rfind(':') + 1), &port);
    sockaddr_in bound{};
    bound.sin_family = AF_INET;
    bound.sin_port = htons(static_cast<std::uint16_t>(port));
    bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int reuse = 1;
    (void)setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
    listening_ =
        bind(fd_, reinterpret_cast<sockaddr*>(&bound), sizeof(bound)) == 0 && listen(fd_, 1) == 0;
  }
  ~OtherProgram() { close(fd_); }
  OtherProgram(const OtherProgram&) = delete;
  OtherProgram& operator=(const OtherProgram&) = delete;

  bool listening() const { return listening_; }

 private:
  const int fd_;
  bool listening_ = false;
};

WorldOptions Options(const std::string& name, int vms) {
  WorldOptions options;
  options.name = "start_" + name;
  options.vms = vms;
  return options;
}

bool Serves(const World& world, int vm) {
  CallerCall call;
  call.id = NewRequestId();
  return world.Call(vm, call).status == 200;
}

// Log of the VM, complete.
std::string LogOf(const World& world, int vm) {
  std::ifstream file(world.SettingsPath(vm) + ".out");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

BOOST_AUTO_TEST_SUITE(platform_start)

// Guards against a process that ends at each start because another program uses the first of the
// ports for traffic between VMs, and against VMs that do not find it at another one.
BOOST_AUTO_TEST_CASE(first_inner_port_in_use_is_left_out) {
  World world(Options("inner_port", 2));
  BOOST_TEST_REQUIRE(world.AwaitReady(0));
  BOOST_TEST_REQUIRE(world.AwaitReady(1));
  world.vm(0).Kill();
  world.vm(1).Kill();
  const OtherProgram other(world.inner_address(0));
  BOOST_TEST_REQUIRE(other.listening());
  world.StartVm(0);
  BOOST_TEST(world.AwaitReady(0));
  absl::SleepFor(absl::Seconds(1));
  world.StartVm(1);
  BOOST_TEST(world.AwaitReady(1));
  // The earlier VM coordinates; the other one reaches it at the port that it has taken.
  BOOST_TEST(Eventually(absl::Seconds(8), [&] {
    return LogOf(world, 1).find("\"event\":\"coordinator_session\",\"vm\":\"vm-0") !=
           std::string::npos;
  }));
  BOOST_TEST(Serves(world, 0));
  BOOST_TEST(Serves(world, 1));
}

// Guards against a process that ends, and is started again and again, while another one, e.g. the
// one before, still holds an address.
BOOST_AUTO_TEST_CASE(address_in_use_for_a_moment_delays_the_start) {
  for (int which = 0; which < 3; ++which) {
    World world(Options("address", 1));
    BOOST_TEST_REQUIRE(world.AwaitReady(0));
    world.vm(0).Kill();
    const Address addresses[] = {world.caller_address(0), world.readiness_address(0),
                                 world.directory_address(0)};
    {
      const OtherProgram other(addresses[which]);
      BOOST_TEST_REQUIRE(other.listening());
      world.StartVm(0);
      absl::SleepFor(absl::Milliseconds(1500));
      BOOST_TEST(world.vm(0).running());
    }
    BOOST_TEST(world.AwaitReady(0));
    BOOST_TEST(Serves(world, 0));
  }
}

// Guards against a process that ends because its settings are being written while it starts.
BOOST_AUTO_TEST_CASE(unfinished_settings_delay_the_start) {
  World world(Options("settings", 1));
  BOOST_TEST_REQUIRE(world.AwaitReady(0));
  world.vm(0).Kill();
  const std::string path = world.SettingsPath(0);
  std::ostringstream whole;
  whole << std::ifstream(path).rdbuf();
  for (const std::size_t size : {std::size_t{0}, whole.str().size() / 2}) {
    std::ofstream(path) << whole.str().substr(0, size);
    Process daemon(MARIGOLDQUAY_DAEMON, {"--node_file=" + path}, path);
    absl::SleepFor(absl::Milliseconds(700));
    BOOST_TEST(daemon.running());
    std::ofstream(path) << whole.str();
    BOOST_TEST(world.AwaitReady(0));
    BOOST_TEST(daemon.running());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay::testing
