// Planned stops under load, as callers on new connections see them.
#include <atomic>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>

#include "absl/strings/str_cat.h"
#include "marigoldquay/net/async.h"
#include "world.h"

namespace marigoldquay::testing {
namespace {

constexpr int kCallers = 30;
constexpr int kStops = 3;
// Longest pause between two requests of a caller.
constexpr int kPauseMs = 50;

/// Callers that send one request on each connection until the VM refuses connections.
class NewConnections {
 public:
  explicit NewConnections(const World& world) {
    const auto endpoint = ParseEndpoint(world.caller_address(0));
    for (int i = 0; i < kCallers; ++i) {
      SpawnFiber(io_, "caller", [this, endpoint, i](Yield yield) {
        for (int n = 0; CallOnce(*endpoint, yield); ++n) {
          SleepFor(io_, absl::Milliseconds((n * 7 + i) % kPauseMs), yield);
        }
      });
    }
    thread_ = std::thread([this] { io_.run(); });
  }
  ~NewConnections() { Join(); }
  NewConnections(const NewConnections&) = delete;
  NewConnections& operator=(const NewConnections&) = delete;

  void Join() {
    if (thread_.joinable()) thread_.join();
  }
  int answered() const { return answered_; }
  /// Requests that were sent on an established connection and got no answer.
  int unanswered() const { return unanswered_; }

 private:
  // False when the VM accepts no connection.
  bool CallOnce(const Tcp::endpoint& endpoint, Yield yield) {
    boost::system::error_code error;
    Tcp::socket socket(io_);
    socket.async_connect(endpoint, yield[error]);
    if (error) return false;
    const std::string request =
        absl::StrCat("POST /status/x HTTP/1.1\r\nHost: shop.example\r\nKey: key-1\r\nAttempt-Id: ",
                     NewRequestId(), "\r\nDeadline-Ms: 1000\r\nContent-Length: 2\r\n\r\nab");
    asio::async_write(socket, asio::buffer(request), yield[error]);
    char byte = 0;
    const auto count = socket.async_read_some(asio::buffer(&byte, 1), yield[error]);
    ++(count > 0 ? answered_ : unanswered_);
    return true;
  }

  asio::io_context io_;
  std::thread thread_;
  std::atomic<int> answered_{0};
  std::atomic<int> unanswered_{0};
};

BOOST_AUTO_TEST_SUITE(platform_stop)

// Guards against requests on connections that the kernel has accepted and the process resets when
// it stops, since it has not come to them yet.
BOOST_AUTO_TEST_CASE(requests_on_new_connections_are_answered_until_the_end) {
  for (int stop = 0; stop < kStops; ++stop) {
    WorldOptions options;
    options.name = "stop";
    options.vms = 1;
    World world(options);
    BOOST_TEST_REQUIRE(world.AwaitReady(0));
    NewConnections callers(world);
    absl::SleepFor(absl::Milliseconds(300));
    world.vm(0).Terminate();
    BOOST_TEST(world.vm(0).Wait(absl::Seconds(8)).value_or(-1) == 0);
    callers.Join();
    BOOST_TEST(callers.answered() > 1000);
    BOOST_TEST(callers.unanswered() == 0);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay::testing
