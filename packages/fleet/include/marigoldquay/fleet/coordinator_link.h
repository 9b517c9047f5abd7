// Client of the fleet coordinator: requests placements and quota from it, reports admitted tokens,
// and decides locally while no coordinator responds.
#ifndef MARIGOLDQUAY_FLEET_COORDINATOR_LINK_H_
#define MARIGOLDQUAY_FLEET_COORDINATOR_LINK_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "marigoldquay/core/clock.h"
#include "marigoldquay/dispatch/quota_balances.h"
#include "marigoldquay/dispatch/quota_ledger.h"
#include "marigoldquay/dispatch/request_quarantine.h"
#include "marigoldquay/dispatch/stream_scheduler.h"
#include "marigoldquay/fleet/coordinator.h"
#include "marigoldquay/fleet/followers.h"
#include "marigoldquay/fleet/frame_connection.h"
#include "marigoldquay/fleet/member.h"
#include "marigoldquay/fleet/member_table.h"
#include "marigoldquay/fleet/peer_clock.h"
#include "marigoldquay/relay/stream_placer.h"
#include "marigoldquay/routing/cluster_view.h"

namespace marigoldquay {

/// Receives the store data and the number of VMs that the coordinator sends.
class FeedSink {
 public:
  virtual ~FeedSink() = default;
  /// `complete` is true when `changes` lists every backend server. `era` is that of the store when
  /// the coordinator read them.
  virtual void OnReplicaChanges(const ReplicaChanges& changes, bool complete, StoreEra era) = 0;
  /// The coordinator has this version of the configuration, the newest one at `origin`. `record` is
  /// its stored form, or empty when it has to be read from the store.
  virtual void OnCatalog(std::uint64_t version, const std::string& record,
                         const DataOrigin& origin) = 0;
  /// The coordinator counts this VM as one of `members`; 0 while it does not know the number. It
  /// did so at `confirmed_at` or later.
  virtual void OnMemberCount(std::size_t members, absl::Time confirmed_at) = 0;
};

/// State of the local VM that the link queries.
struct CoordinatorLinkHooks {
  /// This VM with its current readiness.
  std::function<FleetMember()> self;
  /// When this VM itself last read from the store.
  std::function<DataOrigin()> own_origin;
  /// The latest era that the store has named to this VM.
  std::function<StoreEra()> store_era;
  /// Whether `vm` reports to the coordinator that runs in this process.
  std::function<bool(absl::string_view vm)> reports_to_this_vm;
};

class CoordinatorLink final : public StreamPlacer,
                              public CrashGuard,
                              public QuotaGate,
                              public FeedMonitor {
 public:
  /// The session charges what it holds to `memory`.
  CoordinatorLink(asio::io_context& io, const Clock& clock, const ClusterView& view,
                  const MemberSource& source, FeedSink& feed, CoordinatorLinkHooks hooks,
                  MemoryBudget& memory);

  /// Connects to a coordinator and reconnects after each session, until the process ends.
  void Run(Yield yield);
  /// Sends periodic reports until the process ends.
  void RunReports(Yield yield);

  PlacementOutcome Place(const StreamPlacementRequest& request, Cancellation& cancellation,
                         Yield yield) override;
  void OnPrefillEnd(const StreamPlacement& placement, bool ok) override;
  void OnFirstEvent(const StreamPlacement& placement) override;
  void OnEnd(const StreamPlacement& placement, StreamEnd end) override;
  void OnCrash(const ServerCrash& crash) override;
  void OnRequestServed(RequestFingerprint request) override;
  absl::Duration QuarantineTimeLeft(std::span<const RequestTrait> traits) const override;
  QuotaDecision Admit(const CatalogWorkspace& workspace, TokenCount tokens,
                      Cancellation& cancellation, Yield yield) override;
  void Refund(const CatalogWorkspace& workspace, TokenCount tokens) override;
  QuotaDecision AdmitRequest(const Replica& server, Cancellation& cancellation,
                             Yield yield) override;

  /// Updates the local schedulers after a change of the backend servers or the configuration.
  void OnClusterChange();
  /// Sets the tokens by which a workspace may exceed its burst, over all VMs.
  void SetQuotaTolerance(TokenCount tokens) { local_quota_.SetTolerance(tokens); }
  /// Sets the maximum time until a change in the store is known on this VM.
  void SetMaxFeedDelay(absl::Duration bound) { max_feed_delay_ = bound; }
  /// Sends a report immediately, e.g. after a change of readiness.
  void SendReport();
  /// Records that a backend server has announced its shutdown to this VM; the next report forwards
  /// it to the other VMs.
  void OnLeavingServer(const BackendServerId& server) { leaving_servers_.insert(server); }
  /// Reports the request limit that a backend server has stated to this VM, so that it also holds
  /// for the other VMs.
  void OnRequestLimit(const BackendServerId& server);

  bool connected() const { return connection_ != nullptr; }
  absl::Duration FeedFreshFor() const override;
  bool FeedsOthers() const override;
  void RequestFullServerList() override { needs_servers_ = true; }
  /// Origin of the store data received from coordinators.
  const DataOrigin& feed_origin() const { return feed_origin_; }
  /// The coordinator of this session, once it has confirmed its role; otherwise nullopt.
  std::optional<FleetMember> confirmed_coordinator() const;
  /// Whether this VM has to read the list of VMs from the store to find a coordinator.
  bool NeedsMemberList() const;
  /// Whether this VM should be announced in the store, as are the VMs first in line to become
  /// coordinator and those without a coordinator.
  bool ShouldAnnounce() const;
  /// This VM and the members in the coordinator's last state message.
  std::vector<FleetMember> members() const;
  /// Number of VMs that share the quotas.
  std::size_t member_count() const {
    return member_count_ > 0 ? member_count_ : kAssumedMemberCount;
  }

 private:
  // Maximum feed age on a VM that may be the next coordinator, which has to find out early whether
  // it can reach the store.
  static constexpr absl::Duration kStandbyMaxFeedAge = absl::Milliseconds(1100);

  // A call waiting for replies; registered in calls_ for its whole lifetime.
  struct Call {
    explicit Call(CoordinatorLink& owner)
        : link(owner), id(owner.next_call_++), sent_at(owner.clock_.Now()), wake_timer(owner.io_) {
      link.calls_[id] = this;
    }
    ~Call() { link.calls_.erase(id); }
    Call(const Call&) = delete;
    Call& operator=(const Call&) = delete;

    CoordinatorLink& link;
    const std::uint64_t id;
    const absl::Time sent_at;
    asio::steady_timer wake_timer;
    // Replies in order of arrival; a queued call receives two.
    std::vector<protocol::PlaceStreamReplyT> replies;
    bool session_ended = false;
  };
  // A placement of this VM that has not ended, granted by a coordinator or locally.
  struct ActivePlacement {
    std::string service;
    StreamDemand demand;
    BackendServerId decode;
    // That of the decode engine; unset when it was not listed.
    std::optional<std::string> software_version;
    bool local = false;
    std::uint64_t ticket = 0;
    // Session for which the ticket is valid.
    std::uint64_t session = 0;
    // When its first event arrived.
    absl::Time first_event = absl::InfiniteFuture();
  };

  // A call that no fiber waits for: either it registers a running placement with a new coordinator,
  // or its caller gave up (placement 0) and the engines are released when the reply arrives.
  struct DetachedCall {
    std::string service;
    std::uint64_t placement = 0;
  };

  std::vector<FleetMember> Candidates() const;
  std::optional<FleetMember> ChooseCoordinator() const;
  void ProbePreferredCoordinator();
  void ApplyMembers(const protocol::FleetStateT& state);
  void ApplyFeed(const protocol::FleetStateT& state, absl::Time sent_at);
  // When the state that has just arrived was sent, on the clock of this VM, at the earliest.
  absl::Time EarliestSend(const protocol::FleetStateT& state);
  void FollowRedirect(const FleetMember& preferred);
  bool ReportIsDue() const;
  // Era, age and contents of the store data that the coordinator may not have.
  void AddStoreReport(protocol::FleetReportT& report, bool first);
  // Asks for an answer when those so far were too slow to tell how old the states are.
  void ProbeClock();
  // Reports the configuration to a coordinator that has an older version.
  void SendCatalog(std::uint64_t known_version);
  // Age of the feed at which this VM starts to read the store itself.
  absl::Duration MaxFeedAge() const;
  // Waits for a session with a responsive coordinator; false when there is none by `until`.
  bool AwaitSession(absl::Time until, Cancellation& cancellation, Yield yield);
  // Whether the coordinator may still reply to a request sent at `sent_at`.
  bool MayStillReply(absl::Time sent_at) const;
  bool InBackoff(const Address& address) const;
  void ServeSession(Yield yield);
  void EndSession(const std::string& end_reason);
  void SwitchTo(const FleetMember& preferred);
  void ReplaceConnection(FrameConnectionPtr connection, const FleetMember& peer);
  void WakeCalls();
  void StartSession(FrameConnectionPtr connection, const FleetMember& peer);
  void OnFrame(const Frame& frame);
  void OnState(const protocol::FleetStateT& state);
  void OnReply(std::uint64_t call_id, const protocol::PlaceStreamReplyT& reply);
  void SendProgress(const std::string& service, std::uint64_t ticket, protocol::StreamStep step);
  // Ends a placement whose grant no request has received.
  void SendWithdrawal(const std::string& service, std::uint64_t ticket);
  void ReportProgress(const StreamPlacement& placement, protocol::StreamStep step);
  // Waits until the call has reply number `index`; nullptr when it has not arrived by `until`.
  const protocol::PlaceStreamReplyT* AwaitReply(Call& call, std::size_t index, absl::Time until,
                                                Cancellation& cancellation, Yield yield);
  // Waits for the first reply for as long as the coordinator appears alive. Without a reply the VM
  // decides locally or looks for another coordinator.
  const protocol::PlaceStreamReplyT* AwaitFirstReply(Call& call, Cancellation& cancellation,
                                                     Yield yield);
  std::optional<PlacementOutcome> PlaceByCoordinator(const StreamPlacementRequest& request,
                                                     Cancellation& cancellation, Yield yield);
  PlacementOutcome PlaceLocally(const StreamPlacementRequest& request);
  // Unset when the server is not listed.
  std::optional<std::string> SoftwareVersionOf(const BackendServerId& server) const;
  StreamPlacement AddPlacement(const StreamPlacementRequest& request,
                               const protocol::PlaceStreamReplyT& reply);
  StreamScheduler& LocalScheduler(const std::string& service);
  double LocalShare() const;
  // Admits the tokens within the last known balance, or requests them; nullopt when the coordinator
  // does not reply.
  std::optional<QuotaDecision> AdmitByCoordinator(const AccountQuota& quota, TokenCount tokens,
                                                  Cancellation& cancellation, Yield yield);
  std::optional<QuotaDecision> RequestTokens(const AccountQuota& quota, TokenCount tokens,
                                             Cancellation& cancellation, Yield yield);
  bool CoordinatorResponsive() const;
  QuotaDecision AdmitLocally(const AccountQuota& quota, TokenCount tokens);
  // Records that the parts of a stream crash no engine, if it has sent events for long enough.
  void RecordServed(const ActivePlacement& active, absl::Duration proven_after);
  // Adds crashes of engines and quarantined parts.
  void AddCrashReport(protocol::FleetReportT& report, bool first);
  // Adds the request limits to report: all known ones in the first report of a session.
  void AddRequestLimits(protocol::FleetReportT& report, bool first);
  // Switches to local decisions; the local ledger continues from the last known balances.
  void MarkCoordinatorUnresponsive();

  asio::io_context& io_;
  const Clock& clock_;
  const ClusterView& view_;
  const MemberSource& source_;
  FeedSink& feed_;
  const CoordinatorLinkHooks hooks_;
  MemoryBudget& memory_;
  const absl::Time start_time_;
  // Random factor, 0 to 1, that keeps many VMs from acting at the same moment.
  const double jitter_;

  // Null while there is no session.
  FrameConnectionPtr connection_;
  FleetMember coordinator_;
  std::uint64_t session_ = 0;
  absl::Time session_start_time_;
  std::uint64_t next_call_ = 1;
  // Not owned; each call lives on the stack of the fiber that waits for it.
  std::map<std::uint64_t, Call*> calls_;
  // Calls whose reply no fiber waits for. Cleared when a session starts.
  std::map<std::uint64_t, DetachedCall> detached_calls_;
  std::map<std::uint64_t, ActivePlacement> active_placements_;
  std::uint64_t next_placement_ = 1;
  std::map<Address, absl::Time> backoff_until_;

  // VMs that report to the coordinator; kept after the session as candidates for the next one.
  MemberTable members_;
  // Position of this VM in the order of succession; unset until a coordinator lists this VM.
  std::optional<std::size_t> rank_;
  // 0 until a coordinator has sent it.
  std::size_t member_count_ = 0;
  absl::Duration report_interval_ = absl::Milliseconds(250);
  // Origin of the store data last forwarded by a coordinator; never goes back.
  DataOrigin feed_origin_;
  // Clock of the coordinator of this session.
  PeerClock peer_clock_;
  // The last state of this session: its time on the coordinator's clock, 0 when there was none, and
  // its arrival.
  std::int64_t state_sent_ms_ = 0;
  absl::Time state_arrived_at_;
  // Call that only measures how fast the coordinator answers; 0 when none is open.
  std::uint64_t clock_probe_ = 0;
  absl::Time clock_probe_sent_at_;
  // Whether the next report carries the configuration, and the version last sent in this session.
  bool sends_catalog_ = false;
  std::uint64_t sent_catalog_version_ = 0;
  absl::Time last_frame_time_ = absl::InfinitePast();
  // When this VM last switched to another coordinator.
  absl::Time last_switch_time_ = absl::InfinitePast();
  absl::Time last_report_time_ = absl::InfinitePast();
  absl::Time session_end_time_;
  absl::Duration max_feed_delay_ = absl::Seconds(2);
  // Whether the peer of this session has named itself as the coordinator.
  bool coordinator_confirmed_ = false;
  // Whether a connection to another coordinator is being established.
  bool switching_ = false;
  // Set while this VM, a coordinator itself, checks whether a preferred one is active.
  bool probing_ = false;
  // Set when a call got no reply in time or the session ended; cleared by the next frame from the
  // coordinator or the next session.
  bool coordinator_unresponsive_ = false;
  absl::Time unresponsive_since_;
  // Last session in which a report was sent; the first report of a session carries the balances.
  std::uint64_t reported_session_ = 0;
  // Kept after the session, for the next coordinator and for the local ledger.
  QuotaBalances balances_;
  std::set<BackendServerId> leaving_servers_;
  // Servers whose request limit has to be reported.
  std::set<BackendServerId> servers_with_new_limit_;
  // What this VM knows of deadly requests: its own, and what the coordinator has sent.
  RequestQuarantine quarantine_;
  // Requests that the coordinator wants to hear of when they are answered.
  std::vector<RequestFingerprint> suspected_requests_;
  // Those of them that were answered since the last report, with the time; none while this VM has a
  // session, as they are reported at once.
  std::map<RequestFingerprint, absl::Time> served_requests_;
  // The last crashes that this VM has seen, oldest first; at most kMaxRememberedCrashes.
  std::deque<ServerCrash> crashes_;
  // Number of crashes at the end of crashes_ that have not been reported.
  std::size_t unreported_crashes_ = 0;
  bool needs_servers_ = false;
  // Used while no coordinator responds.
  QuotaLedger local_quota_;
  std::map<std::string, StreamScheduler> local_schedulers_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_FLEET_COORDINATOR_LINK_H_
