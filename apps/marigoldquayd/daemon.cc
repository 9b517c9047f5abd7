// Composition of the daemon. Members are declared in the order in which they
// are built; each uses only those before it.
#include "daemon.h"

#include <boost/json.hpp>
#include <thread>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"
#include "marigoldquay/backend/background_hold_releaser.h"
#include "marigoldquay/backend/http_engine_client.h"
#include "marigoldquay/backend/plain_services.h"
#include "marigoldquay/backend/steward.h"
#include "marigoldquay/claims/claim_service.h"
#include "marigoldquay/config/snapshot_writer.h"
#include "marigoldquay/control/operator_server.h"
#include "marigoldquay/core/burn_recorder.h"
#include "marigoldquay/core/logger.h"
#include "marigoldquay/core/rendezvous.h"
#include "marigoldquay/entry/entry_service.h"
#include "marigoldquay/entry/http_server.h"
#include "marigoldquay/exchange/completion_service.h"
#include "marigoldquay/membership/membership_service.h"
#include "marigoldquay/quota/quota_service.h"
#include "marigoldquay/scheduling/rpc_scheduler_client.h"
#include "marigoldquay/transport/rpc_client.h"
#include "marigoldquay/transport/rpc_server.h"
#include "operator_actions.h"

namespace marigoldquay {
namespace {

const Logger& Log() {
  static const Logger logger("main");
  return logger;
}

// How long a drained VM waits for its leave record and for the new owners of its keys.
constexpr auto kLeaveTimeout = absl::Seconds(5);
constexpr auto kDrainPoll = absl::Milliseconds(20);
constexpr auto kReadinessPoll = absl::Milliseconds(20);

struct HostPort {
  std::string host;
  int port = 0;
};

// The address was validated with the settings.
HostPort SplitAddress(const Address& address) {
  const auto colon = address.rfind(':');
  HostPort split{address.substr(0, colon), 0};
  (void)absl::SimpleAtoi(address.substr(colon + 1), &split.port);
  return split;
}

RpcServerOptions RpcOptions(const Settings& settings) {
  const auto listen = SplitAddress(settings.inner_listen);
  RpcServerOptions options;
  options.host = listen.host;
  options.port = listen.port;
  return options;
}

OperatorServerOptions OperatorOptions(const Settings& settings) {
  const auto listen = SplitAddress(settings.operator_listen);
  OperatorServerOptions options;
  options.host = listen.host;
  options.port = listen.port;
  options.token = settings.operator_token;
  return options;
}

HttpServerOptions CallerOptions(const Settings& settings) {
  HttpServerOptions options;
  options.listen = settings.caller_listen;
  options.max_connections = settings.max_connections;
  options.max_body_size = settings.max_body_bytes;
  options.tls_certificate = settings.tls_certificate;
  options.tls_private_key = settings.tls_private_key;
  return options;
}

EntryOptions MakeEntryOptions(const Settings& settings) {
  EntryOptions options;
  options.availability_zone = settings.availability_zone;
  options.completion_timeout = settings.completion_timeout;
  options.plain_timeout = settings.plain_timeout;
  options.address_max_age = settings.address_max_age;
  return options;
}

SchedulerOptions MakeSchedulerOptions(const Settings& settings) {
  SchedulerOptions options;
  options.cell.policy = settings.placement_policy;
  return options;
}

}  // namespace

class Daemon::Impl {
 public:
  explicit Impl(const Settings& settings)
      : settings_(settings),
        http_(MakeCurlHttpClient()),
        rpc_(MakeTcpRpcClient()),
        log_(MakeHttpLogClient(settings.log_url, *http_)),
        config_(clock_),
        members_(clock_),
        membership_({}, members_, config_, *log_, *rpc_, clock_),
        homes_(members_, clock_),
        quota_({}, members_, *rpc_, homes_, clock_),
        reports_(MakeHttpEngineReports(*http_)),
        scheduler_(MakeSchedulerOptions(settings), config_, members_, leaving_, *reports_, clock_),
        placements_(scheduler_, *rpc_, members_, clock_),
        engines_(MakeHttpEngineClient(*http_, members_)),
        releaser_(*http_, config_, clock_),
        plain_(*http_, config_, leaving_, clock_, retry_budget_),
        steward_({}, *http_, *reports_, *rpc_, config_, members_, active_, clock_),
        claims_({}, members_, *log_, *rpc_, plain_, clock_),
        burn_(clock_),
        runner_({config_, quota_, placements_, *engines_, releaser_, active_, clock_,
                 [this](absl::string_view workspace, absl::string_view target, bool met) {
                   burn_.Record(workspace, target, met);
                 }}),
        completions_(runner_, members_, *rpc_, clock_, settings.max_completions),
        entry_(MakeEntryOptions(settings), {config_, members_, completions_, claims_, plain_}),
        operator_service_(config_, *log_, clock_, [this] { return members_.self(); }),
        operator_actions_(operator_service_, config_, members_, *rpc_, burn_,
                          [this] { return LocalStatus(); }),
        snapshots_({}, config_, *log_, [this] { return WritesSnapshots(); }),
        rpc_server_(RpcOptions(settings)),
        operator_server_(OperatorOptions(settings), operator_actions_) {
    config_.SetOutageAgreement(&members_);
  }

  ~Impl() {
    if (!stopping_.HasBeenNotified()) stopping_.Notify();
    if (readiness_.joinable()) readiness_.join();
    completions_.CancelAll();
    caller_server_.reset();
    operator_server_.Stop();
    rpc_server_.Stop();
    snapshots_.Stop();
    quota_.Stop();
    claims_.Stop();
    membership_.Stop();
  }

  Result<void> Start() {
    RegisterHandlers();
    BOOST_LEAF_CHECK(rpc_server_.Start());
    BOOST_LEAF_ASSIGN(caller_server_,
                      HttpServer::Start(CallerOptions(settings_), [this](const auto& request) {
                        return entry_.Handle(request);
                      }));
    BOOST_LEAF_CHECK(operator_server_.Start());
    WarnAboutClearText();
    membership_.RegisterExclusive("quota", homes_);
    membership_.Start(settings_.seed_peers, SelfMember());
    config_tailer_ =
        std::make_unique<StreamTailer>(ReplicaTailerOptions(kConfigStream), *log_, clock_, config_);
    members_tailer_ = std::make_unique<StreamTailer>(ReplicaTailerOptions(kMembersStream), *log_,
                                                     clock_, members_);
    quota_.Start(config_);
    claims_.Start();
    steward_threads_ = std::make_unique<StewardThreads>(StewardOptions(), steward_, clock_);
    snapshots_.Start();
    if (!settings_.vm_list_url.empty()) {
      vm_list_ = MakeHttpVmListClient(settings_.vm_list_url, *http_);
      vm_list_poller_ = std::make_unique<LeavingServersPoller>(*vm_list_, clock_, leaving_);
    }
    readiness_ = std::thread([this] { AwaitReadiness(); });
    Log().Info("started as ", members_.self().ToString(), ", callers at ",
               caller_server_->address());
    return {};
  }

  DaemonAddresses addresses() const {
    return {caller_server_->address(), rpc_server_.address(), operator_server_.address()};
  }

  void Drain(const std::function<bool()>& abort) {
    Log().Info("draining, callers may use this address for ",
               absl::FormatDuration(settings_.address_max_age), " more");
    const auto deadline = clock_.Now() + settings_.drain_timeout;
    entry_.SetDraining();
    membership_.Drain();
    // Address answers of other VMs name this one until the heartbeats have spread.
    constexpr auto kSpread = absl::Seconds(2);
    if (!WaitUntil(clock_.Now() + kSpread + settings_.address_max_age, abort)) return;
    caller_server_->StopAccepting();
    while (caller_server_->active_requests() > 0 || completions_.running() > 0 ||
           claims_.running() > 0) {
      if (clock_.Now() >= deadline || abort()) {
        Log().Warn("stopping with ", caller_server_->active_requests(), " requests unfinished");
        return;
      }
      absl::SleepFor(kDrainPoll);
    }
    releaser_.WaitIdle(kLeaveTimeout);
    placements_.WaitIdle(kLeaveTimeout);
    quota_.Stop(kLeaveTimeout);
    if (!membership_.Leave(kLeaveTimeout)) Log().Warn("could not record the leave");
    Log().Info("drained");
  }

 private:
  void RegisterHandlers() {
    membership_.RegisterHandlers(rpc_server_);
    homes_.Register(rpc_server_);
    scheduler_.RegisterHandlers(rpc_server_);
    RegisterHoldsHandler(rpc_server_, active_, members_);
    claims_.RegisterHandlers(rpc_server_);
    completions_.RegisterHandlers(rpc_server_);
    operator_actions_.RegisterHandlers(rpc_server_);
  }

  Member SelfMember() const {
    Member self;
    self.instance = {settings_.vm_id, RandomId()};
    self.availability_zone = settings_.availability_zone;
    self.region = settings_.region;
    self.size = settings_.vm_size;
    self.caller_address =
        settings_.caller_advertise.empty() ? caller_server_->address() : settings_.caller_advertise;
    self.inner_address =
        settings_.inner_advertise.empty() ? rpc_server_.address() : settings_.inner_advertise;
    return self;
  }

  void WarnAboutClearText() const {
    if (!settings_.tls_certificate.empty()) return;
    if (absl::StartsWith(settings_.caller_listen, "127.")) return;
    Log().Warn("keys travel in clear text to ", settings_.caller_listen,
               "; set --tls_certificate_file and --tls_key_file");
  }

  bool WritesSnapshots() const {
    const auto ranked = members_.RankFor(kSnapshotRole);
    return !ranked.empty() && ranked.front().instance == members_.self();
  }

  void AwaitReadiness() {
    while (!stopping_.WaitForNotificationWithTimeout(kReadinessPoll)) {
      UpdateSpareCapacity();
      if (!ready_ && membership_.ReadyToServe()) {
        ready_ = true;
        entry_.SetReady();
        Log().Info("ready at revision ", config_.revision());
      }
    }
  }

  void UpdateSpareCapacity() {
    const int spare = settings_.max_completions - completions_.running();
    membership_.SetSpareCapacity(std::max(1, spare));
  }

  boost::json::object LocalStatus() const {
    boost::json::object status{
        {"revision", config_.revision()},
        {"epoch", members_.epoch()},
        {"ready", ready_.load()},
        {"lease_valid", members_.LeaseValid()},
        {"log_reachable", config_.log_reachable()},
        {"active_requests", caller_server_ ? caller_server_->active_requests() : 0},
        {"running_completions", completions_.running()},
        {"running_claims", claims_.running()},
        {"workspace_homes", homes_.size()},
        {"pending_releases", releaser_.pending()}};
    boost::json::error_code error;
    auto cells = boost::json::parse(scheduler_.DescribeJson(), error);
    if (!error) status["cells"] = std::move(cells);
    return status;
  }

  // False when aborted.
  bool WaitUntil(absl::Time time, const std::function<bool()>& abort) const {
    while (clock_.Now() < time) {
      if (abort()) return false;
      absl::SleepFor(kDrainPoll);
    }
    return true;
  }

  const Settings settings_;
  const SystemClock clock_;
  std::unique_ptr<HttpClient> http_;
  std::unique_ptr<RpcClient> rpc_;
  std::unique_ptr<LogClient> log_;
  ConfigStore config_;
  MembershipState members_;
  MembershipService membership_;
  WorkspaceHomes homes_;
  QuotaService quota_;
  LeavingServers leaving_;
  std::unique_ptr<EngineReports> reports_;
  SchedulerService scheduler_;
  RpcSchedulerClient placements_;
  std::unique_ptr<EngineClient> engines_;
  BackgroundHoldReleaser releaser_;
  RetryBudget retry_budget_;
  PlainServices plain_;
  ActiveRequestSet active_;
  Steward steward_;
  ClaimService claims_;
  BurnRecorder burn_;
  CompletionRunner runner_;
  CompletionService completions_;
  EntryService entry_;
  OperatorService operator_service_;
  OperatorActions operator_actions_;
  SnapshotWriter snapshots_;
  RpcServer rpc_server_;
  OperatorServer operator_server_;
  std::unique_ptr<HttpServer> caller_server_;
  std::unique_ptr<VmListClient> vm_list_;
  std::unique_ptr<LeavingServersPoller> vm_list_poller_;
  std::unique_ptr<StewardThreads> steward_threads_;
  std::unique_ptr<StreamTailer> config_tailer_;
  std::unique_ptr<StreamTailer> members_tailer_;
  std::atomic<bool> ready_{false};
  absl::Notification stopping_;
  std::thread readiness_;
};

Daemon::Daemon(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
Daemon::~Daemon() = default;

Result<std::unique_ptr<Daemon>> Daemon::Start(const Settings& settings) {
  auto impl = std::make_unique<Impl>(settings);
  BOOST_LEAF_CHECK(impl->Start());
  return std::unique_ptr<Daemon>(new Daemon(std::move(impl)));
}

DaemonAddresses Daemon::addresses() const { return impl_->addresses(); }
void Daemon::Drain(const std::function<bool()>& abort) { impl_->Drain(abort); }

}  // namespace marigoldquay
