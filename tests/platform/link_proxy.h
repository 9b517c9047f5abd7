// Loopback proxy that injects network faults into one link. It lives on the thread
// of the world, so that a test can change the fault while connections are open.
#ifndef MARIGOLDQUAY_TESTS_PLATFORM_LINK_PROXY_H_
#define MARIGOLDQUAY_TESTS_PLATFORM_LINK_PROXY_H_

#include <memory>
#include <set>

#include "absl/time/time.h"
#include "marigoldquay/core/types.h"
#include "marigoldquay/net/async.h"

namespace marigoldquay::testing {

/// What a link does to its bytes. Bytes that are held back arrive once the fault is over, like
/// those that TCP sends again.
struct LinkFault {
  /// Added to every piece, in each direction.
  absl::Duration delay = absl::ZeroDuration();
  bool hold_to_server = false;
  bool hold_to_client = false;
  /// New connections are reset at once.
  bool refuse = false;
};

class LinkProxy {
 public:
  /// Listens on 127.0.0.1 and passes connections on to `server`.
  LinkProxy(asio::io_context& io, Address server);

  Address address() const { return address_; }
  void set_fault(const LinkFault& fault) { fault_ = fault; }
  /// Resets all open connections.
  void Reset();

 private:
  struct Link {
    explicit Link(asio::io_context& io) : client(io), server(io) {}
    Tcp::socket client;
    Tcp::socket server;
  };

  void Accept(Yield yield);
  void Serve(const std::shared_ptr<Link>& link, Yield yield);
  void Pump(const std::shared_ptr<Link>& link, bool to_server, Yield yield);
  static void ResetSocket(Tcp::socket& socket);

  asio::io_context& io_;
  const Address server_;
  Address address_;
  LinkFault fault_;
  Tcp::acceptor acceptor_;
  // Shared with the two fibers that pump the bytes of a link.
  std::set<std::shared_ptr<Link>> links_;
};

}  // namespace marigoldquay::testing

#endif  // MARIGOLDQUAY_TESTS_PLATFORM_LINK_PROXY_H_
