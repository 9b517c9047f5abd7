// Record of a run.
#include "record.h"

#include <cstdio>

#include "absl/strings/str_format.h"
#include "absl/time/clock.h"

namespace marigoldquay::review {

Record::Record(const std::string& path) : file_(path), started_(absl::Now()) {}

void Record::Write(const std::string& text, bool print) {
  const std::string line =
      absl::StrFormat("%9.1f %s", absl::ToDoubleMilliseconds(absl::Now() - started_), text);
  file_ << line << "\n" << std::flush;
  if (print) std::printf("%s\n", line.c_str());
}

}  // namespace marigoldquay::review
