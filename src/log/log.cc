#include "amaranthcove/log/log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <sstream>
#include <utility>

#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/config.hxx>

namespace amaranthcove {
namespace {

// Whether a `Logging` exists. Without one, calls must not reach log4cplus,
// which would initialise itself or report missing appenders on stderr.
std::atomic<bool> is_set_up = false;

// Writes each event as one line to a file descriptor without blocking: an event
// that the descriptor does not accept immediately is dropped.
class DescriptorAppender final : public log4cplus::Appender {
 public:
  explicit DescriptorAppender(int descriptor) : descriptor_(descriptor) {}
  ~DescriptorAppender() override { destructorImpl(); }

  void close() override { closed = true; }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    std::ostringstream stream;
    layout->formatAndAppend(stream, event);
    std::string line = std::move(stream).str();
    if (line.size() > kMaxLineBytes) {
      line.resize(kMaxLineBytes - 1);
      line += '\n';
    }
    pollfd writable = {descriptor_, POLLOUT, 0};
    if (poll(&writable, 1, 0) != 1 || (writable.revents & POLLOUT) == 0) {
      return;
    }
    // Ignored, because only the log itself could report a failed write.
    static_cast<void>(::write(descriptor_, line.data(), line.size()));
  }

 private:
  // A pipe that poll() reports as writable accepts this much without blocking
  // (PIPE_BUF on Linux).
  static constexpr std::size_t kMaxLineBytes = 4096;

  const int descriptor_;
};

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
    // log4cplus starts a pool of four threads before `main` and keeps at least
    // one of them. The appender used here needs none.
    log4cplus::setThreadPoolSize(0);
    log4cplus::SharedAppenderPtr appender(new DescriptorAppender(
        output == LogOutput::kStderr ? STDERR_FILENO : STDOUT_FILENO));
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
