// Plan and confirm through a log that loses answers or is down.
#include "marigoldquay/config/operator_service.h"

#include <boost/test/unit_test.hpp>

#include "absl/strings/match.h"
#include "memory_log.h"
#include "sample_records.h"

namespace marigoldquay {
namespace {

using testing::AppendMode;

constexpr absl::Duration kTimeout = absl::Seconds(2);

struct Fixture {
  Fixture() {
    log.on_append = [this] {
      log.Deliver(store, clock.Now());
      clock.Advance(absl::Seconds(3));  // A wait for a record that is not there ends at once.
    };
  }
  std::string Plan(const std::string& changes) {
    return HandleError([&] { return service.Plan("{\"changes\":[" + changes + "]}", kTimeout); },
                       [&](const Error& error) { return Failed(error); });
  }
  std::string Digest(const std::string& changes) {
    return testing::Json(Plan(changes)).at("digest").as_string().c_str();
  }
  ConfirmOutcome Confirm(const std::string& digest) {
    return HandleError([&] { return service.Confirm(digest, kTimeout); },
                       [&](const Error& error) {
                         return ConfirmOutcome{false, 0, Failed(error)};
                       });
  }
  static std::string Failed(const Error& error) {
    return absl::StrCat(ErrorCodeName(error.code), ": ", error.message);
  }

  ManualClock clock;
  testing::MemoryLog log;
  ConfigStore store{clock};
  OperatorService service{store, log, clock, [] { return Instance{"ikeja-1", 7}; }};
};

BOOST_FIXTURE_TEST_SUITE(operator_service, Fixture)

// Fails if a plan cannot be confirmed, or the loser of a race is not told.
BOOST_AUTO_TEST_CASE(plan_confirm_and_conflict) {
  const auto one = Digest(testing::WorkspaceText("w", 1));
  const auto two = Digest(testing::WorkspaceText("w", 2));
  BOOST_TEST((Confirm(one) == ConfirmOutcome{true, 2, ""}));
  const auto lost = Confirm(two);
  BOOST_TEST(!lost.accepted);
  BOOST_TEST(absl::StrContains(lost.reason, "workspace w was changed"), lost.reason);
  BOOST_TEST(absl::StrContains(service.ListJson("workspace").value(), "\"rate\":1,"));
  BOOST_TEST(absl::StartsWith(Plan(testing::WorkspaceText("w", 1)), "invalid_argument"));
  BOOST_TEST(absl::StartsWith(Plan(testing::WithdrawText("key", "k")), "not_found"));
  BOOST_TEST(absl::StartsWith(Confirm("12").reason, "invalid_argument"));
}

// Fails if a lost answer is taken for success or for failure instead of being resolved.
BOOST_AUTO_TEST_CASE(lost_answers_are_resolved_by_nonce) {
  log.mode = AppendMode::kAnswerLost;
  const auto digest = Digest(testing::WorkspaceText("w", 1));
  BOOST_TEST(Confirm(digest).accepted);
  BOOST_TEST(Confirm(digest).accepted);  // Repeated by the operator.
  BOOST_TEST(store.revision() == 1U);
  log.mode = AppendMode::kRequestLost;
  BOOST_TEST(absl::StartsWith(Plan(testing::WorkspaceText("v", 1)), "timeout"));
  BOOST_TEST(absl::StartsWith(Confirm(digest).reason, "timeout"));
}

// Fails if an operator is left without a clear answer while the log is down.
BOOST_AUTO_TEST_CASE(log_down_is_said_clearly) {
  const auto digest = Digest(testing::WorkspaceText("w", 1));
  log.mode = AppendMode::kDown;
  BOOST_TEST(absl::StrContains(Confirm(digest).reason, "log accepts no records now"));
  BOOST_TEST(absl::StartsWith(Plan(testing::WorkspaceText("v", 1)), "not_sent"));
  BOOST_TEST(absl::StrContains(service.ListJson("plan").value(), digest));
  BOOST_TEST(store.revision() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace marigoldquay
