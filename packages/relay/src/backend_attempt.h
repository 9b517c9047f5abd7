// One send of a request to one backend server, and the reading of its answer.
#ifndef MARIGOLDQUAY_RELAY_SRC_BACKEND_ATTEMPT_H_
#define MARIGOLDQUAY_RELAY_SRC_BACKEND_ATTEMPT_H_

#include <memory>
#include <optional>
#include <string>

#include "request_state.h"

namespace marigoldquay::internal {

/// What a send came to.
enum class AttemptEnd {
  /// The head of an answer to this request is there and the answer is to be passed on.
  kAnswered,
  /// The request has not run at this server and never will.
  kNotRun,
  /// The request may have run; no usable answer came.
  kUnknown,
  /// The caller left or the time is up.
  kCancelled,
};

struct AttemptOptions {
  /// A connection that was idle may be closed by the server while the request is on its way, so
  /// requests that must not be repeated go on a new one.
  bool fresh_connection = false;
  /// Longest wait for the head of the answer.
  absl::Duration head_timeout = absl::InfiniteDuration();
};

class BackendAttempt {
 public:
  BackendAttempt(RequestState& state, Replica replica)
      : state_(state), replica_(std::move(replica)) {}
  ~BackendAttempt();
  BackendAttempt(const BackendAttempt&) = delete;
  BackendAttempt& operator=(const BackendAttempt&) = delete;

  /// Sends the request and reads the head of the answer. Records the server's health.
  AttemptEnd Open(const BackendCall& call, const AttemptOptions& options, Yield yield);

  /// Reads some of the body; empty with done() at its end. On failure the answer is incomplete.
  ErrorOrVoid ReadSome(std::string& piece, Yield yield);
  bool done() const { return parser_->is_done(); }
  /// Reads the rest of an answer of at most `limit` bytes; nullopt when it is longer, with what was
  /// read so far in `body`.
  ErrorOr<bool> ReadUpTo(std::size_t limit, std::string& body, Yield yield);

  unsigned status() const { return parser_->get().result_int(); }
  const HttpFields& fields() const { return parser_->get().base(); }
  std::optional<std::uint64_t> content_length() const;
  const BackendAnswer& answer() const { return answer_; }
  const Replica& replica() const { return replica_; }
  /// Whether bytes of the request may have reached the server.
  bool reached() const { return reached_; }
  /// What went wrong, for the log.
  const std::string& detail() const { return detail_; }

 private:
  ErrorOrVoid Connect(const AttemptOptions& options, Yield yield);
  ErrorOrVoid ReadFinalHead(absl::Duration timeout, Yield yield);
  AttemptEnd Fail(AttemptEnd end, ReplicaOutcome outcome, std::string detail);
  AttemptEnd CheckHead();

  RequestState& state_;
  Replica replica_;
  std::unique_ptr<HttpConnection> connection_;
  std::unique_ptr<Cancellation::Hook> close_on_cancel_;
  std::optional<HttpConnection::ResponseParser> parser_;
  BackendAnswer answer_;
  bool reached_ = false;
  std::string detail_;
};

}  // namespace marigoldquay::internal

#endif  // MARIGOLDQUAY_RELAY_SRC_BACKEND_ATTEMPT_H_
