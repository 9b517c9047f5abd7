// Public types of the config package.
#ifndef MARIGOLDQUAY_CONFIG_FWD_H_
#define MARIGOLDQUAY_CONFIG_FWD_H_

namespace marigoldquay {

class ConfigReplay;
class ConfigStore;
class ConfigView;
class Configuration;
class FieldReader;
class LogOutageAgreement;
class OperatorService;
class PeerStream;
class ReplayedState;
class SnapshotAssembler;
class SnapshotWriter;
class StreamReplica;
struct Applied;
struct BackendServer;
struct Change;
struct ConfirmOutcome;
struct ConfirmRecord;
struct Intent;
struct Key;
struct ObjectTables;
struct PendingPlan;
struct Plan;
struct PlanRecord;
struct PlanStep;
struct Pool;
struct ResolvedPlan;
struct Route;
struct SnapshotOptions;
struct SnapshotPart;
struct Workspace;

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_CONFIG_FWD_H_
