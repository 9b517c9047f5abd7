// Connections of callers that a listener keeps open between requests.
#include "marigoldquay/net/http_listener.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>

#include "absl/time/clock.h"

namespace marigoldquay {
namespace {

constexpr absl::Duration kIdleTimeout = absl::Milliseconds(200);

/// Answers each request at once.
class OkHandler final : public HttpHandler {
 public:
  void Handle(HttpRequest& request, HttpReplyWriter& reply, Cancellation& cancellation,
              Yield yield) override {
    (void)request;
    (void)cancellation;
    (void)reply.SendReply(200, {}, "ok", yield);
  }
  ListenerLimits limits() const override {
    ListenerLimits limits;
    limits.idle_timeout = kIdleTimeout;
    return limits;
  }
};

/// A listener on a thread of its own.
class Server {
 public:
  Server() {
    BOOST_REQUIRE(listener_.Start("127.0.0.1:0").ok());
    address_ = listener_.address();
    thread_ = std::thread([this] { io_.run(); });
  }
  ~Server() {
    io_.stop();
    thread_.join();
  }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  const Address& address() const { return address_; }
  /// Keeps the thread from handling events for this long, as when the process gets no processor.
  void Stall(absl::Duration duration) {
    asio::post(io_, [duration] { absl::SleepFor(duration); });
  }

 private:
  OkHandler handler_;
  asio::io_context io_;
  asio::executor_work_guard<asio::io_context::executor_type> work_{io_.get_executor()};
  HttpListener listener_{io_, handler_, 10};
  Address address_;
  std::thread thread_;
};

/// A caller that keeps its connection.
class Caller {
 public:
  explicit Caller(const Address& address) { socket_.connect(*ParseEndpoint(address)); }

  void Send() {
    constexpr absl::string_view kRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    asio::write(socket_, asio::buffer(kRequest.data(), kRequest.size()));
  }
  /// Whether a whole response arrives before the connection ends.
  bool ReadResponse() {
    std::string response;
    boost::system::error_code error;
    asio::read_until(socket_, asio::dynamic_buffer(response), "ok", error);
    return !error;
  }
  /// Whether the server closes the connection.
  bool ReadEnd() {
    char byte = 0;
    boost::system::error_code error;
    socket_.read_some(asio::buffer(&byte, 1), error);
    return error == asio::error::eof;
  }

 private:
  asio::io_context io_;
  Tcp::socket socket_{io_};
};

BOOST_AUTO_TEST_SUITE(http_listener)

// Guards against a kept connection that is closed with an unread request on it, when the process
// gets no processor until after the idle timeout.
BOOST_AUTO_TEST_CASE(request_that_arrived_before_the_idle_timeout_is_answered) {
  Server server;
  Caller caller(server.address());
  caller.Send();
  BOOST_REQUIRE(caller.ReadResponse());
  server.Stall(2 * kIdleTimeout);
  absl::SleepFor(kIdleTimeout / 2);
  caller.Send();
  BOOST_TEST(caller.ReadResponse());
}

// Guards against connections that stay open for good.
BOOST_AUTO_TEST_CASE(idle_connection_is_closed) {
  Server server;
  Caller caller(server.address());
  caller.Send();
  BOOST_REQUIRE(caller.ReadResponse());
  const absl::Time answered = absl::Now();
  BOOST_TEST(caller.ReadEnd());
  BOOST_TEST(absl::Now() - answered >= kIdleTimeout / 2);
  BOOST_TEST(absl::Now() - answered <= absl::Seconds(5));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
