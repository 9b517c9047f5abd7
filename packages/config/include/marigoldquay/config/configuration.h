// Immutable state of the configuration at one revision.
#ifndef MARIGOLDQUAY_CONFIG_CONFIGURATION_H_
#define MARIGOLDQUAY_CONFIG_CONFIGURATION_H_

#include <map>
#include <string>

#include "absl/strings/string_view.h"
#include "marigoldquay/config/objects.h"
#include "marigoldquay/core/types.h"

namespace marigoldquay {

/// All objects, ordered by id, with lookups. Pointers live as long as the Configuration.
class Configuration {
 public:
  using Workspaces = std::map<WorkspaceId, Workspace, std::less<>>;
  using Keys = std::map<KeyId, Key, std::less<>>;
  using Pools = std::map<PoolId, Pool, std::less<>>;
  using BackendServers = std::map<BackendServerId, BackendServer, std::less<>>;
  using Routes = std::map<std::string, Route, std::less<>>;

  Configuration() = default;
  Configuration(Offset revision, Workspaces workspaces, Keys keys, Pools pools,
                BackendServers backend_servers, Routes routes);

  /// Offset of the last record that changed the state; 0 while there is none.
  Offset revision() const { return revision_; }
  const Workspaces& workspaces() const { return workspaces_; }
  const Keys& keys() const { return keys_; }
  const Pools& pools() const { return pools_; }
  const BackendServers& backend_servers() const { return backend_servers_; }
  const Routes& routes() const { return routes_; }

  const Workspace* FindWorkspace(absl::string_view id) const;
  const Pool* FindPool(absl::string_view id) const;
  /// The model pool that serves this model.
  const Pool* FindPoolByModel(absl::string_view model) const;
  const BackendServer* FindBackendServer(absl::string_view id) const;
  /// The route with the longest prefix of the path; a prefix ends at a "/" or at the path's end.
  const Route* FindRoute(absl::string_view path) const;

  /// The active key with this text, checked in constant time; nullptr when unknown or withdrawn.
  const Key* CheckKey(absl::string_view key_text) const;
  /// Whether the key with this id is still active.
  bool KeyActive(absl::string_view id) const;

  bool operator==(const Configuration&) const = default;

 private:
  Offset revision_ = 0;
  Workspaces workspaces_;
  Keys keys_;
  Pools pools_;
  BackendServers backend_servers_;
  Routes routes_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_CONFIG_CONFIGURATION_H_
