// Deterministic replay of the config stream: every VM that has applied the same
// records has the same state, whether it began at the start or at a snapshot.
#ifndef MARIGOLDQUAY_CONFIG_REPLAY_H_
#define MARIGOLDQUAY_CONFIG_REPLAY_H_

#include <deque>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>

#include "absl/strings/string_view.h"
#include "marigoldquay/config/object_tables.h"
#include "marigoldquay/config/records.h"
#include "marigoldquay/config/stream_replica.h"

namespace marigoldquay {

inline constexpr std::size_t kMaxPendingPlans = 64;

enum class ApplyOutcome {
  /// The offset is not the next one; nothing happened.
  kNotNext,
  /// Not a record of this stream; skipped and counted.
  kMalformed,
  /// A plan is pending now.
  kPlanned,
  /// A plan was applied.
  kConfirmed,
  /// A plan or confirm record without effect; the reason says why.
  kRejected,
  /// Part of a snapshot.
  kSnapshot,
};

/// What a record did.
struct Applied {
  ApplyOutcome outcome = ApplyOutcome::kNotNext;
  /// Nonce of the record and digest of the plan.
  std::string nonce;
  std::string digest;
  /// Why the record was rejected or is malformed; may be shown to the operator.
  std::string reason;
  /// For kConfirmed: the revision that the plan made. For a plan that was applied earlier, the
  /// earlier revision.
  Offset revision = 0;
  /// For kSnapshot: this is the last part, which is appended after all others.
  bool ends_snapshot = false;

  bool operator==(const Applied&) const = default;
};

struct PendingPlan {
  Offset offset = 0;
  Offset base_revision = 0;
  std::string digest;
  /// Canonical JSON of the intent.
  std::string intent;

  bool operator==(const PendingPlan&) const = default;
};

/// How a plan ended; the last kMaxPendingPlans are remembered to answer a repeated confirm.
struct ResolvedPlan {
  std::string digest;
  Offset offset = 0;
  /// Empty when the plan was applied at `offset`.
  std::string reason;

  bool operator==(const ResolvedPlan&) const = default;
};

class ConfigReplay final : public ReplayedState {
 public:
  /// Deleted objects whose last change is remembered.
  static constexpr std::size_t kMaxTombstones = 4096;

  Applied ApplyRecord(Offset offset, absl::string_view data);

  // ReplayedState
  Offset next_offset() const override { return next_; }
  void Apply(Offset offset, absl::string_view data) override { ApplyRecord(offset, data); }
  std::string SnapshotText() const override;
  bool LoadSnapshot(Offset next, const std::string& text) override;
  std::optional<SnapshotPart> PartIn(absl::string_view data) const override;
  /// An accepted configuration is never forgotten, so there is no empty start.
  bool StartEmptyAt(Offset /*first*/) override { return false; }

  Offset revision() const { return revision_; }
  const ObjectTables& tables() const { return tables_; }
  const std::deque<PendingPlan>& pending() const { return pending_; }
  /// SHA-256 of the snapshot text.
  std::string StateDigest() const;
  /// Malformed records skipped by this object; not part of the state.
  std::int64_t malformed_count() const { return malformed_; }

 private:
  using ObjectName = std::pair<ObjectKind, std::string>;

  Applied Take(Offset offset, const PlanRecord& record);
  Applied Take(Offset offset, const ConfirmRecord& record);
  Applied Take(Offset offset, const SnapshotPart& record);
  std::string FindConflict(const PendingPlan& plan, const Intent& intent) const;
  void MarkChanged(Offset offset, const Intent& intent);
  void Resolve(std::string digest, Offset offset, std::string reason);
  Result<void> Load(const boost::json::object& json);

  Offset next_ = 0;
  Offset revision_ = 0;
  ObjectTables tables_;
  std::deque<PendingPlan> pending_;
  std::deque<ResolvedPlan> resolved_;
  // Offsets of the last change, also of deleted objects, so that a plan made before a deletion
  // cannot bring the object back.
  std::map<ObjectName, Offset> last_changed_;
  // Deleted objects by the offset of their deletion, at most kMaxTombstones.
  std::set<std::pair<Offset, ObjectName>> tombstones_;
  // Offset of the newest deletion that is no longer remembered; older plans are rejected.
  Offset forgotten_ = 0;
  std::int64_t malformed_ = 0;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_CONFIG_REPLAY_H_
