// A line on standard error while something takes longer than usual.
#include "progress_line.h"

#include <utility>

namespace marigoldquay {

ProgressLine::ProgressLine(std::ostream& out, std::string text, absl::Duration after)
    : out_(out), text_(std::move(text)), after_(after), thread_([this] { Run(); }) {}

ProgressLine::~ProgressLine() {
  {
    const std::scoped_lock lock(mutex_);
    done_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

void ProgressLine::Run() {
  std::unique_lock lock(mutex_);
  absl::Duration passed = after_;
  const auto done = [this] { return done_; };
  if (changed_.wait_for(lock, absl::ToChronoMilliseconds(after_), done)) return;
  do {
    // A carriage return rewrites the line on a terminal.
    out_ << '\r' << text_ << ", " << absl::ToInt64Seconds(passed) << " s" << std::flush;
    passed += absl::Seconds(1);
  } while (!changed_.wait_for(lock, std::chrono::seconds(1), done));
  out_ << '\n' << std::flush;
}

}  // namespace marigoldquay
