// Public types of the scheduling package.
#ifndef MARIGOLDQUAY_SCHEDULING_FWD_H_
#define MARIGOLDQUAY_SCHEDULING_FWD_H_

namespace marigoldquay {

class CellScheduler;
class EngineReports;
class FairQueue;
class LeavingServers;
class LeavingServersPoller;
class PeriodicPool;
class PeriodicTasks;
class PlacementPolicy;
class PrefixIndex;
class RpcSchedulerClient;
class SchedulerClient;
class SchedulerService;
class ServerHealth;
class SpeedEstimate;
struct CacheEvent;
struct CellOptions;
struct LoadReport;
struct Placement;
struct PlacementRequest;
struct QueuedRequest;
struct ServerStatus;

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_SCHEDULING_FWD_H_
