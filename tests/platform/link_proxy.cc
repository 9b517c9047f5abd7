// Loopback proxy of one link.
#include "link_proxy.h"

#include <array>
#include <boost/asio/write.hpp>
#include <utility>

#include "absl/strings/str_cat.h"

namespace marigoldquay::testing {
namespace {

constexpr absl::Duration kPoll = absl::Milliseconds(10);
constexpr std::size_t kPieceBytes = std::size_t{16} * 1024;

}  // namespace

LinkProxy::LinkProxy(asio::io_context& io, Address server)
    : io_(io),
      server_(std::move(server)),
      acceptor_(io, Tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
  address_ = absl::StrCat("127.0.0.1:", acceptor_.local_endpoint().port());
  SpawnFiber(io_, "accept link", [this](Yield yield) { Accept(yield); });
}

void LinkProxy::ResetSocket(Tcp::socket& socket) {
  boost::system::error_code ignored;  // The socket may be closed already.
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

void LinkProxy::Reset() {
  for (const auto& link : links_) {
    ResetSocket(link->client);
    ResetSocket(link->server);
  }
}

void LinkProxy::Accept(Yield yield) {
  while (acceptor_.is_open()) {
    auto link = std::make_shared<Link>(io_);
    boost::system::error_code error;
    acceptor_.async_accept(link->client, yield[error]);
    if (error) {
      SleepFor(io_, kPoll, yield);
      continue;
    }
    if (fault_.refuse) {
      ResetSocket(link->client);
      continue;
    }
    links_.insert(link);
    SpawnFiber(io_, "serve link", [this, link](Yield inner) { Serve(link, inner); });
  }
}

void LinkProxy::Serve(const std::shared_ptr<Link>& link, Yield yield) {
  boost::system::error_code error;
  link->server.async_connect(*ParseEndpoint(server_), yield[error]);
  if (error) {
    ResetSocket(link->client);
    links_.erase(link);
    return;
  }
  link->client.set_option(Tcp::no_delay(true), error);
  link->server.set_option(Tcp::no_delay(true), error);
  SpawnFiber(io_, "pump to client", [this, link](Yield inner) { Pump(link, false, inner); });
  Pump(link, true, yield);
  links_.erase(link);
}

void LinkProxy::Pump(const std::shared_ptr<Link>& link, bool to_server, Yield yield) {
  Tcp::socket& from = to_server ? link->client : link->server;
  Tcp::socket& to = to_server ? link->server : link->client;
  std::array<char, kPieceBytes> piece;
  while (true) {
    boost::system::error_code error;
    const std::size_t count = from.async_read_some(asio::buffer(piece), yield[error]);
    if (fault_.delay > absl::ZeroDuration()) SleepFor(io_, fault_.delay, yield);
    while (to_server ? fault_.hold_to_server : fault_.hold_to_client) SleepFor(io_, kPoll, yield);
    if (error == asio::error::eof) {
      to.shutdown(Tcp::socket::shutdown_send, error);
      return;
    }
    if (!error) asio::async_write(to, asio::buffer(piece, count), yield[error]);
    if (error) {
      ResetSocket(from);
      ResetSocket(to);
      return;
    }
  }
}

}  // namespace marigoldquay::testing
