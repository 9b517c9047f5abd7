// One completion against engines that fail in every step: everything is
// released, tokens are whole and in order, and "not run" is true.
#include "marigoldquay/exchange/completion_runner.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <vector>

#include "absl/strings/str_cat.h"

namespace marigoldquay {
namespace {

class FixedConfig final : public ConfigView {
 public:
  FixedConfig() : cell_(std::make_unique<Configuration>(Make())) {}
  RcuCell<Configuration>::ReadGuard Read() const override { return cell_.Read(); }
  Offset revision() const override { return 1; }
  bool current() const override { return true; }

 private:
  static Configuration Make() {
    Configuration::BackendServers servers;
    for (const auto* id : {"p1", "p2", "d1", "d2"}) servers[id] = {id, "pool"};
    return Configuration(1, {{"w1", {"w1", 1, 1000, 1000}}}, {},
                         {{"pool", {"pool", PoolKind::kModel, "model"}}}, servers, {});
  }
  RcuCell<Configuration> cell_;
};

class FakeQuota final : public QuotaClient {
 public:
  Reservation Reserve(absl::string_view workspace, absl::string_view, TokenCount tokens) override {
    return {outcome, std::string(workspace), tokens, 1, {}, absl::Seconds(3)};
  }
  void Settle(const Reservation& reservation, TokenCount unused) override {
    ++settlements;
    used = reservation.tokens - unused;
  }
  ReserveOutcome outcome = ReserveOutcome::kGranted;
  int settlements = 0;
  TokenCount used = -1;
};

// Places request number n on p1/d1, then p2/d2, and checks that each placement is released once.
class FakeScheduler final : public SchedulerClient {
 public:
  Placement Acquire(const PlacementRequest& request, const std::function<bool()>&) override {
    excluded = request.excluded;
    Placement placement;
    placement.outcome = outcome;
    placement.ticket = ++granted;
    placement.prefill_server = absl::StrCat("p", granted % 2 == 1 ? 1 : 2);
    placement.decode_server = absl::StrCat("d", granted % 2 == 1 ? 1 : 2);
    placement.retry_after = absl::Seconds(2);
    if (outcome != PlacementOutcome::kGranted) --granted;
    return placement;
  }
  void PrefillDone(const Placement&, TokenCount, absl::Duration) override {}
  void FirstToken(const Placement&, absl::Duration) override { ++first_tokens; }
  void Release(const Placement&, PlacementEnd end, TokenCount, absl::Duration) override {
    ends.push_back(end);
  }
  PlacementOutcome outcome = PlacementOutcome::kGranted;
  std::uint64_t granted = 0;
  int first_tokens = 0;
  std::vector<PlacementEnd> ends;
  std::vector<BackendServerId> excluded;
};

class FakeEngines final : public EngineClient {
 public:
  Result<PrefillResult> Prefill(const BackendServer& server, const PrefillRequest& request,
                                absl::Duration, const std::function<bool()>&) override {
    sent.insert(server.id);
    if (--prefill_failures >= 0) return Fail(prefill_error, "prefill", server.id, "fails");
    return PrefillResult{"handle", request.prompt_tokens, 0};
  }
  Result<DecodeResult> Decode(
      const BackendServer& server, const DecodeRequest& request, absl::Duration,
      const std::function<bool()>& cancelled,
      const std::function<bool(std::int64_t, absl::string_view)>& on_token) override {
    sent.insert(server.id);
    constexpr std::int64_t kTokens = 6;
    for (std::int64_t i = request.from_token; i < kTokens; ++i) {
      if (break_at == i && --decode_failures >= 0) {
        return Fail(decode_error, "decode", server.id, "breaks");
      }
      if (cancelled() || !on_token(i, absl::StrCat("t", i, " "))) {
        return Fail(ErrorCode::kCancelled, "decode", server.id, "cancelled");
      }
    }
    return DecodeResult{"stop", kTokens - request.from_token};
  }
  std::set<BackendServerId> sent;
  int prefill_failures = 0;
  ErrorCode prefill_error = ErrorCode::kUnavailable;
  int decode_failures = 0;
  std::int64_t break_at = -1;
  ErrorCode decode_error = ErrorCode::kUnavailable;
};

class FakeReleaser final : public HoldReleaser {
 public:
  void Release(const BackendServer& server, const RequestId&) override {
    released.insert(server.id);
  }
  std::set<BackendServerId> released;
};

struct Fixture {
  CompletionEnd Run(const std::function<bool()>& cancelled = [] { return false; }) {
    CompletionRunner runner({config, quota, scheduler, engines, releaser, active, clock, nullptr});
    CompletionRequest request;
    request.request_id = "r1";
    request.workspace = "w1";
    request.model = model;
    request.prompt = std::string(40, 'p');
    request.max_tokens = 20;
    request.timeout = absl::Seconds(30);
    auto outcome = std::make_shared<SharedOutcome>();
    auto reader = outcome->Join();
    runner.Run(request, *outcome, cancelled);
    while (auto token = reader->Next(absl::ZeroDuration()).token) text += *token;
    return *outcome->end();
  }

  FixedConfig config;
  FakeQuota quota;
  FakeScheduler scheduler;
  FakeEngines engines;
  FakeReleaser releaser;
  ActiveRequestSet active;
  ManualClock clock;
  std::string model = "model";
  std::string text;
};

constexpr char kWholeText[] = "t0 t1 t2 t3 t4 t5 ";

BOOST_FIXTURE_TEST_SUITE(completion_runner, Fixture)

BOOST_AUTO_TEST_CASE(success_settles_what_was_used) {
  const auto end = Run();
  BOOST_TEST(end.complete);
  BOOST_TEST(text == kWholeText);
  BOOST_TEST(quota.used == 10 + 6);
  BOOST_TEST((scheduler.ends == std::vector{PlacementEnd::kDone}));
  BOOST_TEST(releaser.released.empty());
}

// Fails if a broken stream is resumed with missing or repeated tokens.
BOOST_AUTO_TEST_CASE(broken_stream_resumes_at_the_next_token) {
  engines.break_at = 3;
  engines.decode_failures = 1;
  const auto end = Run();
  BOOST_TEST(end.complete);
  BOOST_TEST(text == kWholeText);
  BOOST_TEST(end.output_tokens == 6);
  BOOST_TEST(scheduler.first_tokens == 1);
  BOOST_TEST((scheduler.excluded == std::vector<BackendServerId>{"d1"}));
  BOOST_TEST((releaser.released == std::set<BackendServerId>{"p1", "d1"}));
}

// Fails if a failed attempt keeps engine memory or a placement.
BOOST_AUTO_TEST_CASE(every_failure_releases_servers_and_placements) {
  for (const auto code : {ErrorCode::kUnavailable, ErrorCode::kTimeout, ErrorCode::kNotSent,
                          ErrorCode::kResourceExhausted, ErrorCode::kNotFound}) {
    for (const bool in_prefill : {true, false}) {
      Fixture fixture;
      auto& engines = fixture.engines;
      engines.prefill_error = engines.decode_error = code;
      engines.prefill_failures = in_prefill ? 100 : 0;
      engines.decode_failures = 100;
      engines.break_at = 0;
      const auto end = fixture.Run();
      BOOST_TEST(!end.complete);
      BOOST_TEST(!end.not_run);
      BOOST_TEST((fixture.releaser.released == engines.sent));
      BOOST_TEST(fixture.scheduler.ends.size() == fixture.scheduler.granted);
      BOOST_TEST(fixture.quota.settlements == 1);
    }
  }
}

// Fails if a cancelled request keeps running or keeps what it holds.
BOOST_AUTO_TEST_CASE(cancel_during_decode_releases) {
  int polls = 0;
  const auto end = Run([&] { return ++polls > 4; });
  BOOST_TEST(!end.complete);
  BOOST_TEST(end.error_type == "cancelled");
  BOOST_TEST((releaser.released == engines.sent));
  BOOST_TEST(scheduler.ends.size() == scheduler.granted);
}

// Fails if a request that no engine has seen is not reported as not run, or one that an engine has
// seen is.
BOOST_AUTO_TEST_CASE(not_run_means_that_no_engine_was_asked) {
  scheduler.outcome = PlacementOutcome::kRefused;
  const auto refused = Run();
  BOOST_TEST(refused.not_run);
  BOOST_TEST(refused.http_status == 429);
  BOOST_TEST((refused.retry_after == absl::Seconds(2)));
  BOOST_TEST(engines.sent.empty());
  BOOST_TEST(quota.used == 0);

  Fixture over_rate;
  over_rate.quota.outcome = ReserveOutcome::kOverRate;
  BOOST_TEST(over_rate.Run().not_run);
  BOOST_TEST(over_rate.quota.settlements == 0);

  Fixture unknown_model;
  unknown_model.model = "other";
  const auto end = unknown_model.Run();
  BOOST_TEST(end.http_status == 404);
  BOOST_TEST(end.field == "model");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
