// The coordinating side of a VM: places the model requests and keeps the quota
// buckets of all VMs that report to it. Every VM can do this; losing the one that
// does costs only the reservations, which the others tell its successor.
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
#include "marigoldquay/dispatch/stream_scheduler.h"
#include "marigoldquay/fleet/frame_connection.h"
#include "marigoldquay/fleet/member.h"
#include "marigoldquay/fleet/member_table.h"
#include "marigoldquay/routing/cluster_view.h"

namespace marigoldquay {

/// Knows which VMs the store lists.
class MemberSource {
 public:
  virtual ~MemberSource() = default;
  /// In the order of coordination; may be out of date while the store is away.
  virtual const std::vector<FleetMember>& listed_members() const = 0;
  /// When the list was last read.
  virtual absl::Time read_at() const = 0;
  /// Whether the list has been read for long enough that VMs started at the same time are in it.
  virtual bool settled() const = 0;
};

/// What the coordinator needs to know of the VM that it runs on.
struct CoordinatorHooks {
  /// When what this VM knows of the store was read there, by itself or by another VM.
  std::function<absl::Time()> knowledge_time;
  /// The coordinator that this VM reports to itself, once that one has confirmed that it is one.
  std::function<std::optional<FleetMember>()> followed;
  /// A VM has seen that the backend server is leaving.
  std::function<void(const BackendServerId&)> on_leaving_server;
};

class Coordinator {
 public:
  Coordinator(asio::io_context& io, const Clock& clock, const ClusterView& view,
              const MemberSource& source, FleetMember self, CoordinatorHooks hooks);

  /// Listens for the other VMs; fails with kUnavailable when the address cannot be bound.
  ErrorOrVoid Start();
  /// The list of backend servers or the configuration has changed.
  void OnClusterChange();
  /// Tokens by which a workspace may exceed its burst.
  void SetQuotaTolerance(TokenCount tokens) { quota_.SetTolerance(tokens); }
  /// Hands the coordination to the next member.
  void Leave() { leaving_ = true; }

  /// Load of a model service since the last call.
  ServiceLoad TakeLoad(const std::string& service) {
    return SchedulerOf(service).TakeLoad(clock_.Now());
  }
  /// The engine is about to change its role; see StreamScheduler.
  void OnRoleOrdered(const std::string& service, const BackendServerId& engine, absl::Time until) {
    SchedulerOf(service).OnRoleChangeAccepted(engine, until);
  }

  std::size_t sessions() const { return sessions_.size(); }
  /// Whether the VM reports here.
  bool Serves(absl::string_view vm) const { return reporting_.contains(vm); }

 private:
  struct Session {
    FrameConnectionPtr connection;
    FleetMember member;
    bool reported = false;
    // Number of VMs that it had last heard of when the session began; 0 when unknown.
    std::size_t known_members = 0;
    // When the VM itself last heard from the store.
    absl::Time store_contact = absl::InfinitePast();
    // What the VM was told last.
    std::uint64_t sent_members = 0;
    std::uint64_t sent_replicas = 0;
    std::uint64_t sent_catalog = 0;
    // Tickets by service, so that they end with the session.
    std::set<std::pair<std::string, std::uint64_t>> tickets;
  };
  // A demand that waits for engines.
  struct Waiting {
    // Ends all its waiting demands before it ends itself.
    Session* session = nullptr;
    std::uint64_t call_id = 0;
    RequestId request_id;
  };
  using TicketKey = std::pair<std::string, std::uint64_t>;

  void Accept(Yield yield);
  void Serve(Tcp::socket socket, Yield yield);
  void EndSession(Session& session, const std::string& why);
  void OnFrame(Session& session, const Frame& frame);
  void OnReport(Session& session, const protocol::FleetReportT& report);
  // Takes over what a VM knows of the fleet from its previous coordinator.
  void OnFirstReport(Session& session, const protocol::FleetReportT& report);
  std::size_t ReportingSessions() const;
  void UpdateQuotaShare();
  void OnPlace(Session& session, std::uint64_t call_id,
               const protocol::PlaceStreamRequestT& request);
  void OnProgress(Session& session, const protocol::StreamProgressMessageT& message);
  bool Charge(const protocol::PlaceStreamRequestT& request, protocol::PlaceStreamReplyT& refusal);
  void Answer(Session& session, std::uint64_t call_id, const std::string& service,
              const StreamDecision& decision);
  StreamScheduler& SchedulerOf(const std::string& service);
  void RunWaiting(Yield yield);
  void SendStates(Yield yield);
  void ForgetMember(const Session& session);
  // Whom the VMs are to ask from now on.
  FleetMember Preferred() const;
  std::optional<FleetMember> Successor() const;
  std::optional<FleetMember> BestInContact() const;
  protocol::FleetStateT MakeState();
  // Whether the configuration is sent to VMs that have an older one, or left to their own reads.
  bool SendsCatalog() const;
  void AddMembers(std::uint64_t since, protocol::FleetStateT& state) const;
  void AddReplicas(std::uint64_t since, protocol::FleetStateT& state) const;
  void AddCatalog(std::uint64_t since, protocol::FleetStateT& state) const;
  void SendStateToAll();
  std::size_t MemberCount() const;
  absl::Duration StateInterval() const;
  // Sends the next state soon rather than at the end of the interval.
  void SendStateSoon();

  asio::io_context& io_;
  const Clock& clock_;
  const ClusterView& view_;
  const MemberSource& source_;
  const FleetMember self_;
  const CoordinatorHooks hooks_;
  Tcp::acceptor acceptor_;
  asio::steady_timer state_timer_;
  // Owned by the fibers that serve them.
  std::set<Session*> sessions_;
  std::map<std::string, StreamScheduler> schedulers_;
  std::map<TicketKey, Waiting> waiting_;
  QuotaLedger quota_{0};
  MemberTable reporting_;
  // VMs whose session has ended, until they no longer count for the quotas: they may act on their
  // own for so long.
  std::map<std::string, absl::Time> departed_;
  bool advancing_ = false;
  bool leaving_ = false;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_FLEET_COORDINATOR_H_
