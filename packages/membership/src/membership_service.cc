// Joining, renewing, removing, leaving.
#include "marigoldquay/membership/membership_service.h"

#include <algorithm>
#include <utility>

#include "marigoldquay/core/logger.h"

namespace marigoldquay {
namespace {

constexpr absl::Duration kHandOverInterval = absl::Milliseconds(200);
constexpr absl::Duration kMaintenanceInterval = absl::Milliseconds(250);
constexpr absl::Duration kSeedPullInterval = absl::Seconds(1);
constexpr absl::Duration kRetryDelay = absl::Seconds(1);
constexpr absl::Duration kLeavePoll = absl::Milliseconds(20);

const Logger& Log() {
  static const Logger logger("member");
  return logger;
}

}  // namespace

MembershipService::MembershipService(MembershipOptions options, MembershipState& state,
                                     ConfigStore& config, LogClient& log, RpcClient& client,
                                     const Clock& clock)
    : options_(options),
      state_(state),
      config_(config),
      log_(log),
      clock_(clock),
      catch_up_(client, {&config, &state}),
      heartbeats_(state, config, catch_up_, client, clock),
      hand_over_(state, client) {}

MembershipService::~MembershipService() { Stop(); }

void MembershipService::RegisterHandlers(RpcRegistry& registry) {
  catch_up_.RegisterHandler(registry);
  heartbeats_.RegisterHandler(registry);
  hand_over_.RegisterHandler(registry);
}

void MembershipService::RegisterExclusive(std::string name, ExclusiveState& exclusive) {
  hand_over_.RegisterState(std::move(name), exclusive);
}

void MembershipService::AddLostMembershipCallback(std::function<void()> callback) {
  lost_callbacks_.push_back(std::move(callback));
}

void MembershipService::Prepare(std::vector<Address> seeds, const Member& self) {
  std::erase(seeds, self.inner_address);
  seeds_ = std::move(seeds);
  heartbeats_.SetSeeds(seeds_);
  state_.Begin(self);
}

void MembershipService::Start(std::vector<Address> seeds, const Member& self) {
  Prepare(std::move(seeds), self);
  catch_up_.Start();
  heartbeat_thread_.Start(absl::Milliseconds(500), [this, last = absl::InfinitePast()]() mutable {
    if (clock_.Now() < last + heartbeats_.interval() - absl::Milliseconds(100)) return;
    last = clock_.Now();
    RunHeartbeatRound();
  });
  hand_over_thread_.Start(kHandOverInterval, [this] { RunHandOverRound(); });
  maintenance_thread_.Start(kMaintenanceInterval, [this] { RunMaintenance(); });
}

void MembershipService::Stop() {
  maintenance_thread_.Stop();
  hand_over_thread_.Stop();
  heartbeat_thread_.Stop();
  catch_up_.Stop();
}

bool MembershipService::ReadyToServe() const { return heartbeats_.CaughtUp() && config_.current(); }

void MembershipService::RunMaintenance() {
  if (leaving_) return;
  RejoinWhenLost();
  JoinWhenNeeded();
  RenewWhenDue();
  RemoveSilentWards();
  WriteSnapshotWhenDue();
}

MembershipService::AppendOutcome MembershipService::Append(const std::string& data,
                                                           absl::string_view what) {
  return HandleError(
      [&]() -> Result<AppendOutcome> {
        BOOST_LEAF_CHECK(log_.Append(kMembersStream, data, options_.append_timeout));
        return AppendOutcome::kDone;
      },
      [&](const Error& error) {
        Log().Warn(what, " was not recorded for certain: ", error.ToString());
        return error.code == ErrorCode::kNotSent || error.code == ErrorCode::kRefused
                   ? AppendOutcome::kNoEffect
                   : AppendOutcome::kUnknown;
      });
}

void MembershipService::RejoinWhenLost() {
  if (!state_.lost_membership()) return;
  auto self = state_.self_member();
  Log().Warn(self.instance.ToString(), " is no longer a member, joining as a new instance");
  for (const auto& callback : lost_callbacks_) callback();
  self.instance.incarnation = RandomId();
  state_.Begin(self);
  removals_.clear();
  next_join_ = absl::InfinitePast();
  next_renew_ = absl::InfiniteFuture();
}

void MembershipService::PullFromSeeds() {
  next_seed_pull_ = clock_.Now() + kSeedPullInterval;
  for (const auto& seed : seeds_) catch_up_.Pull(seed);
}

void MembershipService::JoinWhenNeeded() {
  if (state_.is_member()) return;
  if (clock_.Now() >= next_seed_pull_) PullFromSeeds();
  // While the log cannot be read the join would not be read back either.
  if (!state_.log_reachable() || clock_.Now() < next_join_) return;
  // The instance identifies the record: reading it back, from whichever append, resolves the join.
  const auto self = state_.self_member();
  const auto outcome = Append(FormatRecord(JoinRecord{self, RandomHexId(), false}), "join");
  next_join_ =
      clock_.Now() + (outcome == AppendOutcome::kNoEffect ? kRetryDelay : options_.append_retry);
}

void MembershipService::RenewWhenDue() {
  if (!state_.is_member()) return;
  const auto now = clock_.Now();
  if (next_renew_ == absl::InfiniteFuture()) {
    next_renew_ = now + options_.retention / 4;
    return;
  }
  if (now < next_renew_) return;
  const auto record = JoinRecord{state_.self_member(), RandomHexId(), true};
  // A renewal is idempotent, so that an unknown outcome is treated like a failure.
  const bool done = Append(FormatRecord(record), "renew") == AppendOutcome::kDone;
  next_renew_ = now + (done ? options_.retention / 4 : kRetryDelay);
}

void MembershipService::RemoveSilentWards() {
  const auto due = state_.RemovalsDue();
  std::erase_if(removals_, [&](const auto& entry) {
    return std::find(due.begin(), due.end(), entry.first) == due.end();
  });
  for (const auto& instance : due) {
    auto& removal = removals_[instance];
    if (clock_.Now() < removal.next_append || !state_.StartRemoval(instance)) continue;
    if (removal.nonce.empty()) removal.nonce = RandomHexId();
    Log().Warn("removing ", instance.ToString(), ", which has been silent for ",
               absl::FormatDuration(kLeaseTime));
    const auto outcome =
        Append(FormatRecord(RemoveRecord{instance, state_.self(), removal.nonce}), "remove");
    removal.next_append = clock_.Now() + options_.append_retry;
    // After an unknown outcome the record is appended again until one is read, because the first
    // one may still take effect.
    if (outcome != AppendOutcome::kNoEffect) removal.unresolved = true;
    if (!removal.unresolved) state_.OnRemoveFailed(instance);
  }
}

void MembershipService::WriteSnapshotWhenDue() {
  if (!state_.is_member() || !state_.LeaseValid() || !state_.log_reachable()) return;
  if (state_.changes_since_snapshot() < options_.snapshot_changes &&
      state_.time_since_snapshot() < options_.retention / 4) {
    return;
  }
  const auto ranked = state_.RankFor(kMembersSnapshotRole);
  if (ranked.empty() || ranked.front().instance != state_.self()) return;
  for (const auto& part : state_.MakeSnapshot()) {
    if (Append(FormatRecord(part), "snapshot") != AppendOutcome::kDone) return;
  }
}

bool MembershipService::Leave(absl::Duration timeout) {
  leaving_ = true;
  const auto deadline = clock_.Now() + timeout;
  // From here on no key is held, so that the new owners need not wait for the lease.
  state_.StopActing();
  const auto record = FormatRecord(LeaveRecord{state_.self(), RandomHexId()});
  auto next_append = absl::InfinitePast();
  while (state_.is_member()) {
    if (clock_.Now() >= deadline) return false;
    if (clock_.Now() >= next_append) {
      const auto outcome = Append(record, "leave");
      next_append = clock_.Now() +
                    (outcome == AppendOutcome::kNoEffect ? kRetryDelay : options_.append_retry);
    }
    absl::SleepFor(kLeavePoll);
  }
  // The new owners ask within this time or start without balances.
  const auto handed_over = std::min(deadline, clock_.Now() + kTakeoverWait);
  while (clock_.Now() < handed_over) absl::SleepFor(kLeavePoll);
  return true;
}

}  // namespace marigoldquay
