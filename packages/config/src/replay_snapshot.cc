// The replayed state as text and back.
#include <array>

#include "absl/strings/str_cat.h"
#include "marigoldquay/config/replay.h"

namespace marigoldquay {
namespace {

constexpr absl::string_view kStep = "load config snapshot";
constexpr std::size_t kMaxSnapshotSize = kSnapshotPartSize * kMaxSnapshotParts;
constexpr std::array<ObjectKind, 5> kAllKinds{ObjectKind::kWorkspace, ObjectKind::kKey,
                                              ObjectKind::kPool, ObjectKind::kBackendServer,
                                              ObjectKind::kRoute};

// Name of the list of objects of a kind.
std::string ListName(ObjectKind kind) { return absl::StrCat(ObjectKindName(kind), "s"); }

void SetId(Route& route, const std::string& id) { route.prefix = id; }
template <class Object>
void SetId(Object& object, const std::string& id) {
  object.id = id;
}

Result<const boost::json::array*> ListIn(const boost::json::object& json, absl::string_view name) {
  const auto* value = json.if_contains(ToBoost(name));
  if (value == nullptr || !value->is_array()) {
    return Fail(ErrorCode::kInvalidArgument, std::string(kStep), "",
                absl::StrCat(name, " must be a list"));
  }
  return &value->get_array();
}

// Calls `read(FieldReader&, const object&)` for each object of a list.
template <class Read>
Result<void> ReadList(const boost::json::object& json, absl::string_view name, Read&& read) {
  BOOST_LEAF_AUTO(list, ListIn(json, name));
  for (const auto& item : *list) {
    const auto* object = item.if_object();
    if (object == nullptr) {
      return Fail(ErrorCode::kInvalidArgument, std::string(kStep), "",
                  absl::StrCat(name, " must hold objects"));
    }
    FieldReader reader(*object, absl::StrCat(name, "[]."));
    read(reader, *object);
    BOOST_LEAF_CHECK(reader.Status(kStep));
  }
  return {};
}

}  // namespace

std::string ConfigReplay::SnapshotText() const {
  boost::json::object json{{"next", next_}, {"revision", revision_}, {"forgotten", forgotten_}};
  for (const auto kind : kAllKinds) {
    json[ToBoost(ListName(kind))] = VisitTable(kind, tables_, [&](const auto& table) {
      boost::json::array list;
      for (const auto& [id, object] : table) {
        auto entry = ToJson(object);
        entry["changed"] = last_changed_.at({kind, id});
        list.emplace_back(std::move(entry));
      }
      return list;
    });
  }
  boost::json::array deleted;
  for (const auto& [offset, name] : tombstones_) {
    deleted.emplace_back(boost::json::object{
        {"kind", ToBoost(ObjectKindName(name.first))}, {"id", name.second}, {"changed", offset}});
  }
  json["deleted"] = std::move(deleted);
  boost::json::array pending;
  for (const auto& plan : pending_) {
    pending.emplace_back(boost::json::object{{"offset", plan.offset},
                                             {"base_revision", plan.base_revision},
                                             {"digest", plan.digest},
                                             {"intent", plan.intent}});
  }
  json["pending"] = std::move(pending);
  boost::json::array resolved;
  for (const auto& plan : resolved_) {
    resolved.emplace_back(boost::json::object{
        {"digest", plan.digest}, {"offset", plan.offset}, {"reason", plan.reason}});
  }
  json["resolved"] = std::move(resolved);
  return CanonicalJson(json);
}

bool ConfigReplay::LoadSnapshot(Offset next, const std::string& text) {
  ConfigReplay loaded;
  const bool good = HandleError(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(json, ParseJsonObject(text, kMaxSnapshotSize, kStep));
        BOOST_LEAF_CHECK(loaded.Load(json));
        return loaded.next_ == next;
      },
      [](const Error& /*error*/) { return false; });
  if (!good) return false;
  loaded.malformed_ = malformed_;
  *this = std::move(loaded);
  return true;
}

Result<void> ConfigReplay::Load(const boost::json::object& json) {
  FieldReader reader(json, "");
  reader.Require({"next", "revision", "forgotten"});
  reader.Position("next", next_);
  reader.Position("revision", revision_);
  reader.Position("forgotten", forgotten_);
  BOOST_LEAF_CHECK(reader.Status(kStep));
  for (const auto kind : kAllKinds) {
    BOOST_LEAF_CHECK(VisitTable(kind, tables_, [&](auto& table) -> Result<void> {
      return ReadList(json, ListName(kind), [&](FieldReader& fields, const auto& /*object*/) {
        typename std::remove_reference_t<decltype(table)>::mapped_type entry;
        std::string id;
        Offset changed = 0;
        fields.Text("id", kAnyTextRule, id);
        fields.Position("changed", changed);
        ReadFields(fields, /*creating=*/true, entry);
        SetId(entry, id);
        last_changed_[{kind, id}] = changed;
        table[id] = std::move(entry);
      });
    }));
  }
  BOOST_LEAF_CHECK(ReadList(json, "deleted", [&](FieldReader& fields, const auto& /*object*/) {
    std::string kind_name;
    std::string id;
    Offset changed = 0;
    fields.Text("kind", kAnyTextRule, kind_name);
    fields.Text("id", kAnyTextRule, id);
    fields.Position("changed", changed);
    const auto kind = ParseObjectKind(kind_name);
    if (!kind) return fields.FailField("kind", "is not a known kind");
    tombstones_.emplace(changed, ObjectName(*kind, id));
    last_changed_[{*kind, id}] = changed;
  }));
  BOOST_LEAF_CHECK(ReadList(json, "pending", [&](FieldReader& fields, const auto& /*object*/) {
    PendingPlan plan;
    fields.Position("offset", plan.offset);
    fields.Position("base_revision", plan.base_revision);
    fields.Text("digest", kDigestRule, plan.digest);
    fields.Text("intent", kAnyTextRule, plan.intent);
    pending_.push_back(std::move(plan));
  }));
  return ReadList(json, "resolved", [&](FieldReader& fields, const auto& /*object*/) {
    ResolvedPlan plan;
    fields.Text("digest", kDigestRule, plan.digest);
    fields.Position("offset", plan.offset);
    fields.Text("reason", kAnyTextRule, plan.reason);
    resolved_.push_back(std::move(plan));
  });
}

}  // namespace marigoldquay
