// Logging through log4cplus.
#include "marigoldquay/core/logger.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>

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

class JsonLayout final : public log4cplus::Layout {
 public:
  void formatAndAppend(log4cplus::tostream& out,
                       const log4cplus::spi::InternalLoggingEvent& event) override {
    out << "{\"time\":\""
        << log4cplus::helpers::getFormattedTime("%Y-%m-%dT%H:%M:%S.%qZ", event.getTimestamp(), true)
        << "\",\"level\":\"" << log4cplus::getLogLevelManager().toString(event.getLogLevel())
        << "\",\"part\":";
    AppendJsonString(event.getLoggerName(), out);
    out << ",\"message\":";
    AppendJsonString(event.getMessage(), out);
    out << "}\n";
  }
};

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
void Initialize(absl::string_view level, bool json, bool replace) {
  static std::mutex mutex;
  static std::unique_ptr<log4cplus::Initializer> initializer;
  const std::scoped_lock lock(mutex);
  if (initializer && !replace) return;
  if (!initializer) initializer = std::make_unique<log4cplus::Initializer>();
  log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
  if (json) {
    appender->setLayout(std::make_unique<JsonLayout>());
  } else {
    appender->setLayout(
        std::make_unique<log4cplus::PatternLayout>("%D{%H:%M:%S.%q} %-5p %c: %m%n"));
  }
  auto root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  LogLevel parsed = LogLevel::kInfo;
  if (level == "debug") parsed = LogLevel::kDebug;
  if (level == "warn") parsed = LogLevel::kWarn;
  if (level == "error") parsed = LogLevel::kError;
  root.setLogLevel(Log4cplusLevel(parsed));
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

void InitializeLogging(absl::string_view level, bool json) { Initialize(level, json, true); }

}  // namespace marigoldquay
