// Public types of the quota package.
#ifndef MARIGOLDQUAY_QUOTA_FWD_H_
#define MARIGOLDQUAY_QUOTA_FWD_H_

namespace marigoldquay {

class QuotaClient;
class QuotaService;
class TokenBucket;
class WorkspaceHomes;
struct BucketLimits;
struct QuotaServiceOptions;
struct Reservation;
struct WorkspaceLimits;

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_QUOTA_FWD_H_
