// Stand-in of a backend server.
#include "fake_replica.h"

#include <boost/json.hpp>
#include <utility>

#include "absl/cleanup/cleanup.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "absl/time/clock.h"

namespace marigoldquay::testing {
namespace {

std::string Field(const HttpRequest& request, const char* name) {
  return std::string(request[name]);
}

void Pause(asio::io_context& io, absl::Duration duration, Cancellation& cancellation, Yield yield) {
  asio::steady_timer timer(io, ToChrono(duration));
  const Cancellation::Hook hook(cancellation, [&timer] { timer.cancel(); });
  boost::system::error_code ignored;
  if (!cancellation.cancelled()) timer.async_wait(yield[ignored]);
}

}  // namespace

std::string PlainBody(const std::string& request_id) { return absl::StrCat("plain ", request_id); }

std::string StreamEvent(const std::string& request_id, std::uint64_t number) {
  return absl::StrCat("id: ", number, "\ndata: ", request_id, " ", number, "\n\n");
}

FakeReplica::FakeReplica(asio::io_context& io, ReplicaLedger& ledger, ReplicaOptions options)
    : io_(io),
      ledger_(ledger),
      options_(std::move(options)),
      listener_(io, *this, 500),
      version_(options_.version()),
      started_at_(absl::Now()),
      phase_(options_.phase) {
  const auto started = listener_.Start("127.0.0.1:0");
  if (!started) ledger_.violations.push_back(started.error().ToString());
  address_ = listener_.address();
}

bool FakeReplica::IsDeadly(const HttpRequest& request) const {
  if (options_.deadly_part.empty()) return false;
  return absl::StrContains(Field(request, "Prompt-Prefix"), options_.deadly_part + ":");
}

void FakeReplica::CrashUnder(const HttpRequest& request) {
  ledger_.crashes.push_back({options_.id, absl::Now(), request.body()});
  Crash();
}

void FakeReplica::BreakResponses() {
  for (HttpReplyWriter* reply : replies_) reply->Abort();
}

void FakeReplica::End() {
  listener_.StopAccepting();
  listener_.CloseIdle();
  BreakResponses();
}

void FakeReplica::Crash() {
  End();
  SpawnFiber(io_, "restart replica", [this](Yield yield) {
    SleepFor(io_, options_.down_time, yield);
    version_ = options_.version();
    started_at_ = absl::Now();
    sequence_ = 0;
    const auto started = listener_.Start(address_);
    if (!started) ledger_.violations.push_back(started.error().ToString());
    options_.on_restart();
  });
}

std::string FakeReplica::Entry(const std::string& state, const Address& address) {
  boost::json::object entry{{"service", options_.service},
                            {"address", address},
                            {"zone", options_.availability_zone},
                            {"version", version_},
                            {"slots", 8},
                            {"state", state},
                            {"coldLeftMs", 0},
                            {"sequence", ++sequence_},
                            {"born", absl::ToUnixMillis(started_at_)}};
  if (!phase_.empty()) entry["phase"] = phase_;
  return boost::json::serialize(entry);
}

HttpFields FakeReplica::CommonFields(const std::string& id) const {
  HttpFields fields;
  fields.set("Attempt-Id", id);
  const std::string limit = options_.request_limit();
  if (!limit.empty()) fields.set("Server-Limit", limit);
  return fields;
}

HttpFields FakeReplica::SealedFields(const std::string& id, ReplicaBehavior behavior) const {
  HttpFields fields = CommonFields(behavior == ReplicaBehavior::kWrongId ? "another" : id);
  if (behavior != ReplicaBehavior::kUnsealed) fields.set("Response-Seal", "seal-" + options_.id);
  fields.set("Instance-Load", "1,0,8");
  if (behavior == ReplicaBehavior::kLeaving) fields.set("Server-Leaving", "1");
  return fields;
}

std::size_t FakeReplica::Record(const HttpRequest& request) {
  ReplicaRun run;
  run.request_id = Field(request, "Attempt-Id");
  run.replica = options_.id;
  run.method = std::string(request.method_string());
  run.target = std::string(request.target());
  run.body = request.body();
  run.workspace = Field(request, "Tenant");
  run.saw_key = request.count("Key") > 0;
  run.started = absl::Now();
  std::uint64_t after = 0;
  if (absl::SimpleAtoi(Field(request, "Last-Event-Id"), &after)) run.resumed_after = after;
  if (!absl::SimpleAtod(Field(request, "Deadline-Ms"), &run.time_left_ms)) {
    ledger_.violations.push_back(run.request_id + " came without a deadline");
  }
  ledger_.runs.push_back(run);
  return ledger_.runs.size() - 1;
}

void FakeReplica::ChangePhase(const HttpRequest& request, HttpReplyWriter& reply, Yield yield) {
  const auto body = boost::json::parse(request.body()).as_object();
  ReplicaOrder order{options_.id, body.at("phase").as_string().c_str(),
                     body.at("holder").as_string().c_str(),
                     body.at("fence").to_number<std::int64_t>(), absl::Now()};
  ledger_.orders.push_back(order);
  if (order.claim < highest_claim_) return (void)reply.SendReply(412, HttpFields(), "{}", yield);
  highest_claim_ = order.claim;
  phase_ = order.phase;
  (void)reply.SendReply(202, HttpFields(), "{}", yield);
  options_.on_phase();
}

void FakeReplica::Prefill(const std::string& id, HttpReplyWriter& reply, Yield yield) {
  const std::string handle = absl::StrCat(options_.id, "-", next_cache_++);
  ledger_.waiting_caches[handle] = absl::Now();
  (void)reply.SendReply(200, CommonFields(id),
                        absl::StrCat(R"({"kvHandle":")", handle, R"(","tokens":10,"version":1})"),
                        yield);
}

void FakeReplica::AnswerPlain(const HttpRequest& request, std::size_t run, ReplicaBehavior behavior,
                              HttpReplyWriter& reply, Cancellation& cancellation, Yield yield) {
  const std::string id = Field(request, "Attempt-Id");
  Pause(io_, options_.work, cancellation, yield);
  if (behavior == ReplicaBehavior::kHang) Pause(io_, absl::Seconds(30), cancellation, yield);
  if (cancellation.cancelled()) {
    ledger_.runs[run].cancelled = absl::Now();
    return reply.Abort();
  }
  if (behavior == ReplicaBehavior::kLoseAnswer) return reply.Abort();
  const HttpFields fields = SealedFields(id, behavior);
  const unsigned status = behavior == ReplicaBehavior::kError ? 500 : 200;
  if (behavior == ReplicaBehavior::kTruncate) {
    (void)reply.Begin(status, fields, 1000, yield);
    (void)reply.Append(PlainBody(id), yield);
    return reply.Abort();
  }
  if (behavior == ReplicaBehavior::kEndlessBody) {
    (void)reply.Begin(status, fields, std::nullopt, yield);
    const std::string piece(std::size_t{16} * 1024, 'x');
    while (!cancellation.cancelled() && reply.Append(piece, yield)) {
      Pause(io_, absl::Milliseconds(5), cancellation, yield);
    }
    ledger_.runs[run].cancelled = absl::Now();
    return reply.Abort();
  }
  (void)reply.SendReply(status, fields, PlainBody(id), yield);
  if (behavior == ReplicaBehavior::kLateExtraAnswer) {
    Pause(io_, absl::Milliseconds(100), cancellation, yield);
  }
  if (behavior == ReplicaBehavior::kExtraAnswer || behavior == ReplicaBehavior::kLateExtraAnswer) {
    (void)reply.SendReply(status, fields, PlainBody(id), yield);
  }
}

void FakeReplica::Stream(const HttpRequest& request, std::size_t run, ReplicaBehavior behavior,
                         HttpReplyWriter& reply, Cancellation& cancellation, Yield yield) {
  const std::string id = Field(request, "Attempt-Id");
  HttpFields fields = SealedFields(id, behavior);
  fields.set(http::field::content_type, "text/event-stream");
  (void)reply.Begin(200, fields, std::nullopt, yield);
  const std::uint64_t first = ledger_.runs[run].resumed_after.value_or(0) + 1;
  const std::string text = options_.marks_events ? absl::StrCat(version_, " ", id) : id;
  for (std::uint64_t n = first; n <= static_cast<std::uint64_t>(options_.events); ++n) {
    Pause(io_, options_.event_gap, cancellation, yield);
    if (cancellation.cancelled()) {
      ledger_.runs[run].cancelled = absl::Now();
      return reply.Abort();
    }
    if (IsDeadly(request)) return CrashUnder(request);
    const bool breaks = n == 3 && behavior != ReplicaBehavior::kNormal;
    const std::string event = StreamEvent(text, n);
    (void)reply.Append(breaks ? event.substr(0, event.size() / 2) : event, yield);
    if (breaks) return reply.Abort();
  }
  (void)reply.Finish(yield);
}

void FakeReplica::Handle(HttpRequest& request, HttpReplyWriter& reply, Cancellation& cancellation,
                         Yield yield) {
  if (request.method() == http::verb::delete_ &&
      absl::StartsWith(ToAbsl(request.target()), "/kv-handle/")) {
    ledger_.waiting_caches.erase(
        std::string(absl::StripPrefix(ToAbsl(request.target()), "/kv-handle/")));
    (void)reply.SendReply(200, HttpFields(), "{}", yield);
    return;
  }
  replies_.insert(&reply);
  const absl::Cleanup done = [this, &reply] { replies_.erase(&reply); };
  const std::string id = Field(request, "Attempt-Id");
  HttpFields not_run = CommonFields(id);
  if (Field(request, "Expect-Instance") != options_.id) {
    (void)reply.SendReply(421, not_run, "", yield);
    return;
  }
  if (request.target() == "/order") return ChangePhase(request, reply, yield);
  if (request.target() == "/report") {
    (void)reply.SendReply(
        200, CommonFields(id),
        boost::json::serialize(boost::json::object{{"born", absl::ToUnixMillis(started_at_)}}),
        yield);
    return;
  }
  const bool prefill = Field(request, "Stage") == "prefill";
  ReplicaArrival arrival{
      options_.id,    id,     absl::Now(), std::nullopt, Field(request, "Prompt-Prefix"),
      request.body(), prefill};
  double limit = 0;
  if (absl::SimpleAtod(options_.request_limit(), &limit)) arrival.limit = limit;
  ledger_.arrivals.push_back(arrival);
  if (!phase_.empty() && prefill != (phase_ == "prefill")) {
    (void)reply.SendReply(421, not_run, "", yield);
    return;
  }
  if (prefill) return Prefill(id, reply, yield);
  const ReplicaBehavior behavior = options_.behavior();
  if (behavior == ReplicaBehavior::kShed || behavior == ReplicaBehavior::kWantsPause) {
    ledger_.rejections.push_back(absl::Now());
    not_run.set("Not-Executed", "1");
    if (behavior == ReplicaBehavior::kWantsPause) not_run.set("Retry-After", "2");
    (void)reply.SendReply(503, not_run, "", yield);
    return;
  }
  const std::string source = Field(request, "Kv-Source");
  if (!source.empty()) {
    const auto handle = source.substr(source.find('/') + 1);
    if (ledger_.waiting_caches.erase(handle) == 0) {
      not_run.set("Not-Executed", "1");
      (void)reply.SendReply(503, not_run, "", yield);
      return;
    }
  }
  const std::size_t run = Record(request);
  const bool deadly = !options_.deadly_body.empty() && request.body() == options_.deadly_body;
  if (deadly) return CrashUnder(request);
  if (options_.phase.empty()) {
    AnswerPlain(request, run, behavior, reply, cancellation, yield);
  } else {
    Stream(request, run, behavior, reply, cancellation, yield);
  }
}

}  // namespace marigoldquay::testing
