// Request limits of backend servers: over many VMs with and without a coordinator, and in the
// choice of servers and engines.
#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <deque>
#include <optional>
#include <random>
#include <vector>

#include "marigoldquay/dispatch/quota_ledger.h"
#include "marigoldquay/dispatch/replica_balancer.h"
#include "marigoldquay/dispatch/stream_scheduler.h"

namespace marigoldquay {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
constexpr absl::Duration kWindow = absl::Seconds(4);

Replica LimitedServer(const std::string& id, std::optional<double> per_second) {
  Replica server;
  server.id = id;
  server.service = "s";
  server.availability_zone = "z1";
  server.slots = 4;
  server.request_limit = {per_second, kStart};
  return server;
}

/// Ledgers of a fleet that loses its coordinator from time to time. VMs decide with their share
/// meanwhile, and the next coordinator knows only the last balance that they were sent.
class Fleet {
 public:
  Fleet(std::size_t vms, const AccountQuota& quota, absl::Time now) : quota_(quota) {
    local_.resize(vms);
    StartCoordinator(now);
  }

  void LoseCoordinator(absl::Time now) {
    const TokenCount level = coordinator_->Level(quota_, now);
    if (level * 2 < quota_.burst) balance_ = level;
    coordinator_.reset();
    for (auto& ledger : local_) {
      ledger.Reset();
      ledger.SetShare(0);
      if (balance_) ledger.CapInitialLevel(quota_, *balance_, now);
      ledger.SetShare(1.0 / static_cast<double>(local_.size()));
    }
  }
  void StartCoordinator(absl::Time now) {
    coordinator_.emplace(0.0);
    if (balance_) coordinator_->CapInitialLevel(quota_, *balance_, now);
    coordinator_->SetShare(1.0);
    balance_.reset();
  }
  bool has_coordinator() const { return coordinator_.has_value(); }
  bool Admit(std::size_t vm, TokenCount cost, absl::Time now) {
    QuotaLedger& ledger = coordinator_ ? *coordinator_ : local_[vm];
    return ledger.Admit(quota_, cost, now).admitted;
  }
  std::size_t vms() const { return local_.size(); }

 private:
  const AccountQuota quota_;
  std::optional<QuotaLedger> coordinator_;
  std::vector<QuotaLedger> local_;
  std::optional<TokenCount> balance_;
};

BOOST_AUTO_TEST_SUITE(request_limit)

// Guards against a server that gets more than its limit when the coordinator is lost again and
// again, also when the limit is below the number of VMs, so that no VM has a whole request.
BOOST_AUTO_TEST_CASE(limit_holds_with_and_without_a_coordinator) {
  BOOST_TEST(rc::check("requests in every window of 4 s stay within 1.5 x limit x 4 s + 5", [] {
    const std::size_t vms = *rc::gen::element<std::size_t>(3, 9, 69, 295);
    const double limit = 0.1 * *rc::gen::inRange(0, 120);
    const double demand_per_step = 0.2 * *rc::gen::inRange(1, 20);
    std::mt19937 random(*rc::gen::arbitrary<unsigned>());
    std::uniform_real_distribution<double> fraction(0, 1);
    Fleet fleet(vms, QuotaOf(LimitedServer("s1", limit)), kStart);
    std::deque<absl::Time> sent;
    absl::Time now = kStart;
    absl::Time change = now + absl::Seconds(1 + 4 * fraction(random));
    double demand = 0;
    while (now < kStart + absl::Seconds(30)) {
      now += absl::Milliseconds(10);
      if (now >= change) {
        const bool lost = fleet.has_coordinator();
        lost ? fleet.LoseCoordinator(now) : fleet.StartCoordinator(now);
        change = now + absl::Seconds(lost ? 0.2 + 2 * fraction(random) : 1 + 4 * fraction(random));
      }
      for (demand += demand_per_step; demand >= 1; demand -= 1) {
        const auto vm =
            static_cast<std::size_t>(fraction(random) * static_cast<double>(fleet.vms()));
        if (fleet.Admit(vm, kRequestCost, now)) sent.push_back(now);
      }
      while (!sent.empty() && sent.front() <= now - kWindow) sent.pop_front();
      RC_ASSERT(static_cast<double>(sent.size()) <=
                1.5 * limit * absl::ToDoubleSeconds(kWindow) + 5);
    }
  }));
}

// Guards against a limited server that gets much less than it accepts while callers wait.
BOOST_AUTO_TEST_CASE(limit_is_used) {
  for (const double limit : {0.5, 1.0, 3.2, 20.0}) {
    Fleet fleet(9, QuotaOf(LimitedServer("s1", limit)), kStart);
    int sent = 0;
    for (int step = 0; step < 2000; ++step) {
      if (fleet.Admit(0, kRequestCost, kStart + step * absl::Milliseconds(10))) ++sent;
    }
    BOOST_TEST(sent >= limit * 20 * 0.95 - 1);
  }
}

// The limit says how many requests all VMs may send, so a server that accepts none still gets one
// from time to time, which tells when the limit ends.
BOOST_AUTO_TEST_CASE(server_that_accepts_none_is_probed) {
  const AccountQuota none = QuotaOf(LimitedServer("s1", 0));
  QuotaLedger ledger;
  int sent = 0;
  for (int second = 0; second < 60; ++second) {
    if (ledger.Admit(none, kRequestCost, kStart + absl::Seconds(second)).admitted) ++sent;
  }
  BOOST_TEST(sent >= 12);
  BOOST_TEST(sent <= 30);
  BOOST_TEST(!QuotaOf(LimitedServer("s1", std::nullopt)).limited());
  BOOST_TEST(QuotaOf(LimitedServer("s1", 1e300)).limited());
}

BOOST_AUTO_TEST_CASE(levels_of_removed_servers_are_discarded) {
  QuotaLedger ledger;
  const auto quota = QuotaOf(LimitedServer("s1", 10));
  ledger.Charge(quota, 4 * kRequestCost, kStart);
  ledger.RetainServers(std::vector<BackendServerId>{"s1"});
  BOOST_TEST(ledger.Level(quota, kStart) < 0);
  ledger.RetainServers({});
  BOOST_TEST(ledger.Level(quota, kStart) > 0);
}

// Guards against requests for a server in need while others are idle.
BOOST_AUTO_TEST_CASE(unlimited_servers_come_first) {
  ReplicaHealth health;
  ReplicaBalancer balancer("z1", health);
  const std::vector<Replica> ready = {LimitedServer("a", 3), LimitedServer("b", std::nullopt)};
  BOOST_TEST(balancer.Pick(ready, {}, false, kStart)->id == "b");
  BOOST_TEST(balancer.Pick(ready, std::vector<BackendServerId>{"b"}, false, kStart)->id == "a");
}

struct LimitedEngines {
  QuotaLedger quota;
  StreamScheduler scheduler{{.share = 1.0, .request_quota = &quota}};

  explicit LimitedEngines(std::optional<double> second_limit) {
    std::vector<Replica> engines = {LimitedServer("p1", std::nullopt), LimitedServer("d1", 2),
                                    LimitedServer("d2", second_limit)};
    for (auto& engine : engines) engine.slots = 64;
    engines[0].role = EngineRole::kPrefill;
    engines[1].role = EngineRole::kDecode;
    engines[2].role = EngineRole::kDecode;
    scheduler.SetEngines({64, 1'000'000}, engines);
  }
  StreamDecision Place(absl::Time now) {
    StreamDemand demand;
    demand.request = "r";
    demand.prompt_tokens = 100;
    demand.output_tokens = 10;
    demand.first_event_due = now + absl::Milliseconds(900);
    demand.caller_deadline = now + absl::Seconds(4);
    return scheduler.Place(demand, now);
  }
};

// Guards against streams placed on an engine beyond its limit while another one has capacity.
BOOST_AUTO_TEST_CASE(engine_gets_no_more_streams_than_its_limit) {
  LimitedEngines engines(std::nullopt);
  int on_limited = 0;
  for (int step = 0; step < 400; ++step) {
    const absl::Time now = kStart + step * absl::Milliseconds(10);
    const auto decision = engines.Place(now);
    BOOST_TEST((decision.verdict == StreamVerdict::kGranted));
    on_limited += decision.decode == "d1" ? 1 : 0;
    engines.scheduler.OnPrefillEnd(decision.ticket, true, now);
    engines.scheduler.OnEnd(decision.ticket, StreamEnd::kCancelled, now);
  }
  BOOST_TEST(on_limited > 0);
  BOOST_TEST(on_limited <= 9);
}

// Guards against streams that wait in vain, until their callers give up, for engines whose limits
// are reached: the first ones wait for their turn, the others are refused at once.
BOOST_AUTO_TEST_CASE(streams_beyond_all_limits_are_refused_at_once) {
  LimitedEngines engines(1.0);
  int queued = 0;
  int refused = 0;
  for (int i = 0; i < 40; ++i) {
    const auto decision = engines.Place(kStart);
    queued += decision.verdict == StreamVerdict::kQueued ? 1 : 0;
    if (decision.verdict != StreamVerdict::kRefused) continue;
    ++refused;
    BOOST_TEST((decision.retry_after >= absl::Seconds(1)));
  }
  BOOST_TEST(queued >= 8);
  BOOST_TEST(refused >= 25);
  int granted = 0;
  for (int step = 1; step <= 400; ++step) {
    for (const auto& decision :
         engines.scheduler.PlaceWaiting(kStart + step * absl::Milliseconds(10))) {
      granted += decision.verdict == StreamVerdict::kGranted ? 1 : 0;
    }
  }
  BOOST_TEST(granted >= queued - 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
