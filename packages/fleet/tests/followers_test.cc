// How old the followers take the data of the store to be.
#include "marigoldquay/fleet/followers.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/clock.h"

namespace marigoldquay {
namespace {

/// Answers each read as scripted, and moves the clock by the time that it takes.
class ScriptedStore final : public ClusterStore {
 public:
  ScriptedStore(asio::io_context& io, ManualClock& clock) : io_(io), clock_(clock) {}

  StoreEra era() const override { return 1; }
  ErrorOr<CatalogUpdate> ReadNewestCatalog(Yield yield) override {
    (void)yield;
    clock_.Advance(full_read_time);
    return MakeUpdate(1);
  }
  ErrorOr<CatalogUpdate> AwaitCatalog(const StorePosition& from, absl::Duration wait,
                                      Yield yield) override {
    (void)from;
    (void)yield;
    waits.push_back(wait);
    return on_await(wait);
  }
  ErrorOr<CatalogContents> DecodeCatalog(absl::string_view record) const override {
    CatalogContents contents;
    contents.version = static_cast<std::uint64_t>(record.size());
    return contents;
  }
  ErrorOr<ReplicaUpdate> ListReplicas(Yield yield) override {
    (void)yield;
    clock_.Advance(full_read_time);
    // The follower pauses after this read.
    asio::post(io_, [this] { io_.stop(); });
    ReplicaUpdate update;
    update.next = {1, 1};
    return update;
  }
  ErrorOr<ReplicaUpdate> ReadReplicaChanges(const StorePosition& from, Yield yield) override {
    (void)from;
    return ListReplicas(yield);
  }
  ErrorOrVoid RenewPresence(const std::string& member, absl::Duration ttl, Yield yield) override {
    (void)member;
    (void)ttl;
    (void)yield;
    return std::monostate();
  }
  ErrorOrVoid WithdrawPresence(const std::string& member, Yield yield) override {
    (void)member;
    (void)yield;
    return std::monostate();
  }
  ErrorOr<std::uint64_t> AcquireOrderClaim(const std::string& holder, Yield yield) override {
    (void)holder;
    (void)yield;
    return std::uint64_t{1};
  }
  ErrorOr<bool> IsLatestOrderClaim(std::uint64_t claim, Yield yield) override {
    (void)claim;
    (void)yield;
    return true;
  }
  ErrorOr<KeptQuarantines> ListQuarantines(Yield yield) override {
    (void)yield;
    return KeptQuarantines();
  }
  ErrorOrVoid KeepQuarantine(const KeptQuarantine& quarantine, Yield yield) override {
    (void)quarantine;
    (void)yield;
    return std::monostate();
  }
  ErrorOrVoid DropQuarantine(const std::vector<RequestTrait>& traits, Yield yield) override {
    (void)traits;
    (void)yield;
    return std::monostate();
  }
  ErrorOr<KeptVersionHistories> ListVersionHistories(Yield yield) override {
    (void)yield;
    return KeptVersionHistories();
  }
  ErrorOrVoid KeepVersionHistory(const KeptVersionHistory& history, Yield yield) override {
    (void)history;
    (void)yield;
    return std::monostate();
  }
  ErrorOr<KeptStreamOriginsPart> ReadStreamOrigins(const std::optional<StorePosition>& from,
                                                   Yield yield) override {
    (void)from;
    (void)yield;
    return KeptStreamOriginsPart();
  }
  ErrorOrVoid KeepStreamOrigins(const KeptStreamOrigins& origins, Yield yield) override {
    (void)origins;
    (void)yield;
    return std::monostate();
  }
  ErrorOr<std::vector<std::string>> ListMembers(Yield yield) override {
    (void)yield;
    return std::vector<std::string>();
  }

  static CatalogUpdate MakeUpdate(std::uint64_t version) {
    CatalogUpdate update;
    update.next = {1, version};
    update.catalog.emplace().version = version;
    return update;
  }

  absl::Duration full_read_time;
  std::vector<absl::Duration> waits;
  std::function<ErrorOr<CatalogUpdate>(absl::Duration wait)> on_await;

 private:
  asio::io_context& io_;
  ManualClock& clock_;
};

struct Feed final : FeedMonitor {
  absl::Duration FeedFreshFor() const override { return fresh_until - absl::Now(); }
  bool FeedsOthers() const override { return feeds_others; }
  void RequestFullServerList() override {}

  bool feeds_others = false;
  // On the clock of the timers.
  absl::Time fresh_until = absl::InfinitePast();
};

struct Fixture {
  /// Runs the follower until `answers` waiting reads were answered by `answer`.
  void Follow(const std::vector<std::function<CatalogUpdate(absl::Duration wait)>>& answers) {
    std::size_t next = 0;
    store.on_await = [&, answers](absl::Duration wait) -> ErrorOr<CatalogUpdate> {
      if (next < answers.size()) return answers[next++](wait);
      // The follower pauses after an error.
      io.stop();
      return Error{ErrorCode::kTimeout, "read", "store", "no answer"};
    };
    SpawnFiber(io, "follow", [this](Yield yield) { follower.Run(yield); });
    io.run();
  }

  asio::io_context io;
  ManualClock clock;
  ScriptedStore store{io, clock};
  ClusterView view;
  Feed feed;
  CatalogFollower follower{io, clock, store, view, feed, [] {}};
  const absl::Time started = clock.Now();
};

CatalogUpdate Nothing() {
  CatalogUpdate update;
  update.next = {1, 1};
  return update;
}

BOOST_FIXTURE_TEST_SUITE(followers, Fixture)

// Guards against data that a slow link or a starved process delivers late and that counts as new;
// all VMs that are fed from here then take what they know for fresh.
BOOST_AUTO_TEST_CASE(configuration_is_as_old_as_the_start_of_its_read) {
  store.full_read_time = absl::Milliseconds(700);
  Follow({});
  BOOST_TEST((follower.origin().read_at == started));
  BOOST_TEST((follower.confirmed_at() == started));
}

BOOST_AUTO_TEST_CASE(change_is_as_old_as_the_start_of_the_waiting_read) {
  Follow({[&](absl::Duration wait) {
    clock.Advance(wait / 2);
    return ScriptedStore::MakeUpdate(2);
  }});
  BOOST_TEST(view.catalog()->version() == 2U);
  BOOST_TEST((follower.origin().read_at == started));
}

// An empty answer is given when the wait is over, however late it arrives.
BOOST_AUTO_TEST_CASE(empty_answer_is_as_old_as_the_end_of_the_wait) {
  absl::Time answered;
  Follow({[&](absl::Duration wait) {
    answered = clock.Now() + wait;
    clock.Advance(wait + absl::Milliseconds(1500));
    return Nothing();
  }});
  BOOST_TEST((follower.origin().read_at == answered));
}

// An answer that comes early says nothing of the rest of the wait.
BOOST_AUTO_TEST_CASE(early_empty_answer_is_as_old_as_the_start_of_its_read) {
  Follow({[&](absl::Duration wait) {
    clock.Advance(wait / 2);
    return Nothing();
  }});
  BOOST_TEST((follower.origin().read_at == started));
}

// Changes at short intervals must not make the data of a VM that feeds others look old.
BOOST_AUTO_TEST_CASE(change_is_confirmed_without_a_wait) {
  feed.feeds_others = true;
  Follow({[&](absl::Duration wait) {
            clock.Advance(wait);
            return ScriptedStore::MakeUpdate(2);
          },
          [&](absl::Duration wait) {
            clock.Advance(wait);
            return Nothing();
          }});
  BOOST_TEST_REQUIRE(store.waits.size() == 3U);
  BOOST_TEST((store.waits[1] == absl::ZeroDuration()));
  BOOST_TEST((follower.origin().read_at == started + store.waits[0]));
}

BOOST_AUTO_TEST_CASE(list_of_servers_is_as_old_as_the_start_of_its_read) {
  store.full_read_time = absl::Milliseconds(700);
  ReplicaFollower replicas(io, clock, store, view, feed, [] {});
  SpawnFiber(io, "follow", [&](Yield yield) { replicas.Run(yield); });
  io.run();
  BOOST_TEST((replicas.origin().read_at == started));
}

// Guards against a VM without a feed that waits on a dead connection to the store for longer than a
// change may take; a call may take 0.8 s more than its wait.
BOOST_AUTO_TEST_CASE(wait_ends_within_the_bound_on_a_change) {
  Follow({});
  BOOST_TEST_REQUIRE(store.waits.size() == 1U);
  BOOST_TEST((store.waits[0] + absl::Milliseconds(800) < absl::Seconds(2)));
}

// Guards against a VM that notices late that its feed is too old; the read of the store takes the
// rest of the bound.
BOOST_AUTO_TEST_CASE(store_is_read_as_soon_as_the_feed_is_too_old) {
  constexpr absl::Duration kFresh = absl::Milliseconds(20);
  constexpr absl::Duration kMaxDelay = absl::Milliseconds(150);
  view.Apply(CatalogContents{});
  feed.fresh_until = absl::Now() + kFresh;
  Follow({});
  BOOST_TEST((absl::Now() - feed.fresh_until < kMaxDelay));
  feed.fresh_until = absl::Now() + kFresh;
  io.restart();
  ReplicaFollower replicas(io, clock, store, view, feed, [] {});
  SpawnFiber(io, "follow", [&](Yield yield) { replicas.Run(yield); });
  io.run();
  BOOST_TEST((absl::Now() - feed.fresh_until < kMaxDelay));
}

BOOST_AUTO_TEST_CASE(announced_version_is_confirmed_once_it_is_known) {
  const DataOrigin origin{1, started};
  follower.OnVersionAnnounced(3, "", origin);
  BOOST_TEST((follower.confirmed_at() == absl::InfinitePast()));
  follower.OnVersionAnnounced(3, "abc", origin);
  BOOST_TEST((follower.confirmed_at() == started));
  // What an earlier state says does not make the configuration older.
  follower.OnVersionAnnounced(3, "", {1, started - absl::Seconds(1)});
  BOOST_TEST((follower.confirmed_at() == started));
}

// Guards against a coordinator that has an older version than the one before it, and calls that
// the newest one.
BOOST_AUTO_TEST_CASE(version_is_not_confirmed_while_a_later_one_is_announced) {
  follower.OnVersionAnnounced(3, "abc", {1, started});
  follower.OnVersionAnnounced(5, "", {1, started + absl::Seconds(1)});
  follower.OnVersionAnnounced(3, "", {1, started + absl::Seconds(2)});
  BOOST_TEST((follower.confirmed_at() == started));
  follower.OnVersionAnnounced(5, "abcde", {1, started + absl::Seconds(2)});
  BOOST_TEST((follower.confirmed_at() == started + absl::Seconds(2)));
}

// A read that lacks the announced version does not confirm the one before.
BOOST_AUTO_TEST_CASE(stale_read_confirms_nothing) {
  follower.OnVersionAnnounced(3, "", {1, started});
  Follow({});
  BOOST_TEST(view.catalog()->version() == 1U);
  BOOST_TEST((follower.confirmed_at() == absl::InfinitePast()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
