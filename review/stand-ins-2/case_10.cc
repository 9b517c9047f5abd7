// A release whose new engines end the lines of their events with a carriage return: the router
// gives the client an empty answer that ends as complete.
#include <cstdio>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "deployment.h"
#include "engine.h"

namespace marigoldquay::review {
namespace {

constexpr int kStreams = 8;
constexpr int kEvents = 20;
constexpr char kLineFeed[] = "\n";
constexpr char kCarriageReturn[] = "\r";
constexpr absl::Duration kDeadline = absl::Seconds(14);

std::string EventId(int number) { return absl::StrCat(number); }

// A stream as its engine writes it.
std::string WholeBody(const std::string& line_end) {
  std::string body;
  for (int n = 1; n <= kEvents; ++n) {
    absl::StrAppend(&body, "id: ", EventId(n), line_end, "data: token ", n, line_end, line_end);
  }
  return body;
}

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

int Play(Record& record) {
  DeploymentOptions options;
  for (const char* id : {"p1", "p2"}) {
    ReplicaOptions prefill;
    prefill.id = id;
    prefill.service = "model";
    prefill.phase = "prefill";
    options.replicas.push_back(prefill);
  }
  Deployment deployment(options, record);
  std::map<std::string, std::unique_ptr<Engine>> engines;
  const auto start_engine = [&](const std::string& id, const std::string& line_end) {
    EngineOptions engine;
    engine.id = id;
    engine.events = kEvents;
    engine.event_id = EventId;
    engine.line_end = line_end;
    engines[id] = std::make_unique<Engine>(deployment.io(), engine, record);
    deployment.store().Put("keyed.servers", id, engines[id]->Entry("ready"));
  };
  deployment.Run([&] {
    for (const char* id : {"d1", "d2"}) start_engine(id, kLineFeed);
  });
  for (int i = 0; i < options.vms; ++i) deployment.StartVm(i);
  for (int i = 0; i < options.vms; ++i) {
    if (!deployment.AwaitReady(i)) return kCouldNotRun;
  }
  absl::SleepFor(absl::Seconds(1));
  // The new one starts first, then the old one drains.
  const std::string new_line_end = PlaysTrouble() ? kCarriageReturn : kLineFeed;
  record.Line("release: d3 starts, d1 drains");
  deployment.Run([&] {
    start_engine("d3", new_line_end);
    deployment.store().Put("keyed.servers", "d1", engines["d1"]->Entry("draining"));
  });
  absl::SleepFor(absl::Seconds(2));
  std::vector<Outcome> outcomes(kStreams);
  std::vector<std::thread> threads;
  for (int i = 0; i < kStreams; ++i) {
    threads.emplace_back([&, i] {
      outcomes[static_cast<std::size_t>(i)] = deployment.Send(i % options.vms, Stream(i));
    });
  }
  for (auto& thread : threads) thread.join();
  const std::string bodies[] = {WholeBody(kLineFeed), WholeBody(new_line_end)};
  int whole = 0;
  int cut_short = 0;
  for (const Outcome& outcome : outcomes) {
    const auto& response = outcome.response;
    if (response.status != 200 || !response.complete()) continue;
    if (response.body == bodies[0] || response.body == bodies[1]) {
      ++whole;
      continue;
    }
    ++cut_short;
    record.Line(absl::StrCat(outcome.id, " is answered 200 and ends as complete with ",
                             response.body.size(), " of ", bodies[0].size(), " bytes: MIXED"));
  }
  deployment.Run([&] { engines.clear(); });
  record.Line(absl::StrCat(whole, " whole, ", cut_short, " cut short, of ", kStreams));
  std::printf("%d whole, %d cut short, of %d\n", whole, cut_short, kStreams);
  return cut_short > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace marigoldquay::review

int main(int argc, char** argv) {
  marigoldquay::review::Record record(argc > 1 ? argv[1] : "record.txt");
  return marigoldquay::review::Play(record);
}
