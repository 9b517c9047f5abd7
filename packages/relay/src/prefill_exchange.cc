// Exchange with the prefill engine of a placement.
#include "prefill_exchange.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace marigoldquay::internal {
namespace {

// A prefill is abandoned when it takes longer than its predicted time multiplied by this factor,
// plus the slack.
constexpr double kPrefillTimeoutFactor = 3.0;
constexpr absl::Duration kPrefillTimeoutSlack = absl::Milliseconds(300);
constexpr absl::Duration kPrefillConnectTimeout = absl::Milliseconds(120);
constexpr absl::Duration kReleaseTimeout = absl::Milliseconds(500);

}  // namespace

std::unique_ptr<PendingKvCache> PrefillExchange::Run(const StreamPlacement& placement,
                                                     Yield yield) {
  const Replica* listed = state_.context.cluster.replicas().Find(*placement.prefill);
  if (listed == nullptr || listed->draining) {
    state_.context.placer.OnPrefillEnd(placement, false);
    return nullptr;
  }
  const Replica engine = *listed;
  const absl::Time started = state_.Now();
  auto result = Send(engine, placement, yield);
  if (state_.cancellation.cancelled() && !result) return nullptr;
  state_.context.placer.OnPrefillEnd(placement, result.ok());
  LogFields fields;
  fields.Add("request_id", state_.metadata.id)
      .Add("engine", engine.id)
      .Add("expected_ms", placement.expected)
      .Add("took_ms", state_.Now() - started)
      .Add("outcome", result ? "read" : result.error().ToString());
  RelayLog().Event("prefill", fields);
  if (!result) return nullptr;
  return std::make_unique<PendingKvCache>(PendingKvCache{engine.address, std::move(*result)});
}

ErrorOr<PrefillHandle> PrefillExchange::Send(const Replica& engine,
                                             const StreamPlacement& placement, Yield yield) {
  const absl::Duration timeout = placement.expected * kPrefillTimeoutFactor + kPrefillTimeoutSlack;
  BackendCall call;
  call.expected_server = engine.id;
  call.time_left = state_.TimeLeft();
  call.workspace = state_.workspace_name();
  call.prefill_only = true;
  auto& pool = state_.context.connections;
  auto connection = pool.TakeIdle(engine.address);
  const bool fresh = connection == nullptr;
  if (fresh) connection = pool.MakeNew(engine.address);
  const Cancellation::Hook hook(state_.cancellation, [&] { connection->Close(); });
  if (fresh) {
    const auto connected = connection->Connect(kPrefillConnectTimeout, yield);
    if (!connected) return connected.error();
  }
  if (!MayReceiveRequests(state_.context, engine)) {
    return Error{ErrorCode::kNotSent, "read prompt", engine.address,
                 "the engine left before the prompt was sent"};
  }
  const absl::Time sent_at = state_.Now();
  CountBackendRequest(engine.id);
  const auto sent = connection->Send(
      state_.context.dialect.MakeBackendRequest(state_.request, call), timeout, yield);
  if (!sent) return sent.error();
  const auto reply = ReadOwnReply(*connection, fresh, timeout, yield);
  if (!reply) {
    CountPrefill(true);
    if (reply.error().code == ErrorCode::kUnavailable) CheckForCrash(state_, engine);
    return reply.error();
  }
  const auto response = state_.context.dialect.DecodeResponse(reply->status, reply->fields);
  const bool is_own = !IsForOtherRequest(state_, response);
  // A faulty engine may send a refusal once more, to the next request of the connection.
  const bool reusable = is_own && connection->open() && !response.not_executed;
  CountPrefill(!response.not_executed);
  if (reusable) pool.Put(std::move(connection), state_.MaxIdleConnections());
  RecordServerState(state_, engine, response, sent_at);
  if (!is_own) {
    return Error{ErrorCode::kProtocol, "read prompt", engine.address,
                 "response belongs to another request"};
  }
  return state_.context.dialect.DecodePrefill(*reply, engine.address);
}

ErrorOr<HttpReply> PrefillExchange::ReadOwnReply(HttpConnection& connection, bool fresh,
                                                 absl::Duration timeout, Yield yield) const {
  const auto read = [&] {
    return connection.ReadReply(HttpConnection::kMaxShortReplyBytes, timeout, yield);
  };
  auto reply = read();
  for (int skipped = 0; skipped < kMaxExtraResponses && reply && !fresh; ++skipped) {
    const auto response = state_.context.dialect.DecodeResponse(reply->status, reply->fields);
    if (!connection.open() || !IsForOtherRequest(state_, response)) break;
    reply = read();
  }
  return reply;
}

void PrefillExchange::CountPrefill(bool accepted) {
  state_.prompt_processed |= accepted;
  if (accepted && !std::exchange(accepted_, true)) return;
  budget_.OnRetry(state_.Now());
}

void ReleaseKvCache(const RequestState& state, std::unique_ptr<PendingKvCache> cache) {
  if (!cache) return;
  const auto& context = state.context;
  SpawnFiber(context.io, "release KV cache",
             [&context, request_id = state.metadata.id, cache = std::move(cache)](Yield yield) {
               const auto request =
                   context.dialect.MakePrefillRelease(cache->prefill, cache->engine);
               const auto reply =
                   CallHttp(context.connections, cache->engine, request, kReleaseTimeout, yield);
               LogFields fields;
               fields.Add("request_id", request_id)
                   .Add("engine", cache->engine)
                   .Add("outcome",
                        reply ? absl::StrCat("status ", reply->status) : reply.error().ToString());
               RelayLog().Event("kv_cache_release", fields);
             });
}

}  // namespace marigoldquay::internal
