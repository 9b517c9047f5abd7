// Invariants 2 and 5: each exchange gets one whole answer to its own request,
// or a visibly broken one, whatever engines and connections do.
#include <set>

#include "load.h"

namespace marigoldquay::testing {
namespace {

SystemOptions HighBurst() {
  SystemOptions options;
  options.workspaces = {{"w1", 1, 1000000, 10000000}};
  options.decode_flags = {"--token_ms=5"};
  return options;
}

struct Counts {
  int whole = 0;
  int rejected = 0;
  int visibly_broken = 0;
  int wrong = 0;
};

// Asks `count` different questions from many threads, streamed and not, and classifies the answers.
Counts AskAll(System& system, int count) {
  std::atomic<int> next{0};
  std::atomic<int> whole{0};
  std::atomic<int> rejected{0};
  std::atomic<int> broken{0};
  std::atomic<int> wrong{0};
  Threads threads;
  for (int worker = 0; worker < 16; ++worker) {
    threads.Start([&] {
      while (true) {
        const int i = next++;
        if (i >= count) return;
        const auto prompt = absl::StrCat("Question ", i, " [tokens=", 5 + i % 30, "]");
        const auto expected = FakeCompletion(prompt, 64);
        const bool stream = i % 2 == 0;
        auto request = system.CompletionRequest(i % system.vm_count(), "w1", prompt, 64, stream);
        request.timeout = absl::Seconds(20);
        const auto response = Fetch(request);
        if (response.status != 200) {
          ++rejected;
        } else if (stream) {
          if (!StreamIsWhole(response)) {
            ++broken;
            // What did arrive must still be a prefix of the right answer.
            if (expected.rfind(StreamedText(response.body), 0) != 0) ++wrong;
          } else {
            ++(StreamedText(response.body) == expected ? whole : wrong);
          }
        } else if (!response.complete()) {
          ++broken;
        } else {
          const auto text = response.Json()["choices"].at(0).at("text").as_string();
          ++(text == expected ? whole : wrong);
        }
      }
    });
  }
  threads.Join();
  BOOST_TEST_MESSAGE("whole " << whole << ", rejected " << rejected << ", visibly broken " << broken
                              << ", wrong " << wrong);
  return {whole, rejected, broken, wrong};
}

BOOST_AUTO_TEST_SUITE(answers)

BOOST_AUTO_TEST_CASE(without_faults_all_answers_are_whole) {
  TestSystem system(HighBurst());
  const auto counts = AskAll(system, 120);
  BOOST_TEST(counts.whole == 120);
}

// Fails if a short, repeated, skipping or crossed answer of an engine reaches a caller as a whole
// one.
BOOST_AUTO_TEST_CASE(engines_answer_wrongly) {
  TestSystem system(HighBurst());
  const boost::json::object faults[] = {{{"cut_after", 3}, {"streams", 20}},
                                        {{"truncate_after", 3}, {"streams", 20}},
                                        {{"repeat_at", 2}, {"streams", 20}},
                                        {{"skip_at", 2}, {"streams", 20}},
                                        {{"other_tokens", 1}, {"streams", 20}}};
  for (const auto& fault : faults) {
    system.backend("d1").server.SetFaults(fault);
    const auto counts = AskAll(system, 60);
    BOOST_TEST(counts.wrong == 0, boost::json::serialize(fault));
    BOOST_TEST(counts.whole >= 50, boost::json::serialize(fault));
    system.backend("d1").server.SetFaults({});
    absl::SleepFor(absl::Seconds(1));
  }
}

// Fails if connections that break, freeze or reorder mix up answers.
BOOST_AUTO_TEST_CASE(connections_break_and_reorder) {
  auto options = HighBurst();
  options.backend_proxies = true;
  options.inner_proxies = true;
  TestSystem system(options);
  std::atomic<bool> stop{false};
  Threads faults;
  faults.Start([&] {
    for (int round = 0; !stop; ++round) {
      for (auto& backend : system.backends()) {
        backend.proxy->SetFaults({{"delay_ms", 1}, {"jitter_ms", 10}});
        if (round % 4 == 3) backend.proxy->Control("cut");
      }
      for (int vm = 0; vm < system.vm_count(); ++vm) {
        system.vm(vm).inner_proxy->SetFaults({{"delay_ms", 1}, {"jitter_ms", 10}});
        if (round % 4 == 1) system.vm(vm).inner_proxy->Control("cut");
      }
      absl::SleepFor(absl::Milliseconds(300));
    }
  });
  const auto counts = AskAll(system, 200);
  stop = true;
  faults.Join();
  BOOST_TEST(counts.wrong == 0);
  BOOST_TEST(counts.whole > 100);
}

// Fails if a question asked from many devices at once runs more than once, or if a device gets
// less than the whole outcome.
BOOST_AUTO_TEST_CASE(question_from_many_devices_runs_once) {
  TestSystem system(HighBurst());
  constexpr int kQuestions = 10;
  constexpr int kDevices = 6;
  std::atomic<int> whole{0};
  Threads devices;
  for (int question = 0; question < kQuestions; ++question) {
    for (int device = 0; device < kDevices; ++device) {
      devices.Start([&, question, device] {
        const auto prompt = absl::StrCat("Shared ", question, " [tokens=40]");
        auto request =
            system.CompletionRequest(device % system.vm_count(), "w1", prompt, 64, device % 2 == 0);
        request.headers.push_back(absl::StrCat("Idempotency-Key: shared-", question));
        absl::SleepFor(absl::Milliseconds(device * 30));
        const auto response = Fetch(request);
        const auto text =
            device % 2 == 0 ? StreamedText(response.body)
                            : std::string(response.Json()["choices"].at(0).at("text").as_string());
        if (response.status == 200 && text == FakeCompletion(prompt, 64)) ++whole;
      });
    }
  }
  devices.Join();
  BOOST_TEST(whole == kQuestions * kDevices);
  BOOST_TEST(system.EngineCount("prefills") == kQuestions);
}

// Fails if a question is lost when the VM that runs it dies, or if a caller gets a silently short
// answer.
BOOST_AUTO_TEST_CASE(owner_of_shared_questions_is_killed) {
  TestSystem system(HighBurst());
  std::atomic<int> whole{0};
  std::atomic<int> silent{0};
  Threads devices;
  constexpr int kDevices = 24;
  for (int device = 0; device < kDevices; ++device) {
    devices.Start([&, device] {
      const auto prompt = absl::StrCat("Owned ", device / 2, " [tokens=200]");
      for (int attempt = 0; attempt < 5; ++attempt) {
        auto request = system.CompletionRequest(device % 2, "w1", prompt, 256, true);
        request.headers.push_back(absl::StrCat("Idempotency-Key: owned-", device / 2));
        request.timeout = absl::Seconds(20);
        const auto response = Fetch(request);
        const bool is_right = StreamedText(response.body) == FakeCompletion(prompt, 256);
        if (StreamIsWhole(response)) {
          ++(is_right ? whole : silent);
          return;
        }
        absl::SleepFor(absl::Milliseconds(200));
      }
    });
  }
  absl::SleepFor(absl::Milliseconds(500));
  system.vm(2).process.Kill();
  devices.Join();
  BOOST_TEST(silent == 0);
  BOOST_TEST(whole == kDevices);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay::testing
