// A backend server in trouble sends bytes without end in the body of an answer. The router keeps
// them all, exceeds the memory of its VM and is killed, with the requests of other callers.
#include <algorithm>
#include <cstdio>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "../harness/traffic.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace marigoldquay::review {
namespace {

// Limit of the settings file (`memoryMb`).
constexpr std::size_t kMemoryLimit = std::size_t{110} << 20;
constexpr absl::Duration kLook = absl::Milliseconds(5);
// Delay after which the platform starts a process again.
constexpr absl::Duration kRestartDelay = absl::Seconds(1);
// Traffic starts 10 s after the machines do.
constexpr absl::Duration kStart = absl::Seconds(10);
constexpr absl::Duration kQuiet = absl::Seconds(5);
// The trouble comes a few times, each for as long as `srv_grey` of the site file.
constexpr int kTroubles = 5;
constexpr absl::Duration kTrouble = absl::Milliseconds(6500);
constexpr absl::Duration kAfter = absl::Seconds(7);
// Part of its answers that the server in trouble spoils: 9 of 20.
constexpr int kSpoiled = 9;
constexpr int kOf = 20;
// Bytes that the server sends in each pause: 30 MB a second, a quarter of a machine's link.
constexpr std::size_t kPieceBytes = 300'000;
constexpr absl::Duration kPiecePause = absl::Milliseconds(10);
// Fault: processes end by themselves three times, on two machines at least. Each of two machines
// has to reach three here, which is the stricter reading.
constexpr int kEnds = 3;
constexpr int kMachines = 2;
constexpr char kInTrouble[] = "d1";

class Case {
 public:
  Case(asio::io_context& io, Record& record)
      : io_(io),
        record_(record),
        deployment_(io, record, Options()),
        source_(deployment_, ledger_, traffic_) {
    for (const char* id : {"s1", "s2", "s3"}) {
      AddServer(id, "order-desk", "", [this, id](ServerExchange& exchange) {
        AnswerPlain(exchange, id, ledger_, traffic_.order_work);
      });
    }
    for (const char* id : {"p1", "p2", "p3"}) {
      AddServer(id, "brief-writer", "prefill",
                [](ServerExchange& exchange) { AnswerPrefill(exchange); });
    }
    for (const char* id : {"d1", "d2", "d3", "d4", "d5", "d6"}) {
      AddServer(id, "brief-writer", "decode", [this, id](ServerExchange& exchange) {
        if (id == std::string(kInTrouble) && Spoils()) return AnswerWithoutEnd(exchange);
        AnswerStream(exchange, id, ledger_, traffic_);
      });
    }
  }

  int Run(Yield yield) {
    SpawnFiber(io_, "heartbeats", [this](Yield inner) { deployment_.KeepListing(inner); });
    for (int i = 0; i < deployment_.vms(); ++i) deployment_.StartVm(i);
    SpawnFiber(io_, "platform", [this](Yield inner) { WatchMemory(inner); });
    if (!deployment_.AwaitReady(yield)) return 2;
    SleepFor(io_, kStart, yield);
    source_.Start();
    SleepFor(io_, kQuiet, yield);
    for (int i = 0; i < kTroubles; ++i) {
      in_trouble_ = WithTrouble();
      record_.Say(in_trouble_ ? "trouble begins" : "no trouble in this run");
      SleepFor(io_, kTrouble, yield);
      in_trouble_ = false;
      record_.Say("trouble has ended; answers without end so far: ", endless_answers_);
      SleepFor(io_, kAfter, yield);
    }
    source_.Stop();
    SleepFor(io_, absl::Seconds(4), yield);
    return Judge();
  }

 private:
  static DeploymentOptions Options() {
    DeploymentOptions options;
    options.vms = 2;
    options.folder = MakeFolder();
    return options;
  }

  void AddServer(const std::string& id, const std::string& service, const std::string& phase,
                 std::function<void(ServerExchange&)> script) {
    BackendServerOptions options;
    options.id = id;
    options.service = service;
    options.phase = phase;
    options.slots = phase.empty() ? 6 : 64;
    options.script = std::move(script);
    deployment_.AddServer(std::move(options));
  }

  // Whether the server in trouble spoils its next answer.
  bool Spoils() { return in_trouble_ && ++answers_ % kOf < kSpoiled; }

  // Begins the answer like a sound one; what follows the head is no body, and has no end.
  void AnswerWithoutEnd(ServerExchange& exchange) {
    if (!TakePrompt(exchange)) return;
    ++endless_answers_;
    const std::string id = exchange.Field("Attempt-Id");
    ledger_[id].runs.push_back(kInTrouble);
    record_.Line("server ", kInTrouble, ": answer without end to ", id);
    bool open =
        exchange.Write(absl::StrCat("HTTP/1.1 200 OK\r\n", SealedFields(exchange, kInTrouble),
                                    "Content-Type: text/event-stream\r\nWeight-Versions: "
                                    "1\r\nTransfer-Encoding: chunked\r\n\r\n"));
    const std::string piece(kPieceBytes, 'x');
    std::size_t sent = 0;
    while (open) {
      open = exchange.Work(kPiecePause) && exchange.Write(piece);
      sent += piece.size();
    }
    record_.Line("server ", kInTrouble, ": the router has closed the answer to ", id, " after ",
                 sent >> 20, " MB");
    exchange.CloseAfter();
  }

  // The platform: kills a process that exceeds its memory, and starts it again.
  void WatchMemory(Yield yield) {
    while (true) {
      for (int vm = 0; vm < deployment_.vms(); ++vm) {
        const std::size_t memory = deployment_.vm(vm).Memory();
        highest_memory_ = std::max(highest_memory_, memory);
        if (restarting_.contains(vm)) continue;
        if (!deployment_.vm(vm).Running()) {
          // Such an end is not the one that this case is about, e.g. a port that is taken.
          record_.Say("platform: VM ", vm, " has ended without a cause that this case knows");
          ended_otherwise_ = true;
          restarting_.insert(vm);
        }
        if (memory <= kMemoryLimit) continue;
        record_.Say("platform: VM ", vm, " holds ", memory >> 20, " MB, killed");
        ++ends_[vm];
        deployment_.vm(vm).Kill();
        restarting_.insert(vm);
        SpawnFiber(io_, "restart", [this, vm](Yield inner) {
          SleepFor(io_, kRestartDelay, inner);
          deployment_.StartVm(vm);
          restarting_.erase(vm);
        });
      }
      SleepFor(io_, kLook, yield);
    }
  }

  int Judge() {
    int answered = 0;
    int broken_off = 0;
    for (const auto& [id, entry] : ledger_) {
      if (entry.result.outcome == CallerOutcome::kAnswered) ++answered;
      const bool sound = !entry.runs.empty() && entry.runs.back() != kInTrouble;
      if (entry.result.outcome != CallerOutcome::kClosed || !sound) continue;
      ++broken_off;
      record_.Line("broken off: ", entry.path, " ", id, " at VM ", entry.vm, ", run by ",
                   entry.runs.back(), ", ", ToText(entry.result));
    }
    int machines = 0;
    for (const auto& [vm, ends] : ends_) {
      record_.Say("VM ", vm, ": processes that exceeded their memory: ", ends);
      if (ends >= kEnds) ++machines;
    }
    record_.Say("answered ", answered, " of ", ledger_.size(),
                "; broken off although sound servers ran them: ", broken_off,
                "; highest memory: ", highest_memory_ >> 20, " MB of ", kMemoryLimit >> 20);
    if (ended_otherwise_) return 2;
    const bool broken = machines >= kMachines;
    record_.Say(broken ? "BROKEN: Fault" : "held");
    return broken ? 1 : 0;
  }

  asio::io_context& io_;
  Record& record_;
  const TrafficOptions traffic_{.order_clients = 6, .status_clients = 3, .stream_clients = 7};
  TrafficLedger ledger_;
  Deployment deployment_;
  TrafficSource source_;
  std::set<int> restarting_;
  bool in_trouble_ = false;
  bool ended_otherwise_ = false;
  int answers_ = 0;
  int endless_answers_ = 0;
  // Ends of the process of each VM, with no disruption at the VM.
  std::map<int, int> ends_;
  std::size_t highest_memory_ = 0;
};

}  // namespace
}  // namespace marigoldquay::review

int main(int argc, char** argv) {
  using namespace marigoldquay::review;
  if (argc != 2) return 2;
  Record record(argv[1]);
  return RunCase(
      [&record](marigoldquay::asio::io_context& io, marigoldquay::Yield yield) {
        return std::make_unique<Case>(io, record)->Run(yield);
      },
      absl::Seconds(112));
}
