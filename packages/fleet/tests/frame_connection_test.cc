// Frames that arrive in pieces.
#include "marigoldquay/fleet/frame_connection.h"

#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>

#include "absl/time/clock.h"

namespace marigoldquay {
namespace {

constexpr absl::Duration kTimeout = absl::Milliseconds(300);
constexpr absl::Duration kPieceInterval = absl::Milliseconds(100);
constexpr int kPieces = 12;

BOOST_AUTO_TEST_SUITE(frame_connection)

// Guards against a session with a coordinator that sends a byte now and then and no message: the VM
// went on with what that coordinator had told it before.
BOOST_AUTO_TEST_CASE(frame_that_trickles_in_does_not_extend_the_timeout) {
  asio::io_context io;
  Tcp::acceptor acceptor(io, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  protocol::FleetStateT state;
  state.coordinator = std::make_unique<protocol::FleetMemberT>();
  state.coordinator->instance = std::make_unique<protocol::InstanceIdT>();
  const std::string frame = FrameConnection::Encode(protocol::MessageType::FleetState, 0, state);
  SpawnFiber(io, "peer", [&](Yield yield) {
    boost::system::error_code error;
    Tcp::socket socket(io);
    acceptor.async_accept(socket, yield[error]);
    for (int i = 0; i < kPieces && !error; ++i) {
      asio::async_write(socket, asio::buffer(frame.data() + i, 1), yield[error]);
      SleepFor(io, kPieceInterval, yield);
    }
  });
  bool failed = false;
  absl::Duration took;
  SpawnFiber(io, "reader", [&](Yield yield) {
    boost::system::error_code error;
    Tcp::socket socket(io);
    socket.async_connect(acceptor.local_endpoint(), yield[error]);
    const auto connection = FrameConnection::Make(std::move(socket));
    const absl::Time started = absl::Now();
    failed = !connection->Read(kTimeout, yield).ok();
    took = absl::Now() - started;
  });
  io.run();
  BOOST_TEST(failed);
  BOOST_TEST((took < 2 * kTimeout));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
