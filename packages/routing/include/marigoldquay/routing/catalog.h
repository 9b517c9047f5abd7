// One version of the request-path configuration: routes, services, workspaces
// and limits, indexed for the lookups that a request needs.
#ifndef MARIGOLDQUAY_ROUTING_CATALOG_H_
#define MARIGOLDQUAY_ROUTING_CATALOG_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "marigoldquay/core/types.h"

namespace marigoldquay {

/// Determines whether a failed request may be retried: idempotent requests may be executed again,
/// the others are executed at most once.
enum class RequestKind { kIdempotent, kNonIdempotent, kStream };

/// A service that receives a share of the requests of a route, proportional to its weight.
struct WeightedService {
  std::string service;
  std::uint32_t weight = 1;

  bool operator==(const WeightedService&) const = default;
};

/// Policy for requests that match a host and a path prefix.
struct CatalogRoute {
  std::string name;
  /// Host name in lower case, without port.
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  RequestKind kind = RequestKind::kNonIdempotent;
  /// Upper bound on the time that a request may take.
  absl::Duration timeout = absl::InfiniteDuration();
  /// Latency target for the complete response, or for the first event of a stream.
  absl::Duration latency_target = absl::InfiniteDuration();
  /// Target for the time between consecutive events of a stream.
  absl::Duration gap_target = absl::InfiniteDuration();
  /// 0 is the most urgent.
  int priority = 0;
  /// Maximum number of backend servers that may execute one request.
  int max_attempts = 1;
  /// Whether requests are accepted without a key.
  bool anonymous = false;
  /// Whether an interrupted stream may be resumed at another backend server.
  bool resumable = false;
  /// Never empty.
  std::vector<WeightedService> services;

  bool operator==(const CatalogRoute&) const = default;
};

/// Capacity of each model engine of a service.
struct EngineProfile {
  int slots = 1;
  /// KV cache capacity of one engine, in tokens.
  TokenCount kv_capacity = 0;
  /// How long a prefill engine keeps the KV cache of a prompt for the decode engine to fetch.
  absl::Duration kv_retention = absl::Milliseconds(500);

  bool operator==(const EngineProfile&) const = default;
};

/// A group of interchangeable backend servers.
struct CatalogService {
  std::string name;
  /// Maximum number of connections that one backend server accepts from all VMs together; 0 means
  /// no limit.
  int max_connections = 0;
  /// Set only for model services, which have separate prefill and decode pools.
  std::optional<EngineProfile> engine;

  bool operator==(const CatalogService&) const = default;
};

/// Token bucket of a workspace, enforced across all VMs: rate in tokens per second and burst in
/// tokens; a rate of 0 means no limit.
struct TokenQuota {
  TokenCount rate = 0;
  TokenCount burst = 0;
  /// Tokens charged for a request that does not state its token count.
  TokenCount default_cost = 1;

  bool limited() const { return rate > 0; }
  bool operator==(const TokenQuota&) const = default;
};

/// A tenant with its API keys and quota.
struct CatalogWorkspace {
  WorkspaceId name;
  std::vector<std::string> keys;
  /// Overrides the priority of the route.
  std::optional<int> priority;
  TokenQuota quota;

  bool operator==(const CatalogWorkspace&) const = default;
};

/// Limits on the size of callers' requests and on the time to receive them; zero selects the
/// default of the server.
struct CallerLimits {
  std::size_t header_bytes = 0;
  std::size_t body_bytes = 0;
  absl::Duration header_timeout;
  absl::Duration idle_timeout;

  bool operator==(const CallerLimits&) const = default;
};

/// Contents of one version of the configuration.
struct CatalogContents {
  std::uint64_t version = 0;
  std::vector<CatalogRoute> routes;
  std::vector<CatalogService> services;
  std::vector<CatalogWorkspace> workspaces;
  /// Whether requests on routes that are not anonymous need a key.
  bool requires_keys = false;
  CallerLimits limits;

  bool operator==(const CatalogContents&) const = default;
};

/// Immutable configuration with indexes for request lookups.
class Catalog {
 public:
  explicit Catalog(CatalogContents contents);

  std::uint64_t version() const { return contents_.version; }
  const CatalogContents& contents() const { return contents_; }
  const CallerLimits& limits() const { return contents_.limits; }

  /// Returns the route of the host with the longest matching path prefix, or null when no route
  /// matches. The case of `host` and its port are ignored; `path` excludes the query.
  const CatalogRoute* FindRoute(absl::string_view host, absl::string_view path) const;
  /// Returns the workspace that owns the key, or null when the key is unknown.
  const CatalogWorkspace* FindWorkspaceByKey(absl::string_view key) const;
  const CatalogWorkspace* FindWorkspace(absl::string_view name) const;
  const CatalogService* FindService(absl::string_view name) const;

  friend bool operator==(const Catalog& a, const Catalog& b) { return a.contents_ == b.contents_; }

 private:
  CatalogContents contents_;
  // The maps hold indexes into contents_. The routes of a host are ordered by descending length of
  // their path prefix.
  absl::flat_hash_map<std::string, std::vector<std::size_t>> routes_by_host_;
  absl::flat_hash_map<std::string, std::size_t> workspaces_by_key_;
  absl::flat_hash_map<std::string, std::size_t> workspaces_by_name_;
  absl::flat_hash_map<std::string, std::size_t> services_by_name_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_ROUTING_CATALOG_H_
