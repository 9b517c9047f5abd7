// Tests of the RPC client over real sockets.
#include "marigoldquay/transport/rpc_client.h"

#include <boost/test/unit_test.hpp>

#include "marigoldquay/core/metrics.h"
#include "marigoldquay/protocol/frame.h"
#include "rpc_test_support.h"
#include "tcp_stub_server.h"

namespace marigoldquay {
namespace {

using testing::StubConnection;
using testing::TcpStubServer;

std::int64_t LateReplies() {
  return MetricsRegistry::Global()
      .counter("marigoldquay_rpc_client_late_replies_total", "")
      .value();
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
