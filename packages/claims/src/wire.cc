// Wire forms of requests and results of RunOnce.
#include "wire.h"

#include <memory>
#include <utility>
#include <vector>

namespace marigoldquay::internal {
namespace {

using WireHeaders = std::vector<std::unique_ptr<protocol::HeaderT>>;

WireHeaders ToWireHeaders(const HttpHeaders& headers) {
  WireHeaders wire;
  for (const auto& [name, value] : headers) {
    auto header = std::make_unique<protocol::HeaderT>();
    header->name = name;
    header->value = value;
    wire.push_back(std::move(header));
  }
  return wire;
}

HttpHeaders FromWireHeaders(const WireHeaders& wire) {
  HttpHeaders headers;
  for (const auto& header : wire) headers.emplace_back(header->name, header->value);
  return headers;
}

}  // namespace

protocol::RunOnceRequestT ToWireRequest(const OnceRequest& request, const Instance& sender) {
  protocol::RunOnceRequestT wire;
  wire.sender = ToWire(sender);
  wire.request_id = request.request_id;
  wire.workspace = request.workspace;
  wire.idempotency_key = request.idempotency_key;
  wire.pool = request.pool;
  wire.method = request.method;
  wire.target = request.target;
  wire.headers = ToWireHeaders(request.headers);
  wire.body.assign(request.body.begin(), request.body.end());
  return wire;
}

OnceRequest FromWireRequest(const protocol::RunOnceRequestT& wire) {
  OnceRequest request;
  request.request_id = wire.request_id;
  request.workspace = wire.workspace;
  request.idempotency_key = wire.idempotency_key;
  request.pool = wire.pool;
  request.method = wire.method;
  request.target = wire.target;
  request.headers = FromWireHeaders(wire.headers);
  request.body.assign(wire.body.begin(), wire.body.end());
  return request;
}

protocol::RunOnceReplyT ToWireReply(const OnceResult& result) {
  protocol::RunOnceReplyT wire;
  switch (result.outcome) {
    case OnceOutcome::kAnswered:
      wire.outcome = protocol::RunOutcome::Answered;
      break;
    case OnceOutcome::kNotRun:
      wire.outcome = protocol::RunOutcome::NotRun;
      break;
    case OnceOutcome::kBodyMismatch:
      wire.outcome = protocol::RunOutcome::BodyMismatch;
      break;
    case OnceOutcome::kUnknown:
      wire.outcome = protocol::RunOutcome::Unknown;
      break;
  }
  wire.status = static_cast<std::uint16_t>(result.status);
  wire.headers = ToWireHeaders(result.headers);
  wire.body.assign(result.body.begin(), result.body.end());
  wire.retry_after_ms = static_cast<std::uint32_t>(absl::ToInt64Milliseconds(result.retry_after));
  wire.message = result.message;
  return wire;
}

OnceResult FromWireReply(const protocol::RunOnceReplyT& wire) {
  OnceResult result;
  switch (wire.outcome) {
    case protocol::RunOutcome::Answered:
      result.outcome = OnceOutcome::kAnswered;
      break;
    case protocol::RunOutcome::NotRun:
      result.outcome = OnceOutcome::kNotRun;
      break;
    case protocol::RunOutcome::BodyMismatch:
      result.outcome = OnceOutcome::kBodyMismatch;
      break;
    default:
      // Also outcomes that a newer release has added: nothing may be claimed about those.
      result.outcome = OnceOutcome::kUnknown;
      break;
  }
  result.status = wire.status;
  result.headers = FromWireHeaders(wire.headers);
  result.body.assign(wire.body.begin(), wire.body.end());
  result.retry_after = absl::Milliseconds(wire.retry_after_ms);
  result.message = wire.message;
  return result;
}

}  // namespace marigoldquay::internal
