// Forward declarations of the public types of the fleet package.
#ifndef MARIGOLDQUAY_FLEET_FWD_H_
#define MARIGOLDQUAY_FLEET_FWD_H_

namespace marigoldquay {

class CatalogFollower;
class ClusterStore;
class Coordinator;
class CoordinatorLink;
class FrameConnection;
class MemberTable;
class PresenceKeeper;
class ReplicaFollower;
class RetryDelay;
class RoleKeeper;
struct CatalogUpdate;
struct CoordinatorHooks;
struct CoordinatorLinkHooks;
struct FleetMember;
struct MemberChanges;
struct ReplicaUpdate;

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_FLEET_FWD_H_
