// Ejection, probing and background keys.
#include "marigoldquay/scheduling/server_health.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "marigoldquay/scheduling/leaving_servers.h"
#include "marigoldquay/scheduling/periodic_pool.h"

namespace marigoldquay {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

BOOST_AUTO_TEST_SUITE(server_health)

// Fails if a failing server keeps getting work, or if a recovered one never gets any again.
BOOST_AUTO_TEST_CASE(ejects_probes_and_recovers) {
  ServerHealth health;
  for (int i = 0; i < 2; ++i) health.OnFailure(kStart);
  BOOST_TEST(health.Usable(kStart));
  health.OnFailure(kStart);
  BOOST_TEST(!health.Usable(kStart + absl::Milliseconds(999)));
  const auto probe = kStart + absl::Seconds(1);
  BOOST_TEST(health.Usable(probe));
  health.OnStart(probe);
  BOOST_TEST(!health.Usable(probe));
  health.OnFailure(probe);
  BOOST_TEST(!health.Usable(probe + absl::Milliseconds(1999)));
  BOOST_TEST(health.Usable(probe + absl::Seconds(2)));
  health.OnSuccess();
  BOOST_TEST(!health.ejected());
}

// Fails if a probe whose outcome is lost blocks the server for ever.
BOOST_AUTO_TEST_CASE(lost_probe_is_replaced) {
  ServerHealth health;
  for (int i = 0; i < 3; ++i) health.OnFailure(kStart);
  const auto probe = kStart + absl::Seconds(1);
  health.OnStart(probe);
  BOOST_TEST(!health.Usable(probe + absl::Seconds(9)));
  BOOST_TEST(health.Usable(probe + absl::Seconds(10)));
}

// Fails if keys that time out occupy all threads and starve the healthy ones.
BOOST_AUTO_TEST_CASE(failing_keys_use_half_of_the_workers) {
  PeriodicTasks tasks({.workers = 4});
  tasks.Assign({"a", "b", "c", "d"}, kStart);
  for (const auto* key : {"a", "b", "c"}) {
    BOOST_TEST((tasks.Begin(kStart) == key));
    tasks.End(key, TaskOutcome::kFailed, kStart);
  }
  const auto later = kStart + absl::Seconds(1);
  int failing = 0;
  bool healthy = false;
  while (const auto key = tasks.Begin(later)) (*key == "d" ? healthy : (++failing, healthy)) = true;
  BOOST_TEST(healthy);
  BOOST_TEST(failing == 2);
}

// Fails if work that was added while its key ran is forgotten.
BOOST_AUTO_TEST_CASE(key_added_while_running_runs_again) {
  PeriodicTasks tasks({.max_keys = 1});
  BOOST_TEST(tasks.Add("a", kStart));
  BOOST_TEST(!tasks.Add("b", kStart));
  BOOST_TEST(tasks.Begin(kStart).has_value());
  tasks.Add("a", kStart);
  tasks.End("a", TaskOutcome::kFinished, kStart);
  BOOST_TEST(tasks.Begin(kStart).has_value());
  tasks.End("a", TaskOutcome::kFinished, kStart);
  BOOST_TEST(tasks.size() == 0U);
}

// Fails if the platform's word that a server is leaving is not heeded.
BOOST_AUTO_TEST_CASE(list_or_configuration_makes_a_server_leave) {
  LeavingServers leaving;
  leaving.Update({{"a", VmKind::kBackend, VmState::kLeaving},
                  {"b", VmKind::kBackend, VmState::kLive},
                  {"c", VmKind::kEntry, VmState::kLeaving}});
  BOOST_TEST(!leaving.MayGetWork({.id = "a"}));
  BOOST_TEST(leaving.MayGetWork({.id = "b"}));
  BOOST_TEST(leaving.MayGetWork({.id = "c"}));
  BOOST_TEST(!leaving.MayGetWork({.id = "b", .state = BackendState::kLeaving}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
