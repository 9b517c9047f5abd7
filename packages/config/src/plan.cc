// Computation of plans.
#include "marigoldquay/config/plan.h"

#include <algorithm>
#include <array>

#include "marigoldquay/config/object_tables.h"

namespace marigoldquay {
namespace {

// Position in the order of steps: puts from referred to referring objects, then withdrawals the
// other way round.
int StepOrder(const Change& change) {
  constexpr std::array<int, 5> kPutOrder{0, 2, 1, 3, 4};  // By ObjectKind.
  const int order = kPutOrder.at(static_cast<std::size_t>(change.kind));
  return change.op == ChangeOp::kPut ? order : 9 - order;
}

boost::json::value ObjectJson(ObjectKind kind, const std::string& id, const ObjectTables& tables) {
  return VisitTable(kind, tables, [&](const auto& table) -> boost::json::value {
    const auto found = table.find(id);
    if (found == table.end()) return nullptr;
    return ToJson(found->second);
  });
}

PlanStep MakeStep(const Change& change, const ObjectTables& before, const ObjectTables& after) {
  PlanStep step{StepAction::kChange, change.kind, change.id,
                ObjectJson(change.kind, change.id, before),
                ObjectJson(change.kind, change.id, after)};
  if (change.op == ChangeOp::kWithdraw) {
    step.action = StepAction::kWithdraw;
  } else if (step.before.is_null()) {
    step.action = StepAction::kCreate;
  } else if (step.before == step.after) {
    step.action = StepAction::kKeep;
  }
  return step;
}

bool Active(const ObjectTables& tables, const BackendServerId& id) {
  const auto found = tables.backend_servers.find(id);
  return found != tables.backend_servers.end() && found->second.state == BackendState::kActive;
}

void AddDrained(const ObjectTables& before, const ObjectTables& after, Plan& plan) {
  for (const auto& step : plan.steps) {
    if (step.kind == ObjectKind::kBackendServer && Active(before, step.id) &&
        !Active(after, step.id)) {
      plan.drained_servers.push_back(step.id);
    }
    if (step.kind == ObjectKind::kKey && step.action == StepAction::kWithdraw) {
      plan.drained_keys.push_back(step.id);
    }
  }
}

void AddCapacity(const ObjectTables& before, const ObjectTables& after, Plan& plan) {
  const auto count = [&](const ObjectTables& tables, std::int64_t Effect::*side) {
    for (const auto& [id, server] : tables.backend_servers) {
      if (server.state != BackendState::kActive) continue;
      ++(plan.capacity[{server.pool, server.role}].*side);
    }
  };
  count(before, &Effect::before);
  count(after, &Effect::after);
  std::erase_if(plan.capacity,
                [](const auto& entry) { return entry.second.before == entry.second.after; });
}

void AddRates(const ObjectTables& before, const ObjectTables& after, Plan& plan) {
  const auto add = [&](const ObjectTables& tables, std::int64_t Effect::*side) {
    for (const auto& [id, workspace] : tables.workspaces) {
      plan.rate_sum.*side += workspace.rate;
      plan.rates[id].*side = workspace.rate;
    }
  };
  add(before, &Effect::before);
  add(after, &Effect::after);
  std::erase_if(plan.rates,
                [](const auto& entry) { return entry.second.before == entry.second.after; });
}

boost::json::string_view ActionName(StepAction action) {
  constexpr std::array<const char*, 4> kNames{"create", "change", "withdraw", "keep"};
  return kNames.at(static_cast<std::size_t>(action));
}

boost::json::object ToJson(const Effect& effect) {
  return {{"before", effect.before}, {"after", effect.after}};
}

boost::json::object ToJson(const PlanStep& step) {
  boost::json::object json{{"action", ActionName(step.action)},
                           {"kind", ToBoost(ObjectKindName(step.kind))},
                           {"id", step.id}};
  boost::json::object fields;
  if (!step.after.is_null()) {
    for (const auto& member : step.after.get_object()) {
      boost::json::value from;
      if (!step.before.is_null()) from = step.before.get_object().at(member.key());
      if (from == member.value() || member.key() == "id") continue;
      fields[member.key()] = boost::json::object{{"from", from}, {"to", member.value()}};
    }
  }
  json["fields"] = std::move(fields);
  return json;
}

}  // namespace

Result<Plan> ComputePlan(const boost::json::object& intent, const Configuration& configuration) {
  BOOST_LEAF_AUTO(parsed, ParseIntent(intent, UnknownFields::kReject));
  const auto before = TablesOf(configuration);
  auto after = before;
  BOOST_LEAF_CHECK(ApplyIntent(parsed, after));
  Plan plan;
  plan.base_revision = configuration.revision();
  plan.digest = PlanDigest(intent, plan.base_revision);
  std::stable_sort(parsed.changes.begin(), parsed.changes.end(),
                   [](const Change& a, const Change& b) { return StepOrder(a) < StepOrder(b); });
  for (const auto& change : parsed.changes) plan.steps.push_back(MakeStep(change, before, after));
  if (before == after) {
    return Fail(ErrorCode::kInvalidArgument, "plan", "",
                "the intent changes nothing; the configuration is in this state already");
  }
  AddDrained(before, after, plan);
  AddCapacity(before, after, plan);
  AddRates(before, after, plan);
  return plan;
}

boost::json::object ToJson(const Plan& plan) {
  boost::json::array steps;
  for (const auto& step : plan.steps) steps.emplace_back(ToJson(step));
  boost::json::array drained;
  for (const auto& id : plan.drained_servers) {
    drained.emplace_back(boost::json::object{{"kind", "backend_server"}, {"id", id}});
  }
  for (const auto& id : plan.drained_keys) {
    drained.emplace_back(boost::json::object{{"kind", "key"}, {"id", id}});
  }
  boost::json::array capacity;
  for (const auto& [key, effect] : plan.capacity) {
    auto entry = ToJson(effect);
    entry["pool"] = key.first;
    entry["role"] = ToBoost(BackendRoleName(key.second));
    capacity.emplace_back(std::move(entry));
  }
  boost::json::array rates;
  for (const auto& [id, effect] : plan.rates) {
    auto entry = ToJson(effect);
    entry["workspace"] = id;
    rates.emplace_back(std::move(entry));
  }
  return {{"digest", plan.digest},
          {"base_revision", plan.base_revision},
          {"steps", std::move(steps)},
          {"drained", std::move(drained)},
          {"capacity", std::move(capacity)},
          {"rates", std::move(rates)},
          {"rate_sum", ToJson(plan.rate_sum)}};
}

}  // namespace marigoldquay
