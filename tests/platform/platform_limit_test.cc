// Request limits that backend servers name, over several real daemons.
#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "absl/time/clock.h"
#include "request_limits.h"
#include "world.h"

namespace marigoldquay::testing {
namespace {

constexpr int kVms = 3;
// More than the requests per second of a limit, so that no VM has a whole one.
constexpr int kManyVms = 12;
constexpr int kCallersPerVm = 2;
constexpr absl::Duration kPause = absl::Milliseconds(25);

/// Server or engine that names a limit from the moment at which `text` is set.
struct NamedLimit {
  std::string server;
  std::mutex mutex;
  std::string text;

  void Set(const std::string& value) {
    const std::lock_guard<std::mutex> lock(mutex);
    text = value;
  }
  std::string Text(const std::string& id) {
    const std::lock_guard<std::mutex> lock(mutex);
    return server.empty() || id == server ? text : "";
  }
};

WorldOptions LimitedBy(const std::string& name, NamedLimit& limit) {
  WorldOptions options;
  options.name = name;
  options.vms = kVms;
  options.request_limit = [&limit](const std::string& id) { return limit.Text(id); };
  return options;
}

void AwaitAll(const World& world, int vms = kVms) {
  for (int i = 0; i < vms; ++i) BOOST_TEST_REQUIRE(world.AwaitReady(i));
  // All VMs report to one coordinator by then.
  absl::SleepFor(absl::Seconds(2));
}

/// Callers of all VMs, until it goes out of scope.
class Callers {
 public:
  Callers(World& world, std::vector<std::string> paths, int vms = kVms)
      : world_(world), paths_(std::move(paths)) {
    for (int i = 0; i < vms * kCallersPerVm; ++i) {
      threads_.emplace_back([this, i, vms] { Run(i % vms); });
    }
  }
  ~Callers() { Stop(); }
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  void Stop() {
    stop_ = true;
    for (auto& thread : threads_) thread.join();
    threads_.clear();
  }
  /// The VM is down or frozen: its requests are excused, and failures at it do not count.
  void set_disturbed(int vm) { disturbed_ = vm; }
  std::vector<std::string> excused() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return excused_;
  }
  int served() const { return served_; }
  int refused() const { return refused_; }
  int without_retry_after() const { return without_retry_after_; }
  absl::Duration longest_refusal() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return longest_refusal_;
  }

 private:
  void Run(int vm) {
    for (std::size_t i = 0; !stop_; ++i) {
      CallerCall call;
      call.id = NewRequestId();
      call.path = paths_[i % paths_.size()];
      if (call.path == "/once/x") call.headers = {"Token-Count: 100,10"};
      const absl::Time started = absl::Now();
      const auto reply = world_.Call(vm, call);
      Record(vm, call.id, reply, absl::Now() - started);
      absl::SleepFor(kPause);
    }
  }

  void Record(int vm, const std::string& id, const ClientResponse& reply, absl::Duration took) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (vm == disturbed_) {
      excused_.push_back(id);
      return;
    }
    if (reply.status == 200) {
      ++served_;
      return;
    }
    ++refused_;
    if (reply.headers.count("retry-after") == 0) ++without_retry_after_;
    longest_refusal_ = std::max(longest_refusal_, took);
  }

  World& world_;
  const std::vector<std::string> paths_;
  std::atomic<bool> stop_{false};
  std::atomic<int> disturbed_{-1};
  std::atomic<int> served_{0};
  std::atomic<int> refused_{0};
  std::atomic<int> without_retry_after_{0};
  std::mutex mutex_;
  std::vector<std::string> excused_;
  absl::Duration longest_refusal_;
  std::vector<std::thread> threads_;
};

void ReportBroken(World& world, const std::vector<std::string>& excused = {}) {
  for (const auto& violation : CheckRequestLimits(world.Seen(), excused)) BOOST_ERROR(violation);
}

BOOST_AUTO_TEST_SUITE(platform_limit)

// Guards against VMs that ignore the limit of a server, or each use up all of it; the other servers
// serve the rest.
BOOST_AUTO_TEST_CASE(limit_of_a_server_holds_over_all_vms) {
  NamedLimit limit{"s1"};
  World world(LimitedBy("limit_server", limit));
  AwaitAll(world);
  Callers callers(world, {"/order/x", "/status/x"});
  absl::SleepFor(absl::Seconds(1));
  limit.Set("3.2");
  absl::SleepFor(absl::Seconds(8));
  callers.Stop();
  ReportBroken(world);
  BOOST_TEST(callers.refused() == 0);
}

// Guards against streams that are placed on an engine beyond its limit.
BOOST_AUTO_TEST_CASE(limit_of_an_engine_holds_over_all_vms) {
  for (const std::string engine : {"d1", "p1"}) {
    NamedLimit limit{engine};
    World world(LimitedBy("limit_engine_" + engine, limit));
    AwaitAll(world);
    Callers callers(world, {"/once/x"});
    absl::SleepFor(absl::Seconds(1));
    limit.Set("2.5");
    absl::SleepFor(absl::Seconds(8));
    callers.Stop();
    ReportBroken(world);
    BOOST_TEST(callers.refused() == 0);
  }
}

// Guards against a limit that is lost, or handed out again, with the coordinator.
BOOST_AUTO_TEST_CASE(limit_holds_when_vms_are_killed_in_turn) {
  NamedLimit limit{"s1"};
  World world(LimitedBy("limit_kill", limit));
  AwaitAll(world);
  Callers callers(world, {"/order/x", "/status/x"});
  limit.Set("3.2");
  absl::SleepFor(absl::Seconds(3));
  for (int vm = 0; vm < kVms; ++vm) {
    callers.set_disturbed(vm);
    world.vm(vm).Kill();
    absl::SleepFor(absl::Seconds(2));
    world.StartVm(vm);
    BOOST_TEST(world.AwaitReady(vm));
    absl::SleepFor(absl::Seconds(2));
  }
  callers.Stop();
  ReportBroken(world, callers.excused());
}

// Guards against a limit that each VM applies on its own, or rounds up to a request, while the
// coordinator does not answer.
BOOST_AUTO_TEST_CASE(limit_below_the_number_of_vms_holds_with_a_frozen_coordinator) {
  NamedLimit limit{""};
  auto options = LimitedBy("limit_many_vms", limit);
  options.vms = kManyVms;
  World world(options);
  AwaitAll(world, kManyVms);
  limit.Set("2");
  Callers callers(world, {"/order/x", "/status/x"}, kManyVms);
  absl::SleepFor(absl::Seconds(4));
  for (int vm = 0; vm < 2; ++vm) {
    callers.set_disturbed(vm);
    world.vm(vm).Pause();
    absl::SleepFor(absl::Seconds(3));
    world.vm(vm).Resume();
    absl::SleepFor(absl::Seconds(1));
  }
  callers.Stop();
  ReportBroken(world, callers.excused());
}

// Guards against requests that wait although all limits are reached, and against servers that get
// much less than they accept.
BOOST_AUTO_TEST_CASE(servers_with_limits_serve_what_they_accept) {
  NamedLimit limit{""};
  World world(LimitedBy("limit_all", limit));
  AwaitAll(world);
  limit.Set("5");
  Callers callers(world, {"/order/x", "/status/x"});
  absl::SleepFor(absl::Seconds(3));
  const int served_before = callers.served();
  absl::SleepFor(absl::Seconds(8));
  const int served = callers.served() - served_before;
  callers.Stop();
  ReportBroken(world);
  // Three servers in 8 s.
  BOOST_TEST(served >= 0.8 * 3 * 5 * 8);
  BOOST_TEST(callers.refused() > 0);
  BOOST_TEST(callers.without_retry_after() == 0);
  BOOST_TEST((callers.longest_refusal() < absl::Milliseconds(400)));
}

// Guards against a limit that goes on to hold when the server names none any more, and against one
// that does not hold when it is named again with another number of requests.
BOOST_AUTO_TEST_CASE(ended_limit_is_lifted_and_a_new_one_holds) {
  NamedLimit limit{""};
  World world(LimitedBy("limit_ended", limit));
  AwaitAll(world);
  limit.Set("1");
  Callers callers(world, {"/order/x", "/status/x"});
  absl::SleepFor(absl::Seconds(4));
  limit.Set("");
  absl::SleepFor(absl::Seconds(3));
  const int refused_before = callers.refused();
  absl::SleepFor(absl::Seconds(2));
  BOOST_TEST(callers.refused() == refused_before);
  for (const std::string value : {"0", "6.5", "unreadable", "3"}) {
    limit.Set(value);
    absl::SleepFor(absl::Seconds(5));
  }
  callers.Stop();
  ReportBroken(world);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay::testing
