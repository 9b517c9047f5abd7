// While the store is down an engine starts again under its id with another software version, and a
// second engine crashes: the router has streams of the old version go on at the new one.
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "deployment.h"
#include "engine.h"

namespace marigoldquay::review {
namespace {

constexpr int kStreams = 14;
constexpr int kEvents = 40;
constexpr absl::Duration kDeadline = absl::Seconds(14);
// ORDER breaks when more streams than this hold events of two versions.
constexpr int kAllowed = 2;
// The store is down for 4.5 s.
constexpr absl::Duration kOutage = absl::Milliseconds(4500);

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

bool IsJoined(const std::string& body) {
  return absl::StrContains(body, "data: v1") && absl::StrContains(body, "data: v2");
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
  const auto announce = [&](const std::string& id) {
    deployment.store().Put("keyed.servers", id, engines[id]->Entry());
  };
  deployment.Run([&] {
    for (const std::string id : {"d1", "d2"}) {
      EngineOptions engine;
      engine.id = id;
      engine.events = kEvents;
      engine.event_id = [](int number) { return absl::StrCat(number); };
      engines[id] = std::make_unique<Engine>(deployment.io(), engine, record);
      announce(id);
    }
  });
  for (int i = 0; i < options.vms; ++i) deployment.StartVm(i);
  for (int i = 0; i < options.vms; ++i) {
    if (!deployment.AwaitReady(i)) return kCouldNotRun;
  }
  absl::SleepFor(absl::Seconds(4));
  const absl::Time down = absl::Now();
  const auto at = [&](absl::Duration after) { absl::SleepFor(down + after - absl::Now()); };
  if (PlaysTrouble()) {
    record.Line("the store is down");
    deployment.Run([&] {
      deployment.store().set_mode(testing::StoreMode::kBusy);
      engines["d1"]->Crash();
    });
    at(absl::Seconds(1));
    deployment.Run([&] { engines["d1"]->Restart("v2"); });
  }
  at(absl::Milliseconds(2300));
  std::vector<Outcome> outcomes(kStreams);
  std::vector<std::thread> threads;
  for (int i = 0; i < kStreams; ++i) {
    threads.emplace_back([&, i] {
      outcomes[static_cast<std::size_t>(i)] = deployment.Send(i % options.vms, Stream(i));
    });
  }
  at(absl::Milliseconds(3200));
  if (PlaysTrouble()) deployment.Run([&] { engines["d2"]->Crash(); });
  at(kOutage);
  if (PlaysTrouble()) {
    record.Line("the store is back, and d1 writes its entry");
    deployment.Run([&] {
      deployment.store().set_mode(testing::StoreMode::kUp);
      announce("d1");
    });
  }
  for (auto& thread : threads) thread.join();
  int joined = 0;
  int whole = 0;
  for (const Outcome& outcome : outcomes) {
    if (IsJoined(outcome.response.body)) {
      ++joined;
      record.Line(absl::StrCat(outcome.id, " holds events of v1 and of v2, and ",
                               outcome.response.complete() ? "ends as complete" : "breaks off"));
    } else if (outcome.response.complete() && outcome.response.status == 200) {
      ++whole;
    }
  }
  deployment.Run([&] { engines.clear(); });
  record.Line(absl::StrCat(whole, " whole of one version, ", joined, " of two versions, of ",
                           kStreams, joined > kAllowed ? ": ORDER" : ""));
  std::printf("%d whole of one version, %d of two versions, of %d\n", whole, joined, kStreams);
  return joined > kAllowed ? kBroken : kHeld;
}

}  // namespace
}  // namespace marigoldquay::review

int main(int argc, char** argv) {
  marigoldquay::review::Record record(argc > 1 ? argv[1] : "record.txt");
  return marigoldquay::review::Play(record);
}
