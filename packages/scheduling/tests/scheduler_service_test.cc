// Scheduler service and its client: guards against placements that are lost when
// schedulers change or die.
#include "marigoldquay/scheduling/scheduler_service.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "absl/strings/match.h"
#include "fakes.h"
#include "marigoldquay/scheduling/rpc_scheduler_client.h"

namespace marigoldquay {
namespace {

using testing::FakeConfigView;
using testing::FakeMemberView;
using testing::FakeRpc;

class FakeReports final : public EngineReports {
 public:
  std::atomic<int> slots{2};
  Result<LoadReport> Load(const BackendServer&, absl::Duration) override {
    return LoadReport{.slots = slots};
  }
  Result<std::vector<CacheEvent>> CacheEvents(const BackendServer&, std::uint64_t,
                                              absl::Duration) override {
    return std::vector<CacheEvent>();
  }
};

struct Fixture {
  Fixture() {
    config.Set({{.id = "pool"}}, {{.id = "p", .pool = "pool", .role = BackendRole::kPrefill},
                                  {.id = "d", .pool = "pool", .role = BackendRole::kDecode}});
    members.Add("other", 1);
    members.Add("third", 1);
  }
  SchedulerService& Service() {
    if (!service) {
      service = std::make_unique<SchedulerService>(SchedulerOptions{}, config, members, leaving,
                                                   reports, clock);
    }
    return *service;
  }
  PlacementRequest Request() const {
    return {.request_id = "r",
            .workspace = "w",
            .pool = "pool",
            .prompt_tokens = 1000,
            .max_output_tokens = 100,
            .first_token_budget = absl::Milliseconds(430)};
  }

  FakeConfigView config;
  FakeMemberView members{"self"};
  LeavingServers leaving;
  FakeReports reports;
  ManualClock clock;
  FakeRpc rpc;
  std::unique_ptr<SchedulerService> service;
};

BOOST_AUTO_TEST_SUITE(scheduler_service)

// Fails if a call over the inner protocol loses a field or its ticket cannot be released.
BOOST_AUTO_TEST_CASE(places_and_releases_over_rpc) {
  Fixture f;
  f.members.SetRanking({"other", "self"});
  f.Service().RegisterHandlers(f.rpc);
  RpcSchedulerClient client(f.Service(), f.rpc, f.members, f.clock);
  std::vector<Placement> placements;
  for (int i = 0; i < 2; ++i) {
    placements.push_back(client.Acquire(f.Request(), nullptr));
    BOOST_REQUIRE(placements.back().granted());
    BOOST_TEST(placements.back().prefill_server == "p");
    BOOST_TEST(placements.back().decode_server == "d");
    BOOST_TEST(placements.back().scheduler == "other");
    client.PrefillDone(placements.back(), 0, absl::Milliseconds(50));
    client.FirstToken(placements.back(), absl::Milliseconds(20));
    BOOST_TEST(client.WaitIdle(absl::Seconds(20)));
  }
  BOOST_TEST(absl::StrContains(f.Service().DescribeJson(), "\"tickets\":2"));
  for (const auto& placement : placements) {
    client.Release(placement, PlacementEnd::kDone, 10, absl::Seconds(1));
  }
  BOOST_TEST(client.WaitIdle(absl::Seconds(20)));
  BOOST_TEST(absl::StrContains(f.Service().DescribeJson(), "\"tickets\":0"));
}

// Fails if a caller that has gone keeps its place in the queue.
BOOST_AUTO_TEST_CASE(cancelled_call_leaves_the_queue) {
  Fixture f;
  f.members.SetRanking({"self"});
  f.reports.slots = 0;
  std::atomic<bool> cancelled{false};
  std::thread caller([&] {
    const auto placement = f.Service().Acquire(
        f.Request(), {"self", 1}, [&] { return cancelled.load(); }, absl::Seconds(60));
    BOOST_TEST((placement.outcome == PlacementOutcome::kCancelled));
  });
  cancelled = true;
  caller.join();
  BOOST_TEST(absl::StrContains(f.Service().DescribeJson(), "\"queued\":0"));
}

// Fails if requests keep waiting at a VM that no longer ranks first.
BOOST_AUTO_TEST_CASE(waiting_calls_are_given_up_when_another_vm_takes_over) {
  Fixture f;
  f.members.SetRanking({"self", "other"});
  f.reports.slots = 0;
  auto& service = f.Service();
  std::thread caller([&] {
    const auto placement = service.Acquire(f.Request(), {"self", 1}, nullptr, absl::Seconds(60));
    BOOST_TEST((placement.outcome == PlacementOutcome::kUnavailable));
  });
  while (!absl::StrContains(service.DescribeJson(), "\"queued\":1")) std::this_thread::yield();
  f.members.SetRanking({"other", "self"});
  service.Refresh();
  caller.join();
}

// Fails if a request is lost with the scheduler in whose queue it waited.
BOOST_AUTO_TEST_CASE(asks_the_next_vm_when_a_scheduler_dies) {
  Fixture f;
  f.members.SetRanking({"other", "third", "self"});
  RpcSchedulerClient client(f.Service(), f.rpc, f.members, f.clock);
  std::vector<Address> asked;
  f.rpc.handler = [&](const Address& peer, protocol::MessageType, absl::string_view,
                      const CallOptions& options) -> Result<std::string> {
    asked.push_back(peer);
    f.clock.Advance(absl::Milliseconds(20));
    if (asked.size() == 1) return Fail(ErrorCode::kUnavailable, "call", peer, "broke");
    // A VM that lost power closes no connection; its heartbeats stop.
    f.members.SetResponsive("third", false);
    BOOST_TEST(options.cancelled());
    return Fail(ErrorCode::kCancelled, "call", peer, "cancelled");
  };
  const auto placement = client.Acquire(f.Request(), nullptr);
  BOOST_TEST((asked == std::vector<Address>{"other:1", "third:1"}));
  BOOST_TEST(placement.granted());
  BOOST_TEST(placement.scheduler == "self");
}

// Fails if a refusal is taken for an outage, or if a caller that has gone is asked for elsewhere.
BOOST_AUTO_TEST_CASE(refusal_and_cancel_are_final) {
  Fixture f;
  f.members.SetRanking({"other", "self"});
  RpcSchedulerClient client(f.Service(), f.rpc, f.members, f.clock);
  f.rpc.handler = [](const Address&, protocol::MessageType, absl::string_view,
                     const CallOptions&) -> Result<std::string> {
    protocol::AcquireReplyT reply;
    reply.status = protocol::AcquireStatus::Refused;
    reply.retry_after_ms = 1500;
    return EncodeMessage(reply);
  };
  const auto refused = client.Acquire(f.Request(), nullptr);
  BOOST_TEST((refused.outcome == PlacementOutcome::kRefused));
  BOOST_TEST((refused.retry_after == absl::Milliseconds(1500)));
  const auto cancelled = client.Acquire(f.Request(), [] { return true; });
  BOOST_TEST((cancelled.outcome == PlacementOutcome::kCancelled));
}

// Fails if a release is lost because its first delivery failed.
BOOST_AUTO_TEST_CASE(reports_are_retried) {
  Fixture f;
  // The clock runs ahead of the threads here, so that no report may expire.
  RpcSchedulerClient client(f.Service(), f.rpc, f.members, f.clock,
                            {.report_lifetime = absl::InfiniteDuration()});
  std::atomic<int> calls{0};
  f.rpc.handler = [&](const Address& peer, protocol::MessageType, absl::string_view,
                      const CallOptions&) -> Result<std::string> {
    if (++calls < 3) return Fail(ErrorCode::kNotSent, "call", peer, "refused");
    return EncodeMessage(protocol::AckT());
  };
  const Placement placement{
      .outcome = PlacementOutcome::kGranted, .ticket = 5, .pool = "pool", .scheduler = "other"};
  client.Release(placement, PlacementEnd::kDone, 1, absl::Seconds(1));
  while (!client.WaitIdle(absl::Milliseconds(5))) f.clock.Advance(absl::Seconds(1));
  BOOST_TEST(calls == 3);
  f.members.Remove("other");
  f.rpc.handler = [](const Address&, protocol::MessageType, absl::string_view,
                     const CallOptions&) -> Result<std::string> {
    return Fail(ErrorCode::kInternal, "call", "", "must not be called");
  };
  client.Release(placement, PlacementEnd::kDone, 1, absl::Seconds(1));
  BOOST_TEST(client.WaitIdle(absl::Seconds(20)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
