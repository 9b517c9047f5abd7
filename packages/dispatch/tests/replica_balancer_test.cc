// Choice of a backend server by load, service time, failures and availability zone.
#include "marigoldquay/dispatch/replica_balancer.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <vector>

namespace marigoldquay {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

Replica MakeReplica(const std::string& id, const std::string& zone = "z1", int slots = 4) {
  Replica replica;
  replica.id = id;
  replica.service = "s";
  replica.availability_zone = zone;
  replica.slots = slots;
  return replica;
}

struct Fixture {
  ReplicaHealth health;
  ReplicaBalancer balancer{"z1", health};
  std::vector<Replica> ready = {MakeReplica("a"), MakeReplica("b"), MakeReplica("c")};

  std::string Pick(absl::Time now, std::vector<BackendServerId> excluded = {},
                   bool responsive_only = false) {
    const auto picked = balancer.Pick(ready, excluded, responsive_only, now);
    return picked ? picked->id : "";
  }
};

BOOST_FIXTURE_TEST_SUITE(replica_balancer, Fixture)

// Requests that arrive at the same time must be spread over the replicas.
BOOST_AUTO_TEST_CASE(spreads_requests_by_load) {
  std::map<std::string, int> counts;
  for (int i = 0; i < 12; ++i) {
    const auto id = Pick(kStart);
    balancer.OnStart(id);
    ++counts[id];
  }
  for (const auto& [id, count] : counts) BOOST_TEST(count == 4);
}

BOOST_AUTO_TEST_CASE(avoids_slow_and_failing_replicas) {
  for (const char* id : {"a", "b", "c"}) {
    balancer.OnStart(id);
    balancer.OnEnd(id, absl::Milliseconds(std::string(id) == "a" ? 200 : 30));
  }
  for (int i = 0; i < 20; ++i) health.Record("b", ReplicaOutcome::kServerError, kStart);
  BOOST_TEST(Pick(kStart) == "c");
}

BOOST_AUTO_TEST_CASE(uses_reported_load_of_other_vms_while_it_is_fresh) {
  balancer.OnLoad("a", {4, 10, 4}, kStart);
  balancer.OnLoad("b", {4, 10, 4}, kStart);
  BOOST_TEST(Pick(kStart) == "c");
}

// Guards against refusing requests because all remaining replicas are suspended.
BOOST_AUTO_TEST_CASE(suspended_replica_is_the_last_choice) {
  for (const char* id : {"a", "b"}) {
    health.Record(id, ReplicaOutcome::kUnreachable, kStart);
    health.Record(id, ReplicaOutcome::kUnreachable, kStart);
  }
  BOOST_TEST(Pick(kStart) == "c");
  BOOST_TEST(Pick(kStart, {"c"}) != "");
  BOOST_TEST(Pick(kStart, {"a", "b", "c"}) == "");
}

// A non-idempotent request must not probe a server that has just failed.
BOOST_AUTO_TEST_CASE(unresponsive_replica_gets_no_non_idempotent_request) {
  health.Record("a", ReplicaOutcome::kUnreachable, kStart);
  health.Record("b", ReplicaOutcome::kUnreachable, kStart);
  BOOST_TEST(Pick(kStart, {}, true) == "c");
}

BOOST_AUTO_TEST_CASE(prefers_its_own_zone) {
  ready = {MakeReplica("far", "z2"), MakeReplica("near", "z1")};
  BOOST_TEST(Pick(kStart) == "near");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
