// Claim records and table: guard against two winners of a key, and against
// records that change what they must not.
#include "marigoldquay/claims/claim_table.h"

#include <boost/test/unit_test.hpp>

namespace marigoldquay {
namespace {

constexpr std::size_t kBodies = 100;
const absl::Time kStart = absl::UnixEpoch();
const Instance kHolder{"vm-1", 1};
const Instance kOther{"vm-2", 2};

ClaimRecord Make(ClaimRecordKind kind, const Instance& holder, const std::string& nonce,
                 const std::string& key = "key") {
  ClaimRecord record;
  record.kind = kind;
  record.key = key;
  record.holder = holder;
  record.nonce = nonce;
  if (kind == ClaimRecordKind::kClaim) record.request_digest = "digest";
  if (kind == ClaimRecordKind::kOutcome) {
    record.outcome = {true, 201, {{"content-type", "a"}}, std::string("b\0\xff", 3), true};
  }
  return record;
}

struct Table {
  void Apply(const ClaimRecord& record, absl::Time at = kStart) { table.Apply(record, next++, at); }
  std::string winner() const {
    const auto* claim = table.Find("key");
    return claim == nullptr ? "" : claim->nonce;
  }
  ClaimTable table{absl::Hours(1), kBodies};
  Offset next = 0;
};

BOOST_FIXTURE_TEST_SUITE(claim_table, Table)

// Fails if a later claim replaces the first, or a void of another claim frees the key.
BOOST_AUTO_TEST_CASE(first_claim_wins_until_its_holder_voids_it) {
  Apply(Make(ClaimRecordKind::kClaim, kHolder, "a"));
  Apply(Make(ClaimRecordKind::kClaim, kOther, "b"));
  BOOST_TEST(winner() == "a");
  Apply(Make(ClaimRecordKind::kVoid, kOther, "b"));
  Apply(Make(ClaimRecordKind::kVoid, kOther, "a"));
  BOOST_TEST(winner() == "a");
  Apply(Make(ClaimRecordKind::kVoid, kHolder, "a"));
  BOOST_TEST(winner() == "");
  Apply(Make(ClaimRecordKind::kClaim, kOther, "c"));
  BOOST_TEST(winner() == "c");
}

// Fails if an outcome is taken from somebody else, or a void undoes a run.
BOOST_AUTO_TEST_CASE(outcome_is_the_holders_and_final) {
  Apply(Make(ClaimRecordKind::kClaim, kHolder, "a"));
  Apply(Make(ClaimRecordKind::kOutcome, kOther, "a"));
  BOOST_TEST(!table.Find("key")->outcome.has_value());
  Apply(Make(ClaimRecordKind::kOutcome, kHolder, "a"));
  Apply(Make(ClaimRecordKind::kVoid, kHolder, "a"));
  BOOST_REQUIRE(table.Find("key") != nullptr);
  BOOST_TEST(table.Find("key")->outcome->status == 201);
}

// Fails if a key is forgotten before its window has passed, or never.
BOOST_AUTO_TEST_CASE(keys_are_remembered_for_the_window) {
  Apply(Make(ClaimRecordKind::kClaim, kHolder, "a"));
  Apply(Make(ClaimRecordKind::kClaim, kHolder, "x", "other"), kStart + absl::Minutes(60));
  BOOST_TEST(winner() == "a");
  Apply(Make(ClaimRecordKind::kClaim, kHolder, "y", "third"), kStart + absl::Minutes(61));
  BOOST_TEST(winner() == "");
}

// Fails if bodies take more memory than allowed, or a dropped body passes for an empty one.
BOOST_AUTO_TEST_CASE(old_bodies_are_left_to_the_log) {
  for (const std::string key : {"k1", "k2", "k3"}) {
    Apply(Make(ClaimRecordKind::kClaim, kHolder, key, key));
    auto outcome = Make(ClaimRecordKind::kOutcome, kHolder, key, key);
    outcome.outcome.body = std::string(40, 'x');
    Apply(outcome);
  }
  BOOST_TEST(table.Find("k1")->body_in_log);
  BOOST_TEST(table.Find("k1")->outcome->body.empty());
  BOOST_TEST(table.Find("k1")->outcome_offset == 1);
  BOOST_TEST(!table.Find("k2")->body_in_log);
  BOOST_TEST(table.Find("k3")->outcome->body.size() == 40);
}

BOOST_AUTO_TEST_SUITE_END()

// Fails if a batch loses a field, or one malformed record hides the others.
BOOST_AUTO_TEST_CASE(claim_batches_survive_the_log) {
  const std::vector<ClaimRecord> batch = {Make(ClaimRecordKind::kClaim, kHolder, "a"),
                                          Make(ClaimRecordKind::kVoid, kHolder, "a"),
                                          Make(ClaimRecordKind::kOutcome, kOther, "b")};
  int malformed = 0;
  BOOST_TEST((ParseClaimBatch(SerializeClaimBatch(batch), malformed) == batch));
  BOOST_TEST(malformed == 0);
  BOOST_TEST(ParseClaimBatch("not json", malformed).empty());
  BOOST_TEST(malformed == 1);
  const auto rest = ParseClaimBatch(
      R"({"claims":[{"kind":"claim"},7,{"kind":"void","key":"k","holder":"vm/1","nonce":"n"}]})",
      malformed);
  BOOST_TEST(rest.size() == 1);
  BOOST_TEST(malformed == 3);
}

}  // namespace
}  // namespace marigoldquay
