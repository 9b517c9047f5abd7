// Operator actions on top of configuration and members.
#include "operator_actions.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "marigoldquay/control/burn_report.h"

namespace marigoldquay {
namespace {

namespace json = boost::json;

constexpr auto kActionTimeout = absl::Seconds(5);
constexpr auto kPeerTimeout = absl::Milliseconds(500);
// How long a confirm waits for the members to report the change in force; the target is 7 s.
constexpr auto kInForceWait = absl::Seconds(7);
constexpr auto kInForcePoll = absl::Milliseconds(100);

Result<json::value> ParseJson(const std::string& text, const char* step) {
  json::error_code error;
  auto value = json::parse(text, error);
  if (error) return Fail(ErrorCode::kInternal, step, "", error.message());
  return value;
}

// Moves a member's cells from its status to rows of their own: one per cell, one per server.
void MoveCells(const VmId& vm, json::object& status, json::array& cells, json::array& servers) {
  const auto* found = status.if_contains("cells");
  if (found == nullptr || !found->is_object()) return;
  for (const auto& [pool, value] : found->as_object()) {
    auto cell = value.as_object();
    if (const auto* in_cell = cell.if_contains("servers"); in_cell != nullptr) {
      for (const auto& [id, state] : in_cell->as_object()) {
        json::object row{{"pool", pool}, {"server", id}, {"scheduler", vm}};
        for (const auto& field : state.as_object()) row[field.key()] = field.value();
        servers.push_back(std::move(row));
      }
      cell.erase("servers");
    }
    cell["pool"] = pool;
    cell["scheduler"] = vm;
    cells.push_back(std::move(cell));
  }
  status.erase("cells");
}

}  // namespace

OperatorActions::OperatorActions(OperatorService& service, const ConfigStore& config,
                                 const MemberView& members, RpcClient& rpc,
                                 const BurnRecorder& burn, LocalStatusJson local_status)
    : service_(service),
      config_(config),
      members_(members),
      rpc_(rpc),
      burn_(burn),
      local_status_(std::move(local_status)) {}

void OperatorActions::RegisterHandlers(RpcRegistry& registry) {
  RegisterHandler<protocol::StatusRequestT>(
      registry, protocol::MessageType::Status,
      [this](const protocol::StatusRequestT&, const RpcCall&) -> Result<protocol::StatusReplyT> {
        protocol::StatusReplyT reply;
        reply.json = json::serialize(local_status_());
        return reply;
      });
  RegisterHandler<protocol::BurnRequestT>(
      registry, protocol::MessageType::Burn,
      [this](const protocol::BurnRequestT& request,
             const RpcCall&) -> Result<protocol::BurnReplyT> {
        protocol::BurnReplyT reply;
        for (auto& series : ToWire(burn_.Counts(request.workspace))) {
          reply.series.push_back(std::make_unique<protocol::BurnSeriesT>(std::move(series)));
        }
        return reply;
      });
}

Result<json::object> OperatorActions::Plan(const json::object& intent) {
  BOOST_LEAF_AUTO(text, service_.Plan(json::serialize(intent), kActionTimeout));
  BOOST_LEAF_AUTO(plan, ParseJson(text, "plan"));
  return plan.as_object();
}

Result<json::object> OperatorActions::Confirm(absl::string_view digest) {
  BOOST_LEAF_AUTO(outcome, service_.Confirm(digest, kActionTimeout));
  if (!outcome.accepted) {
    return Fail(ErrorCode::kConflict, "confirm plan", "", outcome.reason);
  }
  std::vector<VmId> missing;
  std::int64_t in_force = 0;
  const auto deadline = SystemClock::Instance().Now() + kInForceWait;
  while (true) {
    missing.clear();
    in_force = MembersInForce(outcome.revision, missing);
    if (missing.empty() || SystemClock::Instance().Now() >= deadline) break;
    absl::SleepFor(kInForcePoll);
  }
  json::array without(missing.begin(), missing.end());
  return json::object{{"revision", outcome.revision},
                      {"members", in_force + static_cast<std::int64_t>(missing.size())},
                      {"in_force", in_force},
                      {"missing", std::move(without)},
                      {"note", outcome.reason}};
}

std::int64_t OperatorActions::MembersInForce(Offset revision, std::vector<VmId>& missing) const {
  std::int64_t in_force = 0;
  for (const auto& member : members_.members()) {
    const auto status = MemberStatus(member);
    const auto* reached = status.if_contains("revision");
    if (reached != nullptr && reached->to_number<Offset>() >= revision) {
      ++in_force;
    } else {
      missing.push_back(member.instance.vm);
    }
  }
  return in_force;
}

Result<json::array> OperatorActions::List(ObjectList list) {
  absl::string_view kind;
  switch (list) {
    case ObjectList::kWorkspaces:
      kind = "workspace";
      break;
    case ObjectList::kKeys:
      kind = "key";
      break;
    case ObjectList::kPools:
      kind = "pool";
      break;
    case ObjectList::kBackends:
      kind = "backend_server";
      break;
    case ObjectList::kRoutes:
      kind = "route";
      break;
    case ObjectList::kPlans:
      kind = "plan";
      break;
  }
  BOOST_LEAF_AUTO(text, service_.ListJson(kind));
  BOOST_LEAF_AUTO(value, ParseJson(text, "list"));
  return value.at("objects").as_array();
}

json::object OperatorActions::MemberStatus(const Member& member) const {
  if (member.instance == members_.self()) return local_status_();
  return HandleError(
      [&]() -> Result<json::object> {
        CallOptions options;
        options.timeout = kPeerTimeout;
        BOOST_LEAF_AUTO(reply, CallPeer<protocol::StatusReplyT>(
                                   rpc_, member.inner_address, protocol::MessageType::Status,
                                   protocol::StatusRequestT(), options));
        BOOST_LEAF_AUTO(value, ParseJson(reply.json, "read status"));
        return value.as_object();
      },
      [](const Error& error) {
        return json::object{{"error", error.ToString()}};
      });
}

Result<json::object> OperatorActions::Status() {
  json::array vms;
  json::array cells;
  json::array servers;
  for (const auto& member : members_.members()) {
    auto status = MemberStatus(member);
    MoveCells(member.instance.vm, status, cells, servers);
    const auto health = members_.health(member.instance.vm);
    status["vm"] = member.instance.vm;
    status["instance"] = member.instance.ToString();
    status["availability_zone"] = member.availability_zone;
    status["region"] = member.region;
    status["caller_address"] = member.caller_address;
    status["inner_address"] = member.inner_address;
    status["responsive"] = health.responsive;
    status["draining"] = health.draining;
    vms.emplace_back(std::move(status));
  }
  return json::object{{"answered_by", members_.self().vm},
                      {"epoch", members_.epoch()},
                      {"revision", config_.revision()},
                      {"configuration_current", config_.current()},
                      {"log_reachable", config_.log_reachable()},
                      {"members", std::move(vms)},
                      {"cells", std::move(cells)},
                      {"servers", std::move(servers)}};
}

Result<BurnAnswer> OperatorActions::Burn(absl::string_view workspace) {
  BurnAnswer answer;
  protocol::BurnRequestT request;
  request.workspace = std::string(workspace);
  CallOptions options;
  options.timeout = kPeerTimeout;
  for (const auto& member : members_.members()) {
    ++answer.vms_asked;
    if (member.instance == members_.self()) {
      for (auto& series : ToWire(burn_.Counts(workspace))) {
        answer.series.push_back(std::move(series));
      }
      ++answer.vms_answered;
      continue;
    }
    auto reply = Capture<protocol::BurnReplyT>([&] {
      return CallPeer<protocol::BurnReplyT>(rpc_, member.inner_address, protocol::MessageType::Burn,
                                            request, options);
    });
    auto* counts = std::get_if<protocol::BurnReplyT>(&reply);
    if (counts == nullptr) continue;
    ++answer.vms_answered;
    for (auto& series : counts->series) answer.series.push_back(std::move(*series));
  }
  return answer;
}

}  // namespace marigoldquay
