// Membership as MemberView, and the stream that feeds it.
#include "marigoldquay/membership/membership_state.h"

#include <algorithm>

#include "marigoldquay/core/logger.h"
#include "marigoldquay/core/metrics.h"
#include "marigoldquay/core/rendezvous.h"

namespace marigoldquay {
namespace {

const Logger& Log() {
  static const Logger logger("member");
  return logger;
}

Gauge& MembersGauge() {
  static Gauge& gauge = MetricsRegistry::Global().gauge("members", "Members in the set.");
  return gauge;
}

}  // namespace

void MembershipState::ObservedSet::Apply(Offset offset, absl::string_view data) {
  const auto before = set_.vms();
  const auto members_before = set_.members();
  const auto change = set_.ApplyRecord(offset, data);
  owner_.mutex_.AssertHeld();
  owner_.OnRecord(change, before, members_before);
  const auto part = set_.PartIn(data);
  if (part && part->part + 1 == part->parts) {
    owner_.changes_since_snapshot_ = 0;
    owner_.snapshot_seen_at_ = owner_.clock_.Now();
  }
  if (change.kind != MemberChangeKind::kNone) return;
  // A remove record of this VM that was read without effect is resolved.
  HandleError(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(record, ParseMemberRecord(data));
        const auto* remove = std::get_if<RemoveRecord>(&record);
        if (remove != nullptr && remove->remover == owner_.self_.instance) {
          owner_.duty_.OnRemoveFailed(remove->instance);
        }
        return {};
      },
      [&](const Error& error) {
        Log().Warn("record ", offset, " is malformed and skipped: ", error.message);
      });
}

bool MembershipState::ObservedSet::LoadSnapshot(Offset next, const std::string& text) {
  if (!set_.LoadSnapshot(next, text)) {
    Log().Error("snapshot of offset ", next, " cannot be read");
    return false;
  }
  owner_.mutex_.AssertHeld();
  owner_.OnHistoryLost();
  return true;
}

bool MembershipState::ObservedSet::StartEmptyAt(Offset first) {
  set_.StartEmptyAt(first);
  owner_.mutex_.AssertHeld();
  owner_.OnHistoryLost();
  return true;
}

MembershipState::MembershipState(const Clock& clock)
    : clock_(clock),
      observed_(*this),
      replica_(std::string(kMembersStream), observed_),
      tracker_(clock),
      peers_(clock),
      duty_(clock),
      snapshot_seen_at_(clock.Now()) {}

void MembershipState::Begin(const Member& self) {
  absl::MutexLock lock(&mutex_);
  self_ = self;
  was_member_ = lost_ = stopped_acting_ = false;
  tracker_.Start(self.instance);
  lease_.Reset();
  SyncParts();
}

void MembershipState::OnHistoryLost() {
  // Ownership follows from every change since the join; a new instance starts clean.
  if (was_member_) lost_ = true;
  tracker_.Start(self_.instance);
  changes_since_snapshot_ = 0;
  SyncParts();
}

void MembershipState::SyncParts() {
  peers_.Sync(set().members(), self_.instance);
  duty_.Sync(set(), Acting() ? self_.instance : Instance());
  MembersGauge().Set(static_cast<std::int64_t>(set().members().size()));
}

void MembershipState::OnRecord(const MemberChange& change, const std::vector<VmId>& before,
                               const MemberSet::Members& members_before) {
  if (change.kind == MemberChangeKind::kNone) return;
  ++changes_since_snapshot_;
  tracker_.OnChange(change, before, set().vms(), members_before);
  const bool is_self = change.member.instance == self_.instance;
  const bool joined =
      change.kind == MemberChangeKind::kJoined || change.kind == MemberChangeKind::kReplaced;
  if (joined && is_self) was_member_ = true;
  if ((!joined && is_self) || change.replaced == self_.instance) {
    lost_ = true;
    lease_.Reset();
  }
  SyncParts();
}

Member MembershipState::self_member() const {
  absl::MutexLock lock(&mutex_);
  return self_;
}

bool MembershipState::is_member() const {
  absl::MutexLock lock(&mutex_);
  return was_member_ && !lost_;
}

bool MembershipState::lost_membership() const {
  absl::MutexLock lock(&mutex_);
  return lost_;
}

void MembershipState::StopActing() {
  absl::MutexLock lock(&mutex_);
  stopped_acting_ = true;
  SyncParts();
}

bool MembershipState::Acting() const { return was_member_ && !lost_ && !stopped_acting_; }

Instance MembershipState::self() const {
  absl::MutexLock lock(&mutex_);
  return self_.instance;
}

Offset MembershipState::epoch() const {
  absl::MutexLock lock(&mutex_);
  return set().epoch();
}

std::vector<Member> MembershipState::Resolve(const std::vector<VmId>& vms) const {
  std::vector<Member> members;
  members.reserve(vms.size());
  for (const auto& vm : vms) members.push_back(*set().Find(vm));
  return members;
}

std::vector<Member> MembershipState::members() const {
  absl::MutexLock lock(&mutex_);
  return Resolve(set().vms());
}

std::optional<Member> MembershipState::FindMember(absl::string_view vm) const {
  absl::MutexLock lock(&mutex_);
  const auto* member = set().Find(vm);
  return member == nullptr ? std::nullopt : std::optional(*member);
}

bool MembershipState::IsMember(const Instance& instance) const {
  absl::MutexLock lock(&mutex_);
  return set().Contains(instance);
}

MemberHealth MembershipState::health(absl::string_view vm) const {
  absl::MutexLock lock(&mutex_);
  if (vm == self_.instance.vm) return {status_.spare_capacity, status_.draining, true};
  const auto* peer = peers_.Find(vm);
  if (peer == nullptr) return {0, false, false};
  return {peer->spare_capacity, peer->draining, peers_.Responsive(vm)};
}

std::vector<Member> MembershipState::RankFor(absl::string_view key) const {
  absl::MutexLock lock(&mutex_);
  auto ranked = RankByRendezvous(key, set().vms());
  std::stable_partition(ranked.begin(), ranked.end(),
                        [&](const VmId& vm) { return peers_.Responsive(vm); });
  return Resolve(ranked);
}

std::optional<Member> MembershipState::OwnerOf(absl::string_view key) const {
  absl::MutexLock lock(&mutex_);
  const auto* member = set().Find(FirstByRendezvous(key, set().vms()));
  return member == nullptr ? std::nullopt : std::optional(*member);
}

std::optional<Member> MembershipState::PreviousOwnerOf(absl::string_view key) const {
  absl::MutexLock lock(&mutex_);
  const auto previous = tracker_.PreviousOwner(key, set().vms());
  if (!previous) return std::nullopt;
  return *set().Find(*previous);
}

bool MembershipState::HoldsExclusively(absl::string_view key) const {
  absl::MutexLock lock(&mutex_);
  return Acting() && FirstByRendezvous(key, set().vms()) == self_.instance.vm &&
         tracker_.IsFree(key) && LeaseValidLocked();
}

bool MembershipState::LeaseValid() const {
  absl::MutexLock lock(&mutex_);
  return LeaseValidLocked();
}

bool MembershipState::LeaseValidLocked() const {
  return was_member_ && !lost_ &&
         lease_.Valid(clock_.Now(), set().GuardiansOf(self_.instance.vm), set().epoch());
}

Offset MembershipState::next_offset() const {
  absl::MutexLock lock(&mutex_);
  return replica_.wanted_offset();
}

void MembershipState::OnPage(const LogPage& page, absl::Time read_sent_at) {
  log_failing_ = false;
  {
    absl::MutexLock lock(&mutex_);
    if (replica_.TakePage(page) && set().Contains(self_.instance)) {
      lease_.OnTailRead(read_sent_at);
    }
  }
  NotifyListeners();
}

void MembershipState::OnReadError(const Error& error) {
  if (!log_failing_.exchange(true)) {
    Log().Warn("the log cannot be read, peers are asked instead: ", error.ToString());
  }
}

Offset MembershipState::applied_offset() const {
  absl::MutexLock lock(&mutex_);
  return set().next_offset();
}

bool MembershipState::Serves(absl::string_view stream) const {
  absl::MutexLock lock(&mutex_);
  return replica_.Serves(stream);
}

protocol::FetchRecordsReplyT MembershipState::Serve(const protocol::FetchRecordsRequestT& request) {
  absl::MutexLock lock(&mutex_);
  return replica_.Serve(request);
}

protocol::FetchRecordsRequestT MembershipState::NextRequest() const {
  absl::MutexLock lock(&mutex_);
  return replica_.NextRequest();
}

bool MembershipState::TakeReply(const protocol::FetchRecordsRequestT& request,
                                const protocol::FetchRecordsReplyT& reply) {
  bool more = false;
  {
    absl::MutexLock lock(&mutex_);
    more = replica_.TakeReply(request, reply);
  }
  NotifyListeners();
  return more;
}

void MembershipState::NotifyListeners() {
  const auto now = epoch();
  if (notified_epoch_.exchange(now) == now) return;
  for (const auto& listener : listeners_) listener(now);
}

std::vector<SnapshotPart> MembershipState::MakeSnapshot() const {
  absl::MutexLock lock(&mutex_);
  return SplitSnapshot(observed_.SnapshotText(), set().next_offset());
}

std::int64_t MembershipState::changes_since_snapshot() const {
  absl::MutexLock lock(&mutex_);
  return changes_since_snapshot_;
}

absl::Duration MembershipState::time_since_snapshot() const {
  absl::MutexLock lock(&mutex_);
  return clock_.Now() - snapshot_seen_at_;
}

}  // namespace marigoldquay
