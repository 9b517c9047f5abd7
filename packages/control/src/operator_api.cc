// Endpoints of the operators' interface.
#include "operator_api.h"

#include <array>
#include <optional>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "marigoldquay/control/burn_report.h"

namespace marigoldquay {
namespace {

constexpr absl::string_view kPrefix = "/operator/v1/";
constexpr std::array kLists = {ObjectList::kWorkspaces, ObjectList::kKeys,   ObjectList::kPools,
                               ObjectList::kBackends,   ObjectList::kRoutes, ObjectList::kPlans};

int StatusOf(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return 400;
    case ErrorCode::kPermissionDenied:
      return 403;
    case ErrorCode::kNotFound:
      return 404;
    case ErrorCode::kConflict:
      return 409;
    case ErrorCode::kResourceExhausted:
      return 429;
    case ErrorCode::kProtocol:
      return 502;
    case ErrorCode::kNotSent:
    case ErrorCode::kRefused:
    case ErrorCode::kUnavailable:
    case ErrorCode::kCancelled:
      return 503;
    case ErrorCode::kTimeout:
      return 504;
    case ErrorCode::kInternal:
      break;
  }
  return 500;
}

bool MayHaveEffect(ErrorCode code) {
  return code == ErrorCode::kTimeout || code == ErrorCode::kUnavailable ||
         code == ErrorCode::kCancelled || code == ErrorCode::kProtocol ||
         code == ErrorCode::kInternal;
}

OperatorAnswer JsonAnswer(const boost::json::object& object) {
  return {200, "application/json", absl::StrCat(boost::json::serialize(object), "\n")};
}

Result<boost::json::object> ParseBody(const std::string& body) {
  boost::json::error_code error;
  boost::json::value value = boost::json::parse(body, error);
  if (error || !value.is_object()) {
    return Fail(ErrorCode::kInvalidArgument, "read request", "",
                absl::StrCat("body, allowed a JSON object",
                             error ? absl::StrCat(": ", error.message()) : ""));
  }
  return std::move(value.as_object());
}

Result<OperatorAnswer> Plan(OperatorBackend& backend, const OperatorRequest& request) {
  BOOST_LEAF_AUTO(intent, ParseBody(request.body));
  const auto* changes = intent.if_contains("changes");
  if (changes == nullptr || !changes->is_array() || changes->get_array().empty()) {
    return Fail(ErrorCode::kInvalidArgument, "read intent", "",
                "changes, allowed a non-empty array");
  }
  BOOST_LEAF_AUTO(plan, backend.Plan(intent));
  return JsonAnswer(plan);
}

Result<OperatorAnswer> Confirm(OperatorBackend& backend, const OperatorRequest& request) {
  BOOST_LEAF_AUTO(body, ParseBody(request.body));
  const auto* digest = body.if_contains("digest");
  if (digest == nullptr || !digest->is_string() || digest->get_string().empty()) {
    return Fail(ErrorCode::kInvalidArgument, "read request", "",
                "digest, allowed a non-empty string");
  }
  BOOST_LEAF_AUTO(result, backend.Confirm(absl::string_view(digest->get_string().data(),
                                                            digest->get_string().size())));
  return JsonAnswer(result);
}

// Whether a listed object has this id; routes are named by their prefix, plans by their digest.
bool HasId(const boost::json::value& value, const std::string& id) {
  if (!value.is_object()) return false;
  for (const char* name : {"id", "prefix", "digest"}) {
    const auto* field = value.get_object().if_contains(name);
    if (field != nullptr && field->is_string() && field->get_string() == id) return true;
  }
  return false;
}

Result<OperatorAnswer> List(OperatorBackend& backend, ObjectList list, const std::string& id) {
  BOOST_LEAF_AUTO(objects, backend.List(list));
  if (!id.empty()) {
    boost::json::array matching;
    for (const auto& object : objects) {
      if (HasId(object, id)) matching.push_back(object);
    }
    objects = std::move(matching);
  }
  const absl::string_view name = ObjectListName(list);
  boost::json::object answer;
  answer[boost::json::string_view(name.data(), name.size())] = std::move(objects);
  return JsonAnswer(answer);
}

Result<OperatorAnswer> Burn(OperatorBackend& backend, const OperatorRequest& request) {
  if (!request.format.empty() && request.format != "json" && request.format != "text") {
    return Fail(ErrorCode::kInvalidArgument, "read request", "",
                "format, allowed \"json\" and \"text\"");
  }
  BOOST_LEAF_AUTO(counts, backend.Burn(request.workspace));
  const BurnReport report = MakeBurnReport(counts);
  if (request.format == "text") {
    return OperatorAnswer{200, "text/plain; charset=utf-8", report.ToText()};
  }
  return JsonAnswer(report.ToJson());
}

Result<OperatorAnswer> Status(OperatorBackend& backend) {
  BOOST_LEAF_AUTO(status, backend.Status());
  return JsonAnswer(status);
}

std::optional<ObjectList> ListNamed(absl::string_view name) {
  for (const ObjectList list : kLists) {
    if (ObjectListName(list) == name) return list;
  }
  return std::nullopt;
}

Result<OperatorAnswer> Route(OperatorBackend& backend, const OperatorRequest& request) {
  const absl::string_view path = request.path;
  if (!absl::StartsWith(path, kPrefix)) {
    return Fail(ErrorCode::kNotFound, "find endpoint", "", absl::StrCat("no endpoint ", path));
  }
  const absl::string_view name = path.substr(kPrefix.size());
  const bool post = request.method == "POST";
  const bool get = request.method == "GET";
  if (post && name == "plan") return Plan(backend, request);
  if (post && name == "confirm") return Confirm(backend, request);
  if (get && name == "status") return Status(backend);
  if (get && name == "burn") return Burn(backend, request);
  if (const auto list = ListNamed(name); get && list) return List(backend, *list, request.id);
  return Fail(ErrorCode::kNotFound, "find endpoint", "",
              absl::StrCat("no endpoint ", request.method, " ", path));
}

}  // namespace

absl::string_view ObjectListName(ObjectList list) {
  switch (list) {
    case ObjectList::kWorkspaces:
      return "workspaces";
    case ObjectList::kKeys:
      return "keys";
    case ObjectList::kPools:
      return "pools";
    case ObjectList::kBackends:
      return "backends";
    case ObjectList::kRoutes:
      return "routes";
    case ObjectList::kPlans:
      return "plans";
  }
  return "";
}

OperatorAnswer FailureAnswer(const Error& error) {
  const boost::json::object body = {{"error",
                                     {{"type", std::string(ErrorCodeName(error.code))},
                                      {"message", error.message},
                                      {"step", error.step},
                                      {"peer", error.peer}}},
                                    {"outcome", MayHaveEffect(error.code) ? "unknown" : "not_run"}};
  return {StatusOf(error.code), "application/json",
          absl::StrCat(boost::json::serialize(body), "\n")};
}

OperatorAnswer AnswerOperator(OperatorBackend& backend, const OperatorRequest& request) {
  return HandleError([&] { return Route(backend, request); },
                     [](const Error& error) { return FailureAnswer(error); });
}

}  // namespace marigoldquay
