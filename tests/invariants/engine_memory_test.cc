// Invariant 1: no engine memory stays held by a request that is gone, however
// the request or its VM ended.
#include "load.h"

namespace marigoldquay::testing {
namespace {

constexpr auto kReleaseTarget = absl::Seconds(5);
constexpr char kLongPrompt[] = "Summarize. [tokens=2000]";

// Callers with long streams at one VM; each waits until its first token has arrived.
class LongStreams {
 public:
  LongStreams(System& system, int vm, int count) {
    for (int i = 0; i < count; ++i) {
      threads_.Start([this, &system, vm] {
        auto request = system.CompletionRequest(vm, "w1", kLongPrompt, 2000, true);
        request.timeout = absl::Seconds(60);
        request.on_data = [this, first = true](absl::string_view data) mutable {
          // The body of a rejection is no stream.
          if (first && data.find("choices") != absl::string_view::npos) ++streaming_;
          first = false;
          return !hang_up_;
        };
        const auto response = Fetch(request);
        if (StreamIsWhole(response)) ++whole_;
        if (response.status != 200) BOOST_TEST_MESSAGE("rejected: " << response.body);
      });
    }
    BOOST_REQUIRE_MESSAGE(Eventually(absl::Seconds(10), [&] { return streaming_ == count; }),
                          "only " << streaming_ << " of " << count << " streams have started");
    BOOST_REQUIRE(system.HeldPieces() >= count);
  }
  ~LongStreams() { HangUp(); }
  void HangUp() {
    hang_up_ = true;
    threads_.Join();
  }
  int whole() const { return whole_; }

 private:
  std::atomic<int> streaming_{0};
  std::atomic<int> whole_{0};
  std::atomic<bool> hang_up_{false};
  Threads threads_;
};

bool MemoryIsReleased(System& system) {
  return Eventually(kReleaseTarget, [&] { return system.HeldPieces() == 0; });
}

SystemOptions HighBurst() {
  SystemOptions options;
  options.workspaces = {{"w1", 1, 1000000, 10000000}};
  return options;
}

BOOST_AUTO_TEST_SUITE(engine_memory)

// Fails if a disconnect of the caller does not reach the engines.
BOOST_AUTO_TEST_CASE(callers_hang_up) {
  TestSystem system(HighBurst());
  LongStreams streams(system, 0, 6);
  streams.HangUp();
  BOOST_TEST(MemoryIsReleased(system));
  BOOST_TEST(streams.whole() == 0);
}

// Fails if a caller that leaves during its prefill keeps the prefill's memory.
BOOST_AUTO_TEST_CASE(caller_hangs_up_during_prefill) {
  auto options = HighBurst();
  options.prefill_flags = {"--prefill_tokens_per_s=2000"};
  TestSystem system(options);
  Threads callers;
  for (int i = 0; i < 4; ++i) {
    callers.Start([&system] {
      auto request =
          system.CompletionRequest(0, "w1", std::string(8000, 'x') + kLongPrompt, 100, true);
      request.timeout = absl::Milliseconds(400);
      Fetch(request);
    });
  }
  BOOST_TEST(Eventually(absl::Seconds(3), [&] { return system.HeldPieces() > 0; }));
  callers.Join();
  BOOST_TEST(MemoryIsReleased(system));
}

// Fails if the steward does not release the memory of a killed VM.
BOOST_AUTO_TEST_CASE(vm_is_killed) {
  TestSystem system(HighBurst());
  LongStreams streams(system, 1, 6);
  system.vm(1).process.Kill();
  BOOST_TEST(MemoryIsReleased(system));
}

// Fails if releasing a killed VM's memory depends on the log.
BOOST_AUTO_TEST_CASE(vm_is_killed_while_the_log_is_down) {
  TestSystem system(HighBurst());
  LongStreams streams(system, 1, 4);
  system.log().SetFaults({{"outage", 1}});
  system.vm(1).process.Kill();
  BOOST_TEST(MemoryIsReleased(system));
}

// Fails if a VM that stops without closing its connections keeps its memory, or holds new memory
// for good after it wakes up with requests that others have given up.
BOOST_AUTO_TEST_CASE(vm_is_paused_and_resumed) {
  TestSystem system(HighBurst());
  LongStreams streams(system, 2, 4);
  system.vm(2).process.Pause();
  const bool released = Eventually(absl::Seconds(8), [&] { return system.HeldPieces() == 0; });
  system.vm(2).process.Resume();
  BOOST_TEST(released);
  streams.HangUp();
  BOOST_TEST(MemoryIsReleased(system));
}

// Fails if two VMs killed at once, one of which may be the steward, leave memory behind.
BOOST_AUTO_TEST_CASE(two_of_five_vms_are_killed_at_once) {
  auto options = HighBurst();
  options.vms = 5;
  TestSystem system(options);
  LongStreams first(system, 1, 3);
  LongStreams second(system, 2, 3);
  system.vm(1).process.Kill();
  system.vm(2).process.Kill();
  BOOST_TEST(MemoryIsReleased(system));
}

// Fails if an engine that was unreachable when its request ended is forgotten.
BOOST_AUTO_TEST_CASE(engine_is_cut_off_while_the_caller_leaves) {
  auto options = HighBurst();
  options.backend_proxies = true;
  TestSystem system(options);
  LongStreams streams(system, 0, 4);
  for (auto& backend : system.backends()) backend.proxy->SetFaults({{"freeze_to_target", 1}});
  streams.HangUp();
  absl::SleepFor(absl::Seconds(1));
  for (auto& backend : system.backends()) {
    backend.proxy->SetFaults({{"freeze_to_target", 0}});
    backend.proxy->Control("cut");
  }
  BOOST_TEST(MemoryIsReleased(system));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay::testing
