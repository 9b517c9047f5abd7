// The outcome of one completion while it is produced: one writer, any number of
// readers that each read it from the start.
#ifndef MARIGOLDQUAY_EXCHANGE_SHARED_OUTCOME_H_
#define MARIGOLDQUAY_EXCHANGE_SHARED_OUTCOME_H_

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "marigoldquay/core/types.h"
#include "marigoldquay/exchange/completion.h"

namespace marigoldquay {

class OutcomeReader;
class SharedOutcome;

/// Shared ownership, because the writer, every reader and the query table use an outcome for times
/// that none of them controls.
using SharedOutcomePtr = std::shared_ptr<SharedOutcome>;

/// Tokens and end of one completion. Thread-safe.
class SharedOutcome : public std::enable_shared_from_this<SharedOutcome> {
 public:
  static SharedOutcomePtr Make() { return std::make_shared<SharedOutcome>(); }

  /// Adds a token; ignored after Finish.
  void Append(absl::string_view token);
  /// Sets the end; later calls are ignored, so that there is exactly one.
  void Finish(CompletionEnd end);

  /// A new reader; nullopt when the outcome was abandoned before.
  std::optional<OutcomeReader> Join();

  /// True when the last reader left before the end; the writer then cancels.
  bool abandoned() const;
  bool finished() const;
  /// The end, once finished.
  std::optional<CompletionEnd> end() const;
  /// Bytes of all tokens so far.
  std::size_t size() const;

 private:
  friend class OutcomeReader;
  void Leave();

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> tokens_;
  std::size_t bytes_ = 0;
  std::optional<CompletionEnd> end_;
  int readers_ = 0;
  // Only set while end_ is unset, and never cleared.
  bool abandoned_ = false;
};

/// Reads one outcome in order. Movable; leaves the outcome when destroyed.
class OutcomeReader {
 public:
  OutcomeReader(OutcomeReader&& other) noexcept = default;
  OutcomeReader& operator=(OutcomeReader&& other) noexcept;
  ~OutcomeReader();

  /// What a wait brought: a token, or the end after all tokens, or neither (timeout).
  struct Item {
    std::optional<std::string> token;
    std::optional<CompletionEnd> end;
  };
  /// Waits up to `timeout` for the next item.
  Item Next(absl::Duration timeout);
  /// Waits until a token or the end is there, without taking it.
  bool WaitForFirst(absl::Duration timeout);
  /// Number of tokens taken so far.
  std::size_t position() const { return position_; }

 private:
  friend class SharedOutcome;
  explicit OutcomeReader(SharedOutcomePtr outcome) : outcome_(std::move(outcome)) {}

  SharedOutcomePtr outcome_;
  std::size_t position_ = 0;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_EXCHANGE_SHARED_OUTCOME_H_
