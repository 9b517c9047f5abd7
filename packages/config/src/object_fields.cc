// Fields of configured objects in JSON.
#include <array>

#include "marigoldquay/config/records.h"

namespace marigoldquay {
namespace {

constexpr TokenCount kMaxRate = 1'000'000'000;
constexpr TokenCount kMaxBurst = 10'000'000'000;
constexpr std::int32_t kMaxTargetMs = 600'000;
constexpr std::int64_t kMaxLinkRate = 1'000'000'000'000;

constexpr std::array<std::pair<absl::string_view, KeyState>, 2> kKeyStates{
    {{"active", KeyState::kActive}, {"withdrawn", KeyState::kWithdrawn}}};
constexpr std::array<std::pair<absl::string_view, PoolKind>, 2> kPoolKinds{
    {{"model", PoolKind::kModel}, {"plain", PoolKind::kPlain}}};
constexpr std::array<std::pair<absl::string_view, BackendRole>, 4> kRoles{
    {{"prefill", BackendRole::kPrefill},
     {"decode", BackendRole::kDecode},
     {"both", BackendRole::kBoth},
     {"plain", BackendRole::kPlain}}};
constexpr std::array<std::pair<absl::string_view, BackendState>, 2> kBackendStates{
    {{"active", BackendState::kActive}, {"leaving", BackendState::kLeaving}}};
constexpr std::array<absl::string_view, 7> kMethods{"GET",   "HEAD",   "POST",   "PUT",
                                                    "PATCH", "DELETE", "OPTIONS"};

template <class E, std::size_t N>
boost::json::string_view NameOf(const std::array<std::pair<absl::string_view, E>, N>& names,
                                E value) {
  for (const auto& [name, candidate] : names) {
    if (candidate == value) return ToBoost(name);
  }
  return "unknown";
}

}  // namespace

absl::string_view BackendRoleName(BackendRole role) {
  const auto name = NameOf(kRoles, role);
  return {name.data(), name.size()};
}

void ReadFields(FieldReader& reader, bool creating, Workspace& object) {
  if (creating) reader.Require({"rate", "burst"});
  reader.Integer<std::int32_t>("weight", 1, 1000, object.weight);
  reader.Integer<TokenCount>("rate", 1, kMaxRate, object.rate);
  reader.Integer<TokenCount>("burst", 1, kMaxBurst, object.burst);
}

void ReadFields(FieldReader& reader, bool creating, Key& object) {
  if (creating) reader.Require({"workspace", "digest"});
  reader.Text("workspace", kNameRule, object.workspace);
  reader.Text("digest", kDigestRule, object.digest);
  reader.Enum<KeyState>("state", kKeyStates, object.state);
}

void ReadFields(FieldReader& reader, bool /*creating*/, Pool& object) {
  reader.Enum<PoolKind>("kind", kPoolKinds, object.kind);
  reader.Text("model", kModelRule, object.model);
  reader.Integer<std::int32_t>("first_token_ms", 1, kMaxTargetMs, object.first_token_ms);
  reader.Integer<std::int32_t>("between_tokens_ms", 1, kMaxTargetMs, object.between_tokens_ms);
  reader.Bool("serve_late", object.serve_late);
}

void ReadFields(FieldReader& reader, bool creating, BackendServer& object) {
  if (creating) reader.Require({"pool", "role", "address"});
  reader.Text("pool", kNameRule, object.pool);
  reader.Enum<BackendRole>("role", kRoles, object.role);
  reader.Text("address", kAddressRule, object.address);
  reader.Integer<std::int64_t>("link_bytes_per_s", 0, kMaxLinkRate, object.link_bytes_per_s);
  reader.Enum<BackendState>("state", kBackendStates, object.state);
  reader.Bool("checks_fencing", object.checks_fencing);
}

void ReadFields(FieldReader& reader, bool creating, Route& object) {
  if (creating) reader.Require({"pool", "methods"});
  reader.Text("pool", kNameRule, object.pool);
  reader.TextList("methods", kMethods, kMethods.size(), object.methods);
  reader.Bool("idempotent", object.idempotent);
  reader.Bool("open", object.open);
}

boost::json::object ToJson(const Workspace& object) {
  return {
      {"id", object.id}, {"weight", object.weight}, {"rate", object.rate}, {"burst", object.burst}};
}

boost::json::object ToJson(const Key& object) {
  return {{"id", object.id},
          {"workspace", object.workspace},
          {"digest", object.digest},
          {"state", NameOf(kKeyStates, object.state)}};
}

boost::json::object ToJson(const Pool& object) {
  return {{"id", object.id},
          {"kind", NameOf(kPoolKinds, object.kind)},
          {"model", object.model},
          {"first_token_ms", object.first_token_ms},
          {"between_tokens_ms", object.between_tokens_ms},
          {"serve_late", object.serve_late}};
}

boost::json::object ToJson(const BackendServer& object) {
  return {{"id", object.id},
          {"pool", object.pool},
          {"role", NameOf(kRoles, object.role)},
          {"address", object.address},
          {"link_bytes_per_s", object.link_bytes_per_s},
          {"state", NameOf(kBackendStates, object.state)},
          {"checks_fencing", object.checks_fencing}};
}

boost::json::object ToJson(const Route& object) {
  boost::json::array methods;
  for (const auto& method : object.methods) methods.emplace_back(method);
  return {{"id", object.prefix},
          {"pool", object.pool},
          {"methods", std::move(methods)},
          {"idempotent", object.idempotent},
          {"open", object.open}};
}

}  // namespace marigoldquay
