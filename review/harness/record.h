// Record of a run: what was sent, answered and run, one line an event.
#ifndef MARIGOLDQUAY_REVIEW_HARNESS_RECORD_H_
#define MARIGOLDQUAY_REVIEW_HARNESS_RECORD_H_

#include <fstream>
#include <string>

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"

namespace marigoldquay::review {

/// Writes the lines of one run to a file, each with the time since the start in ms. Not
/// thread-safe.
class Record {
 public:
  explicit Record(const std::string& path);

  template <class... Parts>
  void Line(const Parts&... parts) {
    Write(absl::StrCat(parts...), false);
  }
  /// Also prints the line.
  template <class... Parts>
  void Say(const Parts&... parts) {
    Write(absl::StrCat(parts...), true);
  }

 private:
  void Write(const std::string& text, bool print);

  std::ofstream file_;
  const absl::Time started_;
};

}  // namespace marigoldquay::review

#endif  // MARIGOLDQUAY_REVIEW_HARNESS_RECORD_H_
