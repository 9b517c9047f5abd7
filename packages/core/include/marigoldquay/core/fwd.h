// Public types of the core package.
#ifndef MARIGOLDQUAY_CORE_FWD_H_
#define MARIGOLDQUAY_CORE_FWD_H_

namespace marigoldquay {

class BurnRecorder;
class Clock;
class Counter;
class Gauge;
class Logger;
class MetricsRegistry;
class Summary;
class SystemClock;
struct BurnCounts;
struct BurnWindowCounts;
struct Error;
struct Instance;
template <class T>
class RcuCell;

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_CORE_FWD_H_
