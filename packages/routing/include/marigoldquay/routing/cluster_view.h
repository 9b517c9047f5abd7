// The state of the deployment as known to one VM: the newest configuration
// received and the backend servers listed by the platform.
#ifndef MARIGOLDQUAY_ROUTING_CLUSTER_VIEW_H_
#define MARIGOLDQUAY_ROUTING_CLUSTER_VIEW_H_

#include <memory>
#include <string>
#include <utility>

#include "marigoldquay/routing/catalog.h"
#include "marigoldquay/routing/replica_table.h"

namespace marigoldquay {

/// Shared ownership, because a request keeps using the version it started with after a newer one is
/// applied.
using CatalogPtr = std::shared_ptr<const Catalog>;

/// Local copy of the configuration and the list of backend servers. Not thread-safe.
class ClusterView {
 public:
  /// Null until the first configuration is applied.
  CatalogPtr catalog() const { return catalog_; }

  /// Replaces the configuration by a newer version. Returns false, without any change, when the
  /// version is not newer, so that a process never reverts to an older configuration. `record` is
  /// the serialized form, which is passed on to other VMs.
  bool Apply(CatalogContents contents, std::string record = "") {
    if (catalog_ && contents.version <= catalog_->version()) return false;
    catalog_ = std::make_shared<const Catalog>(std::move(contents));
    catalog_record_ = std::move(record);
    return true;
  }

  /// Serialized form of the current configuration; empty when it is unknown.
  const std::string& catalog_record() const { return catalog_record_; }

  ReplicaTable& replicas() { return replicas_; }
  const ReplicaTable& replicas() const { return replicas_; }

 private:
  CatalogPtr catalog_;
  std::string catalog_record_;
  ReplicaTable replicas_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_ROUTING_CLUSTER_VIEW_H_
