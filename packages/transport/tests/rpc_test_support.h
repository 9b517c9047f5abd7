// Helpers of the RPC tests.
#ifndef MARIGOLDQUAY_TRANSPORT_TESTS_RPC_TEST_SUPPORT_H_
#define MARIGOLDQUAY_TRANSPORT_TESTS_RPC_TEST_SUPPORT_H_

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <variant>

#include "absl/strings/string_view.h"
#include "marigoldquay/transport/rpc_client.h"
#include "marigoldquay/transport/rpc_server.h"

namespace marigoldquay {

using protocol::MessageType;
using Outcome = std::variant<std::string, Error>;

// Waits for another thread; the bound only ends a failing test.
template <class Condition>
bool Eventually(Condition condition) {
  for (int i = 0; i < 1000 && !condition(); ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return condition();
}

inline void Start(RpcServer& server) {
  HandleError([&]() -> Result<void> { return server.Start(); },
              [](const Error& error) { BOOST_FAIL(error.ToString()); });
}

inline Outcome Call(RpcClient& client, const Address& peer, absl::string_view payload,
                    absl::Duration timeout = absl::Seconds(5),
                    MessageType type = MessageType::Reserve) {
  return Capture<std::string>([&] { return client.Call(peer, type, payload, {timeout, {}}); });
}

inline Error ErrorOf(const Outcome& outcome) {
  BOOST_REQUIRE(outcome.index() == 1);
  BOOST_TEST_MESSAGE(std::get<1>(outcome).ToString());
  return std::get<1>(outcome);
}

inline void Echo(const RpcCall& call, ReplyWriter& reply) { reply.Finish("echo " + call.payload); }

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_TRANSPORT_TESTS_RPC_TEST_SUPPORT_H_
