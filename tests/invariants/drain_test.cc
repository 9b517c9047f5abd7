// Invariants 8 and 9: a leaving backend server gets no new work, and a planned
// stop interrupts no request.
#include <mutex>

#include "load.h"

namespace marigoldquay::testing {
namespace {

constexpr auto kLeavingTarget = absl::Seconds(3);

SystemOptions HighBurst() {
  SystemOptions options;
  options.workspaces = {{"w1", 1, 1000000, 10000000}};
  return options;
}

// Callers that use the addresses that the system gives out, as real callers do.
class AddressedCallers {
 public:
  AddressedCallers(System& system, int count, int tokens) : system_(system) {
    for (int i = 0; i < count; ++i) threads_.Start([this, tokens, i] { Work(tokens, i); });
  }
  ~AddressedCallers() { Stop(); }
  void Stop() {
    stop_ = true;
    threads_.Join();
  }
  int whole() const { return whole_; }
  int failed() const { return failed_; }
  std::string first_failure() const { return first_failure_; }

 private:
  // Asks any VM that answers for an address, and keeps it for max_age.
  std::string Address(int seed) {
    for (int i = 0; i < system_.vm_count(); ++i) {
      const auto& vm = system_.vm((seed + i) % system_.vm_count());
      const auto response = Get(absl::StrCat("http://", vm.caller, "/v1/addresses"));
      const auto json = response.Json();
      const auto* list = json.if_contains("addresses");
      if (response.status != 200 || list == nullptr || list->as_array().empty()) continue;
      return list->as_array().at(0).at("address").as_string().c_str();
    }
    return "";
  }

  void Work(int tokens, int index) {
    std::string address;
    absl::Time expires = absl::InfinitePast();
    for (int i = 0; !stop_; ++i) {
      if (absl::Now() >= expires) {
        address = Address(index + i);
        expires = absl::Now() + absl::Seconds(1);
      }
      auto request =
          system_.CompletionRequest(0, "w1", absl::StrCat("x [tokens=", tokens, "]"), tokens, true);
      request.url = absl::StrCat("http://", address, "/v1/completions");
      request.timeout = absl::Seconds(30);
      const auto response = Fetch(request);
      if (StreamIsWhole(response)) {
        ++whole_;
      } else if (failed_++ == 0) {
        const std::scoped_lock lock(mutex_);
        first_failure_ = absl::StrCat(response.status, " ", response.error, " ", response.body);
      }
    }
  }

  System& system_;
  std::atomic<bool> stop_{false};
  std::atomic<int> whole_{0};
  std::atomic<int> failed_{0};
  std::mutex mutex_;
  std::string first_failure_;
  Threads threads_;
};

std::int64_t StartedWork(System& system, absl::string_view backend) {
  auto& target = system.backend(backend);
  if (target.role == "plain") {
    return target.server.GetJson("/test/executions").at("total").as_int64();
  }
  const auto stats = target.server.GetJson("/test/stats");
  return stats.at("prefills").as_int64() + stats.at("decodes").as_int64();
}

void CheckNoNewWorkAfterLeaving(System& system, const std::vector<std::string>& leaving) {
  absl::SleepFor(kLeavingTarget);
  std::map<std::string, std::int64_t> before;
  for (const auto& id : leaving) before[id] = StartedWork(system, id);
  absl::SleepFor(absl::Seconds(2));
  for (const auto& id : leaving) {
    BOOST_TEST(before[id] > 0, id << " had no work before");
    BOOST_TEST(StartedWork(system, id) == before[id], id << " got new work");
  }
}

// Mixed load for the time of its life.
class MixedLoad {
 public:
  explicit MixedLoad(System& system) : callers_(system, 8, 10) {
    orders_.Start([this, &system] {
      for (int i = 0; !stop_; ++i) {
        Fetch(system.OrderRequest(i % system.vm_count(), "w1", absl::StrCat("load-", i), "{}"));
        auto status = system.OrderRequest(i % system.vm_count(), "w1", "s", "");
        status.method = "GET";
        status.url = absl::StrCat("http://", system.vm(i % system.vm_count()).caller, "/status");
        Fetch(status);
      }
    });
  }
  ~MixedLoad() {
    stop_ = true;
    orders_.Join();
  }

 private:
  std::atomic<bool> stop_{false};
  AddressedCallers callers_;
  Threads orders_;
};

BOOST_AUTO_TEST_SUITE(drain)

BOOST_AUTO_TEST_CASE(backend_server_that_the_operator_withdraws_gets_no_new_work) {
  TestSystem system(HighBurst());
  const MixedLoad load(system);
  absl::SleepFor(absl::Seconds(2));
  boost::json::array changes;
  for (const auto* id : {"p1", "d1", "s1"}) {
    changes.push_back(System::Put("backend_server", id, {{"state", "leaving"}}));
  }
  BOOST_REQUIRE(system.ApplyChanges(changes).status == 200);
  CheckNoNewWorkAfterLeaving(system, {"p1", "d1", "s1"});
}

BOOST_AUTO_TEST_CASE(backend_server_that_the_platform_lists_as_leaving_gets_no_new_work) {
  TestSystem system(HighBurst());
  const MixedLoad load(system);
  absl::SleepFor(absl::Seconds(2));
  system.SetVmList({"p1", "d1", "s1"});
  CheckNoNewWorkAfterLeaving(system, {"p1", "d1", "s1"});
}

// Fails if a stop cuts a stream, refuses a request that came by a current address, or loses a
// member's place after its restart.
BOOST_AUTO_TEST_CASE(rolling_restart_interrupts_no_request) {
  auto options = HighBurst();
  options.vm_flags = {"--address_max_age_s=1"};
  TestSystem system(options);
  AddressedCallers callers(system, 10, 60);
  for (int vm = 0; vm < system.vm_count(); ++vm) {
    absl::SleepFor(absl::Seconds(1));
    system.vm(vm).process.Terminate();
    const auto status = system.vm(vm).process.Wait(absl::Seconds(20));
    BOOST_REQUIRE(status.has_value());
    BOOST_TEST(*status == 0);
    system.StartVm(vm);
    system.AwaitServing(vm);
  }
  absl::SleepFor(absl::Seconds(1));
  callers.Stop();
  BOOST_TEST_MESSAGE("rolling restart: whole " << callers.whole() << ", failed "
                                               << callers.failed());
  BOOST_TEST(callers.failed() == 0, callers.first_failure());
  BOOST_TEST(callers.whole() > 20);
  BOOST_TEST(Eventually(absl::Seconds(5), [&] { return system.HeldPieces() == 0; }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay::testing
