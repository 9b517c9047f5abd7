// Logging through log4cplus: short sentences with a fixed prefix per part.
#ifndef MARIGOLDQUAY_CORE_LOGGER_H_
#define MARIGOLDQUAY_CORE_LOGGER_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace marigoldquay {

enum class LogLevel { kDebug, kInfo, kWarn, kError };

/// Fields of a structured log line, in the order in which they were added.
class LogFields {
 public:
  LogFields& Add(absl::string_view name, absl::string_view text);
  LogFields& Add(absl::string_view name, const char* text) {
    return Add(name, absl::string_view(text));
  }
  LogFields& Add(absl::string_view name, std::int64_t number);
  LogFields& Add(absl::string_view name, std::uint64_t number);
  LogFields& Add(absl::string_view name, int number) {
    return Add(name, static_cast<std::int64_t>(number));
  }
  LogFields& Add(absl::string_view name, bool value);
  /// In milliseconds.
  LogFields& Add(absl::string_view name, absl::Duration duration);

  /// `,"name":value` for each field.
  const std::string& json() const { return json_; }

 private:
  void AddName(absl::string_view name);

  std::string json_;
};

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

  /// One line about a decision or a change of belief: the name of the event and its inputs.
  void Event(absl::string_view event, const LogFields& fields,
             LogLevel level = LogLevel::kInfo) const;

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

/// Bounds on what a process logs to standard output.
struct LogBounds {
  int lines_per_second = 2000;
  std::size_t buffered_bytes = std::size_t{256} * 1024;
};

/// Sets up logging to standard output, one JSON object per line. Lines are buffered until
/// FlushLogging; lines beyond the bounds are dropped and counted.
void InitializeBufferedLogging(absl::string_view level, LogBounds bounds);
/// Writes as much of the buffer as standard output takes without blocking.
void FlushLogging();
/// Lines that were dropped since the start.
std::uint64_t LostLogLines();

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_CORE_LOGGER_H_
