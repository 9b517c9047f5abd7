// Logging through log4cplus.
#include "marigoldquay/core/logger.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <climits>
#include <memory>
#include <mutex>

namespace marigoldquay {
namespace {

void AppendJsonString(absl::string_view text, log4cplus::tostream& out) {
  static constexpr char kHex[] = "0123456789abcdef";
  out << '"';
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      out << '\\' << c;
    } else if (byte < 0x20) {
      out << "\\u00" << kHex[byte >> 4] << kHex[byte & 15];
    } else {
      out << c;
    }
  }
  out << '"';
}

// Stands for the source file in events whose message is already a list of JSON fields.
const char kStructuredMarker[] = "structured";

class JsonLayout final : public log4cplus::Layout {
 public:
  void formatAndAppend(log4cplus::tostream& out,
                       const log4cplus::spi::InternalLoggingEvent& event) override {
    out << "{\"time\":\""
        << log4cplus::helpers::getFormattedTime("%Y-%m-%dT%H:%M:%S.%qZ", event.getTimestamp(), true)
        << "\",\"level\":\"" << log4cplus::getLogLevelManager().toString(event.getLogLevel())
        << "\",\"part\":";
    AppendJsonString(event.getLoggerName(), out);
    if (event.getFile() == kStructuredMarker) {
      out << event.getMessage() << "}\n";
      return;
    }
    out << ",\"message\":";
    AppendJsonString(event.getMessage(), out);
    out << "}\n";
  }
};

// Collects lines until they are written to standard output without blocking.
class BufferedOutput {
 public:
  void SetBounds(LogBounds bounds) {
    const std::scoped_lock lock(mutex_);
    bounds_ = bounds;
  }

  void Append(const std::string& line) {
    const std::scoped_lock lock(mutex_);
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(
        std::chrono::steady_clock::now().time_since_epoch());
    if (second != second_) {
      second_ = second;
      lines_in_second_ = 0;
    }
    const bool full = buffer_.size() + line.size() > bounds_.buffered_bytes;
    if (full || lines_in_second_ >= bounds_.lines_per_second) {
      lost_.fetch_add(1, std::memory_order_relaxed);
      return;
    }
    ++lines_in_second_;
    buffer_ += line;
  }

  void Flush() {
    const std::scoped_lock lock(mutex_);
    std::size_t written = 0;
    while (written < buffer_.size()) {
      // A pipe that polls as writable takes PIPE_BUF bytes without blocking.
      pollfd output{STDOUT_FILENO, POLLOUT, 0};
      if (poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0) break;
      const std::size_t size = std::min<std::size_t>(buffer_.size() - written, PIPE_BUF);
      const auto count = write(STDOUT_FILENO, buffer_.data() + written, size);
      if (count <= 0) break;
      written += static_cast<std::size_t>(count);
    }
    buffer_.erase(0, written);
  }

  std::uint64_t lost() const { return lost_.load(std::memory_order_relaxed); }

 private:
  std::mutex mutex_;
  LogBounds bounds_;
  std::string buffer_;
  std::chrono::seconds second_{0};
  int lines_in_second_ = 0;
  std::atomic<std::uint64_t> lost_{0};
};

BufferedOutput& Output() {
  static BufferedOutput output;
  return output;
}

class BufferedAppender final : public log4cplus::Appender {
 public:
  ~BufferedAppender() override { destructorImpl(); }
  void close() override { closed = true; }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    log4cplus::tostringstream line;
    layout->formatAndAppend(line, event);
    Output().Append(line.str());
  }
};

LogLevel ParseLevel(absl::string_view level) {
  if (level == "debug") return LogLevel::kDebug;
  if (level == "warn") return LogLevel::kWarn;
  if (level == "error") return LogLevel::kError;
  return LogLevel::kInfo;
}

log4cplus::LogLevel Log4cplusLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::kWarn:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

// Unit tests log without calling InitializeLogging; they get warnings and errors as text.
void Initialize(absl::string_view level, bool json, bool replace,
                std::unique_ptr<log4cplus::Appender> output = nullptr) {
  static std::mutex mutex;
  static std::unique_ptr<log4cplus::Initializer> initializer;
  const std::scoped_lock lock(mutex);
  if (initializer && !replace) return;
  if (!initializer) initializer = std::make_unique<log4cplus::Initializer>();
  if (!output) output = std::make_unique<log4cplus::ConsoleAppender>(true, true);
  log4cplus::SharedAppenderPtr appender(output.release());
  if (json) {
    appender->setLayout(std::make_unique<JsonLayout>());
  } else {
    appender->setLayout(
        std::make_unique<log4cplus::PatternLayout>("%D{%H:%M:%S.%q} %-5p %c: %m%n"));
  }
  auto root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(Log4cplusLevel(ParseLevel(level)));
}

std::string JsonString(absl::string_view text) {
  log4cplus::tostringstream out;
  AppendJsonString(text, out);
  return out.str();
}

}  // namespace

bool Logger::Enabled(LogLevel level) const {
  static std::once_flag once;
  std::call_once(once, [] { Initialize("warn", false, false); });
  return log4cplus::Logger::getRoot().isEnabledFor(Log4cplusLevel(level));
}

void Logger::Emit(LogLevel level, absl::string_view message) const {
  log4cplus::Logger::getInstance(prefix_).log(Log4cplusLevel(level), std::string(message), nullptr,
                                              0);
}

void Logger::Event(absl::string_view event, const LogFields& fields, LogLevel level) const {
  if (!Enabled(level)) return;
  log4cplus::Logger::getInstance(prefix_).log(
      Log4cplusLevel(level), absl::StrCat(",\"event\":", JsonString(event), fields.json()),
      kStructuredMarker, 0);
}

void LogFields::AddName(absl::string_view name) { absl::StrAppend(&json_, ",\"", name, "\":"); }

LogFields& LogFields::Add(absl::string_view name, absl::string_view text) {
  AddName(name);
  json_ += JsonString(text);
  return *this;
}

LogFields& LogFields::Add(absl::string_view name, std::int64_t number) {
  AddName(name);
  absl::StrAppend(&json_, number);
  return *this;
}

LogFields& LogFields::Add(absl::string_view name, std::uint64_t number) {
  AddName(name);
  absl::StrAppend(&json_, number);
  return *this;
}

LogFields& LogFields::Add(absl::string_view name, bool value) {
  AddName(name);
  json_ += value ? "true" : "false";
  return *this;
}

LogFields& LogFields::Add(absl::string_view name, absl::Duration duration) {
  AddName(name);
  absl::StrAppend(&json_, absl::ToInt64Microseconds(duration) / 1000.0);
  return *this;
}

void InitializeLogging(absl::string_view level, bool json) { Initialize(level, json, true); }

void InitializeBufferedLogging(absl::string_view level, LogBounds bounds) {
  Output().SetBounds(bounds);
  Initialize(level, true, true, std::make_unique<BufferedAppender>());
}

void FlushLogging() { Output().Flush(); }

std::uint64_t LostLogLines() { return Output().lost(); }

}  // namespace marigoldquay
