// Quarantine of requests that crash servers, at one VM and over 3 to 295 VMs.
#include "marigoldquay/dispatch/request_quarantine.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <string>

namespace marigoldquay {
namespace {

using Parts = std::vector<PromptPartId>;

constexpr PromptPartId kFirst = 1;
constexpr PromptPartId kDeadly = 2;
constexpr RequestFingerprint kRequest = 1000;
const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

absl::Time At(double seconds) { return kStart + absl::Seconds(seconds); }

ServerCrash Crash(const std::string& engine, Parts parts, double seconds) {
  return {engine, std::move(parts), At(seconds)};
}

ServerCrash RequestCrash(const std::string& server, Parts parts, double seconds) {
  return {server, std::move(parts), At(seconds), kRequest};
}

bool Refuses(const RequestQuarantine& quarantine, const Parts& parts, double seconds) {
  return quarantine.TimeLeft(parts, At(seconds)) > absl::ZeroDuration();
}

BOOST_AUTO_TEST_SUITE(request_quarantine)

// Guards against a part of sound requests that is refused since deadly requests share it.
BOOST_AUTO_TEST_CASE(part_that_is_served_meanwhile_stays_in_use) {
  RequestQuarantine quarantine;
  for (int i = 0; i < 10; ++i) {
    quarantine.OnServed(Parts{kFirst, 100}, At(i));
    quarantine.OnCrash(Crash("e" + std::to_string(i), {kFirst, kDeadly}, i + 0.5));
  }
  BOOST_TEST(Refuses(quarantine, {kFirst, kDeadly}, 10));
  BOOST_TEST(!Refuses(quarantine, {kFirst, 100}, 10));
}

// Guards against two crashes in a row that condemn a part which has been served shortly before.
BOOST_AUTO_TEST_CASE(part_that_was_served_before_needs_more_crashes) {
  RequestQuarantine quarantine;
  quarantine.OnServed(Parts{kFirst}, At(0));
  for (int i = 1; i <= 3; ++i) {
    quarantine.OnCrash(Crash("e" + std::to_string(i), {kFirst, kDeadly}, i * 0.1));
  }
  BOOST_TEST(Refuses(quarantine, {kDeadly}, 1));
  BOOST_TEST(!Refuses(quarantine, {kFirst}, 1));
  // The first part itself may be the deadly one.
  quarantine.OnCrash(Crash("e4", {kFirst}, 0.5));
  BOOST_TEST(Refuses(quarantine, {kFirst}, 1));
}

// Guards against a first part that was never served before, and is refused to the sound requests
// that come with it later.
BOOST_AUTO_TEST_CASE(parts_with_the_same_evidence_are_refused_in_combination) {
  RequestQuarantine quarantine;
  quarantine.OnCrash(Crash("e1", {kFirst, kDeadly}, 0));
  quarantine.OnCrash(Crash("e2", {kFirst, kDeadly}, 1));
  BOOST_TEST(Refuses(quarantine, {kFirst, kDeadly}, 2));
  BOOST_TEST(!Refuses(quarantine, {kFirst, 100}, 2));
  BOOST_TEST(!Refuses(quarantine, {200, kDeadly}, 2));
  // One more crash tells which of them it is; so does a request that is served.
  RequestQuarantine served = quarantine;
  quarantine.OnCrash(Crash("e3", {200, kDeadly}, 2));
  served.OnServed(Parts{kFirst, 100}, At(2));
  for (const auto& known : {quarantine, served}) {
    BOOST_TEST(Refuses(known, {kFirst, kDeadly}, 3));
    BOOST_TEST(Refuses(known, {300, kDeadly}, 3));
    BOOST_TEST(!Refuses(known, {kFirst, 100}, 3));
  }
}

// Guards against one crash that counts twice, for several requests or from several reports.
BOOST_AUTO_TEST_CASE(requests_of_the_same_crash_count_once) {
  RequestQuarantine quarantine;
  for (int i = 0; i < 20; ++i) {
    quarantine.OnCrash(Crash(i % 2 == 0 ? "e1" : "e2", {kDeadly}, 0.01 * i));
    if (i == 0) BOOST_TEST(!Refuses(quarantine, {kDeadly}, 1));
  }
  RequestQuarantine single;
  for (int i = 0; i < 20; ++i) single.OnCrash(Crash("e1", {kDeadly}, 0.01 * i));
  BOOST_TEST(!Refuses(single, {kDeadly}, 1));
  BOOST_TEST(Refuses(quarantine, {kDeadly}, 1));
}

// Guards against a part that is refused for good.
BOOST_AUTO_TEST_CASE(quarantine_ends_and_one_more_crash_renews_it) {
  RequestQuarantine quarantine;
  quarantine.OnCrash(Crash("e1", {kDeadly}, 0));
  BOOST_TEST(quarantine.OnCrash(Crash("e2", {kDeadly}, 1)).has_value());
  BOOST_TEST(!Refuses(quarantine, {kDeadly}, 3600));
  BOOST_TEST(quarantine.OnCrash(Crash("e3", {kDeadly}, 3601)).has_value());
  BOOST_TEST(Refuses(quarantine, {kDeadly}, 3602));
  quarantine.OnServed(Parts{kDeadly}, At(3603));
  BOOST_TEST(!Refuses(quarantine, {kDeadly}, 3604));
}

// Guards against a decision of another VM that lasts longer here, or grows with each exchange.
BOOST_AUTO_TEST_CASE(adopted_quarantine_ends_with_the_original) {
  RequestQuarantine first;
  first.OnCrash(Crash("e1", {kDeadly}, 0));
  first.OnCrash(Crash("e2", {kDeadly}, 1));
  RequestQuarantine second;
  for (int i = 2; i < 100; ++i) {
    for (const auto& prompt : first.quarantined(At(i))) second.Adopt(prompt, At(i));
    for (const auto& prompt : second.quarantined(At(i))) first.Adopt(prompt, At(i));
  }
  BOOST_TEST(first.quarantined(At(100)) == second.quarantined(At(100)));
  BOOST_TEST(!Refuses(second, {kDeadly}, 700));
}

// Guards against a request without parts that crashes one server after the other.
BOOST_AUTO_TEST_CASE(request_is_quarantined_by_its_third_crash) {
  RequestQuarantine quarantine;
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(!Refuses(quarantine, {kRequest}, i));
    quarantine.OnCrash(RequestCrash("s" + std::to_string(i), {}, i));
  }
  BOOST_TEST(Refuses(quarantine, {kRequest}, 3));
  BOOST_TEST(!Refuses(quarantine, {kRequest + 1}, 3));
}

// Guards against a sound request that is condemned since servers crashed under it for other reasons
// while it was served in between.
BOOST_AUTO_TEST_CASE(request_that_is_served_meanwhile_is_not_condemned) {
  RequestQuarantine quarantine;
  for (int i = 0; i < 20; ++i) {
    quarantine.OnCrash(RequestCrash("s" + std::to_string(i), {}, i));
    if (i % 2 == 1) quarantine.OnRequestServed(kRequest, At(i + 0.5));
    BOOST_TEST(!Refuses(quarantine, {kRequest}, i + 0.6));
  }
}

// Guards against a coordinator that never hears that a suspected request is sound.
BOOST_AUTO_TEST_CASE(request_that_one_more_crash_condemns_is_suspected) {
  RequestQuarantine quarantine;
  quarantine.OnCrash(RequestCrash("s1", {}, 0));
  BOOST_TEST(quarantine.suspects().empty());
  quarantine.OnCrash(RequestCrash("s2", {}, 1));
  BOOST_TEST(quarantine.suspects() == Parts{kRequest});
  quarantine.OnRequestServed(kRequest, At(2));
  BOOST_TEST(quarantine.suspects().empty());
  BOOST_TEST(!quarantine.OnCrash(RequestCrash("s3", {}, 3)).has_value());
}

// Guards against parts that are refused to sound requests though only one request crashes servers.
BOOST_AUTO_TEST_CASE(part_of_a_single_deadly_request_stays_in_use) {
  RequestQuarantine quarantine;
  for (int i = 0; i < 5; ++i) {
    quarantine.OnCrash(RequestCrash("e" + std::to_string(i), {kFirst}, i));
  }
  BOOST_TEST(Refuses(quarantine, {kFirst, kRequest}, 6));
  BOOST_TEST(!Refuses(quarantine, {kFirst, kRequest + 1}, 6));
}

// Guards against evidence that grows with each request that is served.
BOOST_AUTO_TEST_CASE(nothing_is_kept_of_requests_without_crashes) {
  RequestQuarantine quarantine;
  for (RequestFingerprint request = 1; request < 1000; ++request) {
    quarantine.OnRequestServed(request, At(0));
  }
  BOOST_TEST(quarantine.size() == 0U);
}

BOOST_AUTO_TEST_CASE(evidence_is_bounded) {
  RequestQuarantine quarantine;
  quarantine.OnCrash(Crash("e1", {kDeadly}, 0));
  quarantine.OnCrash(Crash("e2", {kDeadly}, 0.1));
  for (PromptPartId part = 10; part < 100'000; ++part) {
    quarantine.OnServed(Parts{part}, At(static_cast<double>(part) / 1000));
  }
  BOOST_TEST(quarantine.size() < 20'000U);
  BOOST_TEST(Refuses(quarantine, {kDeadly}, 100));
}

// Guards against evidence about requests that grows without bound when many servers crash.
BOOST_AUTO_TEST_CASE(evidence_about_requests_is_bounded) {
  RequestQuarantine quarantine;
  for (RequestFingerprint request = 1; request < 100'000; ++request) {
    const double now = static_cast<double>(request) / 1000;
    for (const std::string server : {"s1", "s2", "s3"}) {
      quarantine.OnCrash({server, {}, At(now), request});
    }
  }
  BOOST_TEST(quarantine.size() < 20'000U);
  BOOST_TEST(quarantine.quarantined(At(100)).size() <= 256U);
}

// Guards against deadly requests that are spread over many VMs, with a coordinator that is lost
// again and again: its successor knows only what the VMs remember.
BOOST_AUTO_TEST_CASE(holds_over_many_vms_that_lose_the_coordinator) {
  BOOST_TEST(rc::check("at most five crashes before the part is refused everywhere", [] {
    const int vm_count = *rc::gen::element(3, 12, 295);
    std::vector<RequestQuarantine> vms(static_cast<std::size_t>(vm_count));
    std::vector<ServerCrash> remembered;
    RequestQuarantine coordinator;
    int crashes = 0;
    for (int i = 0; i < 40; ++i) {
      const double now = i;
      const auto vm = static_cast<std::size_t>(*rc::gen::inRange(0, vm_count));
      if (*rc::gen::inRange(0, 3) == 0) {
        coordinator = RequestQuarantine();
        // All VMs report to the successor what they have seen and what they know.
        for (const auto& crash : remembered) coordinator.OnCrash(crash);
        for (const auto& known : vms) {
          for (const auto& prompt : known.quarantined(At(now))) {
            coordinator.Adopt(prompt, At(now));
          }
        }
      }
      // Sound requests with the first part end all the time.
      coordinator.OnServed(Parts{kFirst, 100}, At(now));
      vms[vm].OnServed(Parts{kFirst, 100}, At(now));
      RC_ASSERT(!Refuses(coordinator, {kFirst, 100}, now));
      RC_ASSERT(!Refuses(vms[vm], {kFirst, 100}, now));
      const Parts parts = {kFirst, kDeadly};
      if (Refuses(coordinator, parts, now) || Refuses(vms[vm], parts, now)) continue;
      ++crashes;
      const auto crash = Crash("e" + std::to_string(i), parts, now + 0.2);
      remembered.push_back(crash);
      vms[vm].OnCrash(crash);
      coordinator.OnCrash(crash);
      for (const auto& prompt : coordinator.quarantined(At(now + 0.2))) {
        for (auto& other : vms) other.Adopt(prompt, At(now + 0.2));
      }
    }
    RC_ASSERT(crashes <= 5);
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
