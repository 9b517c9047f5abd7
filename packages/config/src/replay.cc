// Rules of the config stream.
#include "marigoldquay/config/replay.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "marigoldquay/core/secret.h"

namespace marigoldquay {

Applied ConfigReplay::ApplyRecord(Offset offset, absl::string_view data) {
  if (offset != next_) return {};
  ++next_;
  return HandleError(
      [&]() -> Result<Applied> {
        BOOST_LEAF_AUTO(record, ParseConfigRecord(data));
        return std::visit([&](const auto& typed) { return Take(offset, typed); }, record);
      },
      [&](const Error& error) {
        ++malformed_;
        Applied applied{ApplyOutcome::kMalformed};
        applied.reason = error.message;
        return applied;
      });
}

Applied ConfigReplay::Take(Offset offset, const PlanRecord& record) {
  Applied applied{ApplyOutcome::kRejected, record.nonce, record.digest};
  const auto is_this = [&](const auto& plan) { return plan.digest == record.digest; };
  if (PlanDigest(record.intent, record.base_revision) != record.digest) {
    applied.reason = "the digest of the plan does not match its intent and base revision";
    return applied;
  }
  if (record.base_revision > revision_) {
    applied.reason = absl::StrCat("the base revision ", record.base_revision,
                                  " is newer than the revision in force, ", revision_);
    return applied;
  }
  auto intent = CanonicalJson(record.intent);
  if (intent.size() > kMaxIntentSize) {
    applied.reason =
        absl::StrCat("the intent has ", intent.size(), " bytes; allowed: 1 to ", kMaxIntentSize);
    return applied;
  }
  applied.reason = HandleError(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(ParseIntent(record.intent, UnknownFields::kIgnore));
        return std::string();
      },
      [](const Error& error) { return error.message; });
  if (!applied.reason.empty()) return applied;
  applied.outcome = ApplyOutcome::kPlanned;
  // The same plan again, e.g. from an append that was repeated, stays one plan.
  if (std::any_of(pending_.begin(), pending_.end(), is_this)) return applied;
  pending_.push_back({offset, record.base_revision, record.digest, std::move(intent)});
  if (pending_.size() > kMaxPendingPlans) {
    Resolve(pending_.front().digest, offset,
            absl::StrCat("the plan was dropped because ", kMaxPendingPlans,
                         " newer plans were pending"));
    pending_.pop_front();
  }
  return applied;
}

Applied ConfigReplay::Take(Offset offset, const ConfirmRecord& record) {
  Applied applied{ApplyOutcome::kRejected, record.nonce, record.digest};
  const auto is_this = [&](const auto& plan) { return plan.digest == record.digest; };
  const auto found = std::find_if(pending_.begin(), pending_.end(), is_this);
  if (found == pending_.end()) {
    // The latest end counts, because the same plan may have been pending twice.
    const auto resolved = std::find_if(resolved_.rbegin(), resolved_.rend(), is_this);
    if (resolved == resolved_.rend()) {
      applied.reason = absl::StrCat("no plan with digest ", record.digest, " is pending");
    } else if (resolved->reason.empty()) {
      applied.reason = absl::StrCat("the plan was applied already, at revision ", resolved->offset);
      applied.revision = resolved->offset;
    } else {
      applied.reason = resolved->reason;
    }
    return applied;
  }
  const PendingPlan plan = std::move(*found);
  pending_.erase(found);
  applied.reason = HandleError(
      [&]() -> Result<std::string> {
        BOOST_LEAF_AUTO(json, ParseJsonObject(plan.intent, kMaxIntentSize, "read pending plan"));
        BOOST_LEAF_AUTO(intent, ParseIntent(json, UnknownFields::kIgnore));
        auto conflict = FindConflict(plan, intent);
        if (!conflict.empty()) return conflict;
        BOOST_LEAF_CHECK(ApplyIntent(intent, tables_));
        MarkChanged(offset, intent);
        return std::string();
      },
      [](const Error& error) { return error.message; });
  if (applied.reason.empty()) {
    revision_ = offset;
    applied.outcome = ApplyOutcome::kConfirmed;
    applied.revision = offset;
  }
  Resolve(plan.digest, offset, applied.reason);
  return applied;
}

Applied ConfigReplay::Take(Offset /*offset*/, const SnapshotPart& record) {
  Applied applied{ApplyOutcome::kSnapshot, "", record.digest};
  applied.ends_snapshot = record.part + 1 == record.parts;
  return applied;
}

std::string ConfigReplay::FindConflict(const PendingPlan& plan, const Intent& intent) const {
  if (plan.base_revision < forgotten_) {
    return absl::StrCat("the plan's base revision ", plan.base_revision,
                        " is too old; make the plan again");
  }
  for (const auto& change : intent.changes) {
    const auto changed = last_changed_.find({change.kind, change.id});
    if (changed != last_changed_.end() && changed->second > plan.base_revision) {
      return absl::StrCat(Describe(change.kind, change.id), " was changed at revision ",
                          changed->second, ", after the plan's base revision ", plan.base_revision,
                          "; make the plan again");
    }
  }
  return {};
}

void ConfigReplay::MarkChanged(Offset offset, const Intent& intent) {
  for (const auto& change : intent.changes) {
    const ObjectName name(change.kind, change.id);
    auto& last = last_changed_[name];
    tombstones_.erase({last, name});
    last = offset;
    // Withdrawn keys stay in the tables and need no tombstone.
    if (change.op == ChangeOp::kWithdraw && change.kind != ObjectKind::kKey) {
      tombstones_.emplace(offset, name);
    }
  }
  while (tombstones_.size() > kMaxTombstones) {
    const auto oldest = tombstones_.begin();
    forgotten_ = std::max(forgotten_, oldest->first);
    last_changed_.erase(oldest->second);
    tombstones_.erase(oldest);
  }
}

void ConfigReplay::Resolve(std::string digest, Offset offset, std::string reason) {
  resolved_.push_back({std::move(digest), offset, std::move(reason)});
  if (resolved_.size() > kMaxPendingPlans) resolved_.pop_front();
}

std::optional<SnapshotPart> ConfigReplay::PartIn(absl::string_view data) const {
  // Most records are no snapshots; a full parse of each would slow the search down.
  if (data.find("\"snapshot\"") == absl::string_view::npos) return std::nullopt;
  return HandleError(
      [&]() -> Result<std::optional<SnapshotPart>> {
        BOOST_LEAF_AUTO(record, ParseConfigRecord(data));
        auto* part = std::get_if<SnapshotPart>(&record);
        return part == nullptr ? std::nullopt : std::optional(std::move(*part));
      },
      [](const Error& /*error*/) { return std::optional<SnapshotPart>(); });
}

std::string ConfigReplay::StateDigest() const { return Sha256Hex(SnapshotText()); }

}  // namespace marigoldquay
