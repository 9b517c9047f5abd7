// Checks the promises of a soak run.
#include "promises.h"

#include <algorithm>
#include <map>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace marigoldquay::testing {
namespace {

constexpr int kStreamEvents = 6;
constexpr std::size_t kMaxAttempts = 2;
constexpr double kPlainTokens = 10;
constexpr double kStreamTokens = 100;

using RunsById = std::map<std::string, std::vector<const ReplicaRun*>>;

class Checker {
 public:
  explicit Checker(const PromiseInput& input) : input_(input) {
    for (const auto& run : input_.seen.runs) runs_[run.request_id].push_back(&run);
  }

  std::vector<std::string> Check() {
    for (const auto& violation : input_.seen.violations) Add("backend server", violation);
    for (const CallRecord& call : input_.calls) CheckCall(call);
    for (const ReplicaRun& run : input_.seen.runs) CheckRun(run);
    CheckQuota();
    CheckVersions();
    return std::move(violations_);
  }

 private:
  void Add(const std::string& what, const std::string& detail) {
    violations_.push_back(absl::StrCat(what, ": ", detail));
  }

  static std::string Describe(const CallRecord& call) {
    return absl::StrCat(call.id, " kind ", static_cast<int>(call.kind), " vm ", call.vm, " status ",
                        call.status, " ", call.detail);
  }

  static bool IsStream(const CallRecord& call) {
    return call.kind == CallKind::kStream || call.kind == CallKind::kOnce;
  }

  static std::string ExpectedBody(const CallRecord& call) {
    if (!IsStream(call)) return PlainBody(call.id);
    std::string body;
    for (int n = 1; n <= kStreamEvents; ++n) {
      body += StreamEvent(call.id, static_cast<std::uint64_t>(n));
    }
    return body;
  }

  void CheckCall(const CallRecord& call) {
    const std::size_t runs = runs_[call.id].size();
    const bool once = call.kind == CallKind::kOrder || call.kind == CallKind::kOnce;
    if (runs > (once ? 1 : kMaxAttempts)) Add("ran too often", Describe(call));
    const bool promised_not_run =
        call.status == 429 || call.status == 503 || call.status == 408 || call.status == 421;
    if (promised_not_run && runs > 0) Add("ran though refused", Describe(call));
    if (call.status >= 200 && call.status < 300) CheckAnswer(call);
    const bool calm = call.started >= input_.calm_start && call.ended <= input_.calm_end;
    const bool wanted = call.workspace == "w1" && !call.left_early;
    if (calm && wanted && call.status != 200) Add("not served on a calm system", Describe(call));
  }

  void CheckAnswer(const CallRecord& call) {
    const std::string expected = ExpectedBody(call);
    if (!absl::StartsWith(expected, call.body)) Add("wrong body", Describe(call));
    if (call.whole && call.body != expected) Add("ended as whole too early", Describe(call));
  }

  void CheckRun(const ReplicaRun& run) {
    if (run.saw_key) Add("key passed on", run.request_id);
    if (run.body != absl::StrCat("body of ", run.request_id) && run.body != "body") {
      Add("request body changed", run.request_id);
    }
  }

  // Admission comes before the run, so at every moment the runs so far fit the rate and burst.
  void CheckQuota() {
    std::map<absl::Time, double> tokens;
    for (const CallRecord& call : input_.calls) {
      if (call.workspace != "w2") continue;
      const double cost = IsStream(call) ? kStreamTokens : kPlainTokens;
      for (const ReplicaRun* run : runs_[call.id]) tokens[run->started] += cost;
    }
    double total = 0;
    double worst = 0;
    for (const auto& [time, cost] : tokens) {
      total += cost;
      const double seconds = absl::ToDoubleSeconds(time - input_.started);
      const double allowed = input_.limited_rate * (seconds + 1);
      worst = std::max(worst, total - allowed);
    }
    if (worst > 0) Add("beyond the quota", absl::StrCat(worst, " tokens"));
  }

  // A configuration that a VM has used once stays in force until the process ends.
  void CheckVersions() {
    std::vector<const CallRecord*> calls;
    for (const CallRecord& call : input_.calls) {
      if (call.kind == CallKind::kVersion) calls.push_back(&call);
    }
    for (const CallRecord* later : calls) {
      if (later->status != 404) continue;
      const bool used = std::any_of(calls.begin(), calls.end(), [&](const CallRecord* earlier) {
        return earlier->vm == later->vm && earlier->incarnation == later->incarnation &&
               earlier->version >= later->version && earlier->status == 200 &&
               earlier->ended < later->started;
      });
      if (used) Add("went back to an older configuration", Describe(*later));
    }
  }

  const PromiseInput& input_;
  RunsById runs_;
  std::vector<std::string> violations_;
};

}  // namespace

std::vector<std::string> CheckPromises(const PromiseInput& input) { return Checker(input).Check(); }

}  // namespace marigoldquay::testing
