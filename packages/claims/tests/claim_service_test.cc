// Claim service, one situation at a time: guards against second runs, wrong
// answers and untrue "not run". Waits end on conditions, not on elapsed time.
#include "marigoldquay/claims/claim_service.h"

#include <boost/test/unit_test.hpp>

#include "claim_cluster.h"
#include "marigoldquay/claims/claim_records.h"
#include "marigoldquay/core/rendezvous.h"
#include "marigoldquay/core/secret.h"

namespace marigoldquay {
namespace {

using testing::ClaimCluster;
using testing::ClaimVm;

constexpr auto kTimeout = absl::Seconds(20);

ClaimOptions Options(absl::Duration claim_timeout) {
  ClaimOptions options;
  options.claim_timeout = claim_timeout;
  options.tail_wait = absl::Milliseconds(10);
  options.append_retry = absl::Milliseconds(50);
  options.void_delay = absl::Milliseconds(50);
  options.ask_timeout = absl::Seconds(5);
  options.ask_all_timeout = absl::Seconds(10);
  return options;
}

OnceRequest Request(const std::string& key, const std::string& body = "body") {
  static std::atomic<int> next{0};
  OnceRequest request;
  request.request_id = absl::StrCat("request-", next++);
  request.workspace = "w";
  request.idempotency_key = key;
  request.method = "POST";
  request.target = "/orders";
  request.body = body;
  return request;
}

struct Cluster {
  explicit Cluster(absl::Duration claim_timeout = absl::Seconds(10))
      : cluster(1, Options(claim_timeout)), a(cluster.Join("a")), b(cluster.Join("b")) {}
  OnceResult Run(ClaimVm& vm, const OnceRequest& request) {
    return vm.service->Run(request, kTimeout);
  }
  // Makes one VM the owner of all shards in its own view.
  void OwnItself(ClaimVm& vm) { vm.rank_shift = &vm == &a ? 0 : 1; }

  ClaimCluster cluster;
  ClaimVm& a;
  ClaimVm& b;
};

struct FastCluster : Cluster {
  FastCluster() : Cluster(absl::Milliseconds(200)) {}
  // Lets the VM follow all shards for a while, so that it has evidence of the present epoch.
  void Follow() { absl::SleepFor(absl::Milliseconds(300)); }
};

BOOST_AUTO_TEST_SUITE(claim_service)

// Fails if devices that send the same request get different answers or several runs.
BOOST_FIXTURE_TEST_CASE(duplicates_share_one_run, Cluster) {
  std::vector<OnceResult> results(6);
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < results.size(); ++i) {
    threads.emplace_back([&, i] { results[i] = Run(i % 2 == 0 ? a : b, Request("k")); });
  }
  for (auto& thread : threads) thread.join();
  OwnItself(b);
  results.push_back(Run(b, Request("k")));
  BOOST_TEST(cluster.executions().size() == 1);
  for (const auto& result : results) {
    BOOST_TEST((result.outcome == OnceOutcome::kAnswered));
    BOOST_TEST(result.status == 201);
    BOOST_TEST(result.body == results[0].body);
  }
}

// Fails if another body under the same key runs or is answered with the first one's outcome.
BOOST_FIXTURE_TEST_CASE(other_body_is_a_mismatch, Cluster) {
  BOOST_TEST((Run(a, Request("k")).outcome == OnceOutcome::kAnswered));
  BOOST_TEST((Run(b, Request("k", "other")).outcome == OnceOutcome::kBodyMismatch));
  BOOST_TEST(cluster.executions().size() == 1);
}

// Fails if an owner without the runner's memory runs a key again.
BOOST_FIXTURE_TEST_CASE(recorded_outcome_outlives_its_vm, Cluster) {
  const auto first = Run(a, Request("k"));
  while (a.service->running() > 0) absl::SleepFor(absl::Milliseconds(1));
  a.killed = true;
  cluster.Remove(a);
  const auto second = Run(b, Request("k"));
  BOOST_TEST((second.outcome == OnceOutcome::kAnswered));
  BOOST_TEST(second.body == first.body);
}

// Fails if a claim of a dead holder without an outcome is run again or called "not run".
BOOST_FIXTURE_TEST_CASE(claim_of_a_dead_holder_is_unknown, Cluster) {
  ClaimRecord claim;
  claim.key = Sha256Hex("1:wk");
  claim.request_digest = Sha256Hex("POST\n/orders\nbody");
  claim.holder = {"gone", 1};
  claim.nonce = "n";
  cluster.log.AppendDirectly(absl::StrCat("claims-", StableHash(claim.key) % kClaimShards),
                             SerializeClaimBatch({claim}));
  BOOST_TEST((Run(b, Request("k")).outcome == OnceOutcome::kUnknown));
  BOOST_TEST((Run(a, Request("k")).outcome == OnceOutcome::kUnknown));
  BOOST_TEST(cluster.executions().empty());
}

// Fails if an unreachable backend server makes a key unusable.
BOOST_FIXTURE_TEST_CASE(request_that_was_not_sent_can_be_retried, Cluster) {
  cluster.faults.unreachable_backend = 1;
  BOOST_TEST((Run(a, Request("k")).outcome == OnceOutcome::kNotRun));
  cluster.faults.unreachable_backend = 0;
  BOOST_TEST((Run(a, Request("k")).outcome == OnceOutcome::kAnswered));
  BOOST_TEST(cluster.executions().size() == 1);
}

// Fails if an append whose answer was lost is taken for absent, or makes a second run.
BOOST_FIXTURE_TEST_CASE(lost_append_answers_are_resolved_by_reading, Cluster) {
  cluster.faults.lost_append = 1;
  BOOST_TEST((Run(a, Request("k")).outcome == OnceOutcome::kAnswered));
  BOOST_TEST(cluster.executions().size() == 1);
}

// Fails if a request is not refused while the log is down, or runs after it was refused.
BOOST_FIXTURE_TEST_CASE(log_outage_is_not_run, FastCluster) {
  Follow();
  cluster.log.SetOutage(true, ErrorCode::kTimeout);
  BOOST_TEST((Run(a, Request("k")).outcome == OnceOutcome::kNotRun));
  cluster.log.SetOutage(false);
  while (a.service->running() > 0) absl::SleepFor(absl::Milliseconds(1));
  BOOST_TEST(cluster.executions().empty());
}

// Fails if a VM that is cut off from the log denies a run that another VM has made.
BOOST_FIXTURE_TEST_CASE(run_elsewhere_is_not_denied, FastCluster) {
  Follow();
  a.log_cut = true;
  OwnItself(b);
  const auto first = Run(b, Request("k"));
  BOOST_REQUIRE((first.outcome == OnceOutcome::kAnswered));
  BOOST_TEST((Run(a, Request("k")).outcome == OnceOutcome::kUnknown));
  BOOST_TEST(cluster.executions().size() == 1);
}

// Fails if it denies a run of a VM that has died since.
BOOST_FIXTURE_TEST_CASE(run_of_a_dead_vm_is_not_denied, FastCluster) {
  Follow();
  a.log_cut = true;
  OwnItself(b);
  BOOST_REQUIRE((Run(b, Request("k")).outcome == OnceOutcome::kAnswered));
  b.killed = true;
  cluster.Remove(b);
  BOOST_TEST((Run(a, Request("k")).outcome == OnceOutcome::kUnknown));
  BOOST_TEST(cluster.executions().size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
