// Coordinator: places model requests on engines and keeps the quota buckets for all
// VMs that report to it. Every VM can become the coordinator. Its state is soft: the
// reservations lost with it are reported to its successor by the other VMs.
#ifndef MARIGOLDQUAY_FLEET_COORDINATOR_H_
#define MARIGOLDQUAY_FLEET_COORDINATOR_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "marigoldquay/core/clock.h"
#include "marigoldquay/dispatch/quota_ledger.h"
#include "marigoldquay/dispatch/request_quarantine.h"
#include "marigoldquay/dispatch/stream_scheduler.h"
#include "marigoldquay/dispatch/stream_versions.h"
#include "marigoldquay/fleet/cluster_store.h"
#include "marigoldquay/fleet/frame_connection.h"
#include "marigoldquay/fleet/member.h"
#include "marigoldquay/fleet/member_counter.h"
#include "marigoldquay/fleet/member_table.h"
#include "marigoldquay/routing/cluster_view.h"

namespace marigoldquay {

/// Provides the list of VMs that are registered in the store.
class MemberSource {
 public:
  virtual ~MemberSource() = default;
  /// Sorted by coordinator priority; may be out of date while the store is unavailable.
  virtual const std::vector<FleetMember>& listed_members() const = 0;
  /// When the list was last read.
  virtual absl::Time read_at() const = 0;
  /// Whether the first read is long enough ago that VMs started at the same time are in the list.
  virtual bool settled() const = 0;
};

/// Callbacks to the VM that the coordinator runs on.
struct CoordinatorHooks {
  /// Origin of the store data that this VM holds, read by itself or by another VM.
  std::function<DataOrigin()> data_origin;
  /// As data_origin, for the list of backend servers alone.
  std::function<DataOrigin()> servers_origin;
  /// The coordinator that this VM itself reports to, once that VM has confirmed its role.
  std::function<std::optional<FleetMember>()> followed_member;
  /// Called when a VM reports that a backend server is leaving.
  std::function<void(const BackendServerId&)> on_leaving_server;
  /// Called with a request limit that a backend server has stated to a VM.
  std::function<void(const StatedRequestLimit&)> on_request_limit;
  /// Called with a backend server that a VM knows to be draining or removed.
  std::function<void(const ServerDeparture&)> on_departure;
  /// Called with a configuration that a VM has sent in its stored form.
  std::function<void(std::uint64_t version, const std::string& record)> on_catalog;
};

/// Accepts sessions of VMs, schedules their requests and broadcasts the fleet state. Not
/// thread-safe: all fibers run on `io`.
class Coordinator {
 public:
  /// The sessions charge what they hold to `memory`.
  Coordinator(asio::io_context& io, const Clock& clock, const ClusterView& view,
              const MemberSource& source, FleetMember self, CoordinatorHooks hooks,
              MemoryBudget& memory);

  /// Listens for VMs. Errors: kInvalidArgument for a malformed address, kUnavailable when it cannot
  /// be bound.
  ErrorOrVoid Start();
  /// Called after the list of backend servers or the configuration has changed.
  void OnClusterChange();
  /// Tokens by which a workspace may exceed its burst.
  void SetQuotaTolerance(TokenCount tokens) { quota_.SetTolerance(tokens); }
  /// Directs the VMs to the member with the next highest priority.
  void Leave() { leaving_ = true; }

  /// Returns the load of a model service since the last call.
  ServiceLoad TakeLoad(const std::string& service) {
    return SchedulerFor(service).TakeLoad(clock_.Now());
  }
  /// Called before an engine is ordered to change its role; see StreamScheduler.
  void OnRoleOrdered(const std::string& service, const BackendServerId& engine, absl::Time until) {
    SchedulerFor(service).OnRoleChangeAccepted(engine, until);
  }

  /// The quarantines that are in force here.
  std::vector<QuarantinedTraits> quarantined() const {
    return quarantine_.quarantined(clock_.Now());
  }
  /// Adopts a quarantine of an earlier coordinator.
  void AdoptQuarantine(const QuarantinedTraits& quarantined);

  /// Versions that began the streams placed here; kept in the store by StreamVersionKeeper.
  StreamVersions& stream_versions() { return versions_; }
  /// Notes when the list of engines was last asked for. To be called regularly while this VM places
  /// streams, as a gap between two reads hides changes of the versions.
  void NoteListRead() { versions_.OnListRead(hooks_.servers_origin().read_at); }
  /// Called after the store has acknowledged a history or some time has passed: versions may begin
  /// streams now that could not before.
  void OnVersionsAdmitted();

  std::size_t sessions() const { return sessions_.size(); }
  /// Whether the VM reports to this coordinator.
  bool IsReporting(absl::string_view vm) const { return reporting_members_.contains(vm); }

 private:
  struct Session {
    FrameConnectionPtr connection;
    FleetMember member;
    bool reported = false;
    // When the store last answered this VM.
    DataOrigin store_contact;
    // Version of the configuration that is in force there.
    std::uint64_t catalog_version = 0;
    // Versions that were last sent to the VM.
    std::uint64_t sent_members_version = 0;
    std::uint64_t sent_replicas_version = 0;
    std::uint64_t sent_catalog_version = 0;
    std::uint64_t sent_quarantine_version = 0;
    // (service, ticket) of its placements, which are cancelled when the session ends.
    std::set<std::pair<std::string, std::uint64_t> > tickets;
  };
  // A request that waits for free engines.
  struct QueuedPlacement {
    // Outlives this entry: EndSession removes all queued placements of a session.
    Session* session = nullptr;
    std::uint64_t call_id = 0;
    RequestId request_id;
  };
  // Tokens that a workspace was charged for a request.
  struct Charge {
    WorkspaceId workspace;
    TokenCount tokens = 0;
  };
  using TicketKey = std::pair<std::string, std::uint64_t>;

  void Accept(Yield yield);
  void Serve(Tcp::socket socket, Yield yield);
  void EndSession(Session& session, const std::string& reason);
  void OnFrame(Session& session, const Frame& frame);
  void OnReport(Session& session, const protocol::FleetReportT& report);
  // Imports the quota levels and member count that a VM received from its previous coordinator.
  void OnFirstReport(Session& session, const protocol::FleetReportT& report);
  std::size_t ReportingSessions() const;
  void UpdateQuotaShare();
  void OnPlaceRequest(Session& session, std::uint64_t call_id,
                      const protocol::PlaceStreamRequestT& request);
  void OnProgress(Session& session, const protocol::StreamProgressMessageT& message);
  // Crashes of backend servers, quarantines and answered suspects that a VM reports.
  void OnCrashReport(const protocol::FleetReportT& report, absl::Time created_at);
  // What a VM knows of the store's data, which may be newer than the data of this VM.
  void OnStoreReport(Session& session, const protocol::FleetReportT& report, absl::Time created_at);
  // Earliest time at which the report can have been created, which is after a state of this VM that
  // it names. It may have been under way for long.
  absl::Time EarliestCreation(const protocol::FleetReportT& report) const;
  void OnCrash(const ServerCrash& crash);
  void RecordServed(const StreamDemand& demand, absl::Time began_at) {
    quarantine_.OnServed(demand.shared_parts, began_at);
  }
  // Fills `refusal` and returns true when parts of the prompt are quarantined.
  bool RefusesPrompt(const StreamDemand& demand, protocol::PlaceStreamReplyT& refusal) const;
  // Charges the tokens of a request to its account; fills `refusal` and returns false when they
  // exceed the rate.
  bool ChargeQuota(const protocol::PlaceStreamRequestT& request,
                   protocol::PlaceStreamReplyT& refusal);
  // Gives the tokens back to the workspace, when the request did not run.
  void Refund(const Charge& charge);
  // Keeps the charge of a request that waits or was granted, or gives it back when it was refused.
  void KeepOrRefund(const TicketKey& key, const Charge& charge, StreamVerdict verdict);
  // Gives back the charge of a ticket that no engine has been asked for.
  void RefundTicket(const TicketKey& key);
  // What the VM has admitted itself, less what it gives back.
  void SettleSpent(const protocol::FleetReportT& report);
  // Requires the version that began the stream which the request takes up. Fills `refusal` and
  // returns false when it is unknown.
  bool RequireOrigin(const protocol::PlaceStreamRequestT& request, StreamDemand& demand,
                     protocol::PlaceStreamReplyT& refusal);
  // The placement ends; forgets its version unless its stream has begun.
  void WithdrawOrigin(const std::string& service, std::uint64_t ticket);
  void RecordOrigin(const std::string& service, const std::string& request_id,
                    const StreamDecision& decision);
  // The stream of the ticket has begun at the engine reserved for it.
  void RecordBegin(const std::string& service, std::uint64_t ticket);
  // Tells `versions_` of the engines and of the time in which callers come back.
  void UpdateVersions(const Catalog& catalog);
  // Engines of the service whose version may begin streams.
  std::vector<Replica> AdmittedEngines(const std::string& service);
  void SendDecision(Session& session, std::uint64_t call_id, const std::string& service,
                    const StreamDecision& decision);
  // Adds the time and sends the reply.
  void SendReply(Session& session, std::uint64_t call_id, protocol::PlaceStreamReplyT& reply);
  StreamScheduler& SchedulerFor(const std::string& service);
  void AdvanceQueuedPlacements(Yield yield);
  void RunStateBroadcasts(Yield yield);
  void RemoveMember(const Session& session);
  // The coordinator that VMs should report to from now on.
  FleetMember PreferredCoordinator() const;
  std::optional<FleetMember> Successor() const;
  std::optional<FleetMember> BestMemberWithStoreContact() const;
  protocol::FleetStateT BuildState();
  std::uint64_t CatalogVersion() const;
  // The VM to ask for a newer configuration than that of this VM; empty when there is none.
  VmId CatalogSource() const;
  // Whether the configuration is sent to VMs with an older version; otherwise they read the store.
  bool SendsCatalog() const;
  // Adds the level of the account unless the VMs may assume it.
  void AddBalance(const AccountQuota& quota, protocol::FleetStateT& state);
  void AddMembers(std::uint64_t since, protocol::FleetStateT& state) const;
  void AddReplicas(std::uint64_t since, protocol::FleetStateT& state) const;
  void AddCatalog(std::uint64_t since, protocol::FleetStateT& state) const;
  void AddQuarantines(std::uint64_t since, protocol::FleetStateT& state) const;
  void BroadcastState();
  // Number of VMs that share the quotas; kAssumedMemberCount while it is unknown.
  std::size_t MemberCount() const;
  // Number of VMs that share the budgets; 0 while others may have started that are not seen yet.
  std::size_t KnownMemberCount() const;
  absl::Duration StateInterval() const;
  // Ends the current interval early, so that the next state is sent after kBatchDelay.
  void TriggerStateBroadcast();

  asio::io_context& io_;
  const Clock& clock_;
  const ClusterView& view_;
  const MemberSource& source_;
  const FleetMember self_;
  const CoordinatorHooks hooks_;
  MemoryBudget& memory_;
  Tcp::acceptor acceptor_;
  asio::steady_timer state_timer_;
  // Owned by the fibers that run Serve.
  std::set<Session*> sessions_;
  std::map<std::string, StreamScheduler> schedulers_;
  std::map<TicketKey, QueuedPlacement> queued_placements_;
  // Charges of the placements that have not ended; at most one for each ticket of a session.
  std::map<TicketKey, Charge> charges_;
  QuotaLedger quota_{0};
  RequestQuarantine quarantine_;
  StreamVersions versions_;
  // Engines that get no streams until the store's history names their version.
  std::set<BackendServerId> gated_engines_;
  MemberTable reporting_members_;
  MemberCounter member_counter_;
  // Latest version that a VM was asked for.
  std::uint64_t asked_catalog_version_ = 0;
  bool advancing_queue_ = false;
  bool leaving_ = false;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_FLEET_COORDINATOR_H_
