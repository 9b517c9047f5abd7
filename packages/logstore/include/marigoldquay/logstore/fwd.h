// Public types of the logstore package.
#ifndef MARIGOLDQUAY_LOGSTORE_FWD_H_
#define MARIGOLDQUAY_LOGSTORE_FWD_H_

namespace marigoldquay {

class LogClient;
class StreamTailer;
class VmListClient;
struct LogPage;
struct LogRecord;
struct VmListEntry;

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_LOGSTORE_FWD_H_
