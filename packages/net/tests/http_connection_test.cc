// HTTP calls to a server that does not take connections at once.
#include "marigoldquay/net/http_connection.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace marigoldquay {
namespace {

/// A server whose queue of new connections is full until Serve, so that the kernel drops SYN
/// packets.
class CrowdedServer {
 public:
  CrowdedServer() : listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    address_.sin_family = AF_INET;
    address_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address_);
    (void)bind(listener_, reinterpret_cast<sockaddr*>(&address_), size);
    (void)listen(listener_, 0);
    (void)getsockname(listener_, reinterpret_cast<sockaddr*>(&address_), &size);
    for (int& fd : queued_) {
      fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      (void)connect(fd, reinterpret_cast<sockaddr*>(&address_), size);
    }
  }
  ~CrowdedServer() {
    shutdown(listener_, SHUT_RDWR);
    if (thread_.joinable()) thread_.join();
    close(listener_);
    for (const int fd : queued_) close(fd);
  }
  CrowdedServer(const CrowdedServer&) = delete;
  CrowdedServer& operator=(const CrowdedServer&) = delete;

  Address address() const { return absl::StrCat("127.0.0.1:", ntohs(address_.sin_port)); }

  /// Answers all requests after `pause`.
  void ServeAfter(absl::Duration pause) {
    thread_ = std::thread([this, pause] {
      absl::SleepFor(pause);
      std::vector<int> accepted;
      for (int fd = accept(listener_, nullptr, nullptr); fd >= 0;
           fd = accept(listener_, nullptr, nullptr)) {
        accepted.push_back(fd);
        constexpr absl::string_view kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        (void)send(fd, kAnswer.data(), kAnswer.size(), MSG_NOSIGNAL);
      }
      for (const int fd : accepted) close(fd);
    });
  }

 private:
  static constexpr std::size_t kQueued = 4;

  const int listener_;
  sockaddr_in address_{};
  std::array<int, kQueued> queued_{};
  std::thread thread_;
};

BOOST_AUTO_TEST_SUITE(http_connection)

// Guards against a call that waits for the kernel to send a dropped SYN packet again, after 1 s and
// 3 s, while the server takes connections: all VMs call the store together when they lose the
// coordinator.
BOOST_AUTO_TEST_CASE(call_does_not_wait_for_a_dropped_syn) {
  constexpr absl::Duration kCrowded = absl::Milliseconds(300);
  constexpr absl::Duration kCallTimeout = absl::Milliseconds(800);
  CrowdedServer server;
  asio::io_context io;
  ConnectionPool pool(io, SystemClock::Instance());
  server.ServeAfter(kCrowded);
  bool answered = false;
  const absl::Time started = absl::Now();
  SpawnFiber(io, "call", [&](Yield yield) {
    const HttpRequest request(http::verb::get, "/", 11);
    const auto reply = CallHttp(pool, server.address(), request, kCallTimeout, yield);
    answered = reply.ok() && reply->body == "ok";
  });
  io.run();
  BOOST_TEST(answered);
  BOOST_TEST((absl::Now() - started < kCallTimeout));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
