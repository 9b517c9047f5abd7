// Bounds on the times at which a peer with another clock sent its messages.
#include "marigoldquay/fleet/peer_clock.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

namespace marigoldquay {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(5);

BOOST_AUTO_TEST_SUITE(peer_clock)

BOOST_AUTO_TEST_CASE(message_counts_as_sent_on_arrival_before_the_first_answer) {
  PeerClock clock;
  BOOST_TEST((clock.OnMessage(kStart - absl::Hours(3), kStart) == kStart));
}

// Guards against a message that was under way for seconds and counts as sent on arrival.
BOOST_AUTO_TEST_CASE(late_message_does_not_count_as_recent) {
  PeerClock clock;
  // The peer's clock is 2 h behind, and its answer took 10 ms in all.
  const auto peer = [](absl::Time time) { return time - absl::Hours(2); };
  clock.OnAnswer(kStart, peer(kStart + absl::Milliseconds(5)));
  const absl::Time sent = kStart + absl::Seconds(1);
  const absl::Time earliest = clock.OnMessage(peer(sent), sent + absl::Seconds(4));
  BOOST_TEST((earliest <= sent));
  BOOST_TEST((earliest >= sent - absl::Milliseconds(5)));
}

// Guards against a session that began with slow messages, all of whose later ones count as old.
BOOST_AUTO_TEST_CASE(faster_answer_tightens_the_bound) {
  PeerClock clock;
  clock.OnAnswer(kStart, kStart + absl::Seconds(3));
  const absl::Time now = kStart + absl::Seconds(10);
  BOOST_TEST((clock.OnMessage(now, now) == now - absl::Seconds(3)));
  BOOST_TEST((clock.uncertainty() == absl::Seconds(3)));
  clock.OnAnswer(now, now + absl::Milliseconds(2));
  BOOST_TEST((clock.uncertainty() == absl::Milliseconds(2)));
  BOOST_TEST((clock.OnMessage(now, now) == now - absl::Milliseconds(2)));
}

// Guards against a bound that is later than the time at which a message was sent.
BOOST_AUTO_TEST_CASE(bound_is_never_later_than_the_sending) {
  BOOST_TEST(rc::check("bound is never later than the sending", [] {
    PeerClock clock;
    const auto skew = absl::Milliseconds(*rc::gen::inRange(-100'000, 100'000));
    const int steps = *rc::gen::inRange(1, 20);
    absl::Time now = kStart;
    for (int i = 0; i < steps; ++i) {
      const absl::Time asked = now;
      const absl::Time sent = asked + absl::Milliseconds(*rc::gen::inRange(0, 3000));
      const absl::Time arrived = sent + absl::Milliseconds(*rc::gen::inRange(0, 3000));
      if (*rc::gen::arbitrary<bool>()) clock.OnAnswer(asked, sent + skew);
      if (i > 0) RC_ASSERT(clock.OnMessage(sent + skew, arrived) <= arrived);
      PeerClock answered = clock;
      answered.OnAnswer(asked, sent + skew);
      RC_ASSERT(answered.OnMessage(sent + skew, arrived) <= sent);
      now = arrived;
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
