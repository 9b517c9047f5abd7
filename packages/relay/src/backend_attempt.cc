// One send of a request to one backend server.
#include "backend_attempt.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace marigoldquay::internal {
namespace {

// Opening packets are lost at times and only sent again after a second, so a new connection is
// tried soon.
constexpr absl::Duration kConnectTimeout = absl::Milliseconds(120);
constexpr int kConnectTries = 2;
// A server in trouble may send interim heads without end.
constexpr int kMaxInterimHeads = 8;

bool IsSuccess(unsigned status) { return status >= 200 && status < 300; }

}  // namespace

BackendAttempt::~BackendAttempt() {
  close_on_cancel_.reset();
  if (!connection_) return;
  const bool whole = parser_ && parser_->is_done() && parser_->keep_alive();
  if (!whole || !connection_->open()) {
    connection_->Close();
    return;
  }
  connection_->keep_alive = answer_.keep_alive;
  state_.context.connections.Put(std::move(connection_), state_.MaxIdleConnections());
}

AttemptEnd BackendAttempt::Fail(AttemptEnd end, ReplicaOutcome outcome, std::string detail) {
  detail_ = std::move(detail);
  if (connection_) connection_->Close();
  if (state_.cancellation.cancelled()) return AttemptEnd::kCancelled;
  state_.context.health.Record(replica_.id, outcome, state_.Now());
  return end;
}

ErrorOrVoid BackendAttempt::Connect(const AttemptOptions& options, Yield yield) {
  auto& pool = state_.context.connections;
  if (!options.fresh_connection) connection_ = pool.TakeIdle(replica_.address);
  ErrorOrVoid connected = std::monostate();
  for (int i = 0; i < kConnectTries && !connection_; ++i) {
    connection_ = pool.MakeNew(replica_.address);
    const Cancellation::Hook hook(state_.cancellation, [this] { connection_->Close(); });
    connected = connection_->Connect(kConnectTimeout, yield);
    if (connected || state_.cancellation.cancelled()) break;
    if (i + 1 < kConnectTries) connection_ = nullptr;
  }
  return connected;
}

ErrorOrVoid BackendAttempt::ReadFinalHead(absl::Duration timeout, Yield yield) {
  for (int heads = 0; heads <= kMaxInterimHeads; ++heads) {
    parser_.emplace();
    if (state_.request.method() == http::verb::head) parser_->skip(true);
    auto read = connection_->ReadHead(*parser_, timeout, yield);
    const bool interim = read && status() >= 100 && status() < 200;
    if (!interim) return read;
  }
  return Error{ErrorCode::kProtocol, "read answer head", replica_.address,
               "too many interim answers"};
}

AttemptEnd BackendAttempt::Open(const BackendCall& call, const AttemptOptions& options,
                                Yield yield) {
  state_.last_server = replica_.id;
  state_.context.health.OnPicked(replica_.id, state_.Now());
  const auto connected = Connect(options, yield);
  if (!connected) {
    return Fail(AttemptEnd::kNotRun, ReplicaOutcome::kUnreachable, connected.error().ToString());
  }
  if (state_.cancellation.cancelled()) return AttemptEnd::kCancelled;
  close_on_cancel_ =
      std::make_unique<Cancellation::Hook>(state_.cancellation, [this] { connection_->Close(); });
  reached_ = true;
  const HttpRequest request = state_.context.dialect.MakeBackendRequest(state_.request, call);
  const auto sent = connection_->Send(request, options.head_timeout, yield);
  if (!sent) {
    return Fail(AttemptEnd::kUnknown, ReplicaOutcome::kUnreachable, sent.error().ToString());
  }
  const auto read = ReadFinalHead(options.head_timeout, yield);
  if (!read) {
    return Fail(AttemptEnd::kUnknown, ReplicaOutcome::kUnreachable, read.error().ToString());
  }
  return CheckHead();
}

AttemptEnd BackendAttempt::CheckHead() {
  answer_ = state_.context.dialect.DecodeAnswer(status(), fields());
  RecordServerState(state_, replica_.id, answer_);
  if (answer_.load) {
    state_.context.balancer.OnLoad(replica_.id, *answer_.load, state_.Now());
  }
  const bool answers_other = !answer_.request_id.empty() && !state_.caller.id.empty() &&
                             answer_.request_id != state_.caller.id;
  if (answers_other) {
    return Fail(AttemptEnd::kUnknown, ReplicaOutcome::kUnreachable,
                absl::StrCat("answer to request ", answer_.request_id));
  }
  if (answer_.not_run) {
    detail_ = absl::StrCat("not run, status ", status());
    if (answer_.wrong_server) {
      state_.context.health.RecordReplaced(replica_.id);
    } else {
      state_.context.health.Record(replica_.id, ReplicaOutcome::kOverloaded, state_.Now());
    }
    connection_->Close();
    return AttemptEnd::kNotRun;
  }
  if (answer_.encoded) {
    return Fail(AttemptEnd::kUnknown, ReplicaOutcome::kUnreachable, "encoded answer");
  }
  if (IsSuccess(status()) && !answer_.sealed) {
    return Fail(AttemptEnd::kUnknown, ReplicaOutcome::kUnreachable, "answer without signature");
  }
  const bool server_error = status() >= 500;
  state_.context.health.Record(
      replica_.id, server_error ? ReplicaOutcome::kServerError : ReplicaOutcome::kSuccess,
      state_.Now());
  return AttemptEnd::kAnswered;
}

std::optional<std::uint64_t> BackendAttempt::content_length() const {
  const auto length = parser_->content_length();
  if (!length) return std::nullopt;
  return *length;
}

ErrorOrVoid BackendAttempt::ReadSome(std::string& piece, Yield yield) {
  auto read = connection_->ReadSome(*parser_, piece, absl::InfiniteDuration(), yield);
  if (!read) {
    detail_ = read.error().ToString();
    connection_->Close();
  }
  return read;
}

ErrorOr<bool> BackendAttempt::ReadUpTo(std::size_t limit, std::string& body, Yield yield) {
  std::string piece;
  while (!done()) {
    if (body.size() >= limit) return false;
    const auto read = ReadSome(piece, yield);
    if (!read) return read.error();
    body += piece;
  }
  return true;
}

}  // namespace marigoldquay::internal
