// Parsing and formatting of config records.
#include "marigoldquay/config/records.h"

#include <array>
#include <set>

#include "absl/strings/str_cat.h"
#include "marigoldquay/config/stream_replica.h"
#include "marigoldquay/core/secret.h"

namespace marigoldquay {
namespace {

constexpr absl::string_view kParseIntent = "parse intent";
constexpr absl::string_view kParseRecord = "parse config record";

constexpr std::array<std::pair<absl::string_view, ObjectKind>, 5> kKinds{
    {{"workspace", ObjectKind::kWorkspace},
     {"key", ObjectKind::kKey},
     {"pool", ObjectKind::kPool},
     {"backend_server", ObjectKind::kBackendServer},
     {"route", ObjectKind::kRoute}}};
constexpr std::array<std::pair<absl::string_view, ChangeOp>, 2> kOps{
    {{"put", ChangeOp::kPut}, {"withdraw", ChangeOp::kWithdraw}}};

enum class RecordType { kPlan, kConfirm, kSnapshot };
constexpr std::array<std::pair<absl::string_view, RecordType>, 3> kTypes{
    {{"plan", RecordType::kPlan},
     {"confirm", RecordType::kConfirm},
     {"snapshot", RecordType::kSnapshot}}};

const TextRule& IdRule(ObjectKind kind) {
  switch (kind) {
    case ObjectKind::kKey:
      return kKeyIdRule;
    case ObjectKind::kRoute:
      return kPathPrefixRule;
    default:
      return kNameRule;
  }
}

template <class Object>
Result<void> CheckFieldsOf(const boost::json::object& fields, const std::string& path,
                           UnknownFields unknown) {
  Object scratch;
  FieldReader reader(fields, path);
  ReadFields(reader, /*creating=*/false, scratch);
  if (unknown == UnknownFields::kReject) reader.RejectUnknown();
  return reader.Status(kParseIntent);
}

Result<void> CheckFields(const Change& change, const std::string& path, UnknownFields unknown) {
  switch (change.kind) {
    case ObjectKind::kWorkspace:
      return CheckFieldsOf<Workspace>(change.fields, path, unknown);
    case ObjectKind::kKey:
      return CheckFieldsOf<Key>(change.fields, path, unknown);
    case ObjectKind::kPool:
      return CheckFieldsOf<Pool>(change.fields, path, unknown);
    case ObjectKind::kBackendServer:
      return CheckFieldsOf<BackendServer>(change.fields, path, unknown);
    case ObjectKind::kRoute:
      return CheckFieldsOf<Route>(change.fields, path, unknown);
  }
  return {};
}

// Lists show objects with their id, so a listed object that is put again may carry it.
Result<void> TakeOwnId(Change& change, const std::string& path) {
  const char* field = change.kind == ObjectKind::kRoute ? "prefix" : "id";
  const auto* own = change.fields.if_contains(field);
  if (own == nullptr) return {};
  if (!own->is_string() || own->as_string() != change.id) {
    return Fail(ErrorCode::kInvalidArgument, std::string(kParseIntent), "",
                absl::StrCat(path, field, " must be the id of the change, ", change.id));
  }
  change.fields.erase(field);
  return {};
}

Result<Change> ParseChange(const boost::json::value& json, const std::string& path,
                           UnknownFields unknown) {
  const auto* object = json.if_object();
  if (object == nullptr) {
    return Fail(ErrorCode::kInvalidArgument, std::string(kParseIntent), "",
                absl::StrCat(path, " must be an object"));
  }
  Change change;
  FieldReader reader(*object, path + ".");
  reader.Require({"op", "kind", "id"});
  reader.Enum<ChangeOp>("op", kOps, change.op);
  reader.Enum<ObjectKind>("kind", kKinds, change.kind);
  reader.Text("id", IdRule(change.kind), change.id);
  const auto* fields = reader.Object("object");
  if (change.op == ChangeOp::kWithdraw && fields != nullptr) {
    reader.FailField("object", "is not allowed when an object is withdrawn");
  }
  if (change.op == ChangeOp::kPut) reader.Require({"object"});
  if (unknown == UnknownFields::kReject) reader.RejectUnknown();
  BOOST_LEAF_CHECK(reader.Status(kParseIntent));
  if (change.op == ChangeOp::kPut) {
    change.fields = *fields;
    BOOST_LEAF_CHECK(TakeOwnId(change, path + ".object."));
    BOOST_LEAF_CHECK(CheckFields(change, path + ".object.", unknown));
  }
  return change;
}

void ReadWriter(FieldReader& reader, Instance& writer, std::string& nonce) {
  std::string text;
  reader.Require({"writer", "nonce"});
  reader.Text("writer", kInstanceRule, text);
  reader.Text("nonce", kNameRule, nonce);
  if (const auto instance = Instance::Parse(text)) writer = *instance;
}

Result<ConfigRecord> ParsePlan(const boost::json::object& json) {
  PlanRecord record;
  FieldReader reader(json, "");
  reader.Require({"intent", "base_revision", "digest"});
  reader.Position("base_revision", record.base_revision);
  reader.Text("digest", kDigestRule, record.digest);
  ReadWriter(reader, record.writer, record.nonce);
  const auto* intent = reader.Object("intent");
  BOOST_LEAF_CHECK(reader.Status(kParseRecord));
  record.intent = *intent;
  return ConfigRecord(std::move(record));
}

Result<ConfigRecord> ParseConfirm(const boost::json::object& json) {
  ConfirmRecord record;
  FieldReader reader(json, "");
  reader.Require({"digest"});
  reader.Text("digest", kDigestRule, record.digest);
  ReadWriter(reader, record.writer, record.nonce);
  BOOST_LEAF_CHECK(reader.Status(kParseRecord));
  return ConfigRecord(std::move(record));
}

Result<ConfigRecord> ParseSnapshot(const boost::json::object& json) {
  SnapshotPart record;
  FieldReader reader(json, "");
  reader.Require({"next", "digest", "part", "parts", "text"});
  reader.Position("next", record.next);
  reader.Text("digest", kDigestRule, record.digest);
  reader.Integer<std::uint32_t>("parts", 1, kMaxSnapshotParts, record.parts);
  reader.Integer<std::uint32_t>("part", 0, record.parts - 1, record.part);
  reader.Text("text", kAnyTextRule, record.text);
  BOOST_LEAF_CHECK(reader.Status(kParseRecord));
  return ConfigRecord(std::move(record));
}

}  // namespace

absl::string_view ObjectKindName(ObjectKind kind) {
  for (const auto& [name, candidate] : kKinds) {
    if (candidate == kind) return name;
  }
  return "unknown";
}

std::optional<ObjectKind> ParseObjectKind(absl::string_view name) {
  for (const auto& [candidate, kind] : kKinds) {
    if (candidate == name) return kind;
  }
  return std::nullopt;
}

Result<Intent> ParseIntent(const boost::json::object& json, UnknownFields unknown) {
  const auto fail = [](std::string message) {
    return Fail(ErrorCode::kInvalidArgument, std::string(kParseIntent), "", std::move(message));
  };
  const auto* value = json.if_contains("changes");
  const auto* changes = value == nullptr ? nullptr : value->if_array();
  if (changes == nullptr || changes->empty() || changes->size() > kMaxChangesPerIntent) {
    return fail(absl::StrCat("changes must be a list of 1 to ", kMaxChangesPerIntent, " changes"));
  }
  if (unknown == UnknownFields::kReject && json.size() != 1) {
    return fail("an intent has no other field than changes");
  }
  Intent intent;
  std::set<std::pair<ObjectKind, std::string>> named;
  for (std::size_t i = 0; i < changes->size(); ++i) {
    const auto path = absl::StrCat("changes[", i, "]");
    BOOST_LEAF_AUTO(change, ParseChange((*changes)[i], path, unknown));
    if (!named.emplace(change.kind, change.id).second) {
      return fail(absl::StrCat(path, ".id names ", ObjectKindName(change.kind), " ", change.id,
                               " a second time; allowed: once per intent"));
    }
    intent.changes.push_back(std::move(change));
  }
  return intent;
}

std::string PlanDigest(const boost::json::object& intent, Offset base_revision) {
  return Sha256Hex(
      CanonicalJson(boost::json::object{{"base_revision", base_revision}, {"intent", intent}}));
}

Result<ConfigRecord> ParseConfigRecord(absl::string_view data) {
  BOOST_LEAF_AUTO(json, ParseJsonObject(data, kMaxRecordSize, kParseRecord));
  RecordType type = RecordType::kPlan;
  FieldReader reader(json, "");
  reader.Require({"type"});
  reader.Enum<RecordType>("type", kTypes, type);
  BOOST_LEAF_CHECK(reader.Status(kParseRecord));
  switch (type) {
    case RecordType::kPlan:
      return ParsePlan(json);
    case RecordType::kConfirm:
      return ParseConfirm(json);
    case RecordType::kSnapshot:
      return ParseSnapshot(json);
  }
  return Fail(ErrorCode::kInvalidArgument, std::string(kParseRecord), "", "unknown type");
}

std::string FormatRecord(const PlanRecord& record) {
  return boost::json::serialize(boost::json::object{{"type", "plan"},
                                                    {"intent", record.intent},
                                                    {"base_revision", record.base_revision},
                                                    {"digest", record.digest},
                                                    {"writer", record.writer.ToString()},
                                                    {"nonce", record.nonce}});
}

std::string FormatRecord(const ConfirmRecord& record) {
  return boost::json::serialize(boost::json::object{{"type", "confirm"},
                                                    {"digest", record.digest},
                                                    {"writer", record.writer.ToString()},
                                                    {"nonce", record.nonce}});
}

std::string FormatRecord(const SnapshotPart& record) {
  return boost::json::serialize(boost::json::object{{"type", "snapshot"},
                                                    {"next", record.next},
                                                    {"digest", record.digest},
                                                    {"part", record.part},
                                                    {"parts", record.parts},
                                                    {"text", record.text}});
}

}  // namespace marigoldquay
