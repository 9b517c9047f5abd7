// Public types of the exchange package.
#ifndef MARIGOLDQUAY_EXCHANGE_FWD_H_
#define MARIGOLDQUAY_EXCHANGE_FWD_H_

namespace marigoldquay {

class CompletionRunner;
class CompletionService;
class OutcomeReader;
class QueryTable;
class SharedOutcome;
class TaskThreads;
struct CompletionEnd;
struct CompletionRequest;

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_EXCHANGE_FWD_H_
