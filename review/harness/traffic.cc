// Sound backend servers and the usual traffic of a small deployment.
#include "traffic.h"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace marigoldquay::review {
namespace {

// Prompt of 200 shared and 5,000 own tokens; a prefill reads some 55 tokens a ms.
constexpr absl::Duration kPrefillWork = absl::Milliseconds(94);
// A decode engine reads a prompt at half the speed.
constexpr absl::Duration kPrefillOnDecodeWork = absl::Milliseconds(188);
// `kvHoldS` of the configuration.
constexpr absl::Duration kHandleTime = absl::Milliseconds(500);
constexpr char kStreamFields[] =
    "Content-Type: application/json\r\nModel: m\r\nToken-Count: 5200,71\r\n";
constexpr std::size_t kStreamBodyBytes = 5000;
constexpr std::size_t kOrderBodyBytes = 600;
constexpr std::size_t kPlainAnswerBytes = 800;
constexpr absl::Duration kStreamPatience = absl::Milliseconds(3600);

// Handles that have not been taken or freed, with the time at which they lapse.
std::map<std::string, absl::Time>& Handles() {
  static std::map<std::string, absl::Time> handles;
  return handles;
}

bool TakeHandle(const std::string& handle) {
  const auto found = Handles().find(handle);
  const bool held = found != Handles().end() && absl::Now() < found->second;
  if (found != Handles().end()) Handles().erase(found);
  return held;
}

}  // namespace

std::string SealedFields(const ServerExchange& exchange, const std::string& server) {
  return absl::StrCat("Attempt-Id: ", exchange.Field("Attempt-Id"), "\r\nResponse-Seal: seal-",
                      server, "\r\nInstance-Load: ", exchange.Load(), "\r\n");
}

std::string StreamEvent(const std::string& id, int number) {
  return absl::StrCat("id: ", number, "\ndata: ", id, " ", number, "\n\n");
}

void AnswerPlain(ServerExchange& exchange, const std::string& server, TrafficLedger& ledger,
                 absl::Duration work) {
  const std::string id = exchange.Field("Attempt-Id");
  ledger[id].runs.push_back(server);
  if (!exchange.Work(work)) return exchange.CloseAfter();
  const std::string body = absl::StrCat("plain ", id, std::string(kPlainAnswerBytes, '.'));
  if (!exchange.Answer(200, SealedFields(exchange, server), body)) exchange.CloseAfter();
}

bool TakePrompt(ServerExchange& exchange) {
  const std::string source = exchange.Field("Kv-Source");
  if (source.empty()) {
    const bool open = exchange.Work(kPrefillOnDecodeWork);
    if (!open) exchange.CloseAfter();
    return open;
  }
  if (TakeHandle(source.substr(source.find('/') + 1))) return true;
  const std::string fields =
      absl::StrCat("Attempt-Id: ", exchange.Field("Attempt-Id"), "\r\nNot-Executed: 1\r\n");
  if (!exchange.Answer(503, fields, "")) exchange.CloseAfter();
  return false;
}

void AnswerPrefill(ServerExchange& exchange) {
  static int next = 1;
  constexpr absl::string_view kHandlePath = "/kv-handle/";
  const auto target = ToAbsl(exchange.request().target());
  if (absl::StartsWith(target, kHandlePath)) {
    (void)TakeHandle(std::string(target.substr(kHandlePath.size())));
    if (!exchange.Answer(200, "", "")) exchange.CloseAfter();
    return;
  }
  if (!exchange.Work(kPrefillWork)) return exchange.CloseAfter();
  const std::string handle = absl::StrCat("h", next++);
  Handles()[handle] = absl::Now() + kHandleTime;
  const std::string body =
      absl::StrCat(R"({"kvHandle":")", handle, R"(","tokens":5200,"version":1})");
  const std::string fields = absl::StrCat("Attempt-Id: ", exchange.Field("Attempt-Id"),
                                          "\r\nContent-Type: application/json\r\n");
  if (!exchange.Answer(200, fields, body)) exchange.CloseAfter();
}

void AnswerStream(ServerExchange& exchange, const std::string& server, TrafficLedger& ledger,
                  const TrafficOptions& options) {
  if (!TakePrompt(exchange)) return;
  const std::string id = exchange.Field("Attempt-Id");
  ledger[id].runs.push_back(server);
  int after = 0;
  (void)absl::SimpleAtoi(exchange.Field("Last-Event-Id"), &after);
  bool open =
      exchange.Write(absl::StrCat("HTTP/1.1 200 OK\r\n", SealedFields(exchange, server),
                                  "Content-Type: text/event-stream\r\nWeight-Versions: 1\r\n",
                                  "Transfer-Encoding: chunked\r\n\r\n"));
  for (int n = after + 1; n <= options.events && open; ++n) {
    open = exchange.Work(options.event_gap);
    const std::string event = StreamEvent(id, n);
    if (open) {
      open = exchange.Write(absl::StrCat(absl::Hex(event.size()), "\r\n", event, "\r\n"));
    }
  }
  if (open) open = exchange.Write("0\r\n\r\n");
  if (!open) exchange.CloseAfter();
}

CallerRequest TrafficSource::MakeRequest(const std::string& path) const {
  CallerRequest request;
  request.id = NewId();
  request.path = path + "x";
  if (path == "/status/") {
    request.method = "GET";
    return request;
  }
  if (path == "/place/") {
    request.body = absl::StrCat("order ", request.id, " ", std::string(kOrderBodyBytes, 'o'));
    return request;
  }
  request.time_left = absl::Seconds(14);
  request.patience = kStreamPatience;
  request.fields = absl::StrCat(kStreamFields, "Prompt-Prefix: 5c1e07a2:200,91bd",
                                request.id.substr(1), ":5000\r\n");
  request.body = std::string(kStreamBodyBytes, 'p');
  return request;
}

void TrafficSource::RunClient(int vm, const std::string& path, absl::Duration offset, Yield yield) {
  auto& io = deployment_.io();
  SleepFor(io, offset, yield);
  Caller caller(io, deployment_.caller_address(vm));
  while (!stopped_) {
    const CallerRequest request = MakeRequest(path);
    TrafficEntry& entry = ledger_[request.id];
    entry.id = request.id;
    entry.path = path;
    entry.vm = vm;
    ++open_requests_;
    entry.result = caller.Call(request, yield);
    --open_requests_;
    entry.finished = true;
    deployment_.record().Line("client at VM ", vm, ": ", path, " ", request.id, " ",
                              ToText(entry.result), ", run by ",
                              entry.runs.empty() ? "none" : entry.runs.front());
    SleepFor(io, options_.pause, yield);
  }
}

void TrafficSource::Start() {
  const auto start = [&](int vm, const std::string& path, int clients) {
    for (int i = 0; i < clients; ++i) {
      const absl::Duration offset = options_.pause * i / clients;
      SpawnFiber(deployment_.io(), "client",
                 [this, vm, path, offset](Yield yield) { RunClient(vm, path, offset, yield); });
    }
  };
  for (int vm = 0; vm < deployment_.vms(); ++vm) {
    start(vm, "/place/", options_.order_clients);
    start(vm, "/status/", options_.status_clients);
    start(vm, options_.stream_path, options_.stream_clients);
  }
}

}  // namespace marigoldquay::review
