// What an intent would do to a configuration, for the operator to confirm.
#ifndef MARIGOLDQUAY_CONFIG_PLAN_H_
#define MARIGOLDQUAY_CONFIG_PLAN_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "marigoldquay/config/configuration.h"
#include "marigoldquay/config/records.h"

namespace marigoldquay {

enum class StepAction { kCreate, kChange, kWithdraw, kKeep };

/// One object before and after; null where it does not exist.
struct PlanStep {
  StepAction action = StepAction::kKeep;
  ObjectKind kind = ObjectKind::kWorkspace;
  std::string id;
  boost::json::value before;
  boost::json::value after;

  bool operator==(const PlanStep&) const = default;
};

/// A number before and after the plan.
struct Effect {
  std::int64_t before = 0;
  std::int64_t after = 0;

  bool operator==(const Effect&) const = default;
};

struct Plan {
  Offset base_revision = 0;
  std::string digest;
  /// In the order in which they take effect: what others refer to is created first and withdrawn
  /// last.
  std::vector<PlanStep> steps;
  /// Backend servers that get no new work, and keys whose streams end.
  std::vector<BackendServerId> drained_servers;
  std::vector<KeyId> drained_keys;
  /// Active backend servers per pool and role, where the number changes.
  std::map<std::pair<PoolId, BackendRole>, Effect> capacity;
  /// Tokens per second per workspace, where it changes, and the sum over all workspaces.
  std::map<WorkspaceId, Effect> rates;
  Effect rate_sum;

  bool operator==(const Plan&) const = default;
};

/// Computes the plan of an operator's intent. Errors as ParseIntent and ApplyIntent;
/// kInvalidArgument when the intent changes nothing.
Result<Plan> ComputePlan(const boost::json::object& intent, const Configuration& configuration);

boost::json::object ToJson(const Plan& plan);

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_CONFIG_PLAN_H_
