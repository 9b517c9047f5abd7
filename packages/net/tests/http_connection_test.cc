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
#include "tcp_stub_server.h"

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

// What a call gets from a server that sends `bytes`.
ErrorOr<HttpReply> ReplyTo(const std::string& bytes) {
  const testing::TcpStubServer server([&](const testing::StubConnection& connection) {
    connection.ReadUntil("\r\n\r\n");
    connection.Send(bytes);
  });
  asio::io_context io;
  ConnectionPool pool(io, SystemClock::Instance());
  ErrorOr<HttpReply> reply = Error{};
  SpawnFiber(io, "call", [&](Yield yield) {
    const HttpRequest request(http::verb::get, "/", 11);
    reply = CallHttp(pool, server.address(), request, absl::Seconds(2), yield);
  });
  io.run();
  BOOST_TEST(pool.idle() == 0U);
  return reply;
}

std::string WithStatus(const std::string& status) {
  return "HTTP/1.1 " + status + "\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok";
}

// Guards against bytes of a peer in trouble that are taken for its answer: HTTP has statuses from
// 100 to 599.
BOOST_AUTO_TEST_CASE(reply_with_a_status_that_http_does_not_have_is_an_error) {
  for (const std::string status : {"000 x", "001 x", "099 x", "101 x", "600 x", "999 x", "20 x",
                                   "2000 x", "200x", "-20 x", "2e1 x", "abc x", " 200 OK", ""}) {
    const auto reply = ReplyTo(WithStatus(status));
    BOOST_TEST_REQUIRE(!reply.ok(), status);
    BOOST_TEST((reply.error().code == ErrorCode::kProtocol), status);
  }
  for (const std::string status : {"200 ", "204 x", "299 x", "404 x", "599 x"}) {
    BOOST_TEST(ReplyTo(WithStatus(status)).ok(), status);
  }
}

// Guards against an interim response that is taken for the answer of the peer.
BOOST_AUTO_TEST_CASE(interim_responses_are_no_reply) {
  const std::string interim = "HTTP/1.1 103 Early\r\n\r\n";
  const auto reply = ReplyTo(interim + interim + WithStatus("200 OK"));
  BOOST_TEST_REQUIRE(reply.ok());
  BOOST_TEST(reply->status == 200U);
  BOOST_TEST(reply->body == "ok");
  std::string endless;
  for (int i = 0; i < 100; ++i) endless += interim;
  BOOST_TEST(!ReplyTo(endless + WithStatus("200 OK")).ok());
}

// Guards against a body in a coding that is passed on as if it were the body itself.
BOOST_AUTO_TEST_CASE(reply_in_an_unknown_transfer_coding_is_an_error) {
  for (const std::string coding : {"identity", "gzip", "gzip, chunked", "chunked, identity"}) {
    const auto reply =
        ReplyTo("HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: " + coding +
                "\r\n\r\n2\r\nok\r\n0\r\n\r\n");
    BOOST_TEST(!reply.ok(), coding);
  }
  const auto chunked = ReplyTo(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\nConnection: close\r\n\r\n"
      "2\r\nok\r\n0\r\n\r\n");
  BOOST_TEST_REQUIRE(chunked.ok());
  BOOST_TEST(chunked->body == "ok");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
