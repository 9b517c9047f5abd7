// Rounds of the steward.
#include "marigoldquay/backend/steward.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "engine_http.h"
#include "marigoldquay/core/logger.h"
#include "marigoldquay/core/metrics.h"
#include "marigoldquay/protocol/codec.h"

namespace marigoldquay {
namespace {

constexpr absl::Duration kAssignInterval = absl::Milliseconds(250);

const Logger& Log() {
  static const Logger logger("backend");
  return logger;
}

Counter& CancelledCounter() {
  static Counter& counter = MetricsRegistry::Global().counter(
      "marigoldquay_backend_steward_cancels_total", "Abandoned holds cancelled by stewards.");
  return counter;
}

absl::string_view RoleName(BackendRole role) {
  switch (role) {
    case BackendRole::kPrefill:
      return "prefill";
    case BackendRole::kDecode:
      return "decode";
    case BackendRole::kBoth:
      return "both";
    case BackendRole::kPlain:
      break;
  }
  return "";
}

}  // namespace

std::string StewardKey(absl::string_view server) { return absl::StrCat("steward/", server); }

Steward::Steward(StewardOptions options, HttpClient& http, EngineReports& reports, RpcClient& rpc,
                 const ConfigView& config, const MemberView& members,
                 const ActiveRequests& own_requests, const Clock& clock)
    : options_(options),
      http_(http),
      reports_(reports),
      rpc_(rpc),
      config_(config),
      members_(members),
      own_requests_(own_requests),
      clock_(clock) {}

std::set<std::string> Steward::OwnServers() const {
  std::vector<BackendServerId> engines;
  {
    const auto configuration = config_.Read();
    for (const auto& [id, server] : configuration->backend_servers()) {
      if (server.role != BackendRole::kPlain) engines.push_back(id);
    }
  }
  std::set<std::string> own;
  for (const auto& id : engines) {
    const auto ranked = members_.RankFor(StewardKey(id));
    if (!ranked.empty() && ranked.front().instance == members_.self()) own.insert(id);
  }
  return own;
}

bool Steward::ReachesMajority() const {
  const auto members = members_.members();
  const auto reached = std::count_if(members.begin(), members.end(), [&](const Member& member) {
    return member.instance == members_.self() || members_.health(member.instance.vm).responsive;
  });
  return 2 * static_cast<std::size_t>(reached) > members.size();
}

bool Steward::CheckServer(const BackendServerId& id) {
  std::optional<BackendServer> server;
  Offset revision = 0;
  {
    const auto configuration = config_.Read();
    revision = configuration->revision();
    const auto it = configuration->backend_servers().find(id);
    if (it != configuration->backend_servers().end()) server = it->second;
  }
  if (!server) return true;
  ForgetOldHolders();
  return HandleError(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(holds, ListEngineHolds(http_, *server, options_.call_timeout));
        const bool released = ReleaseAbandoned(*server, holds);
        SendOrders(*server, revision, holds.empty());
        return released;
      },
      [&](const Error& error) {
        Log().Info("holds of ", id, " not listed: ", error.ToString());
        return false;
      });
}

bool Steward::ReleaseAbandoned(const BackendServer& server, const std::vector<EngineHold>& holds) {
  std::map<Instance, std::vector<RequestId>> by_holder;
  for (const auto& hold : holds) {
    if (hold.age < options_.min_hold_age) continue;
    const auto holder = Instance::Parse(hold.holder);
    // Not written by this system.
    if (!holder) continue;
    by_holder[*holder].push_back(hold.request_id);
  }
  bool all_cancelled = true;
  for (const auto& [holder, ids] : by_holder) {
    const auto answer = AskHolder(holder, ids);
    if (answer.verdict == HolderVerdict::kUnclear) continue;
    std::vector<RequestId> abandoned;
    for (const auto& id : ids) {
      if (answer.known.count(id) == 0) abandoned.push_back(id);
    }
    const auto why = answer.verdict == HolderVerdict::kGone ? "its holder is gone"
                                                            : "its holder does not run it any more";
    if (!CancelHolds(server, abandoned, why)) all_cancelled = false;
  }
  return all_cancelled;
}

bool Steward::CancelHolds(const BackendServer& server, const std::vector<RequestId>& ids,
                          absl::string_view why) {
  for (const auto& id : ids) {
    const bool cancelled = HandleError(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(CancelAtEngine(http_, server, id, options_.call_timeout));
          return true;
        },
        [&](const Error& error) {
          Log().Warn("abandoned request ", id, " not cancelled: ", error.ToString());
          return false;
        });
    // The next round lists it again.
    if (!cancelled) return false;
    CancelledCounter().Increment();
    Log().Info("request ", id, " cancelled at ", server.id, ": ", why);
  }
  return true;
}

Steward::HolderAnswer Steward::AskHolder(const Instance& holder,
                                         const std::vector<RequestId>& ids) {
  HolderAnswer answer;
  if (holder == members_.self()) {
    answer.verdict = HolderVerdict::kAlive;
    for (const auto& id : ids) {
      if (own_requests_.Contains(id)) answer.known.insert(id);
    }
    return answer;
  }
  const auto member = members_.FindMember(holder.vm);
  if (!member || member->instance != holder) {
    // A VM that is cut off does not know who has joined since.
    if (ReachesMajority()) answer.verdict = HolderVerdict::kGone;
    return answer;
  }
  protocol::HoldsRequestT request;
  request.request_ids = ids;
  HandleError(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(reply, CallPeer<protocol::HoldsReplyT>(
                                   rpc_, member->inner_address, protocol::MessageType::Holds,
                                   request, {.timeout = options_.call_timeout}));
        {
          absl::MutexLock lock(&mutex_);
          holders_[holder] = {.last_answer = clock_.Now()};
        }
        if (FromWire(*reply.sender) != holder) {
          // The VM runs another instance already.
          answer.verdict = HolderVerdict::kGone;
          return {};
        }
        answer.verdict = HolderVerdict::kAlive;
        answer.known = {reply.known.begin(), reply.known.end()};
        return {};
      },
      [&](const Error& error) {
        answer.verdict = JudgeSilence(holder, error.code != ErrorCode::kNotSent);
        Log().Info("holder ", holder.ToString(), " not asked: ", error.ToString());
      });
  return answer;
}

Steward::HolderVerdict Steward::JudgeSilence(const Instance& holder, bool connected) {
  const auto now = clock_.Now();
  bool silent = false;
  {
    absl::MutexLock lock(&mutex_);
    auto& state = holders_.try_emplace(holder, HolderState{.last_answer = now}).first->second;
    state.failed_connects = connected ? 0 : state.failed_connects + 1;
    silent = now - state.last_answer >= options_.max_silence ||
             state.failed_connects >= options_.max_failed_connects;
  }
  // A steward that has just taken over has no history; missing heartbeats tell the same.
  silent |= !members_.health(holder.vm).responsive;
  // Without a majority it is this VM that is cut off.
  return silent && ReachesMajority() ? HolderVerdict::kGone : HolderVerdict::kUnclear;
}

void Steward::ForgetOldHolders() {
  absl::MutexLock lock(&mutex_);
  std::erase_if(holders_, [&](const auto& entry) { return !members_.IsMember(entry.first); });
}

// Whether this VM may send an order to the server now.
bool Steward::MayOrder(const BackendServer& server) {
  const auto now = clock_.Now();
  absl::MutexLock lock(&mutex_);
  auto& state = orders_[server.id];
  if (now - state.last_order < std::max(options_.order_interval, options_.longest_delivery)) {
    return false;
  }
  if (server.checks_fencing) return true;
  if (!members_.HoldsExclusively(StewardKey(server.id))) {
    state.exclusive_since = absl::InfiniteFuture();
    return false;
  }
  state.exclusive_since = std::min(state.exclusive_since, now);
  // Orders of the former steward may arrive until then.
  return now - state.exclusive_since >= options_.longest_delivery;
}

void Steward::SendOrders(const BackendServer& server, Offset revision, bool drained) {
  // Decided before the state is read, so that the state is not older than the waiting time.
  const bool may_order = MayOrder(server);
  if (!may_order || !drained || !config_.current()) return;
  HandleError(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(report, reports_.Load(server, options_.call_timeout));
        const auto wanted = RoleName(server.role);
        if (report.role.empty() || report.role == wanted) return {};
        if (report.slots_used > 0 || report.queue > 0) return {};
        if (!server.checks_fencing && !members_.HoldsExclusively(StewardKey(server.id))) return {};
        {
          absl::MutexLock lock(&mutex_);
          orders_[server.id].last_order = clock_.Now();
        }
        Log().Info("order set_role ", wanted, " to ", server.id, ", fencing ", revision);
        return SendEngineOrder(http_, server, "set_role", wanted, revision, options_.call_timeout);
      },
      [&](const Error& error) {
        Log().Warn("order to ", server.id, " failed: ", error.ToString());
      });
}

StewardThreads::StewardThreads(const StewardOptions& options, Steward& steward, const Clock& clock)
    : rounds_({.interval = options.interval,
               .first_backoff = options.interval,
               .max_backoff = options.interval,
               .workers = options.workers},
              clock,
              [&steward](const std::string& id) {
                return steward.CheckServer(id) ? TaskOutcome::kSucceeded : TaskOutcome::kFailed;
              }),
      assignment_({.interval = kAssignInterval, .workers = 1, .max_keys = 1}, clock,
                  [this, &steward](const std::string&) {
                    rounds_.Assign(steward.OwnServers());
                    return TaskOutcome::kSucceeded;
                  }) {
  assignment_.Add("assign");
}

}  // namespace marigoldquay
