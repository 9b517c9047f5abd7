// What the operators' HTTP interface needs from the rest of the daemon.
#ifndef MARIGOLDQUAY_CONTROL_OPERATOR_BACKEND_H_
#define MARIGOLDQUAY_CONTROL_OPERATOR_BACKEND_H_

#include <boost/json.hpp>
#include <vector>

#include "absl/strings/string_view.h"
#include "marigoldquay/core/error.h"
#include "marigoldquay/protocol/inner_generated.h"

namespace marigoldquay {

/// Lists that operators can read.
enum class ObjectList { kWorkspaces, kKeys, kPools, kBackends, kRoutes, kPlans };

/// Name of a list in paths and answers, e.g. "workspaces".
absl::string_view ObjectListName(ObjectList list);

/// Counts that the VMs gave for a burn report; several entries may have the same workspace and
/// target.
struct BurnAnswer {
  std::vector<protocol::BurnSeriesT> series;
  int vms_asked = 0;
  int vms_answered = 0;
};

/// Thread-safe; calls block and keep their own deadlines. Errors: kInvalidArgument names the field
/// and the allowed range, kConflict says why a plan no longer applies, kNotFound; kTimeout and
/// kUnavailable mean that a change may have been accepted.
class OperatorBackend {
 public:
  virtual ~OperatorBackend() = default;

  /// Makes a plan from `{"changes":[{"op","kind","id","object"}]}` and publishes it. Answers at
  /// least "digest" and "base_revision".
  virtual Result<boost::json::object> Plan(const boost::json::object& intent) = 0;

  /// Applies exactly the plan with this digest. Answers at least "revision", "members" and
  /// "in_force" (the number of members on which the change is in force).
  virtual Result<boost::json::object> Confirm(absl::string_view digest) = 0;

  /// Objects as in intents with "id" (routes: "prefix"), or pending plans with "digest".
  virtual Result<boost::json::array> List(ObjectList list) = 0;

  /// Members, roles, queues and what is held, for display.
  virtual Result<boost::json::object> Status() = 0;

  /// Counts of a workspace, or of all when it is empty, from all VMs that can be reached.
  virtual Result<BurnAnswer> Burn(absl::string_view workspace) = 0;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_CONTROL_OPERATOR_BACKEND_H_
