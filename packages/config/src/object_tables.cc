// Rules for changing configured objects.
#include "marigoldquay/config/object_tables.h"

#include <functional>

#include "absl/strings/str_cat.h"

namespace marigoldquay {
namespace {

constexpr absl::string_view kStep = "apply intent";

boost::leaf::error_id Conflict(std::string message) {
  return Fail(ErrorCode::kConflict, std::string(kStep), "", std::move(message));
}

void SetId(Route& route, const std::string& id) { route.prefix = id; }
template <class Object>
void SetId(Object& object, const std::string& id) {
  object.id = id;
}

// Restores the tables when a later change or check of the same intent fails.
class UndoList {
 public:
  ~UndoList() {
    for (auto undo = undos_.rbegin(); undo != undos_.rend(); ++undo) (*undo)();
  }
  UndoList() = default;
  UndoList(const UndoList&) = delete;
  UndoList& operator=(const UndoList&) = delete;

  template <class Table>
  void Save(Table& table, const std::string& id) {
    const auto found = table.find(id);
    if (found == table.end()) {
      undos_.push_back([&table, id] { table.erase(id); });
    } else {
      undos_.push_back([&table, id, old = found->second] { table[id] = old; });
    }
  }
  void Keep() { undos_.clear(); }

 private:
  std::vector<std::function<void()>> undos_;
};

Result<void> CheckPut(const Key& before, const Key& after, bool creating) {
  if (after.state != KeyState::kActive) {
    return Conflict(absl::StrCat("key ", after.id,
                                 " is withdrawn and cannot be put; use withdraw "
                                 "to withdraw a key and another id for a new key"));
  }
  // Running streams re-check only whether their key is active, so a key keeps its meaning.
  if (!creating && before != after) {
    return Conflict(
        absl::StrCat("key ", after.id, " exists; withdraw it and create a key with another id"));
  }
  return {};
}
template <class Object>
Result<void> CheckPut(const Object& /*before*/, const Object& /*after*/, bool /*creating*/) {
  return {};
}

template <class Table>
Result<void> Put(const Change& change, Table& table, UndoList& undo) {
  const auto found = table.find(change.id);
  const bool creating = found == table.end();
  typename Table::mapped_type object;
  if (!creating) object = found->second;
  const auto before = object;
  SetId(object, change.id);
  FieldReader reader(change.fields, Describe(change.kind, change.id) + ": ");
  ReadFields(reader, creating, object);
  BOOST_LEAF_CHECK(reader.Status(kStep));
  BOOST_LEAF_CHECK(CheckPut(before, object, creating));
  undo.Save(table, change.id);
  table[change.id] = std::move(object);
  return {};
}

template <class Table>
Result<void> Withdraw(const Change& change, Table& table, UndoList& undo) {
  const auto found = table.find(change.id);
  if (found == table.end()) {
    return Fail(ErrorCode::kNotFound, std::string(kStep), "",
                Describe(change.kind, change.id) + " does not exist");
  }
  undo.Save(table, change.id);
  if constexpr (std::is_same_v<typename Table::mapped_type, Key>) {
    if (found->second.state == KeyState::kWithdrawn) {
      return Conflict(Describe(change.kind, change.id) + " is withdrawn already");
    }
    found->second.state = KeyState::kWithdrawn;
  } else {
    table.erase(found);
  }
  return {};
}

Result<void> CheckKey(const Key& key, const ObjectTables& tables) {
  if (key.state == KeyState::kActive && !tables.workspaces.contains(key.workspace)) {
    return Conflict(absl::StrCat("key ", key.id, " belongs to workspace ", key.workspace,
                                 ", which does not "
                                 "exist"));
  }
  return {};
}

Result<void> CheckBackendServer(const BackendServer& server, const ObjectTables& tables) {
  const auto pool = tables.pools.find(server.pool);
  if (pool == tables.pools.end()) {
    return Conflict(absl::StrCat("backend server ", server.id, " belongs to pool ", server.pool,
                                 ", which does not exist"));
  }
  const bool plain = server.role == BackendRole::kPlain;
  if (plain != (pool->second.kind == PoolKind::kPlain)) {
    return Conflict(absl::StrCat("backend server ", server.id, " has role ",
                                 BackendRoleName(server.role), "; allowed in pool ", server.pool,
                                 ": ", plain ? "prefill, decode, both" : "plain"));
  }
  return {};
}

Result<void> CheckRoute(const Route& route, const ObjectTables& tables) {
  const auto pool = tables.pools.find(route.pool);
  if (pool == tables.pools.end()) {
    return Conflict(absl::StrCat("route ", route.prefix, " leads to pool ", route.pool,
                                 ", which does not exist"));
  }
  if (pool->second.kind != PoolKind::kPlain) {
    return Conflict(absl::StrCat("route ", route.prefix, " leads to pool ", route.pool,
                                 " of kind model; allowed: plain"));
  }
  return {};
}

Result<void> CheckPool(const std::string& id, const ObjectTables& tables) {
  const auto found = tables.pools.find(id);
  if (found != tables.pools.end()) {
    const auto& pool = found->second;
    if ((pool.kind == PoolKind::kModel) == pool.model.empty()) {
      return Conflict(absl::StrCat("pool ", id, " has model \"", pool.model, "\"; allowed: ",
                                   pool.model.empty() ? "a name" : "none in a plain pool"));
    }
    for (const auto& [other_id, other] : tables.pools) {
      if (other_id != id && !pool.model.empty() && other.model == pool.model) {
        return Conflict(
            absl::StrCat("pool ", id, " serves model ", pool.model, " like pool ", other_id));
      }
    }
  }
  // Objects that refer to a changed or withdrawn pool must still fit.
  for (const auto& [server_id, server] : tables.backend_servers) {
    if (server.pool == id) BOOST_LEAF_CHECK(CheckBackendServer(server, tables));
  }
  for (const auto& [prefix, route] : tables.routes) {
    if (route.pool == id) BOOST_LEAF_CHECK(CheckRoute(route, tables));
  }
  return {};
}

Result<void> CheckWorkspace(const std::string& id, const ObjectTables& tables) {
  if (tables.workspaces.contains(id)) return {};
  for (const auto& [key_id, key] : tables.keys) {
    if (key.workspace == id) BOOST_LEAF_CHECK(CheckKey(key, tables));
  }
  return {};
}

Result<void> CheckReferences(const Change& change, const ObjectTables& tables) {
  switch (change.kind) {
    case ObjectKind::kWorkspace:
      return CheckWorkspace(change.id, tables);
    case ObjectKind::kPool:
      return CheckPool(change.id, tables);
    case ObjectKind::kKey:
      return CheckKey(tables.keys.at(change.id), tables);
    case ObjectKind::kBackendServer:
      if (change.op == ChangeOp::kWithdraw) return {};
      return CheckBackendServer(tables.backend_servers.at(change.id), tables);
    case ObjectKind::kRoute:
      if (change.op == ChangeOp::kWithdraw) return {};
      return CheckRoute(tables.routes.at(change.id), tables);
  }
  return {};
}

}  // namespace

std::string Describe(ObjectKind kind, absl::string_view id) {
  return absl::StrCat(ObjectKindName(kind), " ", id);
}

Result<void> ApplyIntent(const Intent& intent, ObjectTables& tables) {
  UndoList undo;
  for (const auto& change : intent.changes) {
    BOOST_LEAF_CHECK(VisitTable(change.kind, tables, [&](auto& table) -> Result<void> {
      return change.op == ChangeOp::kPut ? Put(change, table, undo) : Withdraw(change, table, undo);
    }));
  }
  for (const auto& change : intent.changes) {
    BOOST_LEAF_CHECK(CheckReferences(change, tables));
  }
  undo.Keep();
  return {};
}

}  // namespace marigoldquay
