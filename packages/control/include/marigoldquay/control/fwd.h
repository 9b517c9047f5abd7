// Public types of the control package.
#ifndef MARIGOLDQUAY_CONTROL_FWD_H_
#define MARIGOLDQUAY_CONTROL_FWD_H_

namespace marigoldquay {}

#endif  // MARIGOLDQUAY_CONTROL_FWD_H_
