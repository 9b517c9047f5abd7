// Stand-in of a backend server.
#include "backend_server.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/json.hpp>
#include <cerrno>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace marigoldquay::review {
namespace {

// How often a working server looks whether its connection has been closed.
constexpr absl::Duration kLook = absl::Milliseconds(5);

}  // namespace

bool ServerExchange::Write(const std::string& bytes) {
  boost::system::error_code error;
  asio::async_write(socket_, asio::buffer(bytes), yield_[error]);
  return !error;
}

bool ServerExchange::Answer(unsigned status, const std::string& fields, const std::string& body) {
  return Write(absl::StrCat("HTTP/1.1 ", status, " X\r\n", fields, "Content-Length: ", body.size(),
                            "\r\n\r\n", body));
}

bool ServerExchange::Work(absl::Duration duration) {
  const absl::Time until = absl::Now() + duration;
  while (true) {
    char byte = 0;
    const auto count = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    const bool open = count > 0 || (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
    if (!open) return false;
    const absl::Duration left = until - absl::Now();
    if (left <= absl::ZeroDuration()) return true;
    asio::steady_timer timer(socket_.get_executor(), ToChrono(std::min(left, kLook)));
    boost::system::error_code ignored;
    timer.async_wait(yield_[ignored]);
  }
}

void ServerExchange::WorkOn(absl::Duration duration) {
  asio::steady_timer timer(socket_.get_executor(), ToChrono(duration));
  boost::system::error_code ignored;
  timer.async_wait(yield_[ignored]);
}

std::string ServerExchange::Load() const { return absl::StrCat(running_, ",0,", slots_); }

BackendServer::BackendServer(asio::io_context& io, BackendServerOptions options)
    : io_(io), options_(std::move(options)), acceptor_(io), born_(absl::ToUnixMillis(absl::Now())) {
  acceptor_.open(Tcp::v4());
  acceptor_.bind(Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  acceptor_.listen();
  address_ = absl::StrCat("127.0.0.1:", acceptor_.local_endpoint().port());
  SpawnFiber(io_, "accept", [this](Yield yield) { Accept(yield); });
}

std::string BackendServer::Entry(const std::string& state) {
  boost::json::object entry{{"service", options_.service},
                            {"address", address_},
                            {"zone", options_.zone},
                            {"version", "v1"},
                            {"slots", options_.slots},
                            {"state", state},
                            {"coldLeftMs", 0},
                            {"sequence", ++sequence_},
                            {"born", born_}};
  if (!options_.phase.empty()) entry["phase"] = options_.phase;
  return boost::json::serialize(entry);
}

void BackendServer::Accept(Yield yield) {
  while (true) {
    auto socket = std::make_shared<Tcp::socket>(io_);
    boost::system::error_code error;
    acceptor_.async_accept(*socket, yield[error]);
    if (error) return;
    SpawnFiber(io_, "serve", [this, socket](Yield inner) { Serve(socket, inner); });
  }
}

bool BackendServer::AnswerWithoutScript(ServerExchange& exchange) const {
  const auto& request = exchange.request();
  // A call that frees a handle goes to the script of the stage that has made it.
  if (request.method() == http::verb::delete_) return false;
  const std::string id_field = absl::StrCat("Attempt-Id: ", exchange.Field("Attempt-Id"), "\r\n");
  const bool prefill = exchange.Field("Stage") == "prefill";
  const bool order = request.target() == "/order";
  const bool wrong_stage =
      !order && !options_.phase.empty() && prefill != (options_.phase == "prefill");
  if (exchange.Field("Expect-Instance") != options_.id || wrong_stage) {
    return exchange.Answer(421, id_field, ""), true;
  }
  // Engines of the cases keep their stage: another order is in progress.
  if (order) return exchange.Answer(409, "Content-Type: application/json\r\n", "{}"), true;
  return false;
}

void BackendServer::Serve(const std::shared_ptr<Tcp::socket>& socket, Yield yield) {
  boost::system::error_code error;
  socket->set_option(Tcp::no_delay(true), error);
  beast::flat_buffer buffer;
  std::string late_bytes;
  while (true) {
    http::request_parser<http::string_body> parser;
    http::async_read(*socket, buffer, parser, yield[error]);
    if (error) return;
    ServerExchange exchange(parser.release(), *socket, late_bytes, running_, options_.slots, yield);
    if (AnswerWithoutScript(exchange)) continue;
    ++running_;
    options_.script(exchange);
    --running_;
    if (exchange.closes()) return;
  }
}

}  // namespace marigoldquay::review
