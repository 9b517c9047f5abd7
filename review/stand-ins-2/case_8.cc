// A planned stop while the engines are full: streams that wait for one are dropped without an
// answer when the process ends.
#include <atomic>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "deployment.h"

namespace marigoldquay::review {
namespace {

constexpr int kEngines = 2;
// Callers of lecture summaries, which go first, from the start to the end. Each engine has 8 slots.
constexpr int kUrgentCallers = 48;
// A stream takes 1.2 s, with pauses below the sheet's 300 ms.
constexpr int kEvents = 20;
constexpr absl::Duration kEventGap = absl::Milliseconds(60);
constexpr absl::Duration kAfterStart = absl::Seconds(5);
constexpr absl::Duration kGrace = absl::Seconds(8);
constexpr absl::Duration kLossSlack = absl::Milliseconds(200);
// Clients abandon a stream after a gap of four times its objective of 2 s.
constexpr absl::Duration kLongestGap = absl::Seconds(8);
constexpr absl::Duration kDeadline = absl::Seconds(14);
// Bulk summaries that come to the machine that is stopped, the first just after the SIGTERM.
constexpr int kBulkCallers = 10;
constexpr absl::Duration kCallerPause = absl::Milliseconds(200);
// The others lead.
constexpr int kStopped = 2;

ReplicaOptions Engine(const std::string& id, const std::string& phase) {
  ReplicaOptions options;
  options.id = id;
  options.service = "model";
  options.phase = phase;
  options.events = kEvents;
  options.event_gap = kEventGap;
  return options;
}

Attempt Stream(const std::string& path, const std::string& id) {
  Attempt attempt;
  attempt.path = path;
  attempt.id = id;
  attempt.headers = {"Model: m", absl::StrCat("Token-Count: 5000,", kEvents),
                     absl::StrCat("Prompt-Prefix: a1:200,", id, ":4800")};
  attempt.deadline = kDeadline;
  attempt.patience = kDeadline;
  return attempt;
}

int Play(Record& record) {
  DeploymentOptions options;
  for (int i = 1; i <= 2; ++i) options.replicas.push_back(Engine(absl::StrCat("p", i), "prefill"));
  for (int i = 1; i <= kEngines; ++i) {
    options.replicas.push_back(Engine(absl::StrCat("d", i), "decode"));
  }
  Deployment deployment(options, record);
  for (int i = 0; i < 3; ++i) {
    deployment.StartVm(i);
    if (!deployment.AwaitReady(i)) return kCouldNotRun;
    absl::SleepFor(absl::Milliseconds(1500));
  }
  // The start of a machine is a disruption too; contactMs of the site is 4 s.
  absl::SleepFor(kAfterStart);
  std::vector<std::thread> threads;
  std::vector<std::thread> bulk_threads;
  std::atomic<bool> done{false};
  for (int i = 0; i < kUrgentCallers; ++i) {
    threads.emplace_back([&deployment, &done, i] {
      for (int n = 0; !done; ++n) {
        const Outcome outcome =
            deployment.Send(i % 2, Stream("/lecture/x", absl::StrCat("u", i, "-", n)));
        if (outcome.response.status != 200) absl::SleepFor(absl::Milliseconds(300));
      }
    });
  }
  absl::SleepFor(absl::Milliseconds(1500));
  const absl::Time stop = absl::Now();
  if (PlaysTrouble()) {
    record.Line("SIGTERM to front-2");
    deployment.vm(kStopped).Terminate();
  }
  std::vector<Outcome> outcomes(kBulkCallers);
  for (int i = 0; i < kBulkCallers; ++i) {
    absl::SleepFor(kCallerPause);
    bulk_threads.emplace_back([&, i] {
      outcomes[static_cast<std::size_t>(i)] =
          deployment.Send(kStopped, Stream("/bulk/x", absl::StrCat("bulk-", i)));
    });
  }
  if (PlaysTrouble()) {
    const auto status = deployment.vm(kStopped).Wait(kGrace + absl::Seconds(1));
    record.Line(absl::StrCat("front-2 ended with ", status.value_or(-1), " ",
                             absl::FormatDuration(absl::Now() - stop), " after the SIGTERM"));
  }
  for (auto& thread : bulk_threads) thread.join();
  done = true;
  for (auto& thread : threads) thread.join();
  const ReplicaLedger seen = deployment.Seen();
  int answered = 0;
  int lost = 0;
  for (const Outcome& outcome : outcomes) {
    bool reached = false;
    for (const auto& arrival : seen.arrivals) reached = reached || arrival.request_id == outcome.id;
    if (outcome.response.complete()) ++answered;
    const absl::Duration took = outcome.ended - outcome.sent;
    // Excused are requests that reached a replica, and those that a client would have given up.
    if (!outcome.cut || reached || took < kLossSlack || took > kLongestGap) continue;
    ++lost;
    record.Line(absl::StrCat(outcome.id, " LOST: no answer and no replica, ",
                             absl::FormatDuration(took), " after it was sent"));
  }
  record.Line(absl::StrCat(answered, " answered, ", lost, " lost of ", kBulkCallers));
  std::printf("%d answered, %d lost of %d\n", answered, lost, kBulkCallers);
  return lost > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace marigoldquay::review

int main(int argc, char** argv) {
  marigoldquay::review::Record record(argc > 1 ? argv[1] : "record.txt");
  return marigoldquay::review::Play(record);
}
