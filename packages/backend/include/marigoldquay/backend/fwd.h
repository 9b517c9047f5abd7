// Public types of the backend package.
#ifndef MARIGOLDQUAY_BACKEND_FWD_H_
#define MARIGOLDQUAY_BACKEND_FWD_H_

namespace marigoldquay {}

#endif  // MARIGOLDQUAY_BACKEND_FWD_H_
