// A line on standard error while something takes longer than usual.
#ifndef MARIGOLDQUAY_APPS_MARIGOLDQUAY_PROGRESS_LINE_H_
#define MARIGOLDQUAY_APPS_MARIGOLDQUAY_PROGRESS_LINE_H_

#include <condition_variable>
#include <mutex>
#include <ostream>
#include <string>
#include <thread>

#include "absl/time/time.h"

namespace marigoldquay {

/// Writes `text` with the seconds passed once `after` has passed and then every second, until
/// destroyed. The stream must not be used by others meanwhile.
class ProgressLine {
 public:
  ProgressLine(std::ostream& out, std::string text, absl::Duration after);
  ~ProgressLine();
  ProgressLine(const ProgressLine&) = delete;
  ProgressLine& operator=(const ProgressLine&) = delete;

 private:
  void Run();

  std::ostream& out_;
  const std::string text_;
  const absl::Duration after_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool done_ = false;  // Guarded by mutex_.
  std::thread thread_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_APPS_MARIGOLDQUAY_PROGRESS_LINE_H_
