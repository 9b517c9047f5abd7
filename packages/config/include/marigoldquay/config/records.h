// Records of the config stream and the intents that they carry, as JSON.
#ifndef MARIGOLDQUAY_CONFIG_RECORDS_H_
#define MARIGOLDQUAY_CONFIG_RECORDS_H_

#include <boost/json.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "absl/strings/string_view.h"
#include "marigoldquay/config/json_fields.h"
#include "marigoldquay/config/objects.h"
#include "marigoldquay/core/error.h"
#include "marigoldquay/core/types.h"

namespace marigoldquay {

/// Largest intent in bytes. 64 pending plans then take at most 4 MiB.
inline constexpr std::size_t kMaxIntentSize = std::size_t{64} << 10;
inline constexpr std::size_t kMaxChangesPerIntent = 256;
/// Largest record that is parsed, in bytes.
inline constexpr std::size_t kMaxRecordSize = std::size_t{1} << 20;

enum class ObjectKind { kWorkspace, kKey, kPool, kBackendServer, kRoute };
enum class ChangeOp { kPut, kWithdraw };

/// Name of the kind as in records, e.g. "backend_server".
absl::string_view ObjectKindName(ObjectKind kind);
std::optional<ObjectKind> ParseObjectKind(absl::string_view name);

/// One change that an operator wants.
struct Change {
  ChangeOp op = ChangeOp::kPut;
  ObjectKind kind = ObjectKind::kWorkspace;
  std::string id;
  /// Named fields of a put; fields that are not named keep their value.
  boost::json::object fields;
};

struct Intent {
  std::vector<Change> changes;
};

/// Operators' texts may not contain unknown fields, because they are mistakes; records may, because
/// a newer release may have written them.
enum class UnknownFields { kReject, kIgnore };

/// Reads an intent and checks types and ranges of all named fields.
Result<Intent> ParseIntent(const boost::json::object& json, UnknownFields unknown);

/// SHA-256 of the canonical JSON of an intent together with its base revision.
std::string PlanDigest(const boost::json::object& intent, Offset base_revision);

struct PlanRecord {
  boost::json::object intent;
  Offset base_revision = 0;
  std::string digest;
  Instance writer;
  std::string nonce;
};

struct ConfirmRecord {
  std::string digest;
  Instance writer;
  std::string nonce;
};

/// One part of a snapshot text. Parts with equal `next` and `digest` are interchangeable, whoever
/// wrote them, so that parts may be appended again after a lost answer.
struct SnapshotPart {
  /// The state results from all records below this offset.
  Offset next = 0;
  /// SHA-256 of the whole text.
  std::string digest;
  /// Number of this part from 0 on, and how many there are.
  std::uint32_t part = 0;
  std::uint32_t parts = 1;
  std::string text;
};

using ConfigRecord = std::variant<PlanRecord, ConfirmRecord, SnapshotPart>;

/// Parses a record of the config stream; kInvalidArgument names the field.
Result<ConfigRecord> ParseConfigRecord(absl::string_view data);
std::string FormatRecord(const PlanRecord& record);
std::string FormatRecord(const ConfirmRecord& record);
std::string FormatRecord(const SnapshotPart& record);

/// Reads the named fields of an object; `creating` demands those without a default.
void ReadFields(FieldReader& reader, bool creating, Workspace& object);
void ReadFields(FieldReader& reader, bool creating, Key& object);
void ReadFields(FieldReader& reader, bool creating, Pool& object);
void ReadFields(FieldReader& reader, bool creating, BackendServer& object);
void ReadFields(FieldReader& reader, bool creating, Route& object);

/// All fields of an object with its id.
boost::json::object ToJson(const Workspace& object);
boost::json::object ToJson(const Key& object);
boost::json::object ToJson(const Pool& object);
boost::json::object ToJson(const BackendServer& object);
boost::json::object ToJson(const Route& object);

absl::string_view BackendRoleName(BackendRole role);

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_CONFIG_RECORDS_H_
