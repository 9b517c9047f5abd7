// Suspension and recovery of backend servers by the outcomes of requests.
#include "marigoldquay/dispatch/replica_health.h"

#include <boost/test/unit_test.hpp>
#include <vector>

#include "marigoldquay/dispatch/replica_balancer.h"

namespace marigoldquay {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

BOOST_AUTO_TEST_SUITE(replica_health)

BOOST_AUTO_TEST_CASE(two_consecutive_unreachable_outcomes_suspend) {
  ReplicaHealth health;
  BOOST_TEST(health.Available("a", kStart));
  health.Record("a", ReplicaOutcome::kUnreachable, kStart);
  BOOST_TEST(health.Available("a", kStart));
  BOOST_TEST(!health.IsResponsive("a"));
  health.Record("a", ReplicaOutcome::kUnreachable, kStart);
  BOOST_TEST(!health.Available("a", kStart));
  BOOST_TEST(health.Available("a", kStart + absl::Seconds(1)));
}

// Guards against a dead server that gets many requests as soon as its suspension ends.
BOOST_AUTO_TEST_CASE(suspended_server_gets_one_probe) {
  ReplicaHealth health;
  health.Record("a", ReplicaOutcome::kUnreachable, kStart);
  health.Record("a", ReplicaOutcome::kUnreachable, kStart);
  const auto later = kStart + absl::Seconds(1);
  BOOST_TEST(health.Available("a", later));
  health.OnPicked("a", later);
  BOOST_TEST(!health.Available("a", later));
  health.Record("a", ReplicaOutcome::kSuccess, later + absl::Milliseconds(20));
  BOOST_TEST(health.Available("a", later + absl::Milliseconds(20)));
  BOOST_TEST(health.IsResponsive("a"));
}

// Some applications routinely return server errors; these must not empty the pool.
BOOST_AUTO_TEST_CASE(server_errors_do_not_suspend) {
  ReplicaHealth health;
  for (int i = 0; i < 50; ++i) health.Record("a", ReplicaOutcome::kServerError, kStart);
  BOOST_TEST(health.Available("a", kStart));
  BOOST_TEST(health.FailureRate("a") > 0.9);
}

BOOST_AUTO_TEST_CASE(retain_drops_servers_that_are_not_listed) {
  ReplicaHealth health;
  health.Record("a", ReplicaOutcome::kServerError, kStart);
  health.Record("b", ReplicaOutcome::kServerError, kStart);
  health.Retain(std::vector<BackendServerId>{"b"});
  BOOST_TEST(health.FailureRate("a") == 0.0);
  BOOST_TEST(health.FailureRate("b") > 0.0);
}

// Guards against requests to a server within its retry-after time, even if it is the only one.
BOOST_AUTO_TEST_CASE(server_gets_no_requests_within_its_retry_after_time) {
  ReplicaHealth health;
  ReplicaBalancer balancer("z1", health);
  Replica replica;
  replica.id = "a";
  const std::vector<Replica> ready = {replica};
  const absl::Time now = absl::FromUnixSeconds(100);
  health.RecordRetryAfter("a", now + absl::Seconds(2));
  health.Record("a", ReplicaOutcome::kSuccess, now);
  BOOST_TEST(!balancer.Pick(ready, {}, false, now + absl::Seconds(1)).has_value());
  BOOST_TEST(health.Refusing(now + absl::Seconds(1)).size() == 1);
  BOOST_TEST(balancer.Pick(ready, {}, false, now + absl::Seconds(3)).has_value());
  BOOST_TEST(health.Refusing(now + absl::Seconds(3)).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
