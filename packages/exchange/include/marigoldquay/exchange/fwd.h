// Public types of the exchange package.
#ifndef MARIGOLDQUAY_EXCHANGE_FWD_H_
#define MARIGOLDQUAY_EXCHANGE_FWD_H_

namespace marigoldquay {}

#endif  // MARIGOLDQUAY_EXCHANGE_FWD_H_
