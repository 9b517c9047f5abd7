// Public types of the quota package.
#ifndef MARIGOLDQUAY_QUOTA_FWD_H_
#define MARIGOLDQUAY_QUOTA_FWD_H_

namespace marigoldquay {}

#endif  // MARIGOLDQUAY_QUOTA_FWD_H_
