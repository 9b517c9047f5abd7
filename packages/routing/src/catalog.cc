// Builds and queries the indexes of the configuration.
#include "marigoldquay/routing/catalog.h"

#include <algorithm>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"

namespace marigoldquay {
namespace {

std::string NormalizeHost(absl::string_view host) {
  const auto colon = host.find(':');
  return absl::AsciiStrToLower(host.substr(0, colon));
}

template <class Entry, class Index>
const Entry* FindIndexed(const std::vector<Entry>& entries, const Index& index,
                         absl::string_view name) {
  const auto found = index.find(name);
  return found == index.end() ? nullptr : &entries[found->second];
}

}  // namespace

Catalog::Catalog(CatalogContents contents) : contents_(std::move(contents)) {
  const auto& routes = contents_.routes;
  for (std::size_t i = 0; i < routes.size(); ++i) routes_by_host_[routes[i].host].push_back(i);
  for (auto& [host, indexes] : routes_by_host_) {
    std::stable_sort(indexes.begin(), indexes.end(), [&](std::size_t a, std::size_t b) {
      return routes[a].path_prefix.size() > routes[b].path_prefix.size();
    });
  }
  for (std::size_t i = 0; i < contents_.workspaces.size(); ++i) {
    const auto& workspace = contents_.workspaces[i];
    workspaces_by_name_.emplace(workspace.name, i);
    for (const auto& key : workspace.keys) workspaces_by_key_.emplace(key, i);
  }
  for (std::size_t i = 0; i < contents_.services.size(); ++i) {
    services_by_name_.emplace(contents_.services[i].name, i);
  }
}

const CatalogRoute* Catalog::FindRoute(absl::string_view host, absl::string_view path) const {
  const auto found = routes_by_host_.find(NormalizeHost(host));
  if (found == routes_by_host_.end()) return nullptr;
  for (const std::size_t index : found->second) {
    const CatalogRoute& route = contents_.routes[index];
    if (absl::StartsWith(path, route.path_prefix)) return &route;
  }
  return nullptr;
}

const CatalogWorkspace* Catalog::FindWorkspaceByKey(absl::string_view key) const {
  return FindIndexed(contents_.workspaces, workspaces_by_key_, key);
}

const CatalogWorkspace* Catalog::FindWorkspace(absl::string_view name) const {
  return FindIndexed(contents_.workspaces, workspaces_by_name_, name);
}

const CatalogService* Catalog::FindService(absl::string_view name) const {
  return FindIndexed(contents_.services, services_by_name_, name);
}

}  // namespace marigoldquay
