// Public types of the control package.
#ifndef MARIGOLDQUAY_CONTROL_FWD_H_
#define MARIGOLDQUAY_CONTROL_FWD_H_

namespace marigoldquay {

class OperatorBackend;
class OperatorServer;
enum class AttentionLevel;
enum class ObjectList;
struct BurnAnswer;
struct BurnReport;
struct BurnReportLine;
struct OperatorServerOptions;

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_CONTROL_FWD_H_
