// Public types of the scheduling package.
#ifndef MARIGOLDQUAY_SCHEDULING_FWD_H_
#define MARIGOLDQUAY_SCHEDULING_FWD_H_

namespace marigoldquay {}

#endif  // MARIGOLDQUAY_SCHEDULING_FWD_H_
