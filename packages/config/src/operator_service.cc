// Operators' plans and confirms.
#include "marigoldquay/config/operator_service.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "marigoldquay/config/plan.h"

namespace marigoldquay {
namespace {

boost::json::array ListPlans(const std::vector<PendingPlan>& plans) {
  boost::json::array list;
  for (const auto& plan : plans) {
    list.emplace_back(boost::json::object{{"digest", plan.digest},
                                          {"offset", plan.offset},
                                          {"base_revision", plan.base_revision},
                                          {"intent", boost::json::parse(plan.intent)}});
  }
  return list;
}

// Only these errors say that an append has no effect.
bool HasNoEffect(const Error& error) {
  return error.code == ErrorCode::kNotSent || error.code == ErrorCode::kRefused;
}

}  // namespace

OperatorService::OperatorService(ConfigStore& store, LogClient& log, const Clock& clock,
                                 std::function<Instance()> self)
    : store_(store), log_(log), clock_(clock), self_(std::move(self)) {}

Result<std::string> OperatorService::Plan(absl::string_view intent_json, absl::Duration timeout) {
  BOOST_LEAF_AUTO(intent, ParseJsonObject(intent_json, kMaxIntentSize, "parse intent"));
  // The plan is computed on a copy, because a read guard must not be held that long.
  const auto configuration = [&] {
    const auto guard = store_.Read();
    return *guard;
  }();
  BOOST_LEAF_AUTO(plan, ComputePlan(intent, configuration));
  const PlanRecord record{std::move(intent), plan.base_revision, plan.digest, self_(),
                          RandomHexId()};
  BOOST_LEAF_AUTO(applied,
                  AppendAndWait(FormatRecord(record), record.nonce, "record plan", timeout));
  if (applied.outcome != ApplyOutcome::kPlanned) {
    return Fail(ErrorCode::kConflict, "record plan", "", applied.reason);
  }
  return boost::json::serialize(ToJson(plan));
}

Result<ConfirmOutcome> OperatorService::Confirm(absl::string_view digest, absl::Duration timeout) {
  if (!kDigestRule.allowed(digest)) {
    return Fail(ErrorCode::kInvalidArgument, "confirm plan", "",
                absl::StrCat("digest must be ", kDigestRule.description));
  }
  const ConfirmRecord record{std::string(digest), self_(), RandomHexId()};
  BOOST_LEAF_AUTO(applied,
                  AppendAndWait(FormatRecord(record), record.nonce, "confirm plan", timeout));
  // A plan that an earlier confirm has applied counts as accepted, so that a confirm whose answer
  // was lost can be repeated.
  return ConfirmOutcome{applied.revision > 0, applied.revision, applied.reason};
}

Result<Applied> OperatorService::AppendAndWait(const std::string& data, const std::string& nonce,
                                               absl::string_view step, absl::Duration timeout) {
  const auto deadline = clock_.Now() + timeout;
  const auto failure = HandleError(
      [&]() -> Result<std::optional<Error>> {
        BOOST_LEAF_CHECK(log_.Append(kConfigStream, data, timeout));
        return std::optional<Error>();
      },
      [](const Error& error) { return std::optional(error); });
  if (failure && HasNoEffect(*failure)) {
    return Fail(ErrorCode::kNotSent, std::string(step), failure->peer,
                absl::StrCat("the platform's log accepts no records now, nothing was changed: ",
                             failure->message));
  }
  // After any other failure the record may be in the log; reading it back tells.
  auto applied = store_.WaitForNonce(nonce, deadline);
  if (applied) return std::move(*applied);
  const auto* const cause =
      failure ? "the log did not answer" : "the record was accepted but not read back in time";
  return Fail(ErrorCode::kTimeout, std::string(step), failure ? failure->peer : "",
              absl::StrCat(cause,
                           "; it is not known whether it takes effect, repeating the "
                           "command is harmless"));
}

Result<std::string> OperatorService::ListJson(absl::string_view kind) const {
  const auto object_kind = ParseObjectKind(kind);
  if (!object_kind && kind != "plan") {
    return Fail(ErrorCode::kInvalidArgument, "list objects", "",
                absl::StrCat("kind is ", kind.substr(0, 40),
                             "; allowed: workspace, key, pool, backend_server, route, plan"));
  }
  boost::json::array objects;
  boost::json::object json{{"kind", ToBoost(kind)}};
  if (!object_kind) {
    objects = ListPlans(store_.pending_plans());
    json["revision"] = store_.revision();
  } else {
    const auto guard = store_.Read();
    const auto append = [&](const auto& table) {
      for (const auto& [id, object] : table) objects.emplace_back(ToJson(object));
    };
    json["revision"] = guard->revision();
    switch (*object_kind) {
      case ObjectKind::kWorkspace:
        append(guard->workspaces());
        break;
      case ObjectKind::kKey:
        append(guard->keys());
        break;
      case ObjectKind::kPool:
        append(guard->pools());
        break;
      case ObjectKind::kBackendServer:
        append(guard->backend_servers());
        break;
      case ObjectKind::kRoute:
        append(guard->routes());
        break;
    }
  }
  json["objects"] = std::move(objects);
  return boost::json::serialize(json);
}

}  // namespace marigoldquay
