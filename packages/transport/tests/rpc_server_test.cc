// Tests of the RPC server and client over real sockets.
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
#include "marigoldquay/transport/rpc_client.h"
#include "tcp_stub_server.h"

namespace marigoldquay {
namespace {

using protocol::MessageType;
using testing::StubConnection;
using testing::TcpStubServer;
using Outcome = std::variant<std::string, Error>;

// Waits for another thread; the bound only ends a failing test.
template <class Condition>
bool Eventually(Condition condition) {
  for (int i = 0; i < 1000 && !condition(); ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return condition();
}

void Start(RpcServer& server) {
  HandleError([&]() -> Result<void> { return server.Start(); },
              [](const Error& error) { BOOST_FAIL(error.ToString()); });
}

Outcome Call(RpcClient& client, const Address& peer, absl::string_view payload,
             absl::Duration timeout = absl::Seconds(5), MessageType type = MessageType::Reserve) {
  return Capture<std::string>([&] { return client.Call(peer, type, payload, {timeout, {}}); });
}

Error ErrorOf(const Outcome& outcome) {
  BOOST_REQUIRE(outcome.index() == 1);
  BOOST_TEST_MESSAGE(std::get<1>(outcome).ToString());
  return std::get<1>(outcome);
}

void Echo(const RpcCall& call, ReplyWriter& reply) { reply.Finish("echo " + call.payload); }

std::int64_t LateReplies() {
  return MetricsRegistry::Global()
      .counter("marigoldquay_rpc_client_late_replies_total", "")
      .value();
}

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

// Reads one request frame from a scripted connection; false at its end.
bool ReadRequest(const StubConnection& connection, FrameHeader& header) {
  FrameDecoder decoder;
  while (true) {
    char c = 0;
    if (recv(connection.fd(), &c, 1, 0) != 1) return false;
    decoder.Append(absl::string_view(&c, 1));
    const auto frame = Capture<std::optional<Frame>>([&] { return decoder.Next(); });
    if (frame.index() == 1) return false;
    if (const auto& whole = std::get<0>(frame)) {
      header = whole->header;
      return true;
    }
  }
}

std::string ReplyFrame(const FrameHeader& request, absl::string_view payload) {
  return EncodeFrame(
      {.flags = kFrameIsReply | kFrameIsLast, .type = request.type, .call_id = request.call_id},
      payload);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(rpc)

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

BOOST_AUTO_TEST_SUITE(rpc_client)

// Guards against a lost peer reported as "may have run", which would forbid a retry elsewhere.
BOOST_AUTO_TEST_CASE(no_connection_is_not_sent) {
  Address free_address;
  {
    RpcServer server({});
    Start(server);
    free_address = server.address();
  }
  const auto client = MakeTcpRpcClient();
  BOOST_TEST((ErrorOf(Call(*client, free_address, "")).code == ErrorCode::kNotSent));
  BOOST_TEST((ErrorOf(Call(*client, "no-port", "")).code == ErrorCode::kNotSent));
  BOOST_TEST((ErrorOf(Call(*client, free_address, std::string(kMaxPayloadSize + 1, 'x'))).code ==
              ErrorCode::kNotSent));
}

// Guards against a client that keeps a dead connection after its peer was restarted.
BOOST_AUTO_TEST_CASE(reopens_after_restart) {
  const auto client = MakeTcpRpcClient();
  int port = 0;
  for (int round = 0; round < 3; ++round) {
    RpcServer server({.port = port});
    server.Register(MessageType::Reserve, Echo);
    Start(server);
    port = std::stoi(server.address().substr(server.address().rfind(':') + 1));
    BOOST_TEST(Call(*client, server.address(), "a").index() == 0U);
  }
}

// Guards against a late reply that is taken for the answer to a newer call.
BOOST_AUTO_TEST_CASE(late_and_unknown_replies_are_dropped_and_counted) {
  TcpStubServer server([](const StubConnection& connection) {
    FrameHeader first;
    FrameHeader next;
    if (!ReadRequest(connection, first)) return;
    // The first call times out and sends a cancel; then the second call arrives.
    do {
      if (!ReadRequest(connection, next)) return;
    } while ((next.flags & kFrameIsCancel) != 0);
    connection.Send(ReplyFrame(first, "late"));
    connection.Send(ReplyFrame({.type = MessageType::Reserve, .call_id = 999}, "unknown"));
    connection.Send(ReplyFrame(next, "right"));
    connection.AwaitClose();
  });
  const auto client = MakeTcpRpcClient();
  const auto before = LateReplies();
  BOOST_TEST((ErrorOf(Call(*client, server.address(), "", absl::Milliseconds(30))).code ==
              ErrorCode::kTimeout));
  const auto outcome = Call(*client, server.address(), "");
  BOOST_REQUIRE(outcome.index() == 0);
  BOOST_TEST(std::get<0>(outcome) == "right");
  BOOST_TEST(LateReplies() == before + 2);
}

// Guards against calls that go on timing out on a connection whose other end has vanished.
BOOST_AUTO_TEST_CASE(half_open_connection_is_replaced) {
  TcpStubServer server([](const StubConnection& connection) {
    FrameHeader request;
    if (connection.number() == 1) return connection.AwaitClose();
    while (ReadRequest(connection, request)) connection.Send(ReplyFrame(request, "alive"));
  });
  const auto client = MakeTcpRpcClient({.half_open_silence = absl::Milliseconds(60)});
  int timeouts = 0;
  while (timeouts < 20 &&
         Call(*client, server.address(), "", absl::Milliseconds(40)).index() == 1) {
    ++timeouts;
  }
  BOOST_TEST(timeouts > 0);
  BOOST_TEST(timeouts < 20);
  BOOST_TEST(server.connections() == 2);
}

// Guards against a broken connection whose calls wait for their timeout, and against an answer to
// half a request.
BOOST_AUTO_TEST_CASE(broken_connection_fails_its_calls) {
  TcpStubServer closes([](const StubConnection& connection) {
    FrameHeader request;
    ReadRequest(connection, request);
  });
  TcpStubServer garbles([](const StubConnection& connection) {
    FrameHeader request;
    ReadRequest(connection, request);
    connection.Send(std::string(100, 'z'));
    connection.AwaitClose();
  });
  const auto client = MakeTcpRpcClient();
  BOOST_TEST((ErrorOf(Call(*client, closes.address(), "", absl::Seconds(30))).code ==
              ErrorCode::kUnavailable));
  const Error error = ErrorOf(Call(*client, garbles.address(), "", absl::Seconds(30)));
  BOOST_TEST((error.code == ErrorCode::kProtocol));
  BOOST_TEST(error.peer == garbles.address());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace marigoldquay
