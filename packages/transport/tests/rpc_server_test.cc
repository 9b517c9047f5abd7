// Tests of the RPC server over real sockets.
#include "marigoldquay/transport/rpc_server.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "marigoldquay/core/metrics.h"
#include "marigoldquay/protocol/frame.h"
#include "rpc_test_support.h"
#include "tcp_stub_server.h"

namespace marigoldquay {
namespace {

using testing::StubConnection;

// Connects without the client.
int ConnectRaw(const Address& address) {
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  target.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1))));
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  BOOST_REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&target), sizeof(target)) == 0);
  return fd;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(rpc_server)

// Guards against replies that reach another caller on the shared connection.
BOOST_AUTO_TEST_CASE(concurrent_calls_share_one_connection) {
  RpcServer server({});
  server.Register(MessageType::Reserve, Echo);
  Start(server);
  const auto client = MakeTcpRpcClient();
  const auto before =
      MetricsRegistry::Global().counter("marigoldquay_rpc_client_connects_total", "").value();
  std::atomic<int> wrong{0};
  std::vector<std::thread> callers;
  for (int caller = 0; caller < 8; ++caller) {
    callers.emplace_back([&, caller] {
      for (int i = 0; i < 100; ++i) {
        const std::string text =
            absl::StrCat(caller, "/", i, std::string(std::size_t{100} * i, 'x'));
        const auto outcome = Call(*client, server.address(), text);
        if (outcome.index() != 0 || std::get<0>(outcome) != "echo " + text) ++wrong;
      }
    });
  }
  for (std::thread& caller : callers) caller.join();
  BOOST_TEST(wrong == 0);
  BOOST_TEST(
      MetricsRegistry::Global().counter("marigoldquay_rpc_client_connects_total", "").value() ==
      before + 1);
}

// Guards against lost or reordered parts of a streamed answer.
BOOST_AUTO_TEST_CASE(streams_replies_in_order) {
  RpcServer server({});
  server.Register(MessageType::Ask, [](const RpcCall&, ReplyWriter& reply) {
    for (int i = 0; i < 2000; ++i) reply.Write(absl::StrCat(i));
    reply.Finish("end");
  });
  Start(server);
  const auto client = MakeTcpRpcClient();
  int next = 0;
  std::string last;
  const auto outcome = Capture<bool>([&]() -> Result<bool> {
    BOOST_LEAF_CHECK(client->Stream(server.address(), MessageType::Ask, "", {absl::Seconds(10), {}},
                                    [&](absl::string_view part) {
                                      if (part == absl::StrCat(next)) ++next;
                                      last = std::string(part);
                                      return true;
                                    }));
    return true;
  });
  BOOST_TEST(outcome.index() == 0U);
  BOOST_TEST(next == 2000);
  BOOST_TEST(last == "end");
}

// Guards against handlers that go on after their caller has left.
BOOST_AUTO_TEST_CASE(cancel_deadline_and_disconnect_reach_the_handler) {
  std::atomic<int> running{0};
  std::atomic<int> ended{0};
  RpcServer server({});
  server.Register(MessageType::Ask, [&](const RpcCall&, ReplyWriter& reply) {
    ++running;
    while (!reply.cancelled()) std::this_thread::sleep_for(std::chrono::milliseconds(1));
    ++ended;
  });
  Start(server);
  auto client = MakeTcpRpcClient();
  std::atomic<bool> cancel{false};
  std::thread canceller([&] { cancel = Eventually([&] { return running == 1; }); });
  const auto outcome = Capture<std::string>([&] {
    return client->Call(server.address(), MessageType::Ask, "",
                        {absl::Seconds(30), [&] { return cancel.load(); }});
  });
  canceller.join();
  BOOST_TEST((ErrorOf(outcome).code == ErrorCode::kCancelled));
  BOOST_TEST(Eventually([&] { return ended == 1; }));
  BOOST_TEST((
      ErrorOf(Call(*client, server.address(), "", absl::Milliseconds(50), MessageType::Ask)).code ==
      ErrorCode::kTimeout));
  BOOST_TEST(Eventually([&] { return ended == 2; }));
  std::optional<Outcome> disconnected;
  std::thread caller([&] {
    disconnected = Call(*client, server.address(), "", absl::Seconds(30), MessageType::Ask);
  });
  BOOST_TEST(Eventually([&] { return running == 3; }));
  server.Stop();
  caller.join();
  BOOST_TEST((ErrorOf(*disconnected).code == ErrorCode::kUnavailable));
  BOOST_TEST(ended == 3);
}

// Guards against unbounded threads, and against waiting calls that keep heartbeats from running.
BOOST_AUTO_TEST_CASE(calls_over_the_bound_are_rejected) {
  std::atomic<bool> release{false};
  RpcServer server({.max_running_calls = 3, .reserved_calls = 1});
  const auto wait = [&](const RpcCall&, ReplyWriter& reply) {
    Eventually([&] { return release.load(); });
    reply.Finish("waited");
  };
  server.Register(MessageType::Acquire, wait);
  server.Register(MessageType::Heartbeat, Echo);
  Start(server);
  const auto client = MakeTcpRpcClient();
  std::atomic<int> rejected{0};
  std::vector<std::thread> callers;
  for (int i = 0; i < 4; ++i) {
    callers.emplace_back([&] {
      const auto outcome =
          Call(*client, server.address(), "", absl::Seconds(20), MessageType::Acquire);
      if (outcome.index() == 1 && std::get<1>(outcome).code == ErrorCode::kResourceExhausted) {
        ++rejected;
      }
    });
  }
  BOOST_TEST(Eventually([&] { return rejected == 2; }));
  BOOST_TEST(
      Call(*client, server.address(), "", absl::Seconds(5), MessageType::Heartbeat).index() == 0U);
  release = true;
  for (std::thread& caller : callers) caller.join();
  BOOST_TEST(rejected == 2);
  BOOST_TEST(
      (ErrorOf(Call(*client, server.address(), "", absl::Seconds(5), MessageType::Burn)).code ==
       ErrorCode::kRefused));
}

// Guards against errors that lose their code or place on the way, and against handlers that end
// without an answer.
BOOST_AUTO_TEST_CASE(handler_errors_reach_the_caller) {
  const Error error{ErrorCode::kConflict, "reserve tokens", "10.0.0.9:1", "not the home"};
  RpcServer server({});
  server.Register(MessageType::Reserve, [&](const RpcCall&, ReplyWriter& reply) {
    reply.FinishWithError(error);
    reply.Finish("must not be sent");
  });
  server.Register(MessageType::Settle, [](const RpcCall&, ReplyWriter&) {});
  server.Register(MessageType::Holds,
                  [](const RpcCall&, ReplyWriter&) { throw std::runtime_error("fault"); });
  Start(server);
  const auto client = MakeTcpRpcClient();
  BOOST_TEST((ErrorOf(Call(*client, server.address(), "")) == error));
  for (const MessageType type : {MessageType::Settle, MessageType::Holds}) {
    BOOST_TEST((ErrorOf(Call(*client, server.address(), "", absl::Seconds(5), type)).code ==
                ErrorCode::kInternal));
  }
}

// Guards against a peer that does not read and so blocks handlers and memory for ever.
BOOST_AUTO_TEST_CASE(peer_that_does_not_read_is_disconnected) {
  std::atomic<bool> ended{false};
  RpcServer server({.max_queued_bytes = kMaxPayloadSize + kFrameHeaderSize,
                    .send_timeout = absl::Milliseconds(100)});
  server.Register(MessageType::Ask, [&](const RpcCall&, ReplyWriter& reply) {
    const std::string part(1 << 20, 'x');
    while (reply.Write(part)) {
    }
    ended = true;
  });
  Start(server);
  const int fd = ConnectRaw(server.address());
  StubConnection(fd, 1).Send(
      EncodeFrame({.type = MessageType::Ask, .remaining_ms = 60000, .call_id = 7}, ""));
  BOOST_TEST(Eventually([&] { return ended.load(); }));
  close(fd);
}

// Guards against malformed frames that go unanswered, so that a peer of another version cannot
// learn why it is rejected.
BOOST_AUTO_TEST_CASE(other_version_is_answered_with_both_versions) {
  RpcServer server({});
  server.Register(MessageType::Reserve, Echo);
  Start(server);
  const int fd = ConnectRaw(server.address());
  const StubConnection connection(fd, 1);
  connection.Send(EncodeFrame({.version = 9, .type = MessageType::Reserve, .call_id = 7}, "x"));
  BOOST_TEST(
      absl::StrContains(connection.ReadUntil("allowed 1 to 1"), "version 9, allowed 1 to 1"));
  close(fd);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace marigoldquay
