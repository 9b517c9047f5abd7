// Public types of the platform package.
#ifndef MARIGOLDQUAY_PLATFORM_FWD_H_
#define MARIGOLDQUAY_PLATFORM_FWD_H_

namespace marigoldquay {

class LogClient;
class StreamTailer;
class VmListClient;
struct LogPage;
struct LogRecord;
struct VmListEntry;

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_PLATFORM_FWD_H_
