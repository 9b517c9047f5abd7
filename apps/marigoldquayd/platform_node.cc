// Composition of the daemon on the platform. Members are declared in the order in
// which they are built; each uses only those before it.
#include "platform_node.h"

#include <malloc.h>
#include <sys/resource.h>
#include <sys/stat.h>

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <random>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "marigoldquay/core/logger.h"
#include "marigoldquay/core/metrics.h"
#include "marigoldquay/dispatch/retry_burst_share.h"
#include "marigoldquay/fleet/coordinator.h"
#include "marigoldquay/fleet/coordinator_link.h"
#include "marigoldquay/fleet/followers.h"
#include "marigoldquay/fleet/presence_keeper.h"
#include "marigoldquay/fleet/quarantine_keeper.h"
#include "marigoldquay/fleet/role_keeper.h"
#include "marigoldquay/fleet/stream_version_keeper.h"
#include "marigoldquay/net/memory_budget.h"
#include "marigoldquay/platform/header_dialect.h"
#include "marigoldquay/platform/node_settings.h"
#include "marigoldquay/platform/service_handlers.h"
#include "marigoldquay/platform/store_client.h"
#include "marigoldquay/relay/front_handler.h"
#include "node_drain.h"
#include "node_resources.h"

namespace marigoldquay {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitBadSettings = 2;
constexpr int kExitCannotStart = 3;

constexpr absl::Duration kAddressMaxAge = absl::Seconds(2);
constexpr std::size_t kMaxAddresses = 24;
// A process that has just been replaced may hold its addresses for a moment, and the settings file
// may be half written; a process that ends for this is only started again. Longer failures need an
// operator.
constexpr absl::Duration kMaxListenDelay = absl::Seconds(5);
constexpr absl::Duration kMaxSettingsDelay = absl::Seconds(2);
constexpr absl::Duration kStartRetryDelay = absl::Milliseconds(100);
// Only traffic between VMs and the metrics share the inner ports.
constexpr int kMetricsPort = 9464;
constexpr absl::Duration kLogFlush = absl::Milliseconds(100);
// Orders to engines wait while the store has been silent for longer.
constexpr absl::Duration kFreshStore = absl::Milliseconds(1500);
constexpr absl::Duration kHousekeeping = absl::Seconds(1);
// Part of the quota's tolerance that is handed out; the rest covers VMs that decide on their own.
constexpr double kQuotaTolerancePart = 0.6;
// Part of the bound on a change within which the configuration has to be confirmed for a refusal by
// it. The rest covers the clock's error and the way of the refusal.
constexpr double kConfirmedPart = 0.9;
constexpr std::size_t kOtherListenerConnections = 200;
// Larger blocks, e.g. bodies and responses that are kept, are mapped one by one, so that the memory
// of each returns to the system when it is freed. By default the C library raises this size up to
// 32 MB.
constexpr int kMappedBlockBytes = 64 * 1024;

const Logger& Log() {
  static const Logger logger("main");
  return logger;
}

double RandomFraction() {
  static std::mt19937_64 generator{std::random_device{}()};
  return std::uniform_real_distribution<double>(0.0, 1.0)(generator);
}

// The first port for traffic between VMs that no other program uses; other VMs learn which it is.
int FirstFreePort(const platform::NodeSettings& settings) {
  asio::io_context io;
  for (int port = settings.first_inner_port; port <= settings.last_inner_port; ++port) {
    const auto endpoint = ParseEndpoint(absl::StrCat(settings.ip, ":", port));
    if (!endpoint || port == kMetricsPort) continue;
    boost::system::error_code error;
    Tcp::acceptor acceptor(io);
    acceptor.open(endpoint->protocol(), error);
    if (!error) acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error) acceptor.bind(*endpoint, error);
    if (!error) acceptor.listen(1, error);
    if (!error) return port;
  }
  return settings.first_inner_port;
}

FleetMember MakeSelf(const platform::NodeSettings& settings) {
  FleetMember self;
  self.instance = {settings.vm, RandomId()};
  self.started_unix_ms = absl::ToUnixMillis(absl::Now());
  self.availability_zone = settings.availability_zone;
  self.inner_address = absl::StrCat(settings.ip, ":", FirstFreePort(settings));
  self.caller_address = settings.caller_listen;
  self.capacity = std::max(1, static_cast<int>(settings.cpu_share * 100));
  return self;
}

/// Serves the metrics of this process.
class MetricsHandler final : public HttpHandler {
 public:
  explicit MetricsHandler(const MemoryBudget& memory) : memory_(memory) {}

  void Handle(HttpRequest& request, HttpReplyWriter& reply, Cancellation& cancellation,
              Yield yield) override {
    (void)request;
    (void)cancellation;
    MetricsRegistry::Global()
        .gauge("marigoldquay_log_lines_lost", "Log lines dropped since the start.")
        .Set(static_cast<std::int64_t>(LostLogLines()));
    MetricsRegistry::Global()
        .gauge("marigoldquay_net_memory_held_bytes", "Memory that connections hold together.")
        .Set(static_cast<std::int64_t>(memory_.held()));
    HttpFields fields;
    fields.set(http::field::content_type, "text/plain; version=0.0.4");
    const auto sent = reply.SendReply(200, fields, MetricsRegistry::Global().RenderText(), yield);
    if (!sent) Log().Debug("metrics not sent: ", sent.error().message);
  }
  ListenerLimits limits() const override { return SmallRequestLimits(); }

 private:
  const MemoryBudget& memory_;
};

class PlatformNode : private FeedSink {
 public:
  PlatformNode(platform::NodeSettings settings, std::string settings_path)
      : settings_(std::move(settings)),
        settings_path_(std::move(settings_path)),
        signals_(io_, SIGTERM, SIGINT, SIGHUP),
        memory_(ConnectionMemory(settings_)),
        session_memory_(SessionMemory(settings_)),
        connections_(io_, clock_, memory_),
        store_connections_(io_, clock_),
        store_(store_connections_, settings_.store),
        self_(MakeSelf(settings_)),
        balancer_(settings_.availability_zone, health_),
        retry_share_(settings_.retry_window),
        budgets_(RetryLimits()),
        presence_(
            io_, clock_, store_, self_, [this] { return NeedsMembers(); },
            [this] { return link_.ShouldAnnounce(); }, [this] { OnMemberList(); }),
        coordinator_(
            io_, clock_, view_, presence_, self_,
            {[this] { return std::max(OwnOrigin(), ForwardedOrigin()); },
             [this] { return ServersOrigin(); }, [this] { return link_.confirmed_coordinator(); },
             [this](const BackendServerId& id) { OnLeavingServer(id); },
             [this](const StatedRequestLimit& stated) { OnRequestLimit(stated); },
             [this](const ServerDeparture& departure) { OnDeparture(departure); },
             [this](std::uint64_t version, const std::string& record) {
               // A report does not say that the version is the newest one.
               OnCatalog(version, record, DataOrigin());
             }},
            session_memory_),
        link_(io_, clock_, view_, presence_, *this,
              {[this] { return Self(); }, [this] { return OwnOrigin(); },
               [this] { return store_.era(); },
               [this](absl::string_view vm) { return coordinator_.IsReporting(vm); }},
              session_memory_),
        role_keeper_(
            io_, clock_, view_, store_, dialect_, connections_, coordinator_,
            {self_.instance.ToString(), settings_.order_lease, [this] { return MayOrder(); }}),
        quarantine_keeper_(io_, clock_, store_, coordinator_,
                           [this] { return link_.FeedsOthers(); }),
        stream_version_keeper_(io_, clock_, store_, coordinator_,
                               {self_.instance.ToString(), [this] { return PlacesStreams(); },
                                [this] { return settings_.bootstrap; }}),
        catalog_follower_(io_, clock_, store_, view_, link_, [this] { OnCatalogChange(); }),
        replica_follower_(io_, clock_, store_, view_, link_, [this] { OnReplicaChange(); }),
        front_({io_, clock_, view_, dialect_, connections_, health_, balancer_, budgets_, link_,
                link_, link_, [this] { return link_.member_count(); },
                [this] { return catalog_follower_.confirmed_at(); },
                [this] { return ServersOrigin().read_at; },
                [this](const BackendServerId& id) { OnLeavingServer(id); },
                [this](const StatedRequestLimit& stated) { OnRequestLimit(stated); }}),
        directory_(
            [this] {
              return SampleCallerAddresses(link_.members(), kMaxAddresses, RandomFraction);
            },
            [this] { return std::min(kAddressMaxAge, settings_.address_max_age); }),
        readiness_([this] { return ready(); }),
        metrics_(memory_),
        front_listener_(io_, front_, CallerCapacity(settings_), memory_),
        readiness_listener_(io_, readiness_, kOtherListenerConnections, memory_),
        directory_listener_(io_, directory_, kOtherListenerConnections, memory_),
        metrics_listener_(io_, metrics_, kOtherListenerConnections, memory_) {}

  int Run() {
    ApplyBounds();
    SpawnFiber(io_, "signals", [this](Yield yield) { AwaitSignals(yield); });
    SpawnFiber(io_, "start", [this](Yield yield) { Start(yield); });
    io_.run();
    return kExitCannotStart;
  }

 private:
  // What the last log event on the share of the retry budget named.
  struct LoggedShare {
    std::size_t members = 0;
    bool has_burst = false;
    bool accrued = false;

    bool operator==(const LoggedShare&) const = default;
  };

  void Start(Yield yield) {
    if (!StartListeners(yield)) {
      FlushLogging();
      _exit(kExitCannotStart);
    }
    LogFields fields;
    fields.Add("vm", self_.instance.ToString())
        .Add("availability_zone", settings_.availability_zone)
        .Add("callers", settings_.caller_listen)
        .Add("inner", self_.inner_address)
        .Add("store", settings_.store.address)
        .Add("max_connections", static_cast<std::int64_t>(MaxConnections(settings_)))
        .Add("max_requests", static_cast<std::int64_t>(CallerCapacity(settings_).requests))
        .Add("connection_memory_bytes", static_cast<std::int64_t>(memory_.capacity()));
    Log().Event("start", fields);
    const auto spawn = [this](const char* name, auto&& body) { SpawnFiber(io_, name, body); };
    spawn("follow catalog", [this](Yield yield) { catalog_follower_.Run(yield); });
    spawn("follow replicas", [this](Yield yield) { replica_follower_.Run(yield); });
    spawn("presence", [this](Yield yield) { presence_.Run(yield); });
    spawn("coordinator link", [this](Yield yield) { link_.Run(yield); });
    spawn("engine roles", [this](Yield yield) { role_keeper_.Run(yield); });
    spawn("quarantines", [this](Yield yield) { quarantine_keeper_.Run(yield); });
    spawn("stream versions", [this](Yield yield) { stream_version_keeper_.Run(yield); });
    spawn("reports", [this](Yield yield) { link_.RunReports(yield); });
    spawn("housekeeping", [this](Yield yield) { KeepHouse(yield); });
    spawn("flush log", [this](Yield yield) {
      while (true) {
        SleepFor(io_, kLogFlush, yield);
        FlushLogging();
      }
    });
  }

  bool ready() const { return !draining_ && view_.catalog() != nullptr; }

  FleetMember Self() const {
    FleetMember self = self_;
    self.ready = ready();
    return self;
  }

  bool NeedsMembers() const { return link_.NeedsMemberList() || coordinator_.sessions() > 0; }

  // Also while VMs report here that are about to go back to another coordinator.
  bool PlacesStreams() const { return link_.FeedsOthers() || coordinator_.sessions() > 0; }

  // When this VM itself last read both the configuration and the list of servers.
  DataOrigin OwnOrigin() const {
    return std::min(catalog_follower_.origin(), replica_follower_.origin());
  }

  // When another VM read what this VM holds. A version that was announced and is not here yet does
  // not make the present configuration newer.
  DataOrigin ForwardedOrigin() const {
    return std::min(link_.feed_origin(), catalog_follower_.confirmed());
  }

  // When the list of servers that this VM holds was read, by itself or by another VM.
  DataOrigin ServersOrigin() const {
    return std::max(replica_follower_.origin(), link_.feed_origin());
  }

  // Engines change only on the word of a VM that coordinates and sees the present list.
  bool MayOrder() const {
    return !draining_ && link_.FeedsOthers() && presence_.settled() &&
           clock_.Now() - replica_follower_.origin().read_at < kFreshStore;
  }

  RetryBudgetLimits RetryLimits() const {
    return LimitsOfVm({settings_.retry_ratio, settings_.retry_burst, settings_.retry_window},
                      retry_share_.At(clock_.Now()));
  }

  bool StartListeners(Yield yield) {
    const absl::Time until = clock_.Now() + kMaxListenDelay;
    const auto listen = [&](HttpListener& listener, const Address& address) {
      return StartUntil(
          until, [&] { return listener.Start(address); }, yield);
    };
    bool started = StartUntil(
                       until, [&] { return coordinator_.Start(); }, yield) &&
                   listen(front_listener_, settings_.caller_listen) &&
                   listen(readiness_listener_, settings_.readiness_listen);
    if (!settings_.directory_listen.empty()) {
      started = started && listen(directory_listener_, settings_.directory_listen);
    }
    // Without metrics the VM can still serve.
    const auto metrics = metrics_listener_.Start(absl::StrCat(settings_.ip, ":", kMetricsPort));
    if (!metrics) Log().Error(metrics.error().ToString());
    return started;
  }

  // Repeats `start` until it succeeds, or until then.
  template <class Start>
  bool StartUntil(absl::Time until, const Start& start, Yield yield) {
    while (true) {
      const ErrorOrVoid started = start();
      if (started) return true;
      Log().Error(started.error().ToString());
      if (clock_.Now() >= until) return false;
      SleepFor(io_, kStartRetryDelay, yield);
    }
  }

  void OnReplicaChanges(const ReplicaChanges& changes, bool whole, StoreEra era) override {
    replica_follower_.ApplyFeed(changes, whole, era);
  }
  void OnCatalog(std::uint64_t version, const std::string& record,
                 const DataOrigin& origin) override {
    catalog_follower_.OnVersionAnnounced(version, record, origin);
  }

  // Applied at once: until the next housekeeping a VM would go on with a share that is too large.
  void OnMemberCount(std::size_t members, absl::Time confirmed_at) override {
    retry_share_.OnMemberCount(members, confirmed_at, clock_.Now());
    ApplyRetryLimits();
  }

  void OnMemberList() {
    const std::size_t listed = presence_.lists_self() ? presence_.listed_members().size() : 0;
    retry_share_.OnList(listed, presence_.IsNewVm());
    ApplyRetryLimits();
  }

  // A backend server has said, here or to another VM, that it is leaving.
  void OnLeavingServer(const BackendServerId& id) {
    if (!view_.replicas().MarkDraining(id)) return;
    Log().Event("backend_server_leaving", LogFields().Add("backend_server", id));
    link_.OnLeavingServer(id);
    OnReplicaChange();
  }

  // Another VM knows a backend server to be draining or removed.
  void OnDeparture(const ServerDeparture& departure) {
    if (!view_.replicas().Apply(departure)) return;
    LogFields fields;
    fields.Add("backend_server", departure.server).Add("removed", departure.removed);
    Log().Event("backend_server_departed", fields);
    OnReplicaChange();
  }

  // A backend server has stated a request limit, here or to another VM.
  void OnRequestLimit(const StatedRequestLimit& stated) {
    if (!view_.replicas().SetRequestLimit(stated)) return;
    const auto& per_second = stated.limit.per_second;
    LogFields fields;
    fields.Add("backend_server", stated.server)
        .Add("per_second", per_second ? absl::StrCat(*per_second) : "none");
    Log().Event("backend_server_limit", fields);
    link_.OnRequestLimit(stated.server);
    OnReplicaChange();
  }

  void OnCatalogChange() {
    coordinator_.OnClusterChange();
    link_.OnClusterChange();
    if (!std::exchange(announced_ready_, true)) link_.SendReport();
  }

  void OnReplicaChange() {
    coordinator_.OnClusterChange();
    link_.OnClusterChange();
    const auto ids = view_.replicas().ids();
    health_.Retain(ids);
    balancer_.Retain(ids);
  }

  void AwaitSignals(Yield yield) {
    while (true) {
      boost::system::error_code error;
      const int signal = signals_.async_wait(yield[error]);
      if (error) return;
      if (signal == SIGHUP) {
        ReloadSettings("SIGHUP");
      } else if (!std::exchange(draining_, true)) {
        SpawnFiber(io_, "drain", [this](Yield inner) { Drain(inner); });
      }
    }
  }

  void ReloadSettings(absl::string_view cause) {
    auto settings = platform::ReadNodeSettings(settings_path_);
    LogFields fields;
    fields.Add("cause", cause);
    if (!settings) {
      Log().Event("reload_failed", fields.Add("detail", settings.error().message),
                  LogLevel::kError);
      return;
    }
    const bool changed = !(*settings == settings_);
    // Addresses are bound once; everything else holds from now on.
    settings_ = std::move(*settings);
    Log().Event("reload", fields.Add("changed", changed));
  }

  void ApplyBounds() {
    const auto tolerance = static_cast<TokenCount>(kQuotaTolerancePart *
                                                   static_cast<double>(settings_.quota_tolerance));
    coordinator_.SetQuotaTolerance(tolerance);
    link_.SetQuotaTolerance(tolerance);
    link_.SetMaxFeedDelay(settings_.change_bound);
    front_.SetMaxCatalogAge(kConfirmedPart * settings_.change_bound);
    ApplyRetryLimits();
  }

  void ApplyRetryLimits() {
    retry_share_.SetWindow(settings_.retry_window);
    const RetryBudgetLimits limits = RetryLimits();
    budgets_.SetLimits(limits);
    const std::size_t members = retry_share_.members(clock_.Now());
    const bool has_burst = retry_share_.At(clock_.Now()) > 0;
    auto& metrics = MetricsRegistry::Global();
    metrics.gauge("marigoldquay_fleet_members", "VMs that share the budgets; 0 while unknown.")
        .Set(static_cast<std::int64_t>(members));
    metrics
        .gauge("marigoldquay_relay_retry_burst_hundredths",
               "Retries beyond the ratio that this VM may send in a window, in hundredths.")
        .Set(static_cast<std::int64_t>(100 * limits.burst));
    const bool accrued = has_burst && retry_share_.accrued(clock_.Now());
    const LoggedShare share{members, has_burst, accrued};
    if (std::exchange(logged_share_, share) == share) return;
    LogFields fields;
    fields.Add("members", static_cast<std::int64_t>(members))
        .Add("has_burst", has_burst)
        .Add("accrued", accrued)
        .Add("burst", absl::StrCat(limits.burst))
        .Add("ratio", absl::StrCat(limits.ratio));
    Log().Event("retry_limits", fields);
  }

  void KeepHouse(Yield yield) {
    std::int64_t known_change = SettingsChange();
    while (true) {
      SleepFor(io_, kHousekeeping, yield);
      connections_.CloseIdle();
      store_connections_.CloseIdle();
      ApplyBounds();
      budgets_.UpdateMetrics();
      const std::int64_t change = SettingsChange();
      if (change != known_change) ReloadSettings("the file has changed");
      known_change = change;
    }
  }

  // Time of the last change of the settings file in ns.
  std::int64_t SettingsChange() const {
    struct stat info {};
    if (stat(settings_path_.c_str(), &info) != 0) return 0;
    return absl::ToUnixNanos(absl::TimeFromTimespec(info.st_mtim));
  }

  void Drain(Yield yield) {
    Log().Event("stop", LogFields().Add("grace_ms", settings_.stop_grace));
    NodeDrain drain(io_, clock_, front_, front_listener_, settings_.stop_grace);
    link_.SendReport();
    coordinator_.Leave();
    front_.CloseConnections();
    presence_.Leave(yield);
    drain.Run(yield);
    Log().Event("stopped", LogFields()
                               .Add("unfinished", static_cast<std::int64_t>(drain.unfinished()))
                               .Add("took_ms", drain.elapsed()));
    FlushLogging();
    // Fibers are not unwound: the process ends with them.
    std::fflush(stdout);
    _exit(kExitOk);
  }

  platform::NodeSettings settings_;
  const std::string settings_path_;
  asio::io_context io_;
  asio::signal_set signals_;
  const SystemClock clock_;
  MemoryBudget memory_;
  MemoryBudget session_memory_;
  ConnectionPool connections_;
  // Outside the budget: what the store says is read also while callers hold all of it. A few calls
  // run at once, each with a bound of its own.
  ConnectionPool store_connections_;
  platform::StoreClient store_;
  platform::HeaderDialect dialect_;
  const FleetMember self_;
  ClusterView view_;
  ReplicaHealth health_;
  ReplicaBalancer balancer_;
  RetryBurstShare retry_share_;
  RetryBudgets budgets_;
  PresenceKeeper presence_;
  Coordinator coordinator_;
  CoordinatorLink link_;
  RoleKeeper role_keeper_;
  QuarantineKeeper quarantine_keeper_;
  StreamVersionKeeper stream_version_keeper_;
  CatalogFollower catalog_follower_;
  ReplicaFollower replica_follower_;
  FrontHandler front_;
  platform::DirectoryHandler directory_;
  platform::ReadinessHandler readiness_;
  MetricsHandler metrics_;
  HttpListener front_listener_;
  HttpListener readiness_listener_;
  HttpListener directory_listener_;
  HttpListener metrics_listener_;
  bool draining_ = false;
  bool announced_ready_ = false;
  LoggedShare logged_share_;
};

}  // namespace

int RunPlatformNode(const std::string& settings_path, const std::string& log_level) {
  std::signal(SIGPIPE, SIG_IGN);
  (void)mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes);
  InitializeBufferedLogging(log_level, LogBounds{});
  auto settings = platform::ReadNodeSettings(settings_path);
  const absl::Time until = absl::Now() + kMaxSettingsDelay;
  while (!settings && absl::Now() < until) {
    absl::SleepFor(kStartRetryDelay);
    settings = platform::ReadNodeSettings(settings_path);
  }
  if (!settings) {
    std::fprintf(stderr, "marigoldquayd: %s\n", settings.error().message.c_str());
    return kExitBadSettings;
  }
  const int code = PlatformNode(std::move(*settings), settings_path).Run();
  FlushLogging();
  return code;
}

int CheckPlatformSettings(const std::string& settings_path) {
  const auto settings = platform::ReadNodeSettings(settings_path);
  if (!settings) {
    std::fprintf(stderr, "marigoldquayd: %s\n", settings.error().message.c_str());
    return kExitBadSettings;
  }
  std::printf("vm=%s\navailability_zone=%s\ncallers=%s\nreadiness=%s\ndirectory=%s\nstore=%s\n",
              settings->vm.c_str(), settings->availability_zone.c_str(),
              settings->caller_listen.c_str(), settings->readiness_listen.c_str(),
              settings->directory_listen.c_str(), settings->store.address.c_str());
  return kExitOk;
}

}  // namespace marigoldquay
