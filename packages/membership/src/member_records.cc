// Records of the members stream and snapshots of the set as JSON.
#include <array>

#include "absl/strings/str_cat.h"
#include "marigoldquay/membership/member_set.h"

namespace marigoldquay {
namespace {

constexpr absl::string_view kParseRecord = "parse members record";
constexpr absl::string_view kLoadSnapshot = "load members snapshot";
constexpr std::size_t kMaxMembersSnapshot = kSnapshotPartSize * kMaxSnapshotParts;
constexpr std::int32_t kMaxSize = 1000;

enum class RecordType { kJoin, kRenew, kLeave, kRemove, kSnapshot };
constexpr std::array<std::pair<absl::string_view, RecordType>, 5> kTypes{
    {{"join", RecordType::kJoin},
     {"renew", RecordType::kRenew},
     {"leave", RecordType::kLeave},
     {"remove", RecordType::kRemove},
     {"snapshot", RecordType::kSnapshot}}};

void ReadInstance(FieldReader& reader, absl::string_view field, Instance& target) {
  std::string text;
  reader.Require({field});
  reader.Text(field, kInstanceRule, text);
  if (const auto instance = Instance::Parse(text)) target = *instance;
}

void ReadMember(FieldReader& reader, Member& member) {
  ReadInstance(reader, "instance", member.instance);
  reader.Require({"availability_zone", "region", "caller_address", "inner_address"});
  reader.Text("availability_zone", kNameRule, member.availability_zone);
  reader.Text("region", kNameRule, member.region);
  reader.Integer<std::int32_t>("size", 1, kMaxSize, member.size);
  reader.Text("caller_address", kAddressRule, member.caller_address);
  reader.Text("inner_address", kAddressRule, member.inner_address);
}

boost::json::object ToJson(const Member& member) {
  return {{"instance", member.instance.ToString()},
          {"availability_zone", member.availability_zone},
          {"region", member.region},
          {"size", member.size},
          {"caller_address", member.caller_address},
          {"inner_address", member.inner_address}};
}

// Calls `read(FieldReader&)` for each object of a list.
template <class Read>
Result<void> ReadList(const boost::json::object& json, absl::string_view name, Read&& read) {
  const auto* list = json.if_contains(ToBoost(name));
  if (list == nullptr || !list->is_array()) {
    return Fail(ErrorCode::kInvalidArgument, std::string(kLoadSnapshot), "",
                absl::StrCat(name, " must be a list"));
  }
  for (const auto& item : list->get_array()) {
    if (!item.is_object()) {
      return Fail(ErrorCode::kInvalidArgument, std::string(kLoadSnapshot), "",
                  absl::StrCat(name, " must hold objects"));
    }
    FieldReader reader(item.get_object(), absl::StrCat(name, "[]."));
    read(reader);
    BOOST_LEAF_CHECK(reader.Status(kLoadSnapshot));
  }
  return {};
}

}  // namespace

Result<MemberRecord> ParseMemberRecord(absl::string_view data) {
  BOOST_LEAF_AUTO(json, ParseJsonObject(data, kMaxRecordSize, kParseRecord));
  RecordType type = RecordType::kJoin;
  std::string nonce;
  FieldReader reader(json, "");
  reader.Require({"type"});
  reader.Enum<RecordType>("type", kTypes, type);
  BOOST_LEAF_CHECK(reader.Status(kParseRecord));
  if (type == RecordType::kSnapshot) {
    BOOST_LEAF_AUTO(record, ParseConfigRecord(data));
    return MemberRecord(std::get<SnapshotPart>(std::move(record)));
  }
  reader.Require({"nonce"});
  reader.Text("nonce", kNameRule, nonce);
  MemberRecord record;
  if (type == RecordType::kJoin || type == RecordType::kRenew) {
    JoinRecord join{{}, nonce, type == RecordType::kRenew};
    ReadMember(reader, join.member);
    record = std::move(join);
  } else if (type == RecordType::kLeave) {
    LeaveRecord leave{{}, nonce};
    ReadInstance(reader, "instance", leave.instance);
    record = std::move(leave);
  } else {
    RemoveRecord remove{{}, {}, nonce};
    ReadInstance(reader, "instance", remove.instance);
    ReadInstance(reader, "remover", remove.remover);
    record = std::move(remove);
  }
  BOOST_LEAF_CHECK(reader.Status(kParseRecord));
  return record;
}

std::string FormatRecord(const JoinRecord& record) {
  auto json = ToJson(record.member);
  json["type"] = record.renew ? "renew" : "join";
  json["nonce"] = record.nonce;
  return boost::json::serialize(json);
}

std::string FormatRecord(const LeaveRecord& record) {
  return boost::json::serialize(boost::json::object{
      {"type", "leave"}, {"instance", record.instance.ToString()}, {"nonce", record.nonce}});
}

std::string FormatRecord(const RemoveRecord& record) {
  return boost::json::serialize(boost::json::object{{"type", "remove"},
                                                    {"instance", record.instance.ToString()},
                                                    {"remover", record.remover.ToString()},
                                                    {"nonce", record.nonce}});
}

std::string MemberSet::SnapshotText() const {
  boost::json::array members;
  for (const auto& [vm, member] : members_) members.emplace_back(ToJson(member));
  boost::json::array ended;
  for (const auto& instance : ended_) {
    ended.emplace_back(boost::json::object{{"instance", instance.ToString()}});
  }
  boost::json::array displaced;
  for (const auto& [vm, guardians] : displaced_) {
    for (const auto& [guardian, epoch] : guardians) {
      displaced.emplace_back(
          boost::json::object{{"vm", vm}, {"guardian", guardian}, {"epoch", epoch}});
    }
  }
  return CanonicalJson(boost::json::object{{"next", next_},
                                           {"epoch", epoch_},
                                           {"members", std::move(members)},
                                           {"ended", std::move(ended)},
                                           {"displaced", std::move(displaced)}});
}

bool MemberSet::LoadSnapshot(Offset next, const std::string& text) {
  MemberSet loaded;
  const bool good = HandleError(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(json, ParseJsonObject(text, kMaxMembersSnapshot, kLoadSnapshot));
        BOOST_LEAF_CHECK(loaded.Load(json));
        return loaded.next_ == next;
      },
      [](const Error& /*error*/) { return false; });
  if (good) *this = std::move(loaded);
  return good;
}

Result<void> MemberSet::Load(const boost::json::object& json) {
  FieldReader reader(json, "");
  reader.Require({"next", "epoch"});
  reader.Position("next", next_);
  reader.Position("epoch", epoch_);
  BOOST_LEAF_CHECK(reader.Status(kLoadSnapshot));
  BOOST_LEAF_CHECK(ReadList(json, "members", [&](FieldReader& fields) {
    Member member;
    ReadMember(fields, member);
    members_[member.instance.vm] = member;
  }));
  BOOST_LEAF_CHECK(ReadList(json, "ended", [&](FieldReader& fields) {
    Instance instance;
    ReadInstance(fields, "instance", instance);
    ended_.push_back(std::move(instance));
  }));
  BOOST_LEAF_CHECK(ReadList(json, "displaced", [&](FieldReader& fields) {
    std::string vm;
    std::string guardian;
    Offset epoch = 0;
    fields.Text("vm", kNameRule, vm);
    fields.Text("guardian", kNameRule, guardian);
    fields.Position("epoch", epoch);
    displaced_[vm][guardian] = epoch;
  }));
  RebuildOrder();
  return {};
}

std::optional<SnapshotPart> MemberSet::PartIn(absl::string_view data) const {
  if (data.find("\"snapshot\"") == absl::string_view::npos) return std::nullopt;
  return HandleError(
      [&]() -> Result<std::optional<SnapshotPart>> {
        BOOST_LEAF_AUTO(record, ParseMemberRecord(data));
        auto* part = std::get_if<SnapshotPart>(&record);
        return part == nullptr ? std::nullopt : std::optional(std::move(*part));
      },
      [](const Error& /*error*/) { return std::optional<SnapshotPart>(); });
}

}  // namespace marigoldquay
