// Accepts connections and starts a fiber for each of them.
#include "marigoldquay/net/http_listener.h"

#include <list>
#include <utility>

#include "absl/strings/str_cat.h"
#include "caller_connection.h"
#include "marigoldquay/core/logger.h"

namespace marigoldquay {
namespace {

const Logger& Log() {
  static const Logger logger("net");
  return logger;
}

// Delay after a failed accept, e.g. when file descriptors run out.
constexpr absl::Duration kAcceptRetryDelay = absl::Milliseconds(50);

// Over the limit, closes the connection at once so that the caller can try another address.
void Serve(const HttpListener::SharedStatePtr& shared, Tcp::socket socket) {
  if (shared->connections >= shared->capacity.connections) return;
  SpawnFiber(shared->io, "caller connection",
             [shared, socket = std::move(socket)](Yield yield) mutable {
               internal::ServeConnection(shared, std::move(socket), yield);
             });
}

void AcceptConnections(const HttpListener::SharedStatePtr& shared, Yield yield) {
  while (shared->acceptor.is_open()) {
    boost::system::error_code error;
    Tcp::socket socket(shared->io);
    shared->acceptor.async_accept(socket, yield[error]);
    if (error == asio::error::operation_aborted) return;
    if (error) {
      Log().Warn("could not accept a connection: ", error.message());
      SleepFor(shared->io, kAcceptRetryDelay, yield);
      continue;
    }
    Serve(shared, std::move(socket));
  }
}

}  // namespace

HttpListener::HttpListener(asio::io_context& io, HttpHandler& handler, ListenerCapacity capacity,
                           MemoryBudget& memory)
    : io_(io), shared_(std::make_shared<SharedState>(io, handler, capacity, memory)) {}

HttpListener::~HttpListener() {
  StopAccepting();
  shared_->handler = nullptr;
  CloseIdle();
}

ErrorOrVoid HttpListener::Start(const Address& address) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) return Error{ErrorCode::kInvalidArgument, "listen", address, "malformed address"};
  boost::system::error_code error;
  auto& acceptor = shared_->acceptor;
  acceptor.open(endpoint->protocol(), error);
  if (!error) acceptor.set_option(asio::socket_base::reuse_address(true), error);
  if (!error) acceptor.bind(*endpoint, error);
  if (!error) acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    StopAccepting();
    return Error{ErrorCode::kUnavailable, "listen", address, error.message()};
  }
  SpawnFiber(io_, "accept", [shared = shared_](Yield yield) { AcceptConnections(shared, yield); });
  return std::monostate();
}

void HttpListener::AcceptQueued() {
  boost::system::error_code error;
  shared_->acceptor.non_blocking(true, error);
  while (!error) {
    Tcp::socket socket(io_);
    shared_->acceptor.accept(socket, error);
    if (!error) Serve(shared_, std::move(socket));
  }
}

void HttpListener::StopAccepting() {
  boost::system::error_code ignored;  // The acceptor may be closed already.
  shared_->acceptor.close(ignored);
}

void HttpListener::CloseIdle() {
  for (beast::tcp_stream* stream : shared_->idle_streams) stream->cancel();
}

Address HttpListener::address() const {
  boost::system::error_code error;
  const auto endpoint = shared_->acceptor.local_endpoint(error);
  if (error) return "";
  return absl::StrCat(endpoint.address().to_string(), ":", endpoint.port());
}

std::size_t HttpListener::active_requests() const { return shared_->active_requests; }

std::size_t HttpListener::connections() const { return shared_->connections; }

}  // namespace marigoldquay
