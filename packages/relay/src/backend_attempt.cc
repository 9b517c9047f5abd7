// Exchange of a request and a response with one backend server.
#include "backend_attempt.h"

#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace marigoldquay::internal {
namespace {

// A lost SYN packet is only retransmitted after a second, so a new connection is attempted much
// earlier.
constexpr absl::Duration kConnectTimeout = absl::Milliseconds(120);
constexpr int kMaxConnectAttempts = 2;
// Largest body of an extra response that is skipped.
constexpr std::size_t kMaxExtraBytes = std::size_t{256} * 1024;

}  // namespace

BackendAttempt::~BackendAttempt() {
  close_on_cancel_.reset();
  if (!connection_) return;
  const bool reusable = parser_ && parser_->is_done() && parser_->keep_alive();
  if (!reusable || !connection_->open()) {
    connection_->Close();
    return;
  }
  connection_->keep_alive = response_.keep_alive;
  state_.context.connections.Put(std::move(connection_), state_.MaxIdleConnections());
}

AttemptOutcome BackendAttempt::Fail(AttemptOutcome outcome, ReplicaOutcome health_outcome,
                                    std::string detail) {
  detail_ = std::move(detail);
  if (connection_) connection_->Close();
  if (state_.cancellation.cancelled()) return AttemptOutcome::kCancelled;
  state_.context.health.Record(replica_.id, health_outcome, state_.Now());
  return outcome;
}

AttemptOutcome BackendAttempt::FailExchange(const Error& error) {
  connection_lost_ = error.code == ErrorCode::kUnavailable;
  return Fail(AttemptOutcome::kUnknown, ReplicaOutcome::kUnreachable, error.ToString());
}

ErrorOrVoid BackendAttempt::Connect(const AttemptOptions& options, Yield yield) {
  auto& pool = state_.context.connections;
  if (!options.fresh_connection) connection_ = pool.TakeIdle(replica_.address);
  connection_reused_ = connection_ != nullptr;
  ErrorOrVoid connected = std::monostate();
  for (int i = 0; i < kMaxConnectAttempts && !connection_; ++i) {
    connection_ = pool.MakeNew(replica_.address);
    const Cancellation::Hook hook(state_.cancellation, [this] { connection_->Close(); });
    connected = connection_->Connect(kConnectTimeout, yield);
    if (connected || state_.cancellation.cancelled()) break;
    if (i + 1 < kMaxConnectAttempts) connection_ = nullptr;
  }
  return connected;
}

ErrorOrVoid BackendAttempt::ReadFinalHead(absl::Duration timeout, Yield yield) {
  for (int heads = 0; heads <= HttpConnection::kMaxInterimResponses; ++heads) {
    parser_.emplace();
    if (state_.request.method() == http::verb::head) parser_->skip(true);
    auto read = connection_->ReadHeader(*parser_, timeout, yield);
    const bool interim = read && status() >= 100 && status() < 200;
    if (!interim) return read;
  }
  return Error{ErrorCode::kProtocol, "read response head", replica_.address,
               "too many interim responses"};
}

bool BackendAttempt::IsExtraResponse() const {
  return connection_reused_ && framing() != BodyFraming::kConnectionEnd &&
         IsForOtherRequest(state_, state_.context.dialect.DecodeResponse(status(), fields()));
}

ErrorOrVoid BackendAttempt::SkipBody(absl::Duration timeout, Yield yield) {
  std::string chunk;
  for (std::size_t size = 0; !done(); size += chunk.size()) {
    if (size > kMaxExtraBytes) {
      return Error{ErrorCode::kProtocol, "skip extra response", replica_.address, "too large"};
    }
    auto read = connection_->ReadSome(*parser_, chunk, timeout, yield);
    if (!read) return read;
  }
  return std::monostate();
}

ErrorOrVoid BackendAttempt::ReadOwnHead(absl::Duration timeout, Yield yield) {
  auto read = ReadFinalHead(timeout, yield);
  for (int skipped = 0; skipped < kMaxExtraResponses && read && IsExtraResponse(); ++skipped) {
    read = SkipBody(timeout, yield);
    if (read) read = ReadFinalHead(timeout, yield);
  }
  return read;
}

AttemptOutcome BackendAttempt::Start(const BackendCall& call, const AttemptOptions& options,
                                     Yield yield) {
  state_.last_server = replica_.id;
  state_.context.health.OnPicked(replica_.id, state_.Now());
  const auto connected = Connect(options, yield);
  if (!connected) {
    return Fail(AttemptOutcome::kNotExecuted, ReplicaOutcome::kUnreachable,
                connected.error().ToString());
  }
  if (state_.cancellation.cancelled()) return AttemptOutcome::kCancelled;
  if (!MayReceiveRequests(state_.context, replica_)) {
    server_left_ = true;
    detail_ = absl::StrCat("backend server ", replica_.id, " left before the request was sent");
    return AttemptOutcome::kNotExecuted;
  }
  close_on_cancel_ =
      std::make_unique<Cancellation::Hook>(state_.cancellation, [this] { connection_->Close(); });
  may_have_reached_ = true;
  sent_at_ = state_.Now();
  CountBackendRequest(replica_.id);
  const ForwardedRequest request = state_.context.dialect.MakeBackendRequest(state_.request, call);
  const auto sent = connection_->Send(request, options.head_timeout, yield);
  if (!sent) return FailExchange(sent.error());
  const auto read = ReadOwnHead(options.head_timeout, yield);
  if (!read) return FailExchange(read.error());
  return CheckResponseHead();
}

AttemptOutcome BackendAttempt::CheckResponseHead() {
  response_ = state_.context.dialect.DecodeResponse(status(), fields());
  RecordServerState(state_, replica_, response_, sent_at_);
  if (response_.load) {
    state_.context.balancer.OnLoad(replica_.id, *response_.load, state_.Now());
  }
  // On a connection that has carried another request, a refusal that names no request may be an
  // earlier one that the server has sent once more.
  const bool may_be_earlier_refusal =
      response_.not_executed && response_.request_id.empty() && connection_reused_;
  if (may_be_earlier_refusal) {
    return Fail(AttemptOutcome::kUnknown, ReplicaOutcome::kOverloaded,
                "refusal on a reused connection names no request");
  }
  if (IsForOtherRequest(state_, response_)) {
    return Fail(AttemptOutcome::kUnknown, ReplicaOutcome::kUnreachable,
                absl::StrCat("response belongs to request ", response_.request_id));
  }
  if (response_.not_executed) {
    detail_ = absl::StrCat("request not executed, status ", status());
    if (response_.wrong_instance) {
      state_.context.health.RecordReplaced(replica_.id);
    } else {
      state_.context.health.Record(replica_.id, ReplicaOutcome::kOverloaded, state_.Now());
    }
    connection_->Close();
    return AttemptOutcome::kNotExecuted;
  }
  if (response_.has_content_encoding) {
    return Fail(AttemptOutcome::kUnknown, ReplicaOutcome::kUnreachable,
                "response has a content encoding");
  }
  if (response_.successful && !response_.has_signature) {
    return Fail(AttemptOutcome::kUnknown, ReplicaOutcome::kUnreachable,
                "response has no signature");
  }
  // The caller would take the status for the promise that it may send the request again. The server
  // has not given it: it may have run the request and failed afterwards.
  if (PromisesNotRun(status()) && !state_.MayRunAgain()) {
    return Fail(AttemptOutcome::kUnknown, ReplicaOutcome::kServerError,
                absl::StrCat("status ", status(), " without a statement that it was not executed"));
  }
  state_.framing = framing();
  const bool server_error = status() >= 500;
  state_.context.health.Record(
      replica_.id, server_error ? ReplicaOutcome::kServerError : ReplicaOutcome::kSuccess,
      state_.Now());
  return AttemptOutcome::kResponded;
}

std::optional<std::uint64_t> BackendAttempt::content_length() const {
  const auto length = parser_->content_length();
  if (!length) return std::nullopt;
  return *length;
}

bool BackendAttempt::IsEventStream() const {
  if (state_.route->kind != RequestKind::kStream || !response_.successful) return false;
  const auto type = ToAbsl(fields()[http::field::content_type]);
  return type.empty() || absl::StartsWithIgnoreCase(type, "text/event-stream");
}

bool BackendAttempt::EndedInsideEvent() const {
  if (!done() || !IsEventStream() || event_boundary_.at_end_of_event()) return false;
  // Without a length or chunks, a stream without any event may have been cut after its head.
  return framing() == BodyFraming::kConnectionEnd || !event_boundary_.empty();
}

BodyFraming BackendAttempt::framing() const {
  if (parser_->chunked()) return BodyFraming::kChunks;
  return parser_->need_eof() ? BodyFraming::kConnectionEnd : BodyFraming::kLength;
}

ErrorOrVoid BackendAttempt::ReadSome(std::string& chunk, Yield yield) {
  auto read = connection_->ReadSome(*parser_, chunk, absl::InfiniteDuration(), yield);
  event_boundary_.Append(chunk);
  if (read && EndedInsideEvent()) {
    read = Error{ErrorCode::kProtocol, "read response body", replica_.address,
                 "the stream ended inside an event"};
  }
  if (!read) {
    connection_lost_ = read.error().code == ErrorCode::kUnavailable || EndedInsideEvent();
    detail_ = read.error().ToString();
    connection_->Close();
  }
  return read;
}

bool BackendAttempt::MakeRoom(std::size_t limit, std::string& body) {
  const std::size_t size = limit + HttpConnection::kMaxChunkBytes;
  if (body.empty() || body.capacity() >= size) return true;
  if (!KeepBody(size)) return false;
  body.reserve(size);
  return true;
}

ErrorOr<bool> BackendAttempt::ReadUpTo(std::size_t limit, std::string& body, Yield yield) {
  std::string chunk;
  while (!done()) {
    if (body.size() >= limit || !MakeRoom(limit, body)) return false;
    const auto read = ReadSome(chunk, yield);
    if (!read) return read.error();
    body += chunk;
  }
  return true;
}

}  // namespace marigoldquay::internal
