// Answers of the router's own.
#include "request_state.h"

#include <algorithm>
#include <boost/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace marigoldquay::internal {
namespace {

constexpr unsigned kGatewayTimeout = 504;
// Part of the connections of a backend server that may be idle, over all VMs. A server resets
// connections beyond its limit, and the request on a reset one counts as run.
constexpr double kIdlePart = 0.3;

// Whether the status promises that the request has not run and never will.
bool PromisesNotRun(unsigned status) {
  return status == 429 || status == 503 || status == 408 || status == 421 ||
         (status >= 400 && status < 500);
}

}  // namespace

const Logger& RelayLog() {
  static const Logger logger("relay");
  return logger;
}

std::size_t RequestState::MaxIdleConnections() const {
  if (service->max_connections <= 0) return ConnectionPool::kMaxIdlePerPeer;
  const double part = kIdlePart * service->max_connections /
                      static_cast<double>(std::max<std::size_t>(context.member_count(), 1));
  return std::clamp<std::size_t>(static_cast<std::size_t>(part), 1,
                                 ConnectionPool::kMaxIdlePerPeer);
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
  body["outcome"] = PromisesNotRun(status) ? "not_run" : "unknown";
  body["request_id"] = state.caller.id;
  const auto sent = state.reply.SendReply(status, fields, boost::json::serialize(body), yield);
  if (!sent) state.outcome = absl::StrCat(reason, "; ", sent.error().message);
}

void RecordServerState(const RequestState& state, const BackendServerId& server,
                       const BackendAnswer& answer) {
  if (answer.leaving) state.context.on_leaving_server(server);
  if (!answer.retry_after) return;
  state.context.health.RecordRetryAfter(server, state.Now() + *answer.retry_after);
  LogFields fields;
  fields.Add("request_id", state.caller.id)
      .Add("backend_server", server)
      .Add("retry_after_ms", *answer.retry_after);
  RelayLog().Event("backend_server_refuses", fields);
}

void EndCancelled(RequestState& state, Yield yield) {
  if (state.cancellation.cause() == CancelCause::kCallerDisconnected) {
    state.outcome = "caller left";
    state.reply.Abort();
    return;
  }
  if (state.reply.started()) {
    state.outcome = "time-out in the middle of the answer";
    state.reply.Abort();
    return;
  }
  SendError(state, kGatewayTimeout, "no answer in time", absl::ZeroDuration(), yield);
}

}  // namespace marigoldquay::internal
