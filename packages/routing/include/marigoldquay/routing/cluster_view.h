// What one VM believes of the deployment: the newest configuration that it has
// seen and the backend servers that the platform lists.
#ifndef MARIGOLDQUAY_ROUTING_CLUSTER_VIEW_H_
#define MARIGOLDQUAY_ROUTING_CLUSTER_VIEW_H_

#include <memory>
#include <string>
#include <utility>

#include "marigoldquay/routing/catalog.h"
#include "marigoldquay/routing/replica_table.h"

namespace marigoldquay {

/// Shared, since a request keeps the version that it started with while newer ones arrive.
using CatalogPtr = std::shared_ptr<const Catalog>;

/// Not thread-safe.
class ClusterView {
 public:
  /// Null until a configuration was seen.
  CatalogPtr catalog() const { return catalog_; }

  /// Puts a newer version in force; returns false for a version that is not newer, so that the
  /// configuration of a process never goes back. `record` is its stored form, for other VMs.
  bool Apply(CatalogContents contents, std::string record = "") {
    if (catalog_ && contents.version <= catalog_->version()) return false;
    catalog_ = std::make_shared<const Catalog>(std::move(contents));
    catalog_record_ = std::move(record);
    return true;
  }

  /// Stored form of the configuration in force; empty when it is unknown.
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
