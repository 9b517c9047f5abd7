// Stand-in of a client.
#include "caller.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/read.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace marigoldquay::review {
namespace {

// Clients allow a new connection one second.
constexpr absl::Duration kConnectTime = absl::Seconds(1);
constexpr std::size_t kPieceBytes = std::size_t{16} * 1024;
// Bytes of a body that are kept.
constexpr std::size_t kKeptBytes = std::size_t{64} * 1024;

std::string Head(const CallerRequest& request) {
  std::string text = absl::StrCat(request.method, " ", request.path,
                                  " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: ", request.id,
                                  "\r\nDeadline-Ms: ", absl::ToInt64Milliseconds(request.time_left),
                                  "\r\nKey: ", request.key, "\r\n", request.fields);
  if (request.method == "POST") {
    absl::StrAppend(&text, "Content-Length: ", request.body.size(), "\r\n");
  }
  return text + "\r\n";
}

}  // namespace

std::string NewId() {
  static int next = 1;
  return absl::StrCat("r", next++);
}

std::string ToText(const CallerResult& result) {
  constexpr const char* kOutcomes[] = {"not connected", "answered", "closed without an answer",
                                       "left"};
  return absl::StrCat(kOutcomes[static_cast<int>(result.outcome)], " status ", result.status,
                      " after ", absl::ToInt64Milliseconds(result.ended - result.sent), " ms",
                      result.kept_connection ? " on a kept connection" : " on a new connection");
}

bool Caller::Connect(Yield yield) {
  const auto endpoint = ParseEndpoint(router_);
  stream_ = std::make_unique<beast::tcp_stream>(io_);
  buffer_.clear();
  requests_ = 0;
  boost::system::error_code error;
  stream_->expires_after(ToChrono(kConnectTime));
  stream_->async_connect(*endpoint, yield[error]);
  if (error) stream_.reset();
  return stream_ != nullptr;
}

CallerResult Caller::Call(const CallerRequest& request, Yield yield) {
  CallerResult result;
  result.sent = absl::Now();
  result.ended = result.sent;
  if (!stream_ && !Connect(yield)) {
    result.ended = absl::Now();
    return result;
  }
  result.kept_connection = requests_++ > 0;
  result.outcome = CallerOutcome::kClosed;
  const absl::Time deadline = absl::Now() + request.time_left;
  const auto allow_time = [&] {
    stream_->expires_after(ToChrono(std::min(deadline - absl::Now(), request.patience)));
  };
  http::response_parser<http::buffer_body> parser;
  parser.body_limit(boost::none);
  boost::system::error_code error;
  result.sent = absl::Now();
  allow_time();
  asio::async_write(*stream_, asio::buffer(Head(request) + request.body), yield[error]);
  if (!error) {
    allow_time();
    http::async_read_header(*stream_, buffer_, parser, yield[error]);
  }
  std::string piece(kPieceBytes, '\0');
  while (!error && !parser.is_done()) {
    result.status = parser.get().result_int();
    auto& body = parser.get().body();
    body.data = piece.data();
    body.size = piece.size();
    allow_time();
    http::async_read_some(*stream_, buffer_, parser, yield[error]);
    if (error == http::error::need_buffer) error = {};
    const std::size_t count = piece.size() - body.size;
    if (result.body.size() < kKeptBytes) result.body.append(piece, 0, count);
  }
  result.ended = absl::Now();
  if (error) {
    if (error == beast::error::timeout) result.outcome = CallerOutcome::kLeft;
    stream_.reset();
    return result;
  }
  result.status = parser.get().result_int();
  result.outcome = CallerOutcome::kAnswered;
  if (!parser.get().keep_alive()) stream_.reset();
  return result;
}

}  // namespace marigoldquay::review
