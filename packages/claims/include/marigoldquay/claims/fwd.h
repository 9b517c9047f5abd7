// Public types of the claims package.
#ifndef MARIGOLDQUAY_CLAIMS_FWD_H_
#define MARIGOLDQUAY_CLAIMS_FWD_H_

namespace marigoldquay {}

#endif  // MARIGOLDQUAY_CLAIMS_FWD_H_
