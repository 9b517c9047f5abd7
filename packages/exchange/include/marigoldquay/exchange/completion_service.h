// Entry point for completions: runs them here, or has the owner of a shared
// query run them and follows its answer.
#ifndef MARIGOLDQUAY_EXCHANGE_COMPLETION_SERVICE_H_
#define MARIGOLDQUAY_EXCHANGE_COMPLETION_SERVICE_H_

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <variant>

#include "marigoldquay/exchange/completion.h"
#include "marigoldquay/exchange/completion_runner.h"
#include "marigoldquay/exchange/query_table.h"
#include "marigoldquay/exchange/shared_outcome.h"
#include "marigoldquay/exchange/task_threads.h"
#include "marigoldquay/membership/member_view.h"
#include "marigoldquay/transport/rpc.h"

namespace marigoldquay {

/// Thread-safe.
class CompletionService {
 public:
  CompletionService(CompletionRunner& runner, const MemberView& members, RpcClient& rpc,
                    const Clock& clock, int max_running);

  /// Registers the handler of Ask.
  void RegisterHandlers(RpcRegistry& registry);

  /// Starts or joins the completion; the reader gets its tokens and its end.
  std::variant<OutcomeReader, CompletionEnd> Submit(const CompletionRequest& request);

  /// Cancels all running completions; for a stop that may not wait.
  void CancelAll() { stopping_ = true; }
  int running() const { return tasks_.running(); }

 private:
  std::variant<OutcomeReader, CompletionEnd> RunLocally(const CompletionRequest& request);
  std::variant<OutcomeReader, CompletionEnd> RunShared(const CompletionRequest& request);
  std::variant<OutcomeReader, CompletionEnd> Follow(const CompletionRequest& request);
  void FollowOwner(const CompletionRequest& request, SharedOutcome& outcome);
  void HandleAsk(const RpcCall& call, ReplyWriter& reply);

  CompletionRunner& runner_;
  const MemberView& members_;
  RpcClient& rpc_;
  const Clock& clock_;
  std::atomic<bool> stopping_{false};
  QueryTable queries_;
  // Last, so that tasks end before what they use is destroyed.
  TaskThreads tasks_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_EXCHANGE_COMPLETION_SERVICE_H_
