// Fields of configured objects.
#include "object_fields.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "exit_code.h"

namespace marigoldquay {
namespace {

const std::vector<KindSpec>& Kinds() {
  static const auto& kinds = *new std::vector<KindSpec>{
      {"workspace",
       "workspace",
       "workspaces",
       "id",
       {{"weight", 1}, {"rate", nullptr}, {"burst", nullptr}}},
      {"rate", "workspace", "workspaces", "id", {{"rate", nullptr}, {"burst", nullptr}}},
      {"key", "key", "keys", "id", {{"workspace", nullptr}}},
      {"pool",
       "pool",
       "pools",
       "id",
       {{"kind", "model"},
        {"model", ""},
        {"first_token_ms", 430},
        {"between_tokens_ms", 49},
        {"serve_late", false}}},
      {"backend",
       "backend_server",
       "backends",
       "id",
       {{"pool", nullptr},
        {"role", "both"},
        {"address", nullptr},
        {"link_bytes_per_s", 0},
        {"state", "active"},
        {"checks_fencing", false}}},
      {"route",
       "route",
       "routes",
       "prefix",
       {{"pool", nullptr}, {"methods", nullptr}, {"idempotent", true}, {"open", false}}}};
  return kinds;
}

std::string FlagList(const KindSpec& spec) {
  std::string text;
  for (const FieldSpec& field : spec.fields) {
    absl::StrAppend(&text, text.empty() ? "" : ", ", "--", field.name);
  }
  return text;
}

Result<void> CheckGiven(const KindSpec& spec, const boost::json::object& given) {
  for (const auto& entry : given) {
    const std::string name(entry.key());
    const bool known = std::any_of(spec.fields.begin(), spec.fields.end(),
                                   [&](const FieldSpec& field) { return field.name == name; });
    if (!known) {
      return Fail(UsageError(absl::StrCat("--", name, " is no field of a ", spec.command,
                                          ", allowed ", FlagList(spec))));
    }
  }
  return {};
}

}  // namespace

const KindSpec* FindKind(absl::string_view command) {
  for (const KindSpec& spec : Kinds()) {
    if (spec.command == command) return &spec;
  }
  return nullptr;
}

Result<boost::json::object> NewObject(const KindSpec& spec, const std::string& id,
                                      const boost::json::object& given) {
  BOOST_LEAF_CHECK(CheckGiven(spec, given));
  boost::json::object object{{spec.id_field, id}};
  for (const FieldSpec& field : spec.fields) {
    const auto* value = given.if_contains(field.name);
    if (value == nullptr && field.initial.is_null()) {
      return Fail(
          UsageError(absl::StrCat("--", field.name, " is required for a new ", spec.command)));
    }
    object[field.name] = value == nullptr ? field.initial : *value;
  }
  if (spec.kind == "pool" && object["kind"] == "model" && object["model"] == "") {
    return Fail(UsageError("--model is required for a new pool of --kind=model"));
  }
  return object;
}

Result<boost::json::object> ChangedObject(const KindSpec& spec, const boost::json::object& current,
                                          const boost::json::object& given) {
  BOOST_LEAF_CHECK(CheckGiven(spec, given));
  if (given.empty()) {
    return Fail(UsageError(absl::StrCat("nothing to change, allowed ", FlagList(spec))));
  }
  boost::json::object object = current;
  for (const auto& entry : given) object[entry.key()] = entry.value();
  return object;
}

boost::json::object MakeIntent(const KindSpec& spec, absl::string_view op, const std::string& id,
                               boost::json::value object) {
  boost::json::object change{{"op", std::string(op)}, {"kind", spec.kind}, {"id", id}};
  if (!object.is_null()) change["object"] = std::move(object);
  return {{"changes", boost::json::array{std::move(change)}}};
}

}  // namespace marigoldquay
