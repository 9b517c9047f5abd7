// Claim records in JSON. Bodies are base64, as services may answer any bytes.
#include "marigoldquay/claims/claim_records.h"

#include <boost/json.hpp>
#include <optional>
#include <utility>

#include "absl/strings/escaping.h"

namespace marigoldquay {
namespace {

namespace json = boost::json;

const char* KindName(ClaimRecordKind kind) {
  switch (kind) {
    case ClaimRecordKind::kClaim:
      return "claim";
    case ClaimRecordKind::kVoid:
      return "void";
    case ClaimRecordKind::kOutcome:
      return "outcome";
  }
  return "claim";
}

std::optional<ClaimRecordKind> ParseKind(const std::string& name) {
  for (const auto kind :
       {ClaimRecordKind::kClaim, ClaimRecordKind::kVoid, ClaimRecordKind::kOutcome}) {
    if (name == KindName(kind)) return kind;
  }
  return std::nullopt;
}

json::object ToJson(const ClaimOutcome& outcome) {
  json::array headers;
  for (const auto& [name, value] : outcome.headers) headers.push_back(json::array{name, value});
  return {{"answered", outcome.answered},
          {"status", outcome.status},
          {"headers", std::move(headers)},
          {"body", absl::Base64Escape(outcome.body)},
          {"body_kept", outcome.body_kept}};
}

json::object ToJson(const ClaimRecord& record) {
  json::object object{{"kind", KindName(record.kind)},
                      {"key", record.key},
                      {"holder", record.holder.ToString()},
                      {"nonce", record.nonce}};
  if (record.kind == ClaimRecordKind::kClaim) object["request"] = record.request_digest;
  if (record.kind == ClaimRecordKind::kOutcome) object["outcome"] = ToJson(record.outcome);
  return object;
}

// Text of a member; nullopt when absent or not a string.
std::optional<std::string> Text(const json::object& object, const char* name) {
  const auto* value = object.if_contains(name);
  if (value == nullptr || !value->is_string()) return std::nullopt;
  return std::string(value->as_string().data(), value->as_string().size());
}

std::optional<HttpHeaders> ParseHeaders(const json::value* value) {
  if (value == nullptr || !value->is_array()) return std::nullopt;
  HttpHeaders headers;
  for (const auto& entry : value->as_array()) {
    if (!entry.is_array() || entry.as_array().size() != 2) return std::nullopt;
    const auto& pair = entry.as_array();
    if (!pair[0].is_string() || !pair[1].is_string()) return std::nullopt;
    headers.emplace_back(pair[0].as_string().c_str(), pair[1].as_string().c_str());
  }
  return headers;
}

std::optional<ClaimOutcome> ParseOutcome(const json::value* value) {
  if (value == nullptr || !value->is_object()) return std::nullopt;
  const auto& object = value->as_object();
  const auto* answered = object.if_contains("answered");
  const auto* status = object.if_contains("status");
  const auto* body_kept = object.if_contains("body_kept");
  auto headers = ParseHeaders(object.if_contains("headers"));
  const auto body = Text(object, "body");
  if (answered == nullptr || !answered->is_bool() || status == nullptr || !status->is_int64() ||
      body_kept == nullptr || !body_kept->is_bool() || !headers || !body) {
    return std::nullopt;
  }
  ClaimOutcome outcome;
  outcome.answered = answered->as_bool();
  outcome.status = static_cast<int>(status->as_int64());
  outcome.headers = std::move(*headers);
  outcome.body_kept = body_kept->as_bool();
  if (!absl::Base64Unescape(*body, &outcome.body)) return std::nullopt;
  return outcome;
}

std::optional<ClaimRecord> ParseRecord(const json::value& value) {
  if (!value.is_object()) return std::nullopt;
  const auto& object = value.as_object();
  const auto kind = ParseKind(Text(object, "kind").value_or(""));
  const auto key = Text(object, "key");
  const auto nonce = Text(object, "nonce");
  const auto holder = Instance::Parse(Text(object, "holder").value_or(""));
  if (!kind || !key || !nonce || !holder) return std::nullopt;
  ClaimRecord record;
  record.kind = *kind;
  record.key = *key;
  record.nonce = *nonce;
  record.holder = *holder;
  if (record.kind == ClaimRecordKind::kClaim) {
    const auto request = Text(object, "request");
    if (!request) return std::nullopt;
    record.request_digest = *request;
  }
  if (record.kind == ClaimRecordKind::kOutcome) {
    auto outcome = ParseOutcome(object.if_contains("outcome"));
    if (!outcome) return std::nullopt;
    record.outcome = std::move(*outcome);
  }
  return record;
}

}  // namespace

std::string SerializeClaimBatch(const std::vector<ClaimRecord>& batch) {
  json::array records;
  for (const auto& record : batch) records.push_back(ToJson(record));
  return json::serialize(json::object{{"claims", std::move(records)}});
}

std::vector<ClaimRecord> ParseClaimBatch(absl::string_view text, int& malformed) {
  json::error_code error;
  const auto value = json::parse(json::string_view(text.data(), text.size()), error);
  const auto* records =
      !error && value.is_object() ? value.as_object().if_contains("claims") : nullptr;
  if (records == nullptr || !records->is_array()) {
    ++malformed;
    return {};
  }
  std::vector<ClaimRecord> batch;
  for (const auto& entry : records->as_array()) {
    if (auto record = ParseRecord(entry)) {
      batch.push_back(std::move(*record));
    } else {
      ++malformed;
    }
  }
  return batch;
}

}  // namespace marigoldquay
