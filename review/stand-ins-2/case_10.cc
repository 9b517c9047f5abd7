// An engine crashes under resumable streams whose event ids are texts: the router goes on from the
// beginning, behind events that the client already has.
#include <cstdio>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"
#include "deployment.h"
#include "engine.h"

namespace marigoldquay::review {
namespace {

constexpr int kStreams = 8;
constexpr int kEvents = 20;
constexpr absl::Duration kDeadline = absl::Seconds(14);

// A time and a number, as logs of events commonly have them; both parts only grow.
std::string EventId(int number) { return absl::StrCat("1765065600000-", 100 + number); }

Attempt Stream(int number) {
  Attempt attempt;
  attempt.path = "/design/x";
  attempt.id = absl::StrCat("stream-", number);
  attempt.headers = {"Model: m", absl::StrCat("Token-Count: 5000,", kEvents),
                     absl::StrCat("Prompt-Prefix: a1:200,b", number, ":4800")};
  attempt.deadline = kDeadline;
  attempt.patience = kDeadline;
  return attempt;
}

// Events that came more than once.
int Repeated(const std::string& body) {
  std::map<std::string, int> counts;
  for (absl::string_view line : absl::StrSplit(body, '\n')) {
    if (absl::StartsWith(line, "id: ")) ++counts[std::string(line)];
  }
  int repeated = 0;
  for (const auto& [id, count] : counts) repeated += count > 1 ? 1 : 0;
  return repeated;
}

int Play(Record& record) {
  DeploymentOptions options;
  for (const char* id : {"p1", "p2"}) {
    ReplicaOptions prefill;
    prefill.id = id;
    prefill.service = "model";
    prefill.phase = "prefill";
    options.replicas.push_back(prefill);
  }
  options.configuration = [](boost::json::object& configuration) {
    configuration["services"].as_array()[1].as_object()["engine"].as_object()["slots"] = 64;
  };
  Deployment deployment(options, record);
  std::map<std::string, std::unique_ptr<Engine>> engines;
  deployment.Run([&] {
    for (const std::string id : {"d1", "d2"}) {
      EngineOptions engine;
      engine.id = id;
      engine.events = kEvents;
      engine.event_id = EventId;
      engines[id] = std::make_unique<Engine>(deployment.io(), engine, record);
      deployment.store().Put("keyed.servers", id, engines[id]->Entry());
    }
  });
  for (int i = 0; i < options.vms; ++i) deployment.StartVm(i);
  for (int i = 0; i < options.vms; ++i) {
    if (!deployment.AwaitReady(i)) return kCouldNotRun;
  }
  absl::SleepFor(absl::Seconds(3));
  std::vector<Outcome> outcomes(kStreams);
  std::vector<std::thread> threads;
  for (int i = 0; i < kStreams; ++i) {
    threads.emplace_back([&, i] {
      outcomes[static_cast<std::size_t>(i)] = deployment.Send(i % options.vms, Stream(i));
    });
  }
  absl::SleepFor(absl::Milliseconds(800));
  if (PlaysTrouble()) deployment.Run([&] { engines["d1"]->Crash(); });
  for (auto& thread : threads) thread.join();
  int broken = 0;
  int whole = 0;
  for (const Outcome& outcome : outcomes) {
    const int repeated = Repeated(outcome.response.body);
    if (outcome.response.complete() && repeated == 0) ++whole;
    if (repeated == 0) continue;
    ++broken;
    record.Line(absl::StrCat(
        outcome.id, " holds ", repeated, " events twice, ",
        outcome.response.complete() ? "and ends as complete" : "and breaks off", ": ORDER"));
  }
  deployment.Run([&] { engines.clear(); });
  record.Line(absl::StrCat(whole, " whole, ", broken, " with repeated events, of ", kStreams));
  std::printf("%d whole, %d with repeated events, of %d\n", whole, broken, kStreams);
  return broken > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace marigoldquay::review

int main(int argc, char** argv) {
  marigoldquay::review::Record record(argc > 1 ? argv[1] : "record.txt");
  return marigoldquay::review::Play(record);
}
