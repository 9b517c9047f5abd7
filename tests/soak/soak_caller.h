// Callers of a soak run: they keep connections open, leave early at times, and
// record what they were told.
#ifndef MARIGOLDQUAY_TESTS_SOAK_SOAK_CALLER_H_
#define MARIGOLDQUAY_TESTS_SOAK_SOAK_CALLER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "marigoldquay/net/http_connection.h"
#include "world.h"

namespace marigoldquay::testing {

enum class CallKind {
  /// Not idempotent.
  kOrder,
  /// Idempotent.
  kStatus,
  /// A stream that may be resumed.
  kStream,
  /// A stream that may not.
  kOnce,
  /// The route of a configuration version.
  kVersion,
};

/// One attempt as its caller saw it.
struct CallRecord {
  std::string id;
  CallKind kind = CallKind::kOrder;
  std::string workspace;
  int vm = 0;
  /// How often the VM had been started.
  int incarnation = 0;
  /// Of kVersion.
  std::uint64_t version = 0;
  absl::Time started;
  absl::Time ended;
  /// 0 without an answer.
  unsigned status = 0;
  /// The body has come to its end.
  bool whole = false;
  bool left_early = false;
  std::string body;
  std::string detail;
};

/// What all callers of a run share; on the thread of the world.
struct CallLog {
  std::vector<CallRecord> records;
  bool stop = false;
  int running = 0;
  std::vector<std::uint64_t> versions;
  /// How often each VM was started.
  std::vector<int> incarnations;
};

class SoakCaller {
 public:
  /// `workspace` is 1 or 2.
  SoakCaller(World& world, CallLog& log, int workspace, std::uint64_t seed)
      : world_(world), log_(log), workspace_(workspace), random_(seed) {}

  /// Calls until the log says stop.
  void Run(Yield yield);

 private:
  int Draw(int below) { return std::uniform_int_distribution<int>(0, below - 1)(random_); }
  CallRecord MakeCall();
  HttpRequest MakeRequest(const CallRecord& call) const;
  void Play(CallRecord& call, Yield yield);
  ErrorOrVoid Exchange(CallRecord& call, HttpConnection& connection, bool& keep, Yield yield);

  World& world_;
  CallLog& log_;
  const int workspace_;
  std::mt19937_64 random_;
  // Kept until it breaks or the caller drops it.
  std::map<int, std::unique_ptr<HttpConnection>> connections_;
};

}  // namespace marigoldquay::testing

#endif  // MARIGOLDQUAY_TESTS_SOAK_SOAK_CALLER_H_
