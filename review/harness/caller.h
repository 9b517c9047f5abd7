// Stand-in of a client that keeps one connection open for many requests.
#ifndef MARIGOLDQUAY_REVIEW_HARNESS_CALLER_H_
#define MARIGOLDQUAY_REVIEW_HARNESS_CALLER_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <string>

#include "marigoldquay/core/types.h"
#include "marigoldquay/net/async.h"

namespace marigoldquay::review {

/// One request of a client.
struct CallerRequest {
  std::string method = "POST";
  std::string path;
  std::string id;
  std::string key = "key-1";
  std::string body;
  /// More fields, as lines that end with CRLF.
  std::string fields;
  absl::Duration time_left = absl::Seconds(1);
  /// A client leaves a stream after a pause of this length; the whole time when infinite.
  absl::Duration patience = absl::InfiniteDuration();
};

enum class CallerOutcome {
  /// No connection could be opened; nothing was sent.
  kNotConnected,
  /// A complete answer arrived.
  kAnswered,
  /// The connection ended without a complete answer.
  kClosed,
  /// The client left at its deadline, or after a pause in a stream.
  kLeft,
};

struct CallerResult {
  CallerOutcome outcome = CallerOutcome::kNotConnected;
  unsigned status = 0;
  std::string body;
  absl::Time sent;
  absl::Time ended;
  /// Whether the connection had carried a request before this one.
  bool kept_connection = false;
};

/// Text for the record.
std::string ToText(const CallerResult& result);

class Caller {
 public:
  Caller(asio::io_context& io, Address router) : io_(io), router_(std::move(router)) {}

  /// Sends the request on the open connection, or on a new one.
  CallerResult Call(const CallerRequest& request, Yield yield);
  /// Closes the connection.
  void Close() { stream_.reset(); }

 private:
  bool Connect(Yield yield);

  asio::io_context& io_;
  const Address router_;
  std::unique_ptr<beast::tcp_stream> stream_;
  beast::flat_buffer buffer_;
  int requests_ = 0;
};

/// An id that no other request of this process has.
std::string NewId();

}  // namespace marigoldquay::review

#endif  // MARIGOLDQUAY_REVIEW_HARNESS_CALLER_H_
