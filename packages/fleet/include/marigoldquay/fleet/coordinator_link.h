// This VM's side of the coordination: asks the coordinator for engines, reports
// what it has admitted, and decides on its own while no coordinator answers.
#ifndef MARIGOLDQUAY_FLEET_COORDINATOR_LINK_H_
#define MARIGOLDQUAY_FLEET_COORDINATOR_LINK_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "marigoldquay/core/clock.h"
#include "marigoldquay/dispatch/quota_ledger.h"
#include "marigoldquay/dispatch/stream_scheduler.h"
#include "marigoldquay/fleet/coordinator.h"
#include "marigoldquay/fleet/followers.h"
#include "marigoldquay/fleet/frame_connection.h"
#include "marigoldquay/fleet/member.h"
#include "marigoldquay/fleet/member_table.h"
#include "marigoldquay/relay/stream_placer.h"
#include "marigoldquay/routing/cluster_view.h"

namespace marigoldquay {

/// What the coordinator passes on from the store.
class FeedSink {
 public:
  virtual ~FeedSink() = default;
  /// `whole` tells whether the changes list every backend server that there is.
  virtual void OnReplicaChanges(const ReplicaChanges& changes, bool whole) = 0;
  /// The coordinator knows this version of the configuration; `record` is its stored form, empty
  /// when it has to be read from the store.
  virtual void OnCatalog(std::uint64_t version, const std::string& record) = 0;
};

/// What the link needs to know of the VM that it runs on.
struct CoordinatorLinkHooks {
  /// This VM with its present readiness.
  std::function<FleetMember()> self;
  /// When this VM itself last heard from the store.
  std::function<absl::Time()> store_contact;
  /// Whether the VM reports to the coordinator of this process.
  std::function<bool(absl::string_view vm)> reports_here;
};

class CoordinatorLink final : public StreamPlacer, public QuotaGate, public FeedMonitor {
 public:
  CoordinatorLink(asio::io_context& io, const Clock& clock, const ClusterView& view,
                  const MemberSource& source, FeedSink& feed, CoordinatorLinkHooks hooks);

  /// Keeps a session with the coordinator until the process ends.
  void Run(Yield yield);
  /// Sends reports until the process ends.
  void RunReports(Yield yield);

  PlacementOutcome Place(const StreamPlacementRequest& request, Cancellation& cancellation,
                         Yield yield) override;
  void OnPrefillEnd(const StreamPlacement& placement, bool ok) override;
  void OnFirstEvent(const StreamPlacement& placement) override;
  void OnEnd(const StreamPlacement& placement, StreamEnd end) override;
  QuotaDecision Admit(const CatalogWorkspace& workspace, TokenCount tokens,
                      Cancellation& cancellation, Yield yield) override;

  /// The list of backend servers or the configuration has changed.
  void OnClusterChange();
  /// Tokens by which a workspace may exceed its burst, over all VMs.
  void SetQuotaTolerance(TokenCount tokens) { local_quota_.SetTolerance(tokens); }
  /// Longest time that a change in the store may take to be known here.
  void SetFeedBound(absl::Duration bound) { feed_bound_ = bound; }
  /// Sends a report at once, e.g. after readiness has changed.
  void ReportNow();
  /// A backend server has told this VM that it is leaving; the others are told with the next
  /// report.
  void OnLeavingServer(const BackendServerId& server) { leaving_servers_.insert(server); }

  bool connected() const { return connection_ != nullptr; }
  bool FeedIsFresh() const override;
  bool FeedsOthers() const override;
  void RequestFullServerList() override { needs_servers_ = true; }
  /// When what the coordinators have passed on was read from the store.
  absl::Time feed_time() const { return feed_time_; }
  /// The coordinator, once it has confirmed that it is one.
  std::optional<FleetMember> confirmed_coordinator() const;
  /// Whether this VM has to read the store's list of VMs to find a coordinator.
  bool NeedsList() const;
  /// Whether this VM is announced in the store: the VMs that would coordinate next are, and those
  /// without a coordinator.
  bool Announces() const;
  /// Members that the coordinator last named, and this VM.
  std::vector<FleetMember> members() const;
  /// How many VMs share the quotas.
  std::size_t member_count() const {
    return member_count_ > 0 ? member_count_ : kAssumedMemberCount;
  }

 private:
  // A call that waits for answers; listed for as long as it exists.
  struct Call {
    explicit Call(CoordinatorLink& owner) : link(owner), id(owner.next_call_++), wake(owner.io_) {
      link.calls_[id] = this;
    }
    ~Call() { link.calls_.erase(id); }
    Call(const Call&) = delete;
    Call& operator=(const Call&) = delete;

    CoordinatorLink& link;
    const std::uint64_t id;
    asio::steady_timer wake;
    // Answers in the order of arrival; a queued call gets two.
    std::vector<protocol::PlaceStreamReplyT> replies;
    bool session_ended = false;
  };
  // A placement of this VM that has not ended.
  struct Active {
    std::string service;
    StreamDemand demand;
    BackendServerId decode;
    bool local = false;
    std::uint64_t ticket = 0;
    // Session in which the ticket is valid.
    std::uint64_t session = 0;
  };

  // A call that tells a new coordinator of a running placement, or one that was given up
  // (placement 0), whose engines are freed when the reply comes.
  struct Unclaimed {
    std::string service;
    std::uint64_t placement = 0;
  };

  std::vector<FleetMember> Candidates() const;
  std::optional<FleetMember> ChooseCoordinator() const;
  void ProbeBetterCoordinator();
  void TakeMembers(const protocol::FleetStateT& state);
  void TakeFeed(const protocol::FleetStateT& state);
  void FollowWord(const FleetMember& preferred);
  bool ReportIsDue() const;
  // Age of the feed from which on this VM reads the store itself.
  absl::Duration OldestFeed() const;
  // Waits for a session; false when there is none at `until`.
  bool AwaitSession(absl::Time until, Cancellation& cancellation, Yield yield);
  // Whether the coordinator may still answer a request that it was sent.
  bool MayStillAnswer(absl::Time asked) const;
  bool CoolingDown(const Address& address) const;
  void ServeSession(Yield yield);
  void EndSession(const std::string& why);
  void SwitchTo(const FleetMember& preferred);
  void ReplaceConnection(FrameConnectionPtr connection, const FleetMember& peer);
  void WakeCalls();
  void StartSession(FrameConnectionPtr connection, const FleetMember& peer);
  void OnFrame(const Frame& frame);
  void OnState(const protocol::FleetStateT& state);
  void OnReply(std::uint64_t call_id, const protocol::PlaceStreamReplyT& reply);
  void SendProgress(const std::string& service, std::uint64_t ticket, protocol::StreamStep step);
  void Progress(const StreamPlacement& placement, protocol::StreamStep step);
  // Waits for the next answer of a call; nullptr when none came in time.
  const protocol::PlaceStreamReplyT* AwaitReply(Call& call, std::size_t index, absl::Time until,
                                                Cancellation& cancellation, Yield yield);
  // Waits for the first answer for as long as the coordinator seems to live; without one the VM
  // acts on its own or looks for another coordinator.
  const protocol::PlaceStreamReplyT* AwaitFirstReply(Call& call, Cancellation& cancellation,
                                                     Yield yield);
  std::optional<PlacementOutcome> PlaceByCoordinator(const StreamPlacementRequest& request,
                                                     Cancellation& cancellation, Yield yield);
  PlacementOutcome PlaceLocally(const StreamPlacementRequest& request);
  StreamPlacement Register(const StreamPlacementRequest& request,
                           const protocol::PlaceStreamReplyT& reply);
  StreamScheduler& LocalScheduler(const std::string& service);
  double LocalShare() const;
  // Tokens that this VM may admit without asking until the next state.
  TokenCount Allowance(const CatalogWorkspace& workspace) const;
  std::optional<QuotaDecision> AskForTokens(const CatalogWorkspace& workspace, TokenCount tokens,
                                            Cancellation& cancellation, Yield yield);
  bool Responsive() const;
  QuotaDecision AdmitLocally(const CatalogWorkspace& workspace, TokenCount tokens);
  // Decides on its own from now on: the local ledger continues from the last known levels.
  void BecomeSilent();

  asio::io_context& io_;
  const Clock& clock_;
  const ClusterView& view_;
  const MemberSource& source_;
  FeedSink& feed_;
  const CoordinatorLinkHooks hooks_;
  const absl::Time started_;
  // Spreads what many VMs would do at the same moment; 0 to 1.
  const double spread_;

  // Null while there is no session.
  FrameConnectionPtr connection_;
  FleetMember coordinator_;
  std::uint64_t session_ = 0;
  std::uint64_t next_call_ = 1;
  // Owned by the fibers that wait for them.
  std::map<std::uint64_t, Call*> calls_;
  // Calls whose reply no fiber waits for. Cleared with the session.
  std::map<std::uint64_t, Unclaimed> unclaimed_;
  std::map<std::uint64_t, Active> active_;
  std::uint64_t next_placement_ = 1;
  std::map<Address, absl::Time> cooling_down_until_;

  // VMs that report to the coordinator, kept after the session as candidates for the next one.
  MemberTable members_;
  // Place of this VM in the order of coordination; unset until a coordinator has named it.
  std::optional<std::size_t> rank_;
  // 0 until a coordinator has named it.
  std::size_t member_count_ = 0;
  absl::Duration report_interval_ = absl::Milliseconds(250);
  // When what the coordinator last passed on was read from the store.
  absl::Time feed_time_ = absl::InfinitePast();
  absl::Time last_frame_ = absl::InfinitePast();
  // When this VM last followed a coordinator's word to another one.
  absl::Time last_switch_ = absl::InfinitePast();
  absl::Time last_report_ = absl::InfinitePast();
  absl::Time session_ended_;
  absl::Duration feed_bound_ = absl::Seconds(2);
  // Whether the coordinator of this session has named itself.
  bool confirmed_ = false;
  // Whether a connection to another coordinator is being made.
  bool switching_ = false;
  // Set while this VM, a coordinator itself, looks whether a better one acts.
  bool probing_ = false;
  // Set when a call was not answered in time, until the coordinator is heard again.
  bool silent_ = false;
  absl::Time silent_since_;
  // Session whose first report has been sent.
  std::uint64_t reported_session_ = 0;
  // Levels that a coordinator last named; workspaces that it leaves out have half of their burst.
  // Kept after the session, for the next coordinator and for the local ledger.
  std::map<WorkspaceId, TokenCount> balances_;
  // Admitted here without asking, since the last report and since the last state.
  std::map<WorkspaceId, TokenCount> spent_;
  std::set<BackendServerId> leaving_servers_;
  bool needs_servers_ = false;
  std::map<WorkspaceId, TokenCount> spent_since_state_;
  // Workspaces that the coordinator has just refused, with the time until which that holds.
  std::map<WorkspaceId, absl::Time> refused_until_;
  QuotaLedger local_quota_;
  std::map<std::string, StreamScheduler> local_schedulers_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_FLEET_COORDINATOR_LINK_H_
