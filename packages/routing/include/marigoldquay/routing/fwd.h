// Forward declarations of the public types of the routing package.
#ifndef MARIGOLDQUAY_ROUTING_FWD_H_
#define MARIGOLDQUAY_ROUTING_FWD_H_

namespace marigoldquay {

class Catalog;
class ClusterView;
class ReplicaTable;
struct CatalogContents;
struct CallerLimits;
struct EngineProfile;
struct Replica;
struct ReplicaChanges;
struct CatalogRoute;
struct CatalogService;
struct TokenQuota;
struct WeightedService;
struct CatalogWorkspace;

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_ROUTING_FWD_H_
