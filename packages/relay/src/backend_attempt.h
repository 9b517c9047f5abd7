// Sends a request to one backend server and reads the response.
#ifndef MARIGOLDQUAY_RELAY_SRC_BACKEND_ATTEMPT_H_
#define MARIGOLDQUAY_RELAY_SRC_BACKEND_ATTEMPT_H_

#include <memory>
#include <optional>
#include <string>

#include "event_splitter.h"
#include "request_state.h"

namespace marigoldquay::internal {

/// Outcome of sending a request to a backend server.
enum class AttemptOutcome {
  /// The head of a valid response was received; the response is to be forwarded.
  kResponded,
  /// The server has not executed the request and never will.
  kNotExecuted,
  /// The server may have executed the request, but no valid response was received.
  kUnknown,
  /// The caller disconnected or the deadline passed.
  kCancelled,
};

struct AttemptOptions {
  /// Whether to open a new connection. The server may close an idle connection while the request is
  /// in transit, so requests that must not be repeated need a new one.
  bool fresh_connection = false;
  /// Timeout for sending the request and for receiving the head of the response.
  absl::Duration head_timeout = absl::InfiniteDuration();
};

/// A single exchange with a backend server. The destructor returns the connection to the pool when
/// it can be reused, and closes it otherwise.
class BackendAttempt {
 public:
  BackendAttempt(RequestState& state, Replica replica)
      : state_(state), replica_(std::move(replica)) {}
  ~BackendAttempt();
  BackendAttempt(const BackendAttempt&) = delete;
  BackendAttempt& operator=(const BackendAttempt&) = delete;

  /// Sends the request and reads the head of the response. Records the outcome in the health of the
  /// server.
  AttemptOutcome Start(const BackendCall& call, const AttemptOptions& options, Yield yield);

  /// Reads the next part of the body; empty at its end, when done() is true. An error means that
  /// the response is incomplete; so is an event stream that ends inside an event.
  ErrorOrVoid ReadSome(std::string& chunk, Yield yield);
  bool done() const { return parser_->is_done(); }
  /// Appends the rest of the body to `body`. Returns false when `body` has reached `limit` bytes,
  /// or there is no memory to keep more, before the end; it then holds the part read so far.
  ErrorOr<bool> ReadUpTo(std::size_t limit, std::string& body, Yield yield);
  /// Charges the memory for bytes of the body that are kept; false when they are too many.
  [[nodiscard]] bool KeepBody(std::size_t bytes) { return connection_->ChargeKeptBody(bytes); }

  unsigned status() const { return parser_->get().result_int(); }
  const HttpFields& fields() const { return parser_->get().base(); }
  std::optional<std::uint64_t> content_length() const;
  BodyFraming framing() const;
  const BackendResponse& response() const { return response_; }
  /// Whether the response to a request for a stream is one, by its status and content type.
  bool IsEventStream() const;
  const Replica& replica() const { return replica_; }
  /// Whether any bytes of the request may have reached the server.
  bool may_have_reached() const { return may_have_reached_; }
  /// Whether the request was not sent because the server had left by then.
  bool server_left() const { return server_left_; }
  /// Whether the connection ended before the response did, which a crash of the server looks like.
  bool connection_lost() const { return connection_lost_; }
  /// Description of the failure, for logs and error messages.
  const std::string& detail() const { return detail_; }

 private:
  ErrorOrVoid Connect(const AttemptOptions& options, Yield yield);
  ErrorOrVoid ReadFinalHead(absl::Duration timeout, Yield yield);
  // As ReadFinalHead, behind the extra responses to earlier requests of a kept connection.
  ErrorOrVoid ReadOwnHead(absl::Duration timeout, Yield yield);
  // Whether the head is that of an extra response to an earlier request of the connection.
  bool IsExtraResponse() const;
  ErrorOrVoid SkipBody(absl::Duration timeout, Yield yield);
  AttemptOutcome Fail(AttemptOutcome outcome, ReplicaOutcome health_outcome, std::string detail);
  // Fails an exchange whose request may have reached the server.
  AttemptOutcome FailExchange(const Error& error);
  AttemptOutcome CheckResponseHead();
  // Before a body of several chunks is kept, charges and allocates room for all of it, as a string
  // that grows takes up to twice its size. False when there is no memory.
  bool MakeRoom(std::size_t limit, std::string& body);
  // Whether the body has ended where its framing or its events do not allow an end.
  bool EndedInsideEvent() const;

  RequestState& state_;
  Replica replica_;
  std::unique_ptr<HttpConnection> connection_;
  std::unique_ptr<Cancellation::Hook> close_on_cancel_;
  std::optional<HttpConnection::ResponseParser> parser_;
  BackendResponse response_;
  EventBoundary event_boundary_;
  bool connection_reused_ = false;
  bool may_have_reached_ = false;
  bool server_left_ = false;
  bool connection_lost_ = false;
  absl::Time sent_at_;
  std::string detail_;
};

}  // namespace marigoldquay::internal

#endif  // MARIGOLDQUAY_RELAY_SRC_BACKEND_ATTEMPT_H_
