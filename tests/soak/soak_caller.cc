// Callers of a soak run.
#include "soak_caller.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace marigoldquay::testing {
namespace {

constexpr absl::Duration kConnectTimeout = absl::Seconds(1);
constexpr absl::Duration kDeadline = absl::Seconds(4);
constexpr absl::Duration kPause = absl::Milliseconds(20);
constexpr int kPercent = 100;
constexpr int kLeaveEarlyPercent = 5;
constexpr int kNewConnectionPercent = 20;

std::string Path(const CallRecord& call) {
  switch (call.kind) {
    case CallKind::kOrder:
      return "/order/x";
    case CallKind::kStatus:
      return "/status/x";
    case CallKind::kStream:
      return "/stream/x";
    case CallKind::kOnce:
      return "/once/x";
    case CallKind::kVersion:
      return absl::StrCat("/v", call.version, "/x");
  }
  return "/";
}

}  // namespace

CallRecord SoakCaller::MakeCall() {
  constexpr CallKind kLimited[] = {CallKind::kOrder, CallKind::kOrder, CallKind::kOnce};
  CallRecord call;
  call.id = NewRequestId();
  call.workspace = absl::StrCat("w", workspace_);
  call.vm = Draw(static_cast<int>(log_.incarnations.size()));
  call.incarnation = log_.incarnations[static_cast<std::size_t>(call.vm)];
  call.kind = workspace_ == 2 ? kLimited[Draw(3)] : static_cast<CallKind>(Draw(5));
  if (call.kind == CallKind::kVersion) {
    call.version = log_.versions[static_cast<std::size_t>(
        Draw(static_cast<int>(std::min<std::size_t>(log_.versions.size(), 3))))];
  }
  call.left_early = Draw(kPercent) < kLeaveEarlyPercent;
  call.started = absl::Now();
  return call;
}

HttpRequest SoakCaller::MakeRequest(const CallRecord& call) const {
  HttpRequest request(http::verb::post, Path(call), 11);
  request.set(http::field::host, "shop.example");
  request.set("Attempt-Id", call.id);
  request.set("Deadline-Ms", std::to_string(absl::ToInt64Milliseconds(kDeadline)));
  request.set("Key", absl::StrCat("key-", workspace_));
  const bool model = call.kind == CallKind::kStream || call.kind == CallKind::kOnce;
  if (model) request.set("Token-Count", "90,10");
  request.body() = absl::StrCat("body of ", call.id);
  request.prepare_payload();
  return request;
}

ErrorOrVoid SoakCaller::Exchange(CallRecord& call, HttpConnection& connection, bool& keep,
                                 Yield yield) {
  const absl::Duration patience = call.left_early ? absl::Milliseconds(Draw(100)) : kDeadline;
  if (!connection.open()) {
    const auto connected = connection.Connect(kConnectTimeout, yield);
    if (!connected) return connected.error();
  }
  const auto sent = connection.Send(MakeRequest(call), patience, yield);
  if (!sent) return sent.error();
  HttpConnection::ResponseParser parser;
  const auto head = connection.ReadHeader(parser, patience, yield);
  if (!head) return head.error();
  call.status = parser.get().result_int();
  while (!parser.is_done()) {
    std::string piece;
    const auto read = connection.ReadSome(parser, piece, patience, yield);
    if (!read) return read.error();
    call.body += piece;
  }
  call.whole = true;
  keep = parser.keep_alive();
  return std::monostate();
}

void SoakCaller::Play(CallRecord& call, Yield yield) {
  auto& kept = connections_[call.vm];
  const bool reusable = kept && kept->open() && kept->IsReusable();
  if (!reusable || Draw(kPercent) < kNewConnectionPercent) {
    kept = std::make_unique<HttpConnection>(world_.io(), world_.caller_address(call.vm));
  }
  bool keep = false;
  const auto exchanged = Exchange(call, *kept, keep, yield);
  if (!exchanged) call.detail = exchanged.error().ToString();
  if (!keep) {
    kept->Close();
    kept = nullptr;
  }
  call.ended = absl::Now();
}

void SoakCaller::Run(Yield yield) {
  ++log_.running;
  while (!log_.stop) {
    CallRecord call = MakeCall();
    Play(call, yield);
    const bool served = call.status == 200;
    log_.records.push_back(std::move(call));
    SleepFor(world_.io(), served ? kPause / 4 : kPause, yield);
  }
  connections_.clear();
  --log_.running;
}

}  // namespace marigoldquay::testing
