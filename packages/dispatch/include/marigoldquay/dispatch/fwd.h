// Public types of the dispatch package.
#ifndef MARIGOLDQUAY_DISPATCH_FWD_H_
#define MARIGOLDQUAY_DISPATCH_FWD_H_

namespace marigoldquay {

class RequestQuarantine;
class QuotaBalances;
class QuotaLedger;
class ReplicaBalancer;
class ReplicaHealth;
class RolePlanner;
class StreamScheduler;
class WindowedRetryBudget;
struct AccountQuota;
struct ServerCrash;
struct EngineLoad;
struct QuarantinedTraits;
struct QuotaAccount;
struct QuotaDecision;
struct ReplicaLoad;
struct RetryBudgetLimits;
struct RoleChange;
struct ServiceLoad;
struct StreamDecision;
struct StreamDemand;
struct StreamSchedulerOptions;

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_DISPATCH_FWD_H_
