// Public types of the claims package.
#ifndef MARIGOLDQUAY_CLAIMS_FWD_H_
#define MARIGOLDQUAY_CLAIMS_FWD_H_

namespace marigoldquay {

class ClaimService;
class ClaimTable;
class OnceDispatcher;
class OnceRunner;
struct ClaimRecord;
struct OnceRequest;
struct OnceResult;

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_CLAIMS_FWD_H_
