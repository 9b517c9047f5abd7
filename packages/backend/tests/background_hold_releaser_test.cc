// Hold release: guards against engine memory that stays allocated because a
// cancel was lost.
#include "marigoldquay/backend/background_hold_releaser.h"

#include <atomic>
#include <boost/test/unit_test.hpp>

#include "../../scheduling/tests/fakes.h"
#include "absl/strings/match.h"

namespace marigoldquay {
namespace {

using testing::FakeConfigView;
using testing::FakeHttpClient;

constexpr absl::Duration kPatience = absl::Seconds(20);
const BackendServer kServer{.id = "d", .address = "d:1"};
const ReleaserOptions kFast{.first_backoff = absl::ZeroDuration(),
                            .max_backoff = absl::ZeroDuration()};

BOOST_AUTO_TEST_SUITE(background_hold_releaser)

// Fails if a cancel is given up before the engine confirmed it.
BOOST_AUTO_TEST_CASE(retries_until_confirmed) {
  std::atomic<int> calls{0};
  FakeHttpClient http([&](const HttpRequest&) -> Result<HttpResponse> {
    const int call = ++calls;
    if (call == 1) return Fail(ErrorCode::kTimeout, "cancel", "d", "no answer");
    if (call == 2) return HttpResponse{500, {}, ""};
    return HttpResponse{200, {}, "{\"released\":1}"};
  });
  FakeConfigView config;
  config.Set({}, {kServer});
  const ManualClock clock;
  BackgroundHoldReleaser releaser(http, config, clock, kFast);
  releaser.Release(kServer, "r1");
  BOOST_TEST(releaser.WaitIdle(kPatience));
  BOOST_TEST(calls == 3);
  BOOST_TEST(absl::StrContains(http.requests()[0].body, "\"r1\""));
}

// Fails if one request that the engine refuses to cancel keeps the others from being cancelled.
BOOST_AUTO_TEST_CASE(refused_cancel_does_not_block_others) {
  std::atomic<bool> refuse{true};
  FakeHttpClient http([&](const HttpRequest& request) -> Result<HttpResponse> {
    if (absl::StrContains(request.body, "\"bad\"") && refuse) return HttpResponse{400, {}, ""};
    if (absl::StrContains(request.body, "\"r3\"")) refuse = false;
    return HttpResponse{200, {}, "{}"};
  });
  FakeConfigView config;
  config.Set({}, {kServer});
  const ManualClock clock;
  BackgroundHoldReleaser releaser(http, config, clock, kFast);
  for (const auto* id : {"bad", "r2", "r3"}) releaser.Release(kServer, id);
  BOOST_TEST(releaser.WaitIdle(kPatience));
}

// Fails if cancels for servers that no longer exist are kept for ever.
BOOST_AUTO_TEST_CASE(gives_up_when_server_left_the_configuration) {
  FakeConfigView config;
  config.Set({}, {kServer});
  FakeHttpClient http([&](const HttpRequest&) -> Result<HttpResponse> {
    config.Set({}, {});
    return Fail(ErrorCode::kNotSent, "cancel", "d", "refused");
  });
  const ManualClock clock;
  BackgroundHoldReleaser releaser(http, config, clock, kFast);
  releaser.Release(kServer, "r1");
  BOOST_TEST(releaser.WaitIdle(kPatience));
}

// Fails if a frozen server lets the queue grow without bound.
BOOST_AUTO_TEST_CASE(queue_is_bounded) {
  std::atomic<bool> fail{true};
  FakeHttpClient http([&](const HttpRequest&) -> Result<HttpResponse> {
    if (fail) return Fail(ErrorCode::kTimeout, "cancel", "d", "no answer");
    return HttpResponse{200, {}, "{}"};
  });
  FakeConfigView config;
  config.Set({}, {kServer});
  const ManualClock clock;
  auto options = kFast;
  options.max_pending = 2;
  BackgroundHoldReleaser releaser(http, config, clock, options);
  for (int i = 0; i < 5; ++i) releaser.Release(kServer, "r");
  BOOST_TEST(releaser.pending() == 2U);
  fail = false;
  BOOST_TEST(releaser.WaitIdle(kPatience));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
