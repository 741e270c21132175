#include "amaranthcove/log/log.h"

#include <atomic>

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/config.hxx>

namespace amaranthcove {
namespace {

// Calls before and after a `Logging` must not reach log4cplus, which would
// initialise itself or complain about missing appenders on stderr.
std::atomic<bool> is_set_up = false;

log4cplus::LogLevel ToLibraryLevel(LogLevel level) {
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
  return log4cplus::ERROR_LOG_LEVEL;
}

}  // namespace

class Logging::Implementation {
 public:
  Implementation(LogLevel level, LogOutput output) {
    // log4cplus starts four threads before `main` and keeps at least one of
    // them; no appender used here needs any.
    log4cplus::setThreadPoolSize(0);
    const bool log_to_stderr = output == LogOutput::kStderr;
    const bool flush_each_line = true;
    log4cplus::SharedAppenderPtr appender(
        new log4cplus::ConsoleAppender(log_to_stderr, flush_each_line));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
        "%d{%Y-%m-%dT%H:%M:%S.%qZ} %-5p %c %m%n"));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(ToLibraryLevel(level));
  }

 private:
  log4cplus::Initializer initializer_;
};

Logging::Logging(LogLevel level, LogOutput output)
    : implementation_(std::make_unique<Implementation>(level, output)) {
  is_set_up = true;
}

Logging::~Logging() {
  is_set_up = false;
}

void Log(LogLevel level, std::string_view component, std::string_view message) {
  if (!IsLogged(level, component)) {
    return;
  }
  log4cplus::Logger::getInstance(std::string(component))
      .forcedLog(ToLibraryLevel(level), EscapeLogMessage(message), nullptr, 0);
}

bool IsLogged(LogLevel level, std::string_view component) {
  return is_set_up && log4cplus::Logger::getInstance(std::string(component))
                          .isEnabledFor(ToLibraryLevel(level));
}

std::string EscapeLogMessage(std::string_view message) {
  constexpr std::string_view kHex = "0123456789abcdef";
  std::string escaped;
  for (const char c : message) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte >= 0x20 && byte != 0x7f) {
      escaped.push_back(c);
      continue;
    }
    escaped += "\\x";
    escaped.push_back(kHex[byte / 16]);
    escaped.push_back(kHex[byte % 16]);
  }
  return escaped;
}

}  // namespace amaranthcove
