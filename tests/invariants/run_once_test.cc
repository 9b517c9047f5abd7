// Invariants 2, 6 and 7: a non-idempotent request runs at most once, all of its
// devices get the same outcome, and "not run" is true.
#include <map>
#include <mutex>
#include <random>

#include "load.h"

namespace marigoldquay::testing {
namespace {

// What the devices of one order were told.
struct OrderRecord {
  int answered = 0;
  int not_run = 0;
  int unknown = 0;
  int broken = 0;
  std::string body;
  bool bodies_differ = false;
};

// Sends each order from two devices to different VMs, each with up to four tries.
class Orders {
 public:
  Orders(System& system, int count, std::uint64_t seed) : system_(system), count_(count) {
    constexpr int kWorkers = 16;
    for (int worker = 0; worker < kWorkers; ++worker) {
      threads_.Start([this, seed, worker] { Work(seed * 1000 + worker); });
    }
  }
  void Join() { threads_.Join(); }
  std::map<std::string, OrderRecord>& records() { return records_; }

 private:
  void Work(std::uint64_t seed) {
    std::mt19937_64 random(seed);
    while (true) {
      const int index = next_++;
      if (index >= 2 * count_) return;
      const auto key = absl::StrCat("order-", index / 2);
      Device(key, static_cast<int>(random() % system_.vm_count()), random);
    }
  }

  void Device(const std::string& key, int vm, std::mt19937_64& random) {
    constexpr int kTries = 4;
    for (int attempt = 0; attempt < kTries; ++attempt) {
      auto request = system_.OrderRequest(vm, "w1", key, R"({"item":"mug"})");
      request.timeout = absl::Seconds(20);
      const auto response = Fetch(request);
      if (Record(key, response)) return;
      vm = static_cast<int>(random() % system_.vm_count());
      absl::SleepFor(absl::Milliseconds(50 + random() % 300));
    }
  }

  // True when the device stops asking.
  bool Record(const std::string& key, const ClientResponse& response) {
    const std::scoped_lock lock(mutex_);
    auto& record = records_[key];
    if (!response.complete()) {
      ++record.broken;
      return false;
    }
    if (response.status == 200) {
      if (record.answered++ == 0) record.body = response.body;
      record.bodies_differ = record.bodies_differ || record.body != response.body;
      return true;
    }
    if (Outcome(response) == "not_run") {
      ++record.not_run;
      return false;
    }
    ++record.unknown;
    return true;
  }

  System& system_;
  const int count_;
  std::atomic<int> next_{0};
  std::mutex mutex_;
  std::map<std::string, OrderRecord> records_;
  Threads threads_;
};

struct Totals {
  int answered = 0;
  int unknown_only = 0;
  int refused_only = 0;
};

// Checks every order against what the services executed, and reports what was refused, so that
// safety by refusing everything shows.
Totals CheckOrders(System& system, Orders& orders) {
  const auto executions = system.Executions();
  Totals totals;
  for (const auto& [key, record] : orders.records()) {
    const auto found = executions.find(key);
    const auto runs = found == executions.end() ? 0 : found->second;
    BOOST_TEST(runs <= 1, key << " ran " << runs << " times");
    BOOST_TEST(!record.bodies_differ, key << " has two answers");
    if (record.answered > 0) {
      BOOST_TEST(runs == 1, key << " was answered but ran " << runs << " times");
      ++totals.answered;
    } else if (record.unknown > 0 || record.broken > 0) {
      ++totals.unknown_only;
    } else {
      BOOST_TEST(runs == 0, key << " was reported as not run but ran");
      ++totals.refused_only;
    }
  }
  BOOST_TEST_MESSAGE("orders answered " << totals.answered << ", left unknown "
                                        << totals.unknown_only << ", refused "
                                        << totals.refused_only);
  return totals;
}

constexpr int kOrders = 200;

BOOST_AUTO_TEST_SUITE(run_once)

// Fails if two devices run an order twice, or if any order is lost without a fault.
BOOST_AUTO_TEST_CASE(without_faults_all_orders_are_answered) {
  TestSystem system;
  Orders orders(system, kOrders, TestSeed());
  orders.Join();
  const auto totals = CheckOrders(system, orders);
  BOOST_TEST(totals.answered == kOrders);
  BOOST_TEST(system.KeyLeaks().empty());
}

// Fails if a run is lost or repeated when its owner dies at any step.
BOOST_AUTO_TEST_CASE(vms_are_killed_and_restarted) {
  SystemOptions options;
  options.vms = 4;
  options.plain_flags = {};
  TestSystem system(options);
  for (auto& backend : system.backends()) {
    if (backend.role == "plain") backend.server.SetFaults({{"answer_delay_ms", 30}});
  }
  Orders orders(system, 3 * kOrders, TestSeed());
  for (int round = 0; round < 4; ++round) {
    absl::SleepFor(absl::Milliseconds(700));
    const int vm = round % system.vm_count();
    system.vm(vm).process.Kill();
    absl::SleepFor(absl::Milliseconds(300));
    system.StartVm(vm);
  }
  orders.Join();
  const auto totals = CheckOrders(system, orders);
  BOOST_TEST(totals.answered > kOrders);
}

// Fails if an owner that was paused past every lease runs an order that its successor has run.
BOOST_AUTO_TEST_CASE(owner_is_paused_past_its_lease) {
  SystemOptions options;
  options.vms = 4;
  TestSystem system(options);
  Orders orders(system, 2 * kOrders, TestSeed());
  absl::SleepFor(absl::Milliseconds(300));
  system.vm(1).process.Pause();
  absl::SleepFor(absl::Seconds(7));
  system.vm(1).process.Resume();
  orders.Join();
  CheckOrders(system, orders);
}

// Fails if an append whose answer was lost counts as absent.
BOOST_AUTO_TEST_CASE(log_loses_answers_after_appends_took_effect) {
  TestSystem system;
  Orders orders(system, kOrders, TestSeed());
  for (int round = 0; round < 10; ++round) {
    system.log().SetFaults({{"lose_answers", 3}, {"late_effect_ms", round % 2 == 0 ? 0 : 400}});
    absl::SleepFor(absl::Milliseconds(200));
  }
  system.log().SetFaults({});
  orders.Join();
  const auto totals = CheckOrders(system, orders);
  BOOST_TEST(totals.answered > kOrders / 2);
}

// Fails if an outage of the log makes an order run twice, hang, or be reported falsely.
BOOST_AUTO_TEST_CASE(log_outage) {
  TestSystem system;
  system.log().SetFaults({{"outage", 1}});
  absl::SleepFor(absl::Milliseconds(500));
  const auto response = Fetch(system.OrderRequest(0, "w1", "during-outage", "{}"));
  BOOST_TEST(response.status == 503);
  BOOST_TEST(Outcome(response) == "not_run");
  BOOST_TEST(response.headers.contains("retry-after"));
  BOOST_TEST((response.duration < absl::Seconds(3)));
  BOOST_TEST(system.Executions().count("during-outage") == 0U);
  Orders orders(system, kOrders / 4, TestSeed());
  absl::SleepFor(absl::Milliseconds(1500));
  system.log().SetFaults({});
  orders.Join();
  CheckOrders(system, orders);
  BOOST_TEST(Eventually(absl::Seconds(5), [&] {
    return Fetch(system.OrderRequest(1, "w1", "during-outage", "{}")).status == 200;
  }));
  BOOST_TEST(system.Executions()["during-outage"] == 1);
}

// Fails if an order is dispatched before its claim has been read back. The claim streams are open
// when the outage starts: an owner that has not read a stream yet rejects for that reason alone.
BOOST_AUTO_TEST_CASE(log_outage_after_claim_streams_are_open) {
  TestSystem system;
  Orders before(system, kOrders, TestSeed());
  before.Join();
  BOOST_TEST(CheckOrders(system, before).answered == kOrders);
  system.log().SetFaults({{"outage", 1}});
  constexpr int kAsked = 12;
  std::vector<ClientResponse> responses(kAsked);
  Threads devices;
  for (int i = 0; i < kAsked; ++i) {
    devices.Start([&, i] {
      responses[i] = Fetch(system.OrderRequest(i % 3, "w1", absl::StrCat("unclaimed-", i), "{}"));
    });
  }
  devices.Join();
  const auto executions = system.Executions();
  for (int i = 0; i < kAsked; ++i) {
    BOOST_TEST(responses[i].status == 503);
    BOOST_TEST(Outcome(responses[i]) == "not_run");
    BOOST_TEST(executions.count(absl::StrCat("unclaimed-", i)) == 0U);
  }
}

// Fails if a service that executed and lost its answer is asked again.
BOOST_AUTO_TEST_CASE(service_loses_its_answer) {
  TestSystem system;
  for (auto& backend : system.backends()) {
    if (backend.role == "plain") backend.server.SetFaults({{"lose_answer", 5}});
  }
  Orders orders(system, 50, TestSeed());
  orders.Join();
  const auto totals = CheckOrders(system, orders);
  BOOST_TEST(totals.unknown_only > 0);
  BOOST_TEST(totals.unknown_only <= 10);
}

// Fails if a key can be reused for another body, or is accepted without a key.
BOOST_AUTO_TEST_CASE(key_is_required_and_bound_to_its_body) {
  TestSystem system;
  BOOST_TEST(Fetch(system.OrderRequest(0, "w1", "a", "{}")).status == 200);
  BOOST_TEST(Fetch(system.OrderRequest(1, "w1", "a", "{\"n\":1}")).status == 422);
  BOOST_TEST(Fetch(system.OrderRequest(1, "w2", "a", "{}")).status == 200);
  auto request = system.OrderRequest(0, "w1", "a", "{}");
  request.headers.pop_back();
  BOOST_TEST(Fetch(request).status == 400);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay::testing
