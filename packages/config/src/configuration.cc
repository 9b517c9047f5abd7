// Lookups in the configuration.
#include "marigoldquay/config/configuration.h"

#include <utility>

#include "absl/strings/match.h"
#include "marigoldquay/core/secret.h"

namespace marigoldquay {
namespace {

constexpr absl::string_view kKeyPrefix = "mq_";

template <class Table>
auto Find(const Table& table, absl::string_view id) -> const typename Table::mapped_type* {
  const auto found = table.find(id);
  return found == table.end() ? nullptr : &found->second;
}

// The id part of "mq_<id>_<secret>"; empty for other texts.
absl::string_view KeyIdOf(absl::string_view key_text) {
  if (!absl::StartsWith(key_text, kKeyPrefix)) return {};
  key_text.remove_prefix(kKeyPrefix.size());
  const auto end = key_text.find('_');
  return end == absl::string_view::npos ? absl::string_view() : key_text.substr(0, end);
}

}  // namespace

Configuration::Configuration(Offset revision, Workspaces workspaces, Keys keys, Pools pools,
                             BackendServers backend_servers, Routes routes)
    : revision_(revision),
      workspaces_(std::move(workspaces)),
      keys_(std::move(keys)),
      pools_(std::move(pools)),
      backend_servers_(std::move(backend_servers)),
      routes_(std::move(routes)) {}

const Workspace* Configuration::FindWorkspace(absl::string_view id) const {
  return Find(workspaces_, id);
}

const Pool* Configuration::FindPool(absl::string_view id) const { return Find(pools_, id); }

const Pool* Configuration::FindPoolByModel(absl::string_view model) const {
  for (const auto& [id, pool] : pools_) {
    if (pool.kind == PoolKind::kModel && pool.model == model) return &pool;
  }
  return nullptr;
}

const BackendServer* Configuration::FindBackendServer(absl::string_view id) const {
  return Find(backend_servers_, id);
}

const Route* Configuration::FindRoute(absl::string_view path) const {
  while (!path.empty()) {
    if (const auto* route = Find(routes_, path)) return route;
    if (path == "/") break;
    const auto slash = path.rfind('/');
    if (slash == absl::string_view::npos) break;
    path = slash == 0 ? absl::string_view("/") : path.substr(0, slash);
  }
  return nullptr;
}

const Key* Configuration::CheckKey(absl::string_view key_text) const {
  const auto* key = Find(keys_, KeyIdOf(key_text));
  // The digest is computed for unknown ids too, so that the time does not tell which ids exist.
  const auto digest = Sha256Hex(key_text);
  if (key == nullptr || !ConstantTimeEquals(digest, key->digest)) return nullptr;
  return key->state == KeyState::kActive ? key : nullptr;
}

bool Configuration::KeyActive(absl::string_view id) const {
  const auto* key = Find(keys_, id);
  return key != nullptr && key->state == KeyState::kActive;
}

}  // namespace marigoldquay
