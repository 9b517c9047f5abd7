// Concurrent callers for the invariant tests.
#ifndef MARIGOLDQUAY_TESTS_INVARIANTS_LOAD_H_
#define MARIGOLDQUAY_TESTS_INVARIANTS_LOAD_H_

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "system_test.h"

namespace marigoldquay::testing {

/// Threads that are joined at the end of their scope.
class Threads {
 public:
  ~Threads() { Join(); }
  void Start(std::function<void()> task) { threads_.emplace_back(std::move(task)); }
  void Join() {
    for (auto& thread : threads_) thread.join();
    threads_.clear();
  }

 private:
  std::vector<std::thread> threads_;
};

/// Whether a streamed answer is whole: it ended with [DONE] and without a transport error.
inline bool StreamIsWhole(const ClientResponse& response) {
  const auto events = SseEvents(response.body);
  return response.complete() && response.status == 200 && !events.empty() &&
         events.back() == "[DONE]";
}

/// "not_run" or "unknown" of a rejection; empty for other bodies.
inline std::string Outcome(const ClientResponse& response) {
  const auto json = response.Json();
  const auto* outcome = json.if_contains("outcome");
  return outcome != nullptr && outcome->is_string() ? outcome->as_string().c_str() : "";
}

/// Seed of the random choices of a test; printed, and set with MARIGOLDQUAY_TEST_SEED.
inline std::uint64_t TestSeed() {
  const char* text = std::getenv("MARIGOLDQUAY_TEST_SEED");
  const std::uint64_t seed = text != nullptr ? std::strtoull(text, nullptr, 10) : 1;
  BOOST_TEST_MESSAGE("seed " << seed);
  return seed;
}

}  // namespace marigoldquay::testing

#endif  // MARIGOLDQUAY_TESTS_INVARIANTS_LOAD_H_
