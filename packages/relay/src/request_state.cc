// Error responses of the router and server state taken from responses.
#include "request_state.h"

#include <algorithm>
#include <boost/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "marigoldquay/core/metrics.h"

namespace marigoldquay::internal {
namespace {

constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;
// The list is read or received about every second while the store and the coordinator can be
// reached.
constexpr absl::Duration kRecentList = absl::Milliseconds(1500);
constexpr absl::Duration kStartQueryTimeout = absl::Milliseconds(150);
constexpr char kStoppingReason[] = "this VM is shutting down";
// Other VMs take the request at once.
constexpr absl::Duration kStoppingRetryAfter = absl::Milliseconds(50);
// A crashed server closes its connections just before it stops to listen.
constexpr absl::Duration kCrashProbeDelay = absl::Milliseconds(20);
constexpr absl::Duration kCrashProbeTimeout = absl::Milliseconds(250);
// Fraction of the connection limit of a backend server that may be idle, over all VMs. A server
// resets connections beyond its limit, and a request on a reset connection counts as executed.
constexpr double kMaxIdleFraction = 0.3;

// A response without a limit ends one that was stated before the request was sent; it says nothing
// about a later one, because responses on different connections may overtake each other.
void RecordRequestLimit(const RequestState& state, const Replica& server,
                        const BackendResponse& response, absl::Time sent_at) {
  if (response.wrong_instance) return;
  if (response.malformed_request_limit) {
    RelayLog().Event(
        "backend_server_limit_skipped",
        LogFields().Add("request_id", state.metadata.id).Add("backend_server", server.id),
        LogLevel::kWarn);
    return;
  }
  if (response.request_limit) {
    state.context.on_request_limit(
        {server.id, server.started_unix_ms, {response.request_limit, state.Now()}});
  } else if (response.successful && response.request_id == state.metadata.id) {
    state.context.on_request_limit({server.id, server.started_unix_ms, {std::nullopt, sent_at}});
  }
}

// Whether an error response of the router with this status means that the request has not run.
bool IsSentBeforeRun(unsigned status) { return status == 503 || (status >= 400 && status < 500); }

}  // namespace

bool PromisesNotRun(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

bool IsForOtherRequest(const RequestState& state, const BackendResponse& response) {
  return !response.request_id.empty() && !state.metadata.id.empty() &&
         response.request_id != state.metadata.id;
}

const Logger& RelayLog() {
  static const Logger logger("relay");
  return logger;
}

std::size_t RequestState::MaxIdleConnections() const {
  if (service->max_connections <= 0) return ConnectionPool::kMaxIdlePerPeer;
  const double share = kMaxIdleFraction * service->max_connections /
                       static_cast<double>(std::max<std::size_t>(context.member_count(), 1));
  return std::clamp<std::size_t>(static_cast<std::size_t>(share), 1,
                                 ConnectionPool::kMaxIdlePerPeer);
}

absl::Duration RequestState::QuarantineTimeLeft() const {
  std::vector<RequestTrait> traits = metadata.shared_parts;
  traits.push_back(fingerprint);
  return context.crash_guard.QuarantineTimeLeft(traits);
}

void SendError(RequestState& state, unsigned status, absl::string_view reason,
               absl::Duration retry_after, Yield yield) {
  state.status = status;
  state.outcome = std::string(reason);
  HttpFields fields;
  fields.set(http::field::content_type, "application/json");
  if (retry_after > absl::ZeroDuration()) {
    fields.set(http::field::retry_after,
               absl::StrFormat("%.2f", absl::ToDoubleSeconds(retry_after)));
  }
  boost::json::object body;
  body["error"] = {{"message", std::string(reason)}};
  body["outcome"] = IsSentBeforeRun(status) ? "not_run" : "unknown";
  body["request_id"] = state.metadata.id;
  const auto sent = state.reply.SendReply(status, fields, boost::json::serialize(body), yield);
  if (!sent) state.outcome = absl::StrCat(reason, "; ", sent.error().message);
}

void CountBackendRequest(const BackendServerId& server) {
  MetricsRegistry::Global()
      .counter("marigoldquay_relay_backend_requests_total",
               "Requests sent to backend servers, including repeated ones.",
               {{"backend_server", server}})
      .Increment();
}

void RecordServerState(const RequestState& state, const Replica& server,
                       const BackendResponse& response, absl::Time sent_at) {
  RecordRequestLimit(state, server, response, sent_at);
  if (response.draining) state.context.on_draining_server(server.id);
  if (!response.retry_after) return;
  state.context.health.RecordRetryAfter(server.id, state.Now() + *response.retry_after);
  LogFields fields;
  fields.Add("request_id", state.metadata.id)
      .Add("backend_server", server.id)
      .Add("retry_after_ms", *response.retry_after);
  RelayLog().Event("backend_server_refuses", fields);
}

bool MayReceiveRequests(const FrontContext& context, const Replica& server) {
  const Replica* listed = context.cluster.replicas().Find(server.id);
  return listed != nullptr && !listed->draining && listed->address == server.address &&
         listed->software_version == server.software_version;
}

bool IsListRecent(const FrontContext& context) {
  return context.clock.Now() - context.servers_read_at() <= kRecentList;
}

bool IsStartCertain(const FrontContext& context, const Replica& server, Yield yield) {
  if (IsListRecent(context)) return true;
  const auto reply = CallHttp(context.connections, server.address,
                              context.dialect.MakeStartQuery(server), kStartQueryTimeout, yield);
  return reply && context.dialect.DecodeStart(*reply) == server.started_unix_ms;
}

bool HasCrashed(const FrontContext& context, const Address& server, Yield yield) {
  SleepFor(context.io, kCrashProbeDelay, yield);
  const auto connection = context.connections.MakeNew(server);
  const auto connected = connection->Connect(kCrashProbeTimeout, yield);
  connection->Close();
  return !connected;
}

ServerCrash MakeServerCrash(const RequestState& state, const BackendServerId& server) {
  return {server, state.metadata.shared_parts, state.Now(), state.fingerprint};
}

void CheckForCrash(const RequestState& state, const Replica& server) {
  const auto& context = state.context;
  SpawnFiber(
      context.io, "check backend server",
      [&context, crash = MakeServerCrash(state, server.id), address = server.address](Yield yield) {
        if (HasCrashed(context, address, yield)) context.crash_guard.OnCrash(crash);
      });
}

void EndAsStopping(RequestState& state, Yield yield) {
  if (state.reply.started()) {
    state.outcome = absl::StrCat("stream interrupted: ", kStoppingReason);
    state.reply.Abort();
    return;
  }
  state.reply.CloseAfterReply();
  if (state.execution_count > 0) {
    SendError(state, kBadGateway, absl::StrCat("no valid response: ", kStoppingReason),
              absl::ZeroDuration(), yield);
    return;
  }
  SendError(state, kUnavailable, kStoppingReason, kStoppingRetryAfter, yield);
}

void HandleCancellation(RequestState& state, Yield yield) {
  if (state.cancellation.cause() == CancelCause::kStopping) return EndAsStopping(state, yield);
  if (state.cancellation.cause() == CancelCause::kCallerDisconnected) {
    state.outcome = "caller disconnected";
    state.reply.Abort();
    return;
  }
  if (state.reply.started()) {
    state.outcome = "deadline exceeded while sending the response";
    state.reply.Abort();
    return;
  }
  SendError(state, kGatewayTimeout, "no response before the deadline", absl::ZeroDuration(), yield);
}

}  // namespace marigoldquay::internal
