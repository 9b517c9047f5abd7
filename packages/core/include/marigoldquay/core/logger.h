// Logging through log4cplus: short sentences with a fixed prefix per part.
#ifndef MARIGOLDQUAY_CORE_LOGGER_H_
#define MARIGOLDQUAY_CORE_LOGGER_H_

#include <string>

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

namespace marigoldquay {

enum class LogLevel { kDebug, kInfo, kWarn, kError };

/// Logger of one part; `prefix` is the part's fixed prefix, e.g. "entry".
class Logger {
 public:
  explicit Logger(absl::string_view prefix) : prefix_(prefix) {}

  template <class... Parts>
  void Debug(const Parts&... parts) const {
    Write(LogLevel::kDebug, parts...);
  }
  template <class... Parts>
  void Info(const Parts&... parts) const {
    Write(LogLevel::kInfo, parts...);
  }
  template <class... Parts>
  void Warn(const Parts&... parts) const {
    Write(LogLevel::kWarn, parts...);
  }
  template <class... Parts>
  void Error(const Parts&... parts) const {
    Write(LogLevel::kError, parts...);
  }

 private:
  template <class... Parts>
  void Write(LogLevel level, const Parts&... parts) const {
    if (Enabled(level)) Emit(level, absl::StrCat(parts...));
  }
  bool Enabled(LogLevel level) const;
  void Emit(LogLevel level, absl::string_view message) const;

  std::string prefix_;
};

/// Sets up logging to standard error. `level` is debug, info, warn or error; `json` selects one
/// JSON object per line. Call once before the first log line.
void InitializeLogging(absl::string_view level, bool json);

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_CORE_LOGGER_H_
