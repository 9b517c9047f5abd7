// The configured objects in changeable form, and the rules for changing them.
#ifndef MARIGOLDQUAY_CONFIG_OBJECT_TABLES_H_
#define MARIGOLDQUAY_CONFIG_OBJECT_TABLES_H_

#include <utility>

#include "marigoldquay/config/configuration.h"
#include "marigoldquay/config/records.h"

namespace marigoldquay {

struct ObjectTables {
  Configuration::Workspaces workspaces;
  Configuration::Keys keys;
  Configuration::Pools pools;
  Configuration::BackendServers backend_servers;
  Configuration::Routes routes;

  bool operator==(const ObjectTables&) const = default;
};

inline ObjectTables TablesOf(const Configuration& configuration) {
  return {configuration.workspaces(), configuration.keys(), configuration.pools(),
          configuration.backend_servers(), configuration.routes()};
}

inline Configuration ToConfiguration(const ObjectTables& tables, Offset revision) {
  return {revision,     tables.workspaces,      tables.keys,
          tables.pools, tables.backend_servers, tables.routes};
}

/// Calls `visit` with the table of this kind; the tables may be const.
template <class Tables, class Visitor>
decltype(auto) VisitTable(ObjectKind kind, Tables& tables, Visitor&& visit) {
  switch (kind) {
    case ObjectKind::kKey:
      return visit(tables.keys);
    case ObjectKind::kPool:
      return visit(tables.pools);
    case ObjectKind::kBackendServer:
      return visit(tables.backend_servers);
    case ObjectKind::kRoute:
      return visit(tables.routes);
    case ObjectKind::kWorkspace:
      break;
  }
  return visit(tables.workspaces);
}

/// Names the object, e.g. "pool llm-pool".
std::string Describe(ObjectKind kind, absl::string_view id);

/// Applies all changes or none. The order of the changes does not matter: references are checked
/// after all of them. Errors: kNotFound (withdrawn object does not exist), kConflict (a reference
/// or uniqueness rule is broken), kInvalidArgument (a field that creation needs is missing).
Result<void> ApplyIntent(const Intent& intent, ObjectTables& tables);

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_CONFIG_OBJECT_TABLES_H_
